//! Connections to targets and to the store, and the pool of those that are idle.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use lacewingmoor_control::Map;
use quick_error::quick_error;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time without acknowledgement after which the kernel gives a connection up.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(3);

/// Time after which an idle connection is closed. Targets commonly close theirs after 10 s.
const IDLE_MAX: Duration = Duration::from_secs(8);

/// Idle connections kept for one address.
const IDLE_PER_ADDR_MAX: usize = 3;

/// Idle connections kept for all addresses. Each takes about 12 KB, and in a burst the search on
/// behalf of waiting requests asks any target of a service.
const IDLE_TOTAL_MAX: usize = 128;

/// Read buffer of a connection. There are hundreds of idle ones, and answers stream through it.
const BUFFER_BYTES: usize = 4 * 1024;

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened.
        Connect(cause: std::io::Error) {
            display("connect: {cause}")
            source(cause)
        }
        /// The HTTP connection could not be set up.
        Handshake(cause: hyper::Error) {
            display("handshake: {cause}")
            source(cause)
        }
        /// The connection was lost before the request was written.
        NotWritten(cause: hyper::Error) {
            display("not written: {cause}")
            source(cause)
        }
        /// The connection was lost after the request may have been written.
        Lost(cause: hyper::Error) {
            display("lost: {cause}")
            source(cause)
        }
        /// The time allowed passed.
        Timeout {
            display("timed out")
        }
    }
}

impl Error {
    /// Returns true if no byte of the request was written.
    pub fn is_not_written(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::Handshake(_) | Self::NotWritten(_)
        )
    }
}

/// An open connection. Dropping it closes it, which cancels what the other end does for it.
pub struct Connection {
    /// Address of the other end.
    pub addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why it could not be opened within `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::Timeout)?
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
            .map_err(Error::Connect)?;
        let (sender, driver) = http1::Builder::new()
            .read_buf_exact_size(Some(BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Handshake)?;
        let task = tokio::task::spawn_local(async move {
            // The request that is lost with the connection reports the error.
            let _ = driver.await;
        });
        Ok(Self { addr, sender, task })
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Error> {
        let request = request.map(Full::new);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotWritten(error.into_error())),
                None => Err(Error::Lost(error.into_error())),
            },
        }
    }

    /// Returns true if another request can be sent.
    fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns true if the connection is closed for good.
    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Map<SocketAddr, VecDeque<Idle>>>,
}

impl Pool {
    /// Takes the idle connection that was used last.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop_back() {
            if entry.since.elapsed() < IDLE_MAX && entry.connection.is_usable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Returns why none could be opened.
    pub async fn get(&self, addr: SocketAddr, timeout: Duration) -> Result<Connection, Error> {
        match self.take(addr) {
            Some(connection) => Ok(connection),
            None => {
                metrics::counter!("lacewingmoor_connections_opened_total").increment(1);
                Connection::open(addr, timeout).await
            }
        }
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn put(&self, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.addr).or_default();
        if list.len() >= IDLE_PER_ADDR_MAX {
            list.pop_front();
        }
        list.push_back(Idle {
            connection,
            since: Instant::now(),
        });
        let total: usize = idle.values().map(VecDeque::len).sum();
        if total > IDLE_TOTAL_MAX {
            close_oldest(&mut idle);
        }
    }

    /// Returns the number of connections that are kept.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(VecDeque::len).sum()
    }

    /// Returns true if no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes connections that are idle for too long or closed by the other end.
    pub fn prune(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, list| {
            list.retain(|entry| entry.since.elapsed() < IDLE_MAX && !entry.connection.is_closed());
            !list.is_empty()
        });
    }
}

/// Closes the connection that has been idle for longest.
fn close_oldest(idle: &mut Map<SocketAddr, VecDeque<Idle>>) {
    let oldest = idle
        .values_mut()
        .filter(|list| !list.is_empty())
        .min_by_key(|list| list[0].since);
    if let Some(list) = oldest {
        list.pop_front();
    }
}
