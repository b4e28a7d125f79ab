//! How far a caller's connection is: between requests, reading a head, or serving a request.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use lacewingmoor_control::Timestamp;
use lacewingmoor_derive::copy_value;
use slog::info;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::response::ResponseBody;
use crate::shared_state::SharedState;

/// Idle timeout before the first bundle is there.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// Time for a head before the first bundle is there.
const HEAD_TIMEOUT_DEFAULT: Duration = Duration::from_secs(5);

#[copy_value]
enum Step {
    /// Between requests since then.
    Idle(Timestamp),
    /// The first bytes of a head came, the last have not.
    Head,
    /// A request is served or its answer is written.
    Serving,
}

/// Progress of one connection, shared by its stream, its requests and its idle timer.
pub struct ConnectionState {
    step: Cell<Step>,
    shared: Rc<SharedState>,
}

impl ConnectionState {
    /// Starts with an idle connection.
    pub fn new(shared: Rc<SharedState>) -> Rc<Self> {
        let step = Cell::new(Step::Idle(shared.now()));
        Rc::new(Self { step, shared })
    }

    /// Notes that a whole head was read.
    pub fn begin_request(&self) {
        self.step.set(Step::Serving);
    }

    /// Returns how long the connection may stay idle from now on.
    pub fn idle_remaining(&self) -> Duration {
        let bundle = self.shared.bundle();
        let timeout = bundle.map_or(IDLE_TIMEOUT_DEFAULT, |b| b.limits.idle_timeout);
        match self.step.get() {
            Step::Idle(since) => (since + timeout).saturating_sub(self.shared.now()),
            Step::Head | Step::Serving => timeout,
        }
    }

    fn head_timeout(&self) -> Duration {
        let bundle = self.shared.bundle();
        bundle.map_or(HEAD_TIMEOUT_DEFAULT, |b| b.limits.head_timeout)
    }
}

/// Answer whose connection is idle again once it has been written.
pub struct TrackedBody {
    body: ResponseBody,
    progress: Rc<ConnectionState>,
}

impl TrackedBody {
    /// Tracks the answer of a request on the connection of `progress`.
    pub fn new(body: ResponseBody, progress: Rc<ConnectionState>) -> Self {
        Self { body, progress }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let now = self.progress.shared.now();
        self.progress.step.set(Step::Idle(now));
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a caller that fails if a head takes too long.
///
/// Load pattern: callers that send a head byte by byte and hold connections and their buffers.
pub struct CallerStream {
    stream: TcpStream,
    progress: Rc<ConnectionState>,
    head_ends: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Watches the heads that arrive on `stream`.
    pub fn new(stream: TcpStream, progress: Rc<ConnectionState>) -> Self {
        Self {
            stream,
            progress,
            head_ends: None,
        }
    }

    /// Returns ready once the head that is being read has taken too long.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.progress.step.get() != Step::Head {
            self.head_ends = None;
            return Poll::Pending;
        }
        let timer = self
            .head_ends
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(self.progress.head_timeout())));
        ready!(timer.as_mut().poll(cx));
        info!(self.progress.shared.log, "head_timeout");
        Poll::Ready(io::ErrorKind::TimedOut.into())
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
            if has_read && matches!(this.progress.step.get(), Step::Idle(_)) {
                this.progress.step.set(Step::Head);
                this.head_ends = None;
            }
            return Poll::Ready(read);
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
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
