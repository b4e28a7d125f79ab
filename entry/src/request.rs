//! The way of one request: route, body, target, answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use lacewingmoor_bundle::{Bundle, Repeat, Route, Service};
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::admission::PendingRequest;
use lacewingmoor_control::attempt::{Attempts, FailureAction, hedge_at};
use lacewingmoor_control::budget::{ProbeBudget, RetryBudget, RetryReason};
use lacewingmoor_control::model::TargetId;
use lacewingmoor_control::selection::Estimate;
use lacewingmoor_control::selection::ServiceTime;
use slog::{debug, info};

use crate::attempt::{AttemptError, OutboundRequest};
use crate::inbound::{host, prepare_for_target, read_body};
use crate::metrics::record_request_end;
use crate::response::{LocalResponse, ResponseBody};
use crate::shared_state::{ServiceState, SharedState};
use crate::target_search::{Candidate, TargetSearch};

/// Time that a caller waits if it does not say.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// Time for which a request waits for the first bundle of a process.
const BUNDLE_WAIT: Duration = Duration::from_millis(250);

/// When a caller may come back to an entry that has no bundle yet.
const NO_BUNDLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Size of an answer above which the way between regions is avoided.
const HEAVY_BYTES: f64 = 20_000.0;

/// Counts a request in flight in the process.
struct InFlight(Rc<SharedState>);

impl InFlight {
    fn new(shared: &Rc<SharedState>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        shared.metrics.in_flight.increment(1.0);
        Self(shared.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.decrement(1.0);
    }
}

/// Result of a request, for the log.
struct End {
    response: Response<ResponseBody>,
    reason: &'static str,
}

/// Serves one request.
///
/// # Errors
///
/// Never: every failure has an answer.
pub async fn serve(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let _in_flight = InFlight::new(&shared);
    shared.metrics.requests.increment(1);
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let mut context = RequestContext {
        shared: &shared,
        arrived,
        attempts: Attempts::default(),
        rounds: 0,
        route: None,
        last_failure: String::new(),
        last_sent: None,
    };
    let end = match context.run(&head, body).await {
        Ok(response) => End {
            response,
            reason: "answered",
        },
        Err(own) => {
            let mut response = own.into_response();
            shared.settings.dialect.mark_local(&mut response, &own);
            End {
                response,
                reason: own.reason,
            }
        }
    };
    context.log(&head.headers, &end);
    record_request_end(end.reason);
    shared
        .metrics
        .time_to_response
        .record(shared.now().saturating_sub(arrived));
    Ok(end.response)
}

/// State of a request on its way.
struct RequestContext<'a> {
    shared: &'a Rc<SharedState>,
    arrived: Timestamp,
    attempts: Attempts,
    rounds: u32,
    route: Option<(Rc<Bundle>, usize)>,
    last_failure: String,
    last_sent: Option<Sent>,
}

/// Where a request was sent last and what decided it, for the log.
struct Sent {
    target: TargetId,
    estimate: Estimate,
    at: Timestamp,
}

