//! State of a caller's connection: idle, reading a request head, or serving a request.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::Version;
use hyper::body::{Body, Frame, SizeHint};
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::shutdown::Phase;
use lacewingmoor_derive::copy_value;
use slog::{info, warn};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::response::{BodyError, ResponseBody};
use crate::shared_state::SharedState;

/// Idle timeout while no bundle is active.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// Idle timeout once a shutdown accepts no more connections. Covers a request that a caller sent on the
/// connection right before.
const IDLE_TIMEOUT_AT_END: Duration = Duration::from_millis(200);

/// Shortest interval of checks whether a connection that is in use has become idle.
const IDLE_CHECK_INTERVAL_MIN: Duration = Duration::from_millis(10);

/// Timeout for reading a request head while no bundle is active.
const HEAD_TIMEOUT_DEFAULT: Duration = Duration::from_secs(5);

#[copy_value]
enum Stage {
    /// No request has been in progress since this time.
    Idle(Timestamp),
    /// A part of a request head has arrived.
    ReadingHead,
    /// A request is being served, until hyper has taken the last bytes of its response.
    Serving,
}

/// State of one connection, shared by its stream, its requests and its idle timer.
pub struct ConnectionState {
    stage: Cell<Stage>,
    /// True until the first request head has been read.
    is_new: Cell<bool>,
    /// True once the idle timeout has expired.
    is_closing: Cell<bool>,
    /// True while the socket takes no more bytes of a response.
    is_write_blocked: Cell<bool>,
    /// True while a response is incomplete whose end the caller knows by the end of the connection.
    is_end_awaited: Cell<bool>,
    shared: Rc<SharedState>,
}

impl ConnectionState {
    /// Returns the state of a new connection, which is idle.
    pub fn new(shared: Rc<SharedState>) -> Rc<Self> {
        let stage = Cell::new(Stage::Idle(shared.now()));
        Rc::new(Self {
            stage,
            is_new: Cell::new(true),
            is_closing: Cell::new(false),
            is_write_blocked: Cell::new(false),
            is_end_awaited: Cell::new(false),
            shared,
        })
    }

    /// Records that a complete request head has been read.
    pub fn begin_request(&self) {
        self.is_new.set(false);
        self.stage.set(Stage::Serving);
    }

    /// Returns how much longer the connection may stay idle; the whole timeout while a request is
    /// in progress, so that the idle timer in `caller::serve` checks again after it. A new connection has at
    /// least the time for a request head, since it need not be idle: its first request is on its way.
    pub fn idle_remaining(&self) -> Duration {
        let timeout = match self.shared.phase() {
            Phase::Running | Phase::Leaving => {
                let bundle = self.shared.bundle();
                let timeout = bundle.map_or(IDLE_TIMEOUT_DEFAULT, |b| b.limits.idle_timeout);
                match self.is_new.get() {
                    true => timeout.max(self.head_timeout()),
                    false => timeout,
                }
            }
            Phase::Finishing | Phase::Responding | Phase::Ended => IDLE_TIMEOUT_AT_END,
        };
        match self.stage.get() {
            Stage::Idle(idle_since) => (idle_since + timeout).saturating_sub(self.shared.now()),
            Stage::ReadingHead | Stage::Serving => timeout.max(IDLE_CHECK_INTERVAL_MIN),
        }
    }

    /// Closes the connection unless a request arrives first, which is served before.
    pub fn close_if_idle(&self) {
        self.is_closing.set(true);
    }

    /// Returns true if the connection is to be closed after the response to a request that it is
    /// serving, if any.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get() || self.shared.phase() != Phase::Running
    }

    /// Returns true if the connection can be closed without losing a request or a part of a response.
    fn can_close(&self, stream: &TcpStream) -> bool {
        let is_idle = matches!(self.stage.get(), Stage::Idle(_));
        let may_close = self.is_closing.get() && is_idle && !self.is_write_blocked.get();
        may_close && !has_unread_bytes(stream)
    }

    fn head_timeout(&self) -> Duration {
        let bundle = self.shared.bundle();
        bundle.map_or(HEAD_TIMEOUT_DEFAULT, |b| b.limits.head_timeout)
    }
}

/// Returns true if the kernel has received bytes that have not been read. The runtime may not have been
/// told of them yet.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Ok(1))
}

/// Response body that marks its connection as idle when it is dropped, normally once hyper has taken
/// its last bytes.
pub struct TrackedBody {
    body: ResponseBody,
    state: Rc<ConnectionState>,
}

impl TrackedBody {
    /// Wraps the response body of a request of this version on the connection of `state`.
    pub fn new(body: ResponseBody, version: Version, state: Rc<ConnectionState>) -> Self {
        // There are no chunks before HTTP/1.1.
        let is_end_awaited = version < Version::HTTP_11 && !body.is_end_stream();
        state.is_end_awaited.set(is_end_awaited);
        Self { body, state }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let now = self.state.shared.now();
        self.state.stage.set(Stage::Idle(now));
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if frame.is_none() || this.body.is_end_stream() {
            this.state.is_end_awaited.set(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a caller on which reads fail if a request head takes too long, and which ends if the
/// connection is idle and to be closed.
///
/// Load pattern: callers that send a request head byte by byte, and so occupy connections and their
/// buffers; callers whose request is on its way while a shutdown closes idle connections. hyper's own
/// graceful shutdown closes a connection whose next request head is not complete.
pub struct CallerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Limits the time for reading each request head that arrives on `stream`.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self {
            stream,
            state,
            head_timer: None,
        }
    }

    /// Returns `Ready` with an error once the request head that is being read has timed out.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.state.stage.get() != Stage::ReadingHead {
            self.head_timer = None;
            return Poll::Pending;
        }
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(self.state.head_timeout())));
        ready!(timer.as_mut().poll(cx));
        info!(self.state.shared.log, "head_timeout");
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.state.is_end_awaited.get()
            // Closing then resets the connection.
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            warn!(self.state.shared.log, "reset_failed"; "cause" => %error);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buf.filled().len();
        if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buf) {
            let has_read = buf.filled().len() > filled_before;
            if has_read && matches!(this.state.stage.get(), Stage::Idle(_)) {
                this.state.stage.set(Stage::ReadingHead);
                this.head_timer = None;
            }
            return Poll::Ready(read);
        }
        if this.state.can_close(&this.stream) {
            return Poll::Ready(Ok(()));
        }
        this.poll_head_timeout(cx).map(Err)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.state.is_write_blocked.set(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.state.is_end_awaited.get() {
            // An orderly end would make the response look complete.
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut this.stream).poll_shutdown(cx),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.state.is_write_blocked.set(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
