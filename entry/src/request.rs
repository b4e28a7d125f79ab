//! Handling of one request: selects the route, reads the body, sends it to targets and responds.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::EXPECT;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use lacewingmoor_bundle::{Bundle, Repeat, Route, RouteId, Service, Workspace, WorkspaceId};
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::admission::{PendingRequest, Priority, retry_after};
use lacewingmoor_control::attempt::{Attempts, FailureAction, Outcome, hedge_at};
use lacewingmoor_control::authorization::KeyUse;
use lacewingmoor_control::budget::{ProbeBudget, RetryBudget, RetryReason};
use lacewingmoor_control::locality::{LeaveShares, Place, Reason};
use lacewingmoor_control::message_bounds::MessageBounds;
use lacewingmoor_control::model::{TargetId, ZoneName};
use lacewingmoor_control::selection::Estimate;
use lacewingmoor_control::selection::ServiceTime;
use lacewingmoor_control::shutdown::{REFUSAL_RETRY_AFTER, SendWindow};
use lacewingmoor_control::silence::UnansweredAttempt;
use lacewingmoor_derive::copy_value;
use slog::{debug, info};

use crate::attempt::{AttemptError, OutboundRequest, record_unanswered};
use crate::authorization::{Identity, authorize, check_before_send};
use crate::inbound::{discard, host, prepare_for_target, read_body};
use crate::metrics::{record_place, record_request_end};
use crate::queue;
use crate::request_deadline::{Expiry, RequestDeadline};
use crate::response::{LocalResponse, ResponseBody};
use crate::shared_state::{ServiceState, SharedState};
use crate::target_search::{Candidate, TargetSearch};
use crate::workspace_limit::{self, Admission};
use crate::workspace_metrics;
use crate::zone_search;

/// Timeout of a caller that states none.
const CALLER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

/// Longest time that a request waits for the first bundle of the process.
const BUNDLE_WAIT: Duration = Duration::from_millis(250);

/// Time after which a caller may retry that was refused because the entry has no bundle yet.
const NO_BUNDLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a caller may retry whose route is closed by the bundle: one that allows no attempt or has
/// no destination. A later bundle may open it.
const CLOSED_ROUTE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Mean response size ([`ServiceState::response_bytes`]) above which requests of a service avoid
/// other regions.
const LARGE_RESPONSE_BYTES: f64 = 20_000.0;

/// Reason of a response that a shutdown gives.
const SHUTTING_DOWN: &str = "shutting down";

/// Reason in the log of a response that came from a target.
const ANSWERED: &str = "answered";

/// Counts a request as in flight in this process until it is dropped.
struct RequestInFlight(Rc<SharedState>);

impl RequestInFlight {
    fn new(shared: &Rc<SharedState>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        shared.metrics.in_flight.increment(1.0);
        Self(shared.clone())
    }
}

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.decrement(1.0);
    }
}

/// Response to the caller, with the reason that is logged and counted.
struct RequestEnd {
    response: Response<ResponseBody>,
    reason: &'static str,
}

/// Handles one request of a caller.
///
/// # Errors
///
/// Never: each failure is turned into a response.
pub async fn serve(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let _in_flight = RequestInFlight::new(&shared);
    shared.metrics.requests.increment(1);
    let arrived_at = shared.now();
    let (head, body) = request.into_parts();
    let mut context = RequestContext {
        shared: &shared,
        arrived_at,
        attempts: Attempts::default(),
        rounds: 0,
        route: None,
        identity: None,
        last_failure: String::new(),
        left_out: String::new(),
        last_send: None,
        admission: None,
    };
    let end = match context.run(&head, body).await {
        Ok(response) => RequestEnd {
            response,
            reason: ANSWERED,
        },
        Err(local) => {
            let mut response = local.into_response();
            shared.settings.dialect.mark_local(&mut response, &local);
            RequestEnd {
                response,
                reason: local.reason,
            }
        }
    };
    context.log(&head.headers, &end);
    record_request_end(end.reason);
    context.record_workspace(end.reason == ANSWERED);
    shared
        .metrics
        .time_to_response
        .record(shared.now().saturating_sub(arrived_at));
    Ok(end.response)
}

/// What is being done with a request.
#[copy_value]
enum Stage {
    /// Its body is still coming in.
    ReadingRequest,
    /// A target is searched, or has it.
    Serving,
}

