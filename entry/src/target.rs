//! Connections to targets.
//!
//! The entry has to know for certain whether a byte of a request was written, and must check the
//! expiry of a credit right before the first byte. Pooled clients hide both, so connections are
//! driven by hyper's connection API and kept in a pool of their own. Nothing is redirected,
//! retried, proxied or decompressed here.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use lacewingmoor_bundle::Map;
use metrics::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::body::AttemptBody;

/// Time to wait for a connection. Ten times the round trip between the farthest regions.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an unused connection is closed. Shorter than the keep-alive time of common
/// servers, so that the entry closes first and does not write to a connection that is closing.
pub const IDLE_MAX: Duration = Duration::from_secs(4);

/// Longest head of a target's answer.
const ANSWER_HEAD_BYTES_MAX: usize = 64 * 1024;

/// Watches the writes of the request that a connection carries.
pub struct Gate {
    start: Instant,
    not_after_ns: AtomicU64,
    written: AtomicBool,
    expired: AtomicBool,
}

impl Gate {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            not_after_ns: AtomicU64::new(0),
            written: AtomicBool::new(false),
            expired: AtomicBool::new(false),
        }
    }

    fn arm(&self, not_after: Instant) {
        let left = not_after.saturating_duration_since(self.start);
        let ns = u64::try_from(left.as_nanos()).unwrap_or(u64::MAX);
        self.not_after_ns.store(ns, Ordering::Relaxed);
        self.written.store(false, Ordering::Release);
    }

    /// True if a byte of the current request was written.
    pub fn written(&self) -> bool {
        self.written.load(Ordering::Acquire)
    }

    /// True if the first write was refused because the dispatch had expired.
    pub fn expired(&self) -> bool {
        self.expired.load(Ordering::Acquire)
    }

    fn before_write(&self) -> io::Result<()> {
        if self.written() {
            return Ok(());
        }
        let now_ns = self.start.elapsed().as_nanos();
        if now_ns > u128::from(self.not_after_ns.load(Ordering::Relaxed)) {
            self.expired.store(true, Ordering::Release);
            return Err(io::Error::new(io::ErrorKind::TimedOut, "dispatch expired"));
        }
        Ok(())
    }

    fn after_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(n)) if *n > 0) {
            self.written.store(true, Ordering::Release);
        }
    }
}

struct GatedStream {
    stream: TcpStream,
    gate: Arc<Gate>,
    open: Arc<AtomicU32>,
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.before_write()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.gate.after_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.before_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.gate.after_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection in use by one attempt. Dropping it closes the connection.
pub struct Conn {
    /// Sends requests.
    pub sender: SendRequest<AttemptBody>,
    /// Watches writes.
    pub gate: Arc<Gate>,
    addr: SocketAddr,
    task: AbortOnDrop,
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

#[derive(Default)]
struct PerTarget {
    open: Arc<AtomicU32>,
    idle: Vec<Idle>,
}

/// Connections to all targets.
pub struct Pool {
    targets: Mutex<Map<SocketAddr, PerTarget>>,
    connects: Counter,
}

impl Pool {
    /// Creates an empty pool that counts opened connections in `connects`.
    pub fn new(connects: Counter) -> Self {
        Self {
            targets: Mutex::default(),
            connects,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, PerTarget>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection that is ready for a request, whose first byte may not be written
    /// after `not_after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the target does not accept a connection in time, or if
    /// `connections_max` are open. No byte was written then.
    pub async fn checkout(
        &self,
        addr: SocketAddr,
        connections_max: u32,
        not_after: Instant,
    ) -> io::Result<Conn> {
        let (idle, open) = {
            let mut targets = self.lock();
            let target = targets.entry(addr).or_default();
            let idle = std::iter::from_fn(|| target.idle.pop()).find(Idle::usable);
            if idle.is_none() && target.open.fetch_add(1, Ordering::Relaxed) >= connections_max {
                target.open.fetch_sub(1, Ordering::Relaxed);
                return Err(io::Error::other("connection limit reached"));
            }
            (idle, target.open.clone())
        };
        let conn = match idle {
            Some(idle) => idle.conn,
            None => self.connect(addr, open).await?,
        };
        conn.gate.arm(not_after);
        Ok(conn)
    }

    /// Opens a connection that is already counted in `open`.
    async fn connect(&self, addr: SocketAddr, open: Arc<AtomicU32>) -> io::Result<Conn> {
        struct Counted(Option<Arc<AtomicU32>>);
        impl Drop for Counted {
            fn drop(&mut self) {
                if let Some(open) = &self.0 {
                    open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
        let mut counted = Counted(Some(open.clone()));
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        self.connects.increment(1);
        counted.0 = None;
        let gate = Arc::new(Gate::new());
        let io = TokioIo::new(GatedStream {
            stream,
            gate: gate.clone(),
            open,
        });
        let (sender, connection) = Builder::new()
            .max_buf_size(ANSWER_HEAD_BYTES_MAX)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors reach the attempt that uses the connection.
            let _ = connection.await;
        });
        Ok(Conn {
            sender,
            gate,
            addr,
            task: AbortOnDrop(task.abort_handle()),
        })
    }

    /// Takes a connection back after a whole answer was read from it.
    pub fn put_back(self: &Arc<Self>, mut conn: Conn) {
        if conn.sender.is_ready() {
            self.push(conn);
        } else if !conn.sender.is_closed() {
            // The connection task has yet to see the end of the exchange. A target may also
            // answer before it has read the whole request.
            let pool = self.clone();
            tokio::spawn(async move {
                if let Ok(Ok(())) = tokio::time::timeout(IDLE_MAX, conn.sender.ready()).await {
                    pool.push(conn);
                }
            });
        }
    }

    fn push(&self, conn: Conn) {
        let mut targets = self.lock();
        let target = targets.entry(conn.addr).or_default();
        target.idle.push(Idle {
            conn,
            since: Instant::now(),
        });
    }

    /// Closes connections that were unused for too long.
    pub fn sweep(&self) {
        self.lock().retain(|_, target| {
            target.idle.retain(Idle::usable);
            target.open.load(Ordering::Relaxed) > 0
        });
    }
}

impl Idle {
    fn usable(&self) -> bool {
        !self.conn.task.0.is_finished()
            && !self.conn.sender.is_closed()
            && self.since.elapsed() < IDLE_MAX
    }
}
