//! A listener for salvo that closes on request, and the connections accepted on it.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use http::Version;
use http::uri::Scheme;
use lacewingmoor_bundle::Map;
use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, ConnCtrl, Holding};
use salvo::fuse::{ArcFusePolicy, FuseConfig};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::framing::Framing;

/// Time within which a connection has to send the head of its first or next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections of one listener.
#[derive(Default)]
pub struct Connections {
    close: Notify,
    closed: Notify,
    open: Mutex<Map<SocketAddr, Arc<Connection>>>,
    conflicts: AtomicUsize,
}

struct Connection {
    ctrl: ConnCtrl,
    silent: AtomicBool,
    conflict: AtomicBool,
}

impl Connections {
    /// Closes the listener, so that new connections are refused, and those open connections on
    /// which nothing was ever read. salvo ends all others once they have no request. Returns when
    /// the listener is closed; salvo must not be stopped earlier, or it would not poll the acceptor
    /// again and keep the listener open.
    pub async fn close(&self) {
        self.close.notify_one();
        self.closed.notified().await;
        for connection in self.lock().values() {
            if connection.silent.load(Ordering::Relaxed) {
                connection.ctrl.abort();
            }
        }
    }

    /// True if a request head with conflicting lengths was read from the caller's connection.
    pub fn conflicting(&self, caller: Option<SocketAddr>) -> bool {
        self.conflicts.load(Ordering::Acquire) > 0
            && caller
                .and_then(|addr| self.lock().get(&addr).cloned())
                .is_some_and(|c| c.conflict.load(Ordering::Acquire))
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections until it is closed. salvo keeps its acceptor until the last connection is
/// done, which would leave new callers waiting in the backlog during a graceful shutdown.
pub struct ClosingAcceptor {
    listener: Option<TcpListener>,
    holdings: Vec<Holding>,
    connections: Arc<Connections>,
}

impl ClosingAcceptor {
    /// Wraps a listener whose connections are registered in `connections`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no local address.
    pub fn new(listener: TcpListener, connections: Arc<Connections>) -> io::Result<Self> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11, Version::HTTP_2],
            http_scheme: Scheme::HTTP,
        };
        Ok(Self {
            listener: Some(listener),
            holdings: vec![holding],
            connections,
        })
    }

    fn accepted(
        &self,
        stream: TcpStream,
        addr: SocketAddr,
    ) -> io::Result<Accepted<TcpCoupler<CallerStream>, CallerStream>> {
        // Without this, small frames wait for the caller's delayed acknowledgements.
        stream.set_nodelay(true)?;
        let ctrl = ConnCtrl::new();
        let connection = Arc::new(Connection {
            ctrl: ctrl.clone(),
            silent: AtomicBool::new(true),
            conflict: AtomicBool::new(false),
        });
        self.connections.lock().insert(addr, connection.clone());
        Ok(Accepted {
            coupler: TcpCoupler::default(),
            stream: CallerStream {
                stream,
                addr,
                framing: Framing::default(),
                connection,
                connections: self.connections.clone(),
            },
            fuse_config: Some(FuseConfig::disabled().with_http1_header_timeout(HEAD_TIMEOUT)),
            conn_ctrl: ctrl,
            local_addr: self.holdings[0].local_addr.clone(),
            remote_addr: addr.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}

impl Acceptor for ClosingAcceptor {
    type Coupler = TcpCoupler<CallerStream>;
    type Stream = CallerStream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(listener) = &self.listener {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, addr) = accepted?;
                    return self.accepted(stream, addr);
                }
                () = self.connections.close.notified() => {}
            }
            self.listener = None;
            self.connections.closed.notify_one();
        }
        std::future::pending().await
    }
}

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    addr: SocketAddr,
    framing: Framing,
    connection: Arc<Connection>,
    connections: Arc<Connections>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.connection.conflict.load(Ordering::Relaxed) {
            self.connections.conflicts.fetch_sub(1, Ordering::Relaxed);
        }
        let mut open = self.connections.lock();
        // The address may have been taken by a newer connection already.
        if open
            .get(&self.addr)
            .is_some_and(|c| Arc::ptr_eq(c, &self.connection))
        {
            open.remove(&self.addr);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            let this = &mut *self;
            this.connection.silent.store(false, Ordering::Relaxed);
            if this.framing.read(read) && !this.connection.conflict.swap(true, Ordering::AcqRel) {
                this.connections.conflicts.fetch_add(1, Ordering::AcqRel);
            }
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