/// State of a request that is being handled.
struct RequestContext<'a> {
    shared: &'a Rc<SharedState>,
    arrived_at: Timestamp,
    attempts: Attempts,
    rounds: u32,
    route: Option<(Rc<Bundle>, usize)>,
    /// Workspace that the request is handled for.
    identity: Option<Identity>,
    last_failure: String,
    /// Targets that a request that found none could not use, for the log.
    left_out: String,
    last_send: Option<LastSend>,
    /// Permission of the workspace's rate limit, if it has one.
    admission: Option<Admission>,
}

/// Last send of a request and the estimate that it was based on, for the log.
struct LastSend {
    target: TargetId,
    zone: ZoneName,
    place: Place,
    reason: Reason,
    estimate: Estimate,
    at: Timestamp,
}

/// Where a request goes, and by when it ends.
struct RequestPlan {
    bundle: Rc<Bundle>,
    route_id: usize,
    service_id: usize,
    workspace_id: Option<WorkspaceId>,
    /// When the caller times out.
    caller_deadline: Timestamp,
    deadline: RequestDeadline,
}

impl RequestPlan {
    fn route(&self) -> &Route {
        &self.bundle.routes[self.route_id]
    }

    fn service(&self) -> &Service {
        &self.bundle.services[self.service_id]
    }

    fn workspace(&self) -> Option<&Workspace> {
        self.workspace_id.map(|id| &self.bundle.workspaces[id])
    }
}

