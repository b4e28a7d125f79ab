//! An attempt at a target: sends the request and reads the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{Request, Response, StatusCode, Version, response};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use lacewingmoor_bundle::Repeat;
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::attempt::Outcome;
use lacewingmoor_control::authorization::KeyUse;
use lacewingmoor_control::message_bounds::{MessageBounds, MessageKind};
use lacewingmoor_control::model::{Target, TargetId};
use lacewingmoor_control::rate_limit::ResponseKind;
use lacewingmoor_control::rollout::results::AttemptResult;
use lacewingmoor_control::selection::Estimate;
use lacewingmoor_control::silence::UnansweredAttempt;
use slog::info;

use crate::connection::{Connection, READ_BUFFER_BYTES};
use crate::request_deadline::RequestDeadline;
use crate::response::{ResponseBody, remove_hop_by_hop};
use crate::response_check::announces_body;
use crate::rollout::{PendingResult, VersionInFlight};
use crate::shared_state::SharedState;
use crate::target_limit;
use crate::target_notice;
use crate::target_search::{self, Candidate};

/// Response bytes that are buffered before the head is forwarded. A response that breaks off within
/// them can still be replaced by that of another target.
const READ_AHEAD_BYTES: usize = MessageBounds::of(MessageKind::Response).body_bytes;

/// Duration below which an attempt that failed at the hard deadline does not count as a failure of
/// the target.
const SHORT_ATTEMPT: Duration = Duration::from_millis(500);

/// Time after the caller's timeout at which a body that the caller does not read is cut off. A caller
/// closes its connection before.
const BODY_CUT_DELAY: Duration = Duration::from_secs(1);

/// Longest time for which the body of a rejection is read, so that its connection can be reused.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(400);

/// Length of a rejection's body above which its connection is closed.
const REJECTION_BYTES_MAX: usize = MessageBounds::of(MessageKind::Rejection).body_bytes;

/// Weight of the newest response in `ServiceState::response_bytes`.
const RESPONSE_SIZE_SMOOTHING: f64 = 0.1;

/// Why an attempt failed.
#[derive(Debug)]
pub struct AttemptError {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Cause for the log.
    pub cause: String,
    /// Failure response of the target, which is forwarded if the request is not retried.
    pub response: Option<Box<(response::Parts, Bytes)>>,
}

impl AttemptError {
    fn new(outcome: Outcome, cause: impl Into<String>) -> Self {
        Self {
            outcome,
            cause: cause.into(),
            response: None,
        }
    }
}

/// A request as it is sent to targets.
pub struct OutboundRequest<'a> {
    /// Head of the caller's request as prepared by `prepare_for_target`.
    pub head: &'a Parts,
    /// Complete body.
    pub body: &'a Bytes,
    /// Request id, if the caller sent one; a response with a different id belongs to another
    /// request.
    pub request_id: Option<&'a str>,
    /// Name of the service that handles the request.
    pub service: &'a str,
    /// Name of the route of the request.
    pub route: &'a str,
    /// Whether the request may be run more than once.
    pub repeat: Repeat,
    /// When the request must have its response.
    pub deadline: &'a RequestDeadline,
    /// Time at which the caller's timeout expires.
    pub caller_deadline: Timestamp,
}

/// Counts a request as in flight at a target until dropped.
struct AttemptInFlight<'a> {
    shared: &'a SharedState,
    id: TargetId,
}

impl<'a> AttemptInFlight<'a> {
    fn new(shared: &'a SharedState, id: TargetId) -> Self {
        shared.with_target_stats(&id, |stats| stats.in_flight += 1);
        Self { shared, id }
    }
}

impl Drop for AttemptInFlight<'_> {
    fn drop(&mut self) {
        self.shared.with_target_stats(&self.id, |stats| {
            stats.in_flight = stats.in_flight.saturating_sub(1)
        });
    }
}

