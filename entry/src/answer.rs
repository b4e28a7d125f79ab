//! Answers to callers: bodies of targets passed on, and answers made by the entry itself.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use lacewingmoor_control::{Attempt, Event, Fate, Outcome, Reason, Refusal, RequestId};
use salvo::http::ResBody;

use crate::caller::Shared;
use crate::head::{OUTCOME, REASON, REQUEST};
use crate::target::Conn;

/// Status, header fields and body for the caller.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResBody,
}

/// Body of a target's answer on its way to the caller.
///
/// An error of the target's connection is passed on as an error, so that the server breaks the
/// caller's connection instead of ending a short answer well-formed.
pub struct TargetBody {
    incoming: Incoming,
    conn: Option<Conn>,
    exchange: Exchange,
}

/// Reports the end of an answer that is passed on.
pub struct Exchange {
    /// State shared by all requests.
    pub shared: Arc<Shared>,
    /// The request.
    pub request: RequestId,
    /// The attempt whose answer is passed on.
    pub attempt: Attempt,
}

impl Exchange {
    fn end(&self, outcome: Outcome) {
        let metrics = &self.shared.metrics;
        match outcome {
            Outcome::Complete => metrics.complete.increment(1),
            Outcome::Cut => metrics.cut.increment(1),
            _ => metrics.caller_gone.increment(1),
        }
        metrics.in_flight.decrement(1.0);
        let control = &self.shared.control;
        control.send(Event::Ended {
            request: self.request,
            attempt: self.attempt,
            outcome,
        });
        if outcome == Outcome::Cancelled {
            control.send(Event::CallerGone {
                request: self.request,
            });
        }
        control.finish(self.request);
    }
}

impl TargetBody {
    /// Passes on `incoming`, which is read from `conn`.
    pub fn new(incoming: Incoming, conn: Conn, exchange: Exchange) -> Self {
        let mut body = Self {
            incoming,
            conn: Some(conn),
            exchange,
        };
        if body.incoming.is_end_stream() {
            body.complete();
        }
        body
    }

    fn complete(&mut self) {
        if let Some(conn) = self.conn.take() {
            self.exchange.shared.pool.put_back(conn);
            self.exchange.end(Outcome::Complete);
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = salvo::BoxedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, salvo::BoxedError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
                return Poll::Pending;
            };
            return Poll::Ready(match frame {
                Some(Ok(frame)) if frame.is_data() => {
                    // The server does not poll again after the last byte of a known length.
                    if self.incoming.is_end_stream() {
                        self.complete();
                    }
                    Some(Ok(frame))
                }
                // Trailers concern the target's connection only.
                Some(Ok(_)) => continue,
                Some(Err(error)) => {
                    if self.conn.take().is_some() {
                        self.exchange.end(Outcome::Cut);
                    }
                    Some(Err(error.into()))
                }
                None => {
                    self.complete();
                    None
                }
            });
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for TargetBody {
    fn drop(&mut self) {
        if self.conn.take().is_some() {
            self.exchange.end(Outcome::Cancelled);
        }
    }
}

/// Returns the name of a fate as callers see it.
pub fn fate_name(fate: Fate) -> &'static str {
    match fate {
        Fate::NotRun => "not-run",
        Fate::Unknown => "unknown",
    }
}

/// Returns the status and the name of a reason as callers see it.
pub fn reason_name(reason: Reason) -> (StatusCode, &'static str) {
    match reason {
        Reason::NoBundle => (StatusCode::SERVICE_UNAVAILABLE, "no-bundle"),
        Reason::NoRoute => (StatusCode::NOT_FOUND, "no-route"),
        Reason::UnknownTenant => (StatusCode::FORBIDDEN, "unknown-tenant"),
        Reason::WrongRegion => (StatusCode::MISDIRECTED_REQUEST, "wrong-region"),
        Reason::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
        Reason::QueueFull => (StatusCode::SERVICE_UNAVAILABLE, "queue-full"),
        Reason::Deadline => (StatusCode::SERVICE_UNAVAILABLE, "deadline"),
        Reason::NoTarget => (StatusCode::SERVICE_UNAVAILABLE, "no-target"),
        Reason::Isolated => (StatusCode::SERVICE_UNAVAILABLE, "isolated"),
        Reason::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        Reason::ConnectFailed => (StatusCode::BAD_GATEWAY, "connect-failed"),
        Reason::Shed => (StatusCode::SERVICE_UNAVAILABLE, "shed"),
        Reason::Broken => (StatusCode::BAD_GATEWAY, "broken"),
        Reason::Timeout => (StatusCode::GATEWAY_TIMEOUT, "timeout"),
    }
}

/// Makes the answer to a refused request.
pub fn refusal(refusal: &Refusal) -> Answer {
    let (status, reason) = reason_name(refusal.reason);
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE)
        .then_some(refusal.retry_after.unwrap_or_default());
    own(status, refusal.fate, reason, refusal.request, retry_after)
}

/// Makes an answer of the entry itself.
pub fn own(
    status: StatusCode,
    fate: Fate,
    reason: &'static str,
    request: RequestId,
    retry_after: Option<Duration>,
) -> Answer {
    let outcome = fate_name(fate);
    crate::metrics::own_answer(outcome, reason);
    let mut headers = HeaderMap::with_capacity(6);
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    headers.insert(REASON, HeaderValue::from_static(reason));
    headers.insert(REQUEST, HeaderValue::from(request));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(after) = retry_after {
        // The field has a resolution of one second, and zero would invite a busy loop.
        let seconds = after.as_millis().div_ceil(1000).max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
    }
    Answer {
        status,
        headers,
        body: ResBody::Once(Bytes::from(format!("{outcome}: {reason}\n"))),
    }
}
