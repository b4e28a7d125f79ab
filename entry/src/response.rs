//! Responses to callers: those forwarded from targets and those that the entry generates itself.

use std::future::Future as _;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use lacewingmoor_control::Timestamp;
use quick_error::quick_error;
use slog::warn;
use tokio::time::{Instant, Sleep};

use crate::connection::Connection;
use crate::rollout::VersionInFlight;
use crate::shared_state::SharedState;

/// Shortest retry-after of a refused request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Time for which a caller takes no bytes of a body after which it counts as not reading. Shorter pauses
/// may come from this process.
const CALLER_STALL_MIN: Duration = Duration::from_millis(100);

/// Hop-by-hop fields, which apply to a single connection: those that RFC 9110, section 7.6.1, or
/// RFC 2616, section 13.5.1, lists.
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

/// Removes hop-by-hop fields, including those listed in the `connection` field.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != http::header::CONTENT_LENGTH && *name != http::header::HOST)
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

quick_error! {
    /// Why a response was cut off.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection to the target failed, or its bytes are no valid body.
        Target(cause: hyper::Error) {
            display("target: {cause}")
            source(cause)
            from()
        }
        /// The body did not end by the deadline of its request.
        Timeout {
            display("body has not ended by the timeout of its route or caller")
        }
    }
}

/// Body of a response to a caller.
pub enum ResponseBody {
    /// Complete body; `None` once it has been sent.
    Buffered(Option<Bytes>),
    /// Buffered start of the body, followed by the rest as it arrives from the target.
    Streamed(StreamedBody),
}

/// A body that is forwarded while it arrives.
pub struct StreamedBody {
    buffered: Option<Bytes>,
    rest: Incoming,
    /// Connection, and the count of the request as in flight at its version.
    connection: Option<(Connection, VersionInFlight)>,
    /// Elapses when the body is cut off.
    timeout: Pin<Box<Sleep>>,
    /// When the body is cut off even if the caller does not read.
    latest_end: Instant,
    /// When the last bytes were handed over, if no more have been asked for since.
    handed_over_at: Option<Instant>,
    shared: Rc<SharedState>,
}

impl ResponseBody {
    /// Forwards the `buffered` start and then the `rest` from `connection`, which goes back to the
    /// pool at the end of the body. The body is cut off at `ends_by`; time in which the caller does not
    /// read is added, up to `latest_end`.
    ///
    /// Fault: a target sends bytes without end, and the caller does not close its connection.
    pub fn streamed(
        shared: Rc<SharedState>,
        buffered: Bytes,
        rest: Incoming,
        connection: (Connection, VersionInFlight),
        ends_by: Timestamp,
        latest_end: Timestamp,
    ) -> Self {
        Self::Streamed(StreamedBody {
            buffered: Some(buffered),
            rest,
            connection: Some(connection),
            timeout: Box::pin(tokio::time::sleep_until(shared.instant(ends_by))),
            latest_end: shared.instant(latest_end),
            handed_over_at: None,
            shared,
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(body) => body.buffered.is_none() && body.rest.is_end_stream(),
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

impl StreamedBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            self.handed_over_at = Some(Instant::now());
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        self.add_caller_stall();
        let frame = match self.timeout.as_mut().poll(cx).is_ready() {
            true => Some(Err(BodyError::Timeout)),
            false => ready!(Pin::new(&mut self.rest).poll_frame(cx))
                .map(|frame| frame.map_err(BodyError::from)),
        };
        match &frame {
            None => {
                if let Some((connection, _)) = self.connection.take() {
                    self.shared.pool.put(connection);
                }
            }
            Some(Err(error)) => {
                // The error closes the caller's connection, so that the response does not look
                // complete.
                warn!(self.shared.log, "answer_cut"; "cause" => %error);
                crate::metrics::record_request_end("cut");
            }
            Some(Ok(_)) => self.handed_over_at = Some(Instant::now()),
        }
        Poll::Ready(frame)
    }

    /// Moves the timeout by the time in which the caller did not read: it is no time that the target
    /// took.
    fn add_caller_stall(&mut self) {
        let Some(handed_over_at) = self.handed_over_at.take() else {
            return;
        };
        let stall = handed_over_at.elapsed();
        if stall >= CALLER_STALL_MIN {
            let ends_at = (self.timeout.deadline() + stall).min(self.latest_end);
            self.timeout.as_mut().reset(ends_at);
        }
    }
}

/// A response that the entry generates itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalResponse {
    /// Status code.
    pub status: StatusCode,
    /// Reason for the log and the body.
    pub reason: &'static str,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// The request was not run and will not be; the caller may retry after `retry_after`.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after.max(RETRY_AFTER_MIN)),
        }
    }

    /// The request is above a rate limit and was not run; the caller may retry after `retry_after`.
    pub fn limited(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Self::not_run(reason, retry_after)
        }
    }

    /// It is unknown whether the request was run; `status` is 502 or 504.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The request is invalid and was not run. `status` is neither 502 nor 504, which
    /// [`Self::may_have_run`] takes for an unknown outcome.
    pub fn invalid(status: StatusCode, reason: &'static str) -> Self {
        // Only the status differs from a response with unknown outcome.
        Self::unknown(status, reason)
    }

    /// Returns true if a target may have run the request. Derived from the status: 502 and 504 are
    /// used only if one may have, the others only if none has.
    pub fn may_have_run(&self) -> bool {
        matches!(
            self.status,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        )
    }

    /// Builds the HTTP response, with the reason as its body.
    pub fn into_response(self) -> Response<ResponseBody> {
        let body = Bytes::from_static(self.reason.as_bytes());
        let mut response = Response::new(ResponseBody::Buffered(Some(body)));
        *response.status_mut() = self.status;
        if let Some(retry_after) = self.retry_after {
            // A fraction of seconds, although RFC 9110 has whole seconds: retries may be due after
            // `RETRY_AFTER_MIN`.
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
