//! A TCP relay on loopback that injects network faults into the connections that it forwards.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Network fault of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NetworkFault {
    /// Forwards data unchanged.
    #[default]
    None,
    /// Forwards each chunk of data after a delay.
    Delay(Duration),
    /// Holds back the data of both directions until the fault ends; connections stay open.
    Stall,
    /// Holds back the data from clients until the fault ends; data to clients is forwarded.
    StallFromClient,
    /// Drops the sockets of open connections, and those of new ones as soon as they are accepted.
    Reset,
}

/// A running relay. Dropping it closes the listener and every connection.
pub struct Relay {
    addr: SocketAddr,
    fault: watch::Sender<NetworkFault>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that forwards connections to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let fault = watch::Sender::new(NetworkFault::None);
        let task = tokio::spawn(accept(listener, upstream, fault.subscribe()));
        Ok(Self { addr, fault, task })
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault of all connections, also of open ones.
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
    // With TCP_NODELAY small writes are forwarded at once, as on a direct connection. Without it
    // they only arrive later, so errors are ignored.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut reset = fault.clone();
    // The wait for a reset also ends when the relay is dropped, because that closes the channel.
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