impl OutboundRequest<'_> {
    /// Sends the request to the candidate and returns the response to forward.
    ///
    /// # Errors
    ///
    /// Returns how and why the attempt failed.
    pub async fn send(
        &self,
        shared: &Rc<SharedState>,
        candidate: Candidate,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let target = candidate.target;
        let mut connection = candidate.connection;
        let _in_flight = AttemptInFlight::new(shared, target.id.clone());
        let version_in_flight = VersionInFlight::new(shared, &target);
        let expected = candidate.estimate.expected_latency;
        let mut pending_result = PendingResult::new(shared, &target, self.route, expected);
        let sent_at = shared.now();
        let remaining = self.deadline.at().saturating_sub(sent_at);
        let request = self.build_request(shared, remaining, &target.id);
        shared.metrics.attempts.increment(1);
        if shared.with_target_stats(&target.id, |stats| stats.limit.get().is_some()) {
            shared.metrics.limited_attempts.increment(1);
        }
        let response =
            tokio::time::timeout_at(shared.instant(self.deadline.at()), connection.send(request));
        let result = match response.await {
            Err(_) => {
                // Under overload, late requests have little time left, and targets would be ejected for it.
                if !self.is_cut_short(shared, sent_at) {
                    let attempt = UnansweredAttempt {
                        sent_at,
                        expected_latency: candidate.estimate.expected_latency,
                    };
                    record_unanswered(shared, &target, attempt);
                }
                Err(AttemptError::new(Outcome::Broken, "no answer in time"))
            }
            Ok(Err(e)) if e.is_not_written() => {
                pending_result.record(None);
                return Err(AttemptError::new(Outcome::NotSent, e.to_string()));
            }
            Ok(Err(e)) => Err(AttemptError::new(Outcome::Broken, e.to_string())),
            Ok(Ok(response)) => {
                shared.with_target_stats(&target.id, |stats| stats.silence.record_response());
                self.receive(shared, response, &target, connection, version_in_flight)
                    .await
            }
        };
        self.update_stats(shared, &target, sent_at, &candidate.estimate, &result);
        self.record_version_result(shared, sent_at, &result, &mut pending_result);
        result
    }

    fn build_request(
        &self,
        shared: &SharedState,
        remaining: Duration,
        target_id: &str,
    ) -> Request<Bytes> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        let dialect = shared.settings.dialect;
        dialect.set_target_fields(headers, remaining, target_id);
        // By the bundle that admitted the request, it may have needed no key.
        if shared
            .bundle()
            .is_some_and(|b| KeyUse::of(&b) == KeyUse::Required)
        {
            dialect.remove_key(headers);
        }
        request
    }

    /// Records the result for the version of the target, if it says something about it.
    fn record_version_result(
        &self,
        shared: &SharedState,
        sent_at: Timestamp,
        result: &Result<Response<ResponseBody>, AttemptError>,
        pending_result: &mut PendingResult<'_>,
    ) {
        match result {
            Ok(_) => pending_result.record_response(),
            Err(error) => pending_result.record(match error.outcome {
                Outcome::NotSent | Outcome::NotRun | Outcome::Misdirected => None,
                Outcome::Failed | Outcome::Broken if self.is_cut_short(shared, sent_at) => None,
                Outcome::Failed | Outcome::Broken => Some(AttemptResult::Failed),
            }),
        }
    }

    /// Returns true if the hard deadline cut the attempt short, which is no measure of the target.
    fn is_cut_short(&self, shared: &SharedState, sent_at: Timestamp) -> bool {
        let now = shared.now();
        now >= self.deadline.at() && now.saturating_sub(sent_at) < SHORT_ATTEMPT
    }

    /// Updates the statistics of the target and the service with the result of the attempt.
    fn update_stats(
        &self,
        shared: &SharedState,
        target: &Target,
        sent_at: Timestamp,
        estimate: &Estimate,
        result: &Result<Response<ResponseBody>, AttemptError>,
    ) {
        let id = &target.id;
        let now = shared.now();
        let success = match result {
            Ok(_) => {
                if let Some(state) = shared.services.borrow_mut().get_mut(self.service)
                    && estimate.preferred
                    && !shared.rollouts.borrow().is_unproven(target)
                {
                    state
                        .service_time
                        .observe(now.saturating_sub(sent_at), estimate.expected_latency);
                }
                true
            }
            Err(error) if error.outcome == Outcome::NotRun => return,
            Err(error) if error.outcome == Outcome::Misdirected => {
                shared.with_target_stats(id, |stats| stats.eject(now));
                return;
            }
            Err(_) if self.is_cut_short(shared, sent_at) => return,
            Err(_) => {
                shared.metrics.failed_attempts.increment(1);
                false
            }
        };
        shared.with_target_stats(id, |stats| {
            stats.record_result(now, success);
            if success {
                stats.notices.record_success(now);
            }
        });
    }

    async fn receive(
        &self,
        shared: &Rc<SharedState>,
        response: Response<Incoming>,
        target: &Rc<Target>,
        connection: Connection,
        in_flight: VersionInFlight,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let (mut head, mut body) = response.into_parts();
        // The version of the connection to the target says nothing about that to the caller.
        head.version = Version::HTTP_11;
        let headers = &head.headers;
        let dialect = shared.settings.dialect;
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            target_notice::record_leaving(shared, target, headers);
        }
        let other_request = dialect
            .request_id(headers)
            .is_some_and(|id| self.request_id.is_some_and(|sent| sent != id));
        if other_request {
            return Err(AttemptError::new(
                Outcome::Broken,
                "answer to another request",
            ));
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            target_limit::record(shared, &target.id, headers, ResponseKind::Request);
            target_notice::record_rejection(shared, target, head.status, headers);
        }
        if dialect.is_not_run(head.status, headers) {
            return Err(self.refused(shared, &head, body, connection));
        }
        let signed = dialect.is_signed(headers);
        if head.status.is_success() && !signed {
            return Err(AttemptError::new(
                Outcome::Broken,
                "success without signature",
            ));
        }
        if implies_not_run(head.status) {
            // Callers take these statuses to mean that the request was not run. The target does not
            // state that, so the response cannot be forwarded.
            let cause = format!("status {} without a statement", head.status.as_u16());
            return Err(AttemptError::new(Outcome::Broken, cause));
        }
        let announces_body = announces_body(&head.headers);
        if head.status == StatusCode::NO_CONTENT && announces_body {
            // Where its body ends is open, and HTTP does not allow any.
            return Err(AttemptError::new(Outcome::Broken, "status 204 with a body"));
        }
        self.deadline.record_response_head();
        let (buffered, complete) = self.read_ahead(&mut body, shared).await?;
        let load = dialect.load(&head.headers, target.slots);
        remove_hop_by_hop(&mut head.headers);
        if head.status == StatusCode::NOT_MODIFIED {
            // It is not the length of this response, which has no body.
            head.headers.remove(CONTENT_LENGTH);
        }
        self.record_response_size(shared, buffered.len());
        if complete {
            // What a 304 announces is the length of another response, but some targets send it.
            if head.status != StatusCode::NOT_MODIFIED || !announces_body {
                let target = target.clone();
                target_search::release_target(shared, self.service, target, load, connection);
            }
            if head.status.is_server_error() {
                let cause = format!("status {}", head.status.as_u16());
                let mut error = AttemptError::new(Outcome::Failed, cause);
                error.response = Some(Box::new((head, buffered)));
                return Err(error);
            }
            return Ok(Response::from_parts(
                head,
                ResponseBody::Buffered(Some(buffered)),
            ));
        }
        let body = ResponseBody::streamed(
            shared.clone(),
            buffered,
            body,
            (connection, in_flight),
            self.deadline.body_ends_by(),
            self.caller_deadline + BODY_CUT_DELAY,
        );
        Ok(Response::from_parts(head, body))
    }

    /// Returns the outcome of a response which states that the target did not run the request.
    ///
    /// Fault: a target writes an earlier refusal once more, as the response to a request that it runs.
    fn refused(
        &self,
        shared: &Rc<SharedState>,
        head: &response::Parts,
        body: Incoming,
        connection: Connection,
    ) -> AttemptError {
        let status = head.status.as_u16();
        let named_id = shared.settings.dialect.request_id(&head.headers);
        if self.request_id.is_some() && named_id != self.request_id {
            let cause = format!("status {status}, not run, without the id of the request");
            return AttemptError::new(Outcome::Broken, cause);
        }
        let cause = format!("status {status}, not run");
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // The connection is closed: the request may be sent to the address once more, for the target
            // that has it now, and a second copy of this refusal would be taken for its response.
            return AttemptError::new(Outcome::Misdirected, cause);
        }
        tokio::task::spawn_local(reuse_after_rejection(shared.clone(), body, connection));
        AttemptError::new(Outcome::NotRun, cause)
    }

    /// Updates the mean response size with the buffered `bytes` of a response. The rest of a
    /// streamed response is not counted.
    fn record_response_size(&self, shared: &SharedState, bytes: usize) {
        if let Some(state) = shared.services.borrow_mut().get_mut(self.service) {
            state.response_bytes += (bytes as f64 - state.response_bytes) * RESPONSE_SIZE_SMOOTHING;
        }
    }

    /// Reads the body until it ends or exceeds `READ_AHEAD_BYTES` or the memory for bodies. Returns what was read, and true if
    /// it is the complete body.
    async fn read_ahead(
        &self,
        body: &mut Incoming,
        shared: &SharedState,
    ) -> Result<(Bytes, bool), AttemptError> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let limit = shared.reloadable().bounds.body_bytes();
        let mut buffered = shared
            .body_memory
            .buffer(announced.min(READ_AHEAD_BYTES) + READ_BUFFER_BYTES, limit);
        let deadline = shared.instant(self.deadline.body_ends_by());
        loop {
            if !buffered.reserve(READ_BUFFER_BYTES) {
                // Small responses always have memory. The others are forwarded from here on.
                return Ok((buffered.freeze(), false));
            }
            let frame = tokio::time::timeout_at(deadline, body.frame()).await;
            let frame = match frame {
                Err(_) => {
                    return Err(AttemptError::new(
                        Outcome::Broken,
                        "answer not whole in time",
                    ));
                }
                Ok(None) => return Ok((buffered.freeze(), true)),
                Ok(Some(Err(e))) => {
                    return Err(AttemptError::new(
                        Outcome::Broken,
                        format!("answer cut: {e}"),
                    ));
                }
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                buffered.append(&data);
            }
            if buffered.len() > READ_AHEAD_BYTES {
                return Ok((buffered.freeze(), false));
            }
        }
    }
}

/// Records an attempt that ends without a response: its deadline passed, or its hedge had a response before.
/// Its own connection is closed, and if the target is ejected for it, the idle ones, too: what the target did
/// not answer may keep it from answering there.
pub fn record_unanswered(shared: &SharedState, target: &Target, attempt: UnansweredAttempt) {
    let now = shared.now();
    let is_ejected = shared.with_target_stats(&target.id, |stats| {
        stats.silence.record_unanswered(now, attempt)
    });
    if is_ejected {
        shared.pool.close_idle(target.addr);
        info!(
            shared.log, "target_silent";
            "target" => &*target.id,
            "waited_ms" => now.saturating_sub(attempt.sent_at).as_millis() as u64,
            "expected_ms" => attempt.expected_latency.as_millis() as u64,
        );
    }
}

/// Returns the connection to the pool once the rest of a rejection has been read. Nothing waits for it:
/// its head says all.
async fn reuse_after_rejection(shared: Rc<SharedState>, body: Incoming, connection: Connection) {
    let body = Limited::new(body, REJECTION_BYTES_MAX).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(REJECTION_BODY_TIMEOUT, body).await {
        shared.pool.put(connection);
    }
}

/// Returns true if callers take the status to mean that the request was not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