impl RequestContext<'_> {
    /// Handles the request. Whatever it waits for, it ends at its deadline, or when a shutdown gives the
    /// last responses.
    async fn run(
        &mut self,
        head: &Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let plan = match self.plan(head).await {
            Ok(plan) => plan,
            Err(refusal) => {
                // With `Expect`, the caller does not send the body before it is asked to.
                if !body.is_end_stream() && !head.headers.contains_key(EXPECT) {
                    discard(body).await;
                }
                return Err(refusal);
            }
        };
        let shared = self.shared;
        if plan.deadline.send_window(shared, Duration::ZERO) == SendWindow::Closed {
            return Err(LocalResponse::not_run(SHUTTING_DOWN, REFUSAL_RETRY_AFTER));
        }
        let stage = Cell::new(Stage::ReadingRequest);
        let expiry = tokio::select! {
            biased;
            end = self.handle(&plan, head, body, &stage) => return end,
            expiry = plan.deadline.expiry(shared) => expiry,
        };
        Err(self.unanswered(&plan, stage.get(), expiry))
    }

    /// Selects route and service of the request.
    async fn plan(&mut self, head: &Parts) -> Result<RequestPlan, LocalResponse> {
        let bundle = wait_for_bundle(self.shared)
            .await
            .ok_or_else(|| LocalResponse::not_run("no bundle yet", NO_BUNDLE_RETRY_AFTER))?;
        let host = host(head);
        let route_id = bundle
            .route(&host, head.uri.path())
            .ok_or(LocalResponse::invalid(StatusCode::NOT_FOUND, "no route"))?;
        self.route = Some((bundle.clone(), route_id));
        let route = &bundle.routes[route_id];
        self.identity = authorize(self.shared, &bundle, route, &head.headers)?;
        let workspace_id = self.identity.as_ref().map(|identity| identity.workspace_id);
        if route.attempts_max == 0 || route.timeout.is_zero() {
            let reason = "route allows no attempt";
            return Err(LocalResponse::not_run(reason, CLOSED_ROUTE_RETRY_AFTER));
        }
        let stated_timeout = self.shared.settings.dialect.caller_timeout(&head.headers);
        let caller_timeout = stated_timeout.unwrap_or(CALLER_TIMEOUT_DEFAULT);
        let elapsed = self.elapsed_before_arrival(route, caller_timeout);
        // The first attempt is not late, even under an objective of 0.
        let is_late = !elapsed.is_zero() && elapsed >= route.objective;
        self.admission = workspace_limit::admit(self.shared, &bundle, workspace_id, is_late)?;
        let service_id = self.select_service(&bundle, route)?;
        Ok(RequestPlan {
            route_id,
            service_id,
            workspace_id,
            caller_deadline: self.arrived_at + caller_timeout,
            deadline: RequestDeadline::new(self.arrived_at + caller_timeout.min(route.timeout)),
            bundle,
        })
    }

    async fn handle(
        &mut self,
        plan: &RequestPlan,
        head: &Parts,
        body: Incoming,
        stage: &Cell<Stage>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let (route, service) = (plan.route(), plan.service());
        let bytes_max = MessageBounds::of_request(Some(&plan.bundle.limits)).body_bytes;
        let limit = self.shared.reloadable().bounds.body_bytes();
        let body = read_body(body, bytes_max, &self.shared.body_memory, limit).await?;
        stage.set(Stage::Serving);
        plan.deadline.record_request_read(self.shared.now());
        let mut head = head.clone();
        prepare_for_target(&mut head);
        let dialect = self.shared.settings.dialect;
        let workspace = self.identity.as_ref().map(|identity| &*identity.name);
        dialect.set_workspace(&mut head.headers, workspace);
        if KeyUse::of(&plan.bundle) == KeyUse::Required {
            dialect.remove_key(&mut head.headers);
        }
        let outbound = OutboundRequest {
            request_id: self.shared.settings.dialect.request_id(&head.headers),
            head: &head,
            body: &body,
            repeat: route.repeat,
            service: &service.name,
            route: &route.name,
            deadline: &plan.deadline,
            caller_deadline: plan.caller_deadline,
        };
        let caller_timeout = plan.caller_deadline.saturating_sub(self.arrived_at);
        let search = TargetSearch {
            bundle: &plan.bundle,
            route_id: plan.route_id,
            workspace_id: plan.workspace_id,
            service,
            pending: PendingRequest {
                soft_deadline: (self.arrived_at + route.objective)
                    .saturating_sub(self.elapsed_before_arrival(route, caller_timeout)),
                hard_deadline: plan.deadline.at(),
                priority: Priority {
                    workspace: plan.workspace().map_or(0, |workspace| workspace.priority),
                    route: route.priority,
                },
                large_response: self.has_large_responses(service),
            },
            deadline: &plan.deadline,
            caller_deadline: plan.caller_deadline,
            body_bytes: body.len(),
            tried: Vec::new(),
            rounds: 0,
            prefers_new: self
                .shared
                .rollouts
                .borrow_mut()
                .record_request(&service.name),
        };
        self.run_attempts(&outbound, search).await
    }

    /// Returns the response to a request that has none when it must end.
    fn unanswered(&self, plan: &RequestPlan, stage: Stage, expiry: Expiry) -> LocalResponse {
        let reason = match expiry {
            Expiry::Deadline => "timed out",
            Expiry::Shutdown => SHUTTING_DOWN,
        };
        if self.attempts.may_have_run() {
            let status = match expiry {
                Expiry::Deadline => StatusCode::GATEWAY_TIMEOUT,
                Expiry::Shutdown => StatusCode::BAD_GATEWAY,
            };
            return LocalResponse::unknown(status, reason);
        }
        if (stage, expiry) == (Stage::ReadingRequest, Expiry::Deadline) {
            return LocalResponse::invalid(
                StatusCode::REQUEST_TIMEOUT,
                "body not received in time",
            );
        }
        let retry_after = match expiry {
            Expiry::Deadline => retry_after(self.shared.now(), plan.caller_deadline),
            Expiry::Shutdown => REFUSAL_RETRY_AFTER,
        };
        LocalResponse::not_run(reason, retry_after)
    }

    /// Estimates how long the caller has been retrying this request. The timeout that it states
    /// shrinks with each retry; assumes that all callers of a route start with the same one, the
    /// longest seen so far.
    fn elapsed_before_arrival(&self, route: &Route, caller_timeout: Duration) -> Duration {
        let mut longest_caller_timeouts = self.shared.longest_caller_timeouts.borrow_mut();
        let longest = match longest_caller_timeouts.get_mut(&route.key) {
            Some(longest) => longest,
            None => longest_caller_timeouts
                .entry(route.key.clone())
                .or_default(),
        };
        *longest = caller_timeout.max(*longest);
        *longest - caller_timeout
    }

    fn has_large_responses(&self, service: &Service) -> bool {
        let services = self.shared.services.borrow();
        services
            .get(&service.name)
            .is_some_and(|state| state.response_bytes > LARGE_RESPONSE_BYTES)
    }

    /// Selects the service by the weights of the route's destinations, and counts the request in the
    /// retry budget of that service.
    fn select_service(&self, bundle: &Bundle, route: &Route) -> Result<usize, LocalResponse> {
        let service_id = {
            let mut splits = self.shared.route_splits.borrow_mut();
            match splits.get_mut(&route.key) {
                Some(split) => split.next(&route.destinations),
                None => splits
                    .entry(route.key.clone())
                    .or_default()
                    .next(&route.destinations),
            }
        };
        let service_id = service_id.ok_or(LocalResponse::not_run(
            "no destination has a weight",
            CLOSED_ROUTE_RETRY_AFTER,
        ))?;
        let service = &bundle.services[service_id];
        let mut services = self.shared.services.borrow_mut();
        let state = services
            .entry(service.name.clone())
            .or_insert_with(|| ServiceState {
                service_time: ServiceTime::new(route.objective),
                retry_budget: RetryBudget::default(),
                probe_budget: ProbeBudget::default(),
                response_bytes: 0.0,
                leave_shares: LeaveShares::default(),
                reports_load: None,
            });
        state
            .retry_budget
            .record_request(self.shared.now(), &self.shared.reloadable().retry);
        if KeyUse::of(bundle) == KeyUse::Required {
            let flow = self.identity.as_ref().map(|identity| identity.name.clone());
            let queue = &self.shared.queue;
            queue.record_arrival(self.shared.now(), &service.name, &flow);
        }
        Ok(service_id)
    }

    async fn run_attempts(
        &mut self,
        outbound: &OutboundRequest<'_>,
        mut search: TargetSearch<'_>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        loop {
            self.check_shutdown(outbound, search.service_time(self.shared))?;
            let (bundle, route_id) = (search.bundle.clone(), search.route_id);
            let candidate = tokio::select! {
                biased;
                candidate = search.find(self.shared) => candidate,
                refusal = self.wait_for_key_change((&bundle, route_id)) => {
                    return Err(self.key_refusal(refusal));
                }
            };
            self.rounds = search.rounds;
            if candidate.is_err() {
                self.left_out = search.left_out(self.shared);
            }
            let candidate = match candidate {
                Ok(candidate) => candidate,
                Err(_) if self.attempts.may_have_run() => {
                    let reason = "failed, no other target";
                    return Err(LocalResponse::unknown(StatusCode::BAD_GATEWAY, reason));
                }
                Err(retry_after) => {
                    return Err(LocalResponse::not_run("no target in time", retry_after));
                }
            };
            let key = self.check_key((search.bundle, search.route_id));
            let refusal = key.map_err(|refusal| self.key_refusal(refusal));
            let expected = candidate.estimate.expected_latency;
            if let Err(refusal) = refusal.and_then(|()| self.check_shutdown(outbound, expected)) {
                queue::offer(self.shared, &search.service.name, candidate);
                return Err(refusal);
            }
            if self.attempts.sent() == 0 {
                let waited = self.shared.now().saturating_sub(self.arrived_at);
                self.shared.metrics.time_to_send.record(waited);
            }
            let target_id = candidate.target.id.clone();
            let error = match self.send(outbound, &mut search, candidate).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let action = self.failure_action(&error, search.route(), search.service);
            info!(
                self.shared.log, "attempt_failed";
                "request" => outbound.request_id.unwrap_or("-"), "target" => &*target_id,
                "outcome" => ?error.outcome, "why" => &error.cause, "next" => ?action,
            );
            self.last_failure = error.cause;
            match action {
                FailureAction::Retry if self.shared.now() < outbound.deadline.at() => {}
                FailureAction::Retry | FailureAction::Unknown if self.attempts.may_have_run() => {
                    let status = match self.shared.now() >= outbound.deadline.at() {
                        true => StatusCode::GATEWAY_TIMEOUT,
                        false => StatusCode::BAD_GATEWAY,
                    };
                    return Err(LocalResponse::unknown(status, "outcome unknown"));
                }
                FailureAction::Retry | FailureAction::Unknown | FailureAction::RefuseNotRun => {
                    let now = self.shared.now();
                    let queued_count = self.shared.queue.len(outbound.service);
                    let pending = &search.pending;
                    let retry_after =
                        pending.retry_after_rejection(now, outbound.caller_deadline, queued_count);
                    return Err(LocalResponse::not_run("rejected by targets", retry_after));
                }
                FailureAction::PassOn => {
                    let response = error.response.map(|response| {
                        let (head, body) = *response;
                        Response::from_parts(head, ResponseBody::Buffered(Some(body)))
                    });
                    return response.ok_or(LocalResponse::unknown(
                        StatusCode::BAD_GATEWAY,
                        "target failed",
                    ));
                }
            }
        }
    }

    /// Sends the request to a target. If there is no response by `hedge_at`, also sends it to a
    /// second one, provided that the route and the retry budget allow it.
    async fn send(
        &mut self,
        outbound: &OutboundRequest<'_>,
        search: &mut TargetSearch<'_>,
        candidate: Candidate,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let shared = self.shared;
        let hedge_at = self.record_send(search, &candidate);
        let first_target = candidate.target.clone();
        let first_attempt = UnansweredAttempt {
            sent_at: shared.now(),
            expected_latency: candidate.estimate.expected_latency,
        };
        let first = outbound.send(shared, candidate);
        tokio::pin!(first);
        let route = search.route();
        let may_hedge =
            route.repeat == Repeat::Idempotent && self.attempts.sent() < route.attempts_max;
        if !may_hedge {
            let result = first.await;
            return self.record_failed_attempt(result);
        }
        tokio::select! {
            result = &mut first => return self.record_failed_attempt(result),
            () = tokio::time::sleep_until(shared.instant(hedge_at)) => {}
        }
        let candidate = tokio::select! {
            result = &mut first => return self.record_failed_attempt(result),
            candidate = search.find_preferred(shared) => candidate,
        };
        let candidate = match candidate {
            Some(candidate)
                if self.check_key((search.bundle, search.route_id)).is_ok()
                    && self
                        .check_shutdown(outbound, candidate.estimate.expected_latency)
                        .is_ok()
                    && self.try_take_retry(search.service, RetryReason::Hedge) =>
            {
                candidate
            }
            other => {
                if let Some(candidate) = other {
                    shared.pool.put(candidate.connection);
                }
                let result = first.await;
                return self.record_failed_attempt(result);
            }
        };
        info!(
            shared.log, "hedge";
            "request" => outbound.request_id.unwrap_or("-"), "target" => &*candidate.target.id,
        );
        self.record_send(search, &candidate);
        let second = outbound.send(shared, candidate);
        tokio::pin!(second);
        let (result, first_pending) = tokio::select! {
            result = &mut first => (result, false),
            result = &mut second => (result, true),
        };
        let result = self.record_failed_attempt(result);
        let Err(error) = result else {
            if first_pending {
                debug!(
                    shared.log, "attempt_overtaken";
                    "request" => outbound.request_id.unwrap_or("-"), "target" => &*first_target.id,
                );
                record_unanswered(shared, &first_target, first_attempt);
            }
            return result;
        };
        debug!(shared.log, "hedge_failed"; "why" => &error.cause);
        // Whichever attempt failed, waits for the other.
        let result = match first_pending {
            true => first.await,
            false => second.await,
        };
        self.record_failed_attempt(result)
    }

    /// Counts the request for its workspace, if requests need keys.
    fn record_workspace(&self, is_answered: bool) {
        if let Some((bundle, _)) = &self.route
            && KeyUse::of(bundle) == KeyUse::Required
        {
            let name = self.identity.as_ref().map(|identity| &*identity.name);
            let mut labels = self.shared.workspace_labels.borrow_mut();
            workspace_metrics::record_end(labels.label(bundle, name), is_answered);
        }
    }

    /// Checks that the request may still be sent, by the newest bundle.
    fn check_key(&self, admitted: (&Rc<Bundle>, RouteId)) -> Result<(), LocalResponse> {
        check_before_send(self.shared, self.identity.as_ref(), admitted)
    }

    /// Waits until the request must not be sent any more, and returns why.
    async fn wait_for_key_change(&self, admitted: (&Rc<Bundle>, RouteId)) -> LocalResponse {
        let mut changes = self.shared.subscribe_changes();
        loop {
            if let Err(refusal) = self.check_key(admitted) {
                return refusal;
            }
            // The sender lives as long as the process.
            let _ = changes.changed().await;
        }
    }

    /// Checks that a shutdown leaves the time that a target is expected to take for the request.
    fn check_shutdown(
        &self,
        outbound: &OutboundRequest<'_>,
        expected: Duration,
    ) -> Result<(), LocalResponse> {
        let shared = self.shared;
        let window = outbound.deadline.send_window(shared, expected);
        match (window.allows(shared.now()), self.attempts.may_have_run()) {
            (true, _) => Ok(()),
            (false, true) => Err(LocalResponse::unknown(
                StatusCode::BAD_GATEWAY,
                SHUTTING_DOWN,
            )),
            (false, false) => Err(LocalResponse::not_run(SHUTTING_DOWN, REFUSAL_RETRY_AFTER)),
        }
    }

    /// Returns the response to a request that must not be sent any more.
    fn key_refusal(&self, refusal: LocalResponse) -> LocalResponse {
        match self.attempts.may_have_run() {
            true => LocalResponse::unknown(StatusCode::BAD_GATEWAY, refusal.reason),
            false => refusal,
        }
    }

    /// Records a send and returns when the request may be hedged.
    fn record_send(&mut self, search: &mut TargetSearch<'_>, candidate: &Candidate) -> Timestamp {
        let now = self.shared.now();
        let target_id = candidate.target.id.clone();
        search.tried.push(target_id.clone());
        self.attempts.record_send();
        if let Some(admission) = &mut self.admission {
            admission.record_send();
        }
        let place = zone_search::place(self.shared, &candidate.target);
        record_place(place.name(), candidate.reason.name());
        self.last_send = Some(LastSend {
            target: target_id,
            zone: candidate.target.zone.clone(),
            place,
            reason: candidate.reason,
            estimate: candidate.estimate.clone(),
            at: now,
        });
        hedge_at(now, candidate.estimate.expected_latency)
    }

    /// Records the outcome of an attempt that failed and returns the result unchanged.
    fn record_failed_attempt(
        &mut self,
        result: Result<Response<ResponseBody>, AttemptError>,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        if let Err(error) = &result {
            self.attempts.record_outcome(error.outcome);
            if let (Some(admission), Outcome::NotSent) = (&mut self.admission, error.outcome) {
                admission.record_not_sent();
            }
        }
        result
    }

    /// Takes a token of the retry budget and one of the workspace's rate limit.
    fn try_take_retry(&mut self, service: &Service, reason: RetryReason) -> bool {
        // A token of the rate limit that is not used is given back at the end of the request.
        if !self.admission.as_mut().is_none_or(Admission::try_take) {
            return false;
        }
        let shared = self.shared;
        let entry_count = shared.view.borrow().entry_count();
        let mut services = shared.services.borrow_mut();
        services.get_mut(&service.name).is_some_and(|state| {
            state.retry_budget.try_take(
                shared.now(),
                &shared.reloadable().retry,
                entry_count,
                reason,
            )
        })
    }

    fn failure_action(
        &mut self,
        error: &AttemptError,
        route: &Route,
        service: &Service,
    ) -> FailureAction {
        let attempts = self.attempts.clone();
        let take_budget = || self.try_take_retry(service, RetryReason::Failure);
        attempts.after_failure(error.outcome, route.repeat, route.attempts_max, take_budget)
    }

    fn log(&self, headers: &HeaderMap, end: &RequestEnd) {
        let elapsed = self.shared.now().saturating_sub(self.arrived_at);
        let (route, version) = match &self.route {
            Some((bundle, route_id)) => (bundle.routes[*route_id].name.as_str(), bundle.version),
            None => ("-", 0),
        };
        let sent = self.last_send.as_ref();
        let load = sent.map(|sent| &sent.estimate.load);
        info!(
            self.shared.log, "request";
            "request" => self.shared.settings.dialect.request_id(headers).unwrap_or("-"),
            "route" => route, "version" => version,
            "workspace" => self.identity.as_ref().map_or("-", |identity| &*identity.name),
            "status" => end.response.status().as_u16(), "reason" => end.reason,
            "attempts" => self.attempts.sent(), "rounds" => self.rounds,
            "target" => sent.map_or("-", |sent| &*sent.target),
            "from_zone" => &*self.shared.locality.zone, "to_zone" => sent.map_or("-", |sent| &*sent.zone),
            "place" => sent.map_or("-", |sent| sent.place.name()),
            "place_reason" => sent.map_or("-", |sent| sent.reason.name()),
            "ahead" => load.map_or(0, |load| load.running + load.queued),
            "slots" => load.map_or(0, |load| load.slots),
            "pace" => load.map_or(0.0, |load| load.slowdown),
            "sent_ms" => sent.map_or(0, |s| s.at.saturating_sub(self.arrived_at).as_millis() as u64),
            "expected_ms" => sent.map_or(0, |sent| sent.estimate.expected_latency.as_millis() as u64),
            "last_failure" => &self.last_failure, "left_out" => &self.left_out, "ms" => elapsed.as_millis() as u64,
        );
    }
}

/// Returns the active bundle. An entry that has just started gets it within a few milliseconds, so
/// waiting for it is faster than refusing the caller and waiting for its retry.
async fn wait_for_bundle(shared: &SharedState) -> Option<Rc<Bundle>> {
    let mut changes = shared.subscribe_changes();
    let wait = async {
        loop {
            if let Some(bundle) = shared.bundle() {
                return bundle;
            }
            // The sender lives as long as the process.
            let _ = changes.changed().await;
        }
    };
    tokio::time::timeout(BUNDLE_WAIT, wait).await.ok()
}
