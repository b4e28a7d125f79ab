//! A TCP relay on loopback that injects network faults into the connections that it forwards.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinHandle;

/// Size of the chunks in which data is forwarded.
const CHUNK_BYTES: usize = 16 * 1024;

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
    /// Forwards the first half of each chunk to clients, and holds back the rest until the fault ends.
    StallMidway,
    /// Sends the last chunk to a client once more when the client sends more data, before that is
    /// forwarded.
    LateCopies,
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
    let client_write = Mutex::new(client_write);
    let last_chunk = Mutex::new(Vec::new());
    let to_client = Side {
        last_chunk: &last_chunk,
        client: &client_write,
    };
    // The wait for a reset also ends when the relay is dropped, because that closes the channel.
    tokio::select! {
        () = copy_from_client(client_read, upstream_write, &to_client, fault.clone()) => {}
        () = copy_to_client(upstream_read, &to_client, fault.clone()) => {}
        _ = reset.wait_for(|fault| *fault == NetworkFault::Reset) => {}
    }
}

/// The side of the client, as both directions of a connection use it.
struct Side<'a> {
    /// Last data that was sent to the client.
    last_chunk: &'a Mutex<Vec<u8>>,
    client: &'a Mutex<OwnedWriteHalf>,
}

async fn copy_from_client(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    client: &Side<'_>,
    mut fault: watch::Receiver<NetworkFault>,
) {
    let mut bytes = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let is_stalled = |fault: &NetworkFault| {
            [NetworkFault::Stall, NetworkFault::StallFromClient].contains(fault)
        };
        if fault.wait_for(|fault| !is_stalled(fault)).await.is_err() {
            return;
        }
        delay(&fault).await;
        let repeats = *fault.borrow() == NetworkFault::LateCopies;
        let copy = client.last_chunk.lock().await.clone();
        if repeats && client.client.lock().await.write_all(&copy).await.is_err() {
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

async fn copy_to_client(
    mut from: OwnedReadHalf,
    client: &Side<'_>,
    mut fault: watch::Receiver<NetworkFault>,
) {
    let mut bytes = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if fault
            .wait_for(|fault| *fault != NetworkFault::Stall)
            .await
            .is_err()
        {
            return;
        }
        delay(&fault).await;
        let mut rest = &bytes[..count];
        if *fault.borrow() == NetworkFault::StallMidway {
            let (first, second) = rest.split_at(count / 2);
            if client.client.lock().await.write_all(first).await.is_err()
                || fault
                    .wait_for(|fault| *fault != NetworkFault::StallMidway)
                    .await
                    .is_err()
            {
                return;
            }
            rest = second;
        }
        if client.client.lock().await.write_all(rest).await.is_err() {
            return;
        }
        *client.last_chunk.lock().await = bytes[..count].to_vec();
    }
}

async fn delay(fault: &watch::Receiver<NetworkFault>) {
    let fault = *fault.borrow();
    if let NetworkFault::Delay(delay) = fault {
        tokio::time::sleep(delay).await;
    }
}
