//! Answers to callers: those of targets, passed on, and the entry's own.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use slog::warn;

use crate::connection::Connection;
use crate::shared_state::SharedState;

/// Shortest time that a refused caller is asked to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Fields that concern one connection only (RFC 9110, section 7.6.1).
static HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Removes the fields that concern one connection only, including those named by `connection`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != http::header::CONTENT_LENGTH && *name != http::header::HOST)
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Body of an answer.
pub enum ResponseBody {
    /// Bytes that are there.
    Buffered(Option<Bytes>),
    /// Bytes that are there, followed by the rest from the target.
    Streamed(Streamed),
}

/// An answer that is passed on while it arrives.
pub struct Streamed {
    read: Option<Bytes>,
    rest: Incoming,
    connection: Option<Connection>,
    shared: Rc<SharedState>,
}

impl ResponseBody {
    /// Passes on what was read and what still comes over `connection`.
    pub fn streamed(
        shared: Rc<SharedState>,
        read: Bytes,
        rest: Incoming,
        connection: Connection,
    ) -> Self {
        Self::Streamed(Streamed {
            read: Some(read),
            rest,
            connection: Some(connection),
            shared,
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(streamed) => streamed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(streamed) => streamed.read.is_none() && streamed.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

impl Streamed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(read) = self.read.take() {
            return Poll::Ready(Some(Ok(Frame::data(read))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => {
                if let Some(connection) = self.connection.take() {
                    self.shared.pool.put(connection);
                }
            }
            Some(Err(error)) => {
                // The caller's connection breaks off, so that the answer does not look complete.
                warn!(self.shared.log, "answer_cut"; "cause" => %error);
                crate::metrics::record_request_end("cut");
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }
}

/// An answer that the entry makes itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalResponse {
    /// Status.
    pub status: StatusCode,
    /// Why, for the log and the body.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// The request has not run and will not; the caller may come back after `retry_after`.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after.max(RETRY_AFTER_MIN)),
        }
    }

    /// It is not known whether the request has run.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The request is not acceptable.
    pub fn invalid(status: StatusCode, reason: &'static str) -> Self {
        Self::unknown(status, reason)
    }

    /// Returns true if a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        matches!(
            self.status,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        )
    }

    /// Builds the answer.
    pub fn into_response(self) -> Response<ResponseBody> {
        let body = Bytes::from_static(self.reason.as_bytes());
        let mut response = Response::new(ResponseBody::Buffered(Some(body)));
        *response.status_mut() = self.status;
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
