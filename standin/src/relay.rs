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
pub enum Harm {
    /// Passes them on.
    #[default]
    None,
    /// Passes them on later.
    Delay(Duration),
    /// Passes nothing on in either direction and leaves connections open.
    Silence,
    /// Passes nothing on from the accepting side.
    OneWay,
    /// Closes every connection.
    Reset,
}

/// A running relay.
pub struct Relay {
    addr: SocketAddr,
    harm: watch::Sender<Harm>,
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
        let harm = watch::Sender::new(Harm::None);
        let task = tokio::spawn(accept(listener, upstream, harm.subscribe()));
        Ok(Self { addr, harm, task })
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what is done with bytes from now on.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, harm: watch::Receiver<Harm>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if *harm.borrow() == Harm::Reset {
            continue;
        }
        let harm = harm.clone();
        tokio::spawn(async move {
            if let Ok(other) = TcpStream::connect(upstream).await {
                join(stream, other, harm).await;
            }
        });
    }
}

async fn join(near: TcpStream, far: TcpStream, harm: watch::Receiver<Harm>) {
    // Relayed connections behave like direct ones where that can be set.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = harm.clone();
    tokio::select! {
        () = pump(near_read, far_write, harm.clone(), true) => {}
        () = pump(far_read, near_write, harm.clone(), false) => {}
        _ = reset.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    from_accepting: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut bytes).await else {
            return;
        };
        if count == 0 {
            return;
        }
        let held = |harm: &Harm| match harm {
            Harm::Silence => true,
            Harm::OneWay => from_accepting,
            Harm::None | Harm::Delay(_) | Harm::Reset => false,
        };
        if harm.wait_for(|harm| !held(harm)).await.is_err() {
            return;
        }
        let delay = match *harm.borrow() {
            Harm::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