impl RequestContext<'_> {
    async fn run(
        &mut self,
        head: &Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        let bundle = first_bundle(self.shared)
            .await
            .ok_or_else(|| LocalResponse::not_run("no bundle yet", NO_BUNDLE_RETRY_AFTER))?;
        let host = host(head);
        let route_id = bundle
            .route(&host, head.uri.path())
            .ok_or(LocalResponse::invalid(StatusCode::NOT_FOUND, "no route"))?;
        self.route = Some((bundle.clone(), route_id));
        let route = &bundle.routes[route_id];
        let service = self.service(&bundle, route)?;
        let deadline = self
            .shared
            .settings
            .dialect
            .deadline(&head.headers)
            .unwrap_or(DEADLINE_DEFAULT);
        let body = read_body(body, bundle.limits.body_bytes_max).await?;
        let mut head = head.clone();
        prepare_for_target(&mut head);
        let latest = self.arrived + deadline.min(route.timeout);
        let outgoing = OutboundRequest {
            request_id: self.shared.settings.dialect.request_id(&head.headers),
            head: &head,
            body: &body,
            repeat: route.repeat,
            service: &service.name,
            hard_deadline: latest,
            caller_deadline: self.arrived + deadline,
        };
        let seeking = TargetSearch {
            bundle: &bundle,
            route_id,
            service,
            pending: PendingRequest {
                soft_deadline: (self.arrived + route.objective)
                    .saturating_sub(self.age(route, deadline)),
                hard_deadline: latest,
                priority: route.priority,
                large_response: self.is_heavy(service),
            },
            caller_deadline: outgoing.caller_deadline,
            tried: Vec::new(),
            rounds: 0,
        };
        self.attempt(&outgoing, seeking).await
    }

    /// Returns how long the caller has been trying. Callers that come back wait less than at their
    /// first attempt, so the longest wait that a route has seen tells when that was.
    fn age(&self, route: &Route, deadline: Duration) -> Duration {
        let mut patience = self.shared.longest_deadlines.borrow_mut();
        let longest = match patience.get_mut(&route.name) {
            Some(longest) => longest,
            None => patience.entry(route.name.clone()).or_default(),
        };
        *longest = deadline.max(*longest);
        *longest - deadline
    }

    fn is_heavy(&self, service: &Service) -> bool {
        let services = self.shared.services.borrow();
        services
            .get(&service.name)
            .is_some_and(|state| state.response_bytes > HEAVY_BYTES)
    }

    /// Divides the request among the route's destinations and counts it.
    fn service<'b>(&self, bundle: &'b Bundle, route: &Route) -> Result<&'b Service, LocalResponse> {
        let id = {
            let mut splits = self.shared.route_splits.borrow_mut();
            match splits.get_mut(&route.name) {
                Some(split) => split.next(&route.destinations),
                None => splits
                    .entry(route.name.clone())
                    .or_default()
                    .next(&route.destinations),
            }
        };
        let id = id.ok_or(LocalResponse::invalid(
            StatusCode::NOT_FOUND,
            "route leads nowhere",
        ))?;
        let service = &bundle.services[id];
        let mut services = self.shared.services.borrow_mut();
        let state = services
            .entry(service.name.clone())
            .or_insert_with(|| ServiceState {
                service_time: ServiceTime::new(route.objective),
                retry_budget: RetryBudget::default(),
                probe_budget: ProbeBudget::default(),
                response_bytes: 0.0,
                reports_load: None,
            });
        state
            .retry_budget
            .record_request(self.shared.now(), &self.shared.reloadable().retry);
        Ok(service)
    }

    async fn attempt(
        &mut self,
        outgoing: &OutboundRequest<'_>,
        mut seeking: TargetSearch<'_>,
    ) -> Result<Response<ResponseBody>, LocalResponse> {
        loop {
            let placed = seeking.find(self.shared).await;
            self.rounds = seeking.rounds;
            let placed = match placed {
                Ok(placed) => placed,
                Err(_) if self.attempts.may_have_run() => {
                    let reason = "failed, no other target";
                    return Err(LocalResponse::unknown(StatusCode::BAD_GATEWAY, reason));
                }
                Err(retry_after) => {
                    return Err(LocalResponse::not_run("no target in time", retry_after));
                }
            };
            if self.attempts.sent() == 0 {
                let waited = self.shared.now().saturating_sub(self.arrived);
                self.shared.metrics.time_to_send.record(waited);
            }
            let id = placed.target.id.clone();
            let failed = match self.send(outgoing, &mut seeking, placed).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let next = self.next(&failed, seeking.route(), seeking.service);
            info!(
                self.shared.log, "attempt_failed";
                "request" => outgoing.request_id.unwrap_or("-"), "target" => &*id,
                "outcome" => ?failed.outcome, "why" => &failed.cause, "next" => ?next,
            );
            self.last_failure = failed.cause;
            match next {
                FailureAction::Retry if self.shared.now() < outgoing.hard_deadline => {}
                FailureAction::Retry | FailureAction::Unknown if self.attempts.may_have_run() => {
                    let status = match self.shared.now() >= outgoing.hard_deadline {
                        true => StatusCode::GATEWAY_TIMEOUT,
                        false => StatusCode::BAD_GATEWAY,
                    };
                    return Err(LocalResponse::unknown(status, "outcome unknown"));
                }
                FailureAction::Retry | FailureAction::Unknown | FailureAction::RefuseNotRun => {
                    let now = self.shared.now();
                    let others = self.shared.queue.len(outgoing.service);
                    let pending = &seeking.pending;
                    let retry_after =
                        pending.retry_after_rejection(now, outgoing.caller_deadline, others);
                    return Err(LocalResponse::not_run("rejected by targets", retry_after));
                }
                FailureAction::PassOn => {
                    let answer = failed.response.map(|answer| {
                        let (head, body) = *answer;
                        Response::from_parts(head, ResponseBody::Buffered(Some(body)))
                    });
                    return answer.ok_or(LocalResponse::unknown(
                        StatusCode::BAD_GATEWAY,
                        "target failed",
                    ));
                }
            }
        }
    }

    /// Sends the request, and to a second target as well if the answer of the first is late.
    async fn send(
        &mut self,
        outgoing: &OutboundRequest<'_>,
        seeking: &mut TargetSearch<'_>,
        placed: Candidate,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        let shared = self.shared;
        let hedge_at = self.begin(seeking, &placed);
        let first = outgoing.send(shared, placed);
        tokio::pin!(first);
        let route = seeking.route();
        let hedged =
            route.repeat == Repeat::Idempotent && self.attempts.sent() < route.attempts_max;
        if !hedged {
            let end = first.await;
            return self.ended(end);
        }
        tokio::select! {
            end = &mut first => return self.ended(end),
            () = tokio::time::sleep_until(shared.instant(hedge_at)) => {}
        }
        let placed = tokio::select! {
            end = &mut first => return self.ended(end),
            placed = seeking.find_preferred(shared) => placed,
        };
        let placed = match placed {
            Some(placed) if self.may_repeat(seeking.service, RetryReason::Hedge) => placed,
            other => {
                if let Some(placed) = other {
                    shared.pool.put(placed.connection);
                }
                let end = first.await;
                return self.ended(end);
            }
        };
        info!(
            shared.log, "hedge";
            "request" => outgoing.request_id.unwrap_or("-"), "target" => &*placed.target.id,
        );
        self.begin(seeking, &placed);
        let second = outgoing.send(shared, placed);
        tokio::pin!(second);
        let (end, other_is_first) = tokio::select! {
            end = &mut first => (end, false),
            end = &mut second => (end, true),
        };
        let end = self.ended(end);
        let Err(failed) = end else {
            return end;
        };
        debug!(shared.log, "hedge_failed"; "why" => &failed.cause);
        let end = match other_is_first {
            true => first.await,
            false => second.await,
        };
        self.ended(end)
    }

    /// Notes a send. Returns when a second one may be started beside it.
    fn begin(&mut self, seeking: &mut TargetSearch<'_>, placed: &Candidate) -> Timestamp {
        let now = self.shared.now();
        let id = placed.target.id.clone();
        seeking.tried.push(id.clone());
        self.attempts.record_send();
        self.last_sent = Some(Sent {
            target: id,
            estimate: placed.estimate.clone(),
            at: now,
        });
        hedge_at(now, placed.estimate.expected_latency)
    }

    /// Notes the end of a send.
    fn ended(
        &mut self,
        end: Result<Response<ResponseBody>, AttemptError>,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        if let Err(failed) = &end {
            self.attempts.record_outcome(failed.outcome);
        }
        end
    }

    fn may_repeat(&self, service: &Service, reason: RetryReason) -> bool {
        let shared = self.shared;
        let node_count = shared.view.borrow().entry_count();
        let mut services = shared.services.borrow_mut();
        services.get_mut(&service.name).is_some_and(|state| {
            state.retry_budget.try_take(
                shared.now(),
                &shared.reloadable().retry,
                node_count,
                reason,
            )
        })
    }

    fn next(&mut self, failed: &AttemptError, route: &Route, service: &Service) -> FailureAction {
        let budget = || self.may_repeat(service, RetryReason::Failure);
        self.attempts
            .after_failure(failed.outcome, route.repeat, route.attempts_max, budget)
    }

    fn log(&self, headers: &HeaderMap, end: &End) {
        let waited = self.shared.now().saturating_sub(self.arrived);
        let (route, version) = match &self.route {
            Some((bundle, id)) => (bundle.routes[*id].name.as_str(), bundle.version),
            None => ("-", 0),
        };
        let sent = self.last_sent.as_ref();
        let load = sent.map(|sent| &sent.estimate.load);
        info!(
            self.shared.log, "request";
            "request" => self.shared.settings.dialect.request_id(headers).unwrap_or("-"),
            "route" => route, "version" => version,
            "status" => end.response.status().as_u16(), "reason" => end.reason,
            "attempts" => self.attempts.sent(), "rounds" => self.rounds,
            "target" => sent.map_or("-", |sent| &*sent.target),
            "ahead" => load.map_or(0, |load| load.running + load.queued),
            "slots" => load.map_or(0, |load| load.slots),
            "pace" => load.map_or(0.0, |load| load.slowdown),
            "sent_ms" => sent.map_or(0, |s| s.at.saturating_sub(self.arrived).as_millis() as u64),
            "expected_ms" => sent.map_or(0, |sent| sent.estimate.expected_latency.as_millis() as u64),
            "last_failure" => &self.last_failure, "ms" => waited.as_millis() as u64,
        );
    }
}

/// Returns the bundle in force. An entry that has just started has it a few milliseconds later,
/// which is sooner than a refused caller would be back.
async fn first_bundle(shared: &SharedState) -> Option<Rc<Bundle>> {
    let mut news = shared.subscribe_updates();
    let arrives = async {
        loop {
            if let Some(bundle) = shared.bundle() {
                return bundle;
            }
            // The sender lives as long as the node.
            let _ = news.changed().await;
        }
    };
    tokio::time::timeout(BUNDLE_WAIT, arrives).await.ok()
}
