//! A loopback relay that stands between two parties and harms what passes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a relay does with the bytes that pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NetworkFault {
    /// Passes them on.
    #[default]
    None,
    /// Passes them on later.
    Delay(Duration),
    /// Passes nothing on in either direction and leaves connections open.
    Stall,
    /// Passes nothing on from the accepting side.
    StallFromClient,
    /// Closes every connection.
    Reset,
}

/// A running relay.
pub struct Relay {
    addr: SocketAddr,
    fault: watch::Sender<NetworkFault>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let fault = watch::Sender::new(NetworkFault::None);
        let task = tokio::spawn(accept(listener, upstream, fault.subscribe()));
        Ok(Self { addr, fault, task })
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what is done with bytes from now on.
    pub fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, fault: watch::Receiver<NetworkFault>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if *fault.borrow() == NetworkFault::Reset {
            continue;
        }
        let fault = fault.clone();
        tokio::spawn(async move {
            if let Ok(upstream) = TcpStream::connect(upstream).await {
                forward(stream, upstream, fault).await;
            }
        });
    }
}

async fn forward(client: TcpStream, upstream: TcpStream, fault: watch::Receiver<NetworkFault>) {
    // Relayed connections behave like direct ones where that can be set.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut reset = fault.clone();
    tokio::select! {
        () = copy(client_read, upstream_write, fault.clone(), true) => {}
        () = copy(upstream_read, client_write, fault.clone(), false) => {}
        _ = reset.wait_for(|fault| *fault == NetworkFault::Reset) => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut fault: watch::Receiver<NetworkFault>,
    from_client: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut bytes).await else {
            return;
        };
        if count == 0 {
            return;
        }
        let stalled = |fault: &NetworkFault| match fault {
            NetworkFault::Stall => true,
            NetworkFault::StallFromClient => from_client,
            NetworkFault::None | NetworkFault::Delay(_) | NetworkFault::Reset => false,
        };
        if fault.wait_for(|fault| !stalled(fault)).await.is_err() {
            return;
        }
        let delay = match *fault.borrow() {
            NetworkFault::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
