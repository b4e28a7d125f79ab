//! Connections to targets and to the store, and the pool of idle connections.

use std::cell::{Cell, RefCell};
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
use lacewingmoor_control::message_bounds::{MessageBounds, MessageKind};
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::response_check::{InterimResponses, LastRead, RecordedStream, is_valid};

/// Time without a packet after which the kernel asks whether the other end is alive.
///
/// `TCP_USER_TIMEOUT` would also end connections whose other end is alive and does not read for a while: it
/// acknowledges all data and announces a window of zero. A request under way ends by its own deadline.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Interval of further questions, and how many stay unanswered before the connection is closed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which an idle connection is closed. Targets commonly close idle connections after
/// 10 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of idle connections per address.
const IDLE_PER_ADDR_MAX: usize = 3;

/// Maximum number of idle connections in total. Each takes about 12 KB, and in a burst any target of
/// a service may be probed for queued requests.
const IDLE_TOTAL_MAX: usize = 128;

/// Size of the read buffer of a connection, which also limits the head of a response. There are up to
/// `IDLE_TOTAL_MAX` idle connections, and responses are streamed through the buffer.
pub const READ_BUFFER_BYTES: usize = MessageBounds::of(MessageKind::Response).head_bytes;

quick_error! {
    /// Why a request got no response.
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
        /// The response has a status that HTTP does not allow.
        InvalidStatus(received: String) {
            display("invalid status: {received}")
        }
        /// There was no response after many interim ones.
        OnlyInterimResponses {
            display("too many interim responses")
        }
        /// The timeout expired.
        Timeout {
            display("timed out")
        }
    }
}

impl Error {
    /// Returns true if it is certain that no byte of the request was written; the other
    /// errors leave it open.
    pub fn is_not_written(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::Handshake(_) | Self::NotWritten(_)
        )
    }
}

/// An open connection. Dropping it closes it, which cancels the request that the remote end is
/// handling.
pub struct Connection {
    /// Address of the remote end.
    pub addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    last_read: LastRead,
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
    /// Returns why the connection could not be opened within `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::Timeout)?
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        SockRef::from(&stream)
            .set_tcp_keepalive(&keepalive)
            .map_err(Error::Connect)?;
        let last_read = LastRead::default();
        let stream = RecordedStream::new(stream, last_read.clone());
        let (sender, driver) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Handshake)?;
        let task = tokio::task::spawn_local(async move {
            // `send` reports the error to the request that is lost with the connection.
            let _ = driver.await;
        });
        Ok(Self {
            addr,
            sender,
            task,
            last_read,
        })
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns why there is no valid response. The connection must not be used again then.
    pub async fn send(&mut self, mut request: Request<Bytes>) -> Result<Response<Incoming>, Error> {
        let interim_responses = InterimResponses::count(&mut request);
        let request = request.map(Full::new);
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(request) => response,
            () = interim_responses.exceeded() => return Err(Error::OnlyInterimResponses),
        };
        let mut error = match response {
            Ok(response) if is_valid(response.status()) => return Ok(response),
            Ok(response) => {
                let status = response.status().as_u16();
                return Err(Error::InvalidStatus(status.to_string()));
            }
            Err(error) => error,
        };
        if error.take_message().is_some() {
            return Err(Error::NotWritten(error.into_error()));
        }
        let error = error.into_error();
        Err(match error.is_parse_status() {
            true => Error::InvalidStatus(self.last_read.line()),
            false => Error::Lost(error),
        })
    }

    /// Returns true if a request can be sent now.
    fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns true if the connection is permanently closed.
    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections by address.
pub struct Pool {
    idle: RefCell<Map<SocketAddr, VecDeque<IdleConnection>>>,
    idle_per_addr_max: Cell<usize>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
            idle_per_addr_max: Cell::new(IDLE_PER_ADDR_MAX),
        }
    }
}

impl Pool {
    /// Takes the most recently used idle connection.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        while let Some(pooled) = connections.pop_back() {
            if pooled.since.elapsed() < IDLE_TIMEOUT && pooled.connection.is_usable() {
                return Some(pooled.connection);
            }
        }
        None
    }

    /// Takes an idle connection, or opens a new one if there is none.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be opened.
    pub async fn get(&self, addr: SocketAddr, timeout: Duration) -> Result<Connection, Error> {
        match self.take(addr) {
            Some(connection) => Ok(connection),
            None => {
                metrics::counter!("lacewingmoor_connections_opened_total").increment(1);
                Connection::open(addr, timeout).await
            }
        }
    }

    /// Adds a connection whose last response has been read completely. Above a limit, the connection
    /// that has been idle for longest is closed.
    pub fn put(&self, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.addr).or_default();
        connections.push_back(IdleConnection {
            connection,
            since: Instant::now(),
        });
        self.close_surplus(connections);
        let total: usize = idle.values().map(VecDeque::len).sum();
        if total > IDLE_TOTAL_MAX {
            close_oldest(&mut idle);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes the connections of one address that have been idle for longest, above the maximum.
    fn close_surplus(&self, connections: &mut VecDeque<IdleConnection>) {
        let surplus = connections
            .len()
            .saturating_sub(self.idle_per_addr_max.get());
        connections.drain(..surplus);
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(VecDeque::len).sum()
    }

    /// Returns true if there are no idle connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets the maximum number of idle connections per address, up to [`IDLE_PER_ADDR_MAX`].
    pub fn set_idle_per_addr_max(&self, max: usize) {
        self.idle_per_addr_max.set(max.min(IDLE_PER_ADDR_MAX));
    }

    /// Closes connections that have been idle for too long and drops those that the remote end
    /// closed.
    pub fn prune(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|pooled| {
                pooled.since.elapsed() < IDLE_TIMEOUT && !pooled.connection.is_closed()
            });
            self.close_surplus(connections);
            !connections.is_empty()
        });
    }
}

/// Closes the connection that has been idle for longest, regardless of its address.
fn close_oldest(idle: &mut Map<SocketAddr, VecDeque<IdleConnection>>) {
    let oldest = idle
        .values_mut()
        .filter(|connections| !connections.is_empty())
        .min_by_key(|connections| connections[0].since);
    if let Some(connections) = oldest {
        connections.pop_front();
    }
}
