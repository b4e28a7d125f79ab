//! Checks responses of targets and of the store for what HTTP does not allow, beyond the checks of hyper.

use std::cell::Cell;
use std::fmt::Write as _;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Request, StatusCode};
use lacewingmoor_derive::copy_value;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum number of interim responses (100 to 199) before a response. Servers send one or two.
const INTERIM_RESPONSES_MAX: u32 = 16;

/// Bytes of an invalid status line that are logged: the version, the status and the start of the reason.
const START_BYTES: usize = 24;

/// Returns true if a response may have the status. The `http` crate accepts 100 to 999; an interim status
/// is none of a response.
pub fn is_valid(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns true if the fields of a response announce a body.
pub fn announces_body(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH);
    headers.contains_key(TRANSFER_ENCODING) || length.is_some_and(|length| length != "0")
}

/// Counts the interim responses to one request.
///
/// Fault: a target in trouble sends interim responses without end. hyper reads them all, so the target
/// counts as one that does not respond, and uses CPU time until the request ends.
pub struct InterimResponses(Arc<Notify>);

impl InterimResponses {
    /// Counts the interim responses to `request`.
    pub fn count<B>(request: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let notify = exceeded.clone();
        let count = AtomicU32::new(0);
        hyper::ext::on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == INTERIM_RESPONSES_MAX {
                notify.notify_one();
            }
        });
        Self(exceeded)
    }

    /// Waits until there are too many.
    pub async fn exceeded(&self) {
        self.0.notified().await;
    }
}

/// Start of the bytes that were read last from a connection.
#[copy_value]
#[derive(Default)]
struct Start {
    bytes: [u8; START_BYTES],
    length: usize,
}

/// Record of the start of the bytes that were read last from a connection, which hyper does not name in its
/// errors.
#[derive(Clone, Default)]
pub struct LastRead(Rc<Cell<Start>>);

impl LastRead {
    fn record(&self, read: &[u8]) {
        let length = read.len().min(START_BYTES);
        let mut start = Start {
            length,
            ..Start::default()
        };
        start.bytes[..length].copy_from_slice(&read[..length]);
        self.0.set(start);
    }

    /// Returns the first line of what was read last, at most 24 bytes, with escapes for bytes that are not
    /// printable.
    pub fn line(&self) -> String {
        let start = self.0.get();
        let bytes = &start.bytes[..start.length];
        let line = bytes.split(|byte| b"\r\n".contains(byte)).next();
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = write!(text, "{}", line.unwrap_or_default().escape_ascii());
        text
    }
}

/// Stream of a connection whose reads are recorded.
pub struct RecordedStream {
    stream: TcpStream,
    last_read: LastRead,
}

impl RecordedStream {
    /// Records the reads from `stream` in `last_read`.
    pub fn new(stream: TcpStream, last_read: LastRead) -> Self {
        Self { stream, last_read }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        let bytes = &buf.filled()[filled_before..];
        if !bytes.is_empty() {
            this.last_read.record(bytes);
        }
        read
    }
}

impl AsyncWrite for RecordedStream {
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
