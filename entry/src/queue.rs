//! Queue of the requests that wait for a target, and the probes of targets for them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Route, Service, Workspace, WorkspaceId, WorkspaceName};
use lacewingmoor_control::admission::{
    DequeueRate, PendingRequest, QueuePosition, Rank, retry_after, select_queued,
};
use lacewingmoor_control::fairness::{FairShares, Flow, QueueReason, SendOrigin};
use lacewingmoor_control::locality::Trip;
use lacewingmoor_control::model::TargetId;
use lacewingmoor_control::selection::{Estimate, Selector};
use lacewingmoor_control::shutdown::Phase;
use lacewingmoor_control::{Map, Timestamp};
use tokio::sync::oneshot;

use crate::shared_state::SharedState;
use crate::target_search::{self, Candidate, TargetSearch};
use crate::zone_search;

/// Pause between two rounds of probes for queued requests.
const QUEUE_PROBE_PAUSE: Duration = Duration::from_millis(12);

struct QueuedRequest {
    pending: PendingRequest,
    bundle: Rc<Bundle>,
    route_id: usize,
    workspace_id: Option<WorkspaceId>,
    flow: Flow,
    service: Service,
    tried: Vec<TargetId>,
    /// What leaving the zone costs the request, as of `queued_at`, if zone weights are set.
    trip: Option<Trip>,
    queued_at: Timestamp,
    reason: QueueReason,
    sender: oneshot::Sender<Candidate>,
}

impl QueuedRequest {
    fn route(&self) -> &Route {
        &self.bundle.routes[self.route_id]
    }

    fn workspace(&self) -> Option<&Workspace> {
        self.workspace_id.map(|id| &self.bundle.workspaces[id])
    }

    fn accepts(&self, shared: &SharedState, now: Timestamp, candidate: &Candidate) -> bool {
        let selector = Selector {
            service: &self.service.name,
            route: self.route(),
            workspace: self.workspace(),
            warmup_rate_per_s: self.service.warmup_rate_per_s,
            excluded: &self.tried,
            locality: &shared.locality,
            versions: shared.version_choice(&self.service.name, false),
        };
        let may_send = match &self.trip {
            Some(trip) if !selector.is_confined() => {
                let (target, estimate) = (&candidate.target, &candidate.estimate);
                let place = zone_search::place(shared, target);
                let view = shared.view.borrow();
                let usable = selector.usable_estimate(&view, &self.bundle, target, estimate);
                let waited = now.saturating_sub(self.queued_at);
                let is_nearest = || {
                    let target_stats = shared.target_stats.borrow();
                    selector.is_nearest(now, &view, &target_stats, place)
                };
                (trip.after(waited).may_leave(place, waited) || is_nearest())
                    && self.pending.may_send_to(now, &usable)
            }
            _ => self.pending.may_send_to(now, &candidate.estimate),
        };
        may_send && target_search::is_eligible(shared, &selector, &candidate.target)
    }
}

#[derive(Default)]
struct ServiceQueue {
    requests: Vec<QueuedRequest>,
    dequeue_rate: DequeueRate,
    shares: FairShares,
    probing: bool,
}

impl ServiceQueue {
    /// Returns the number of queued requests that come before `pending`. Drops those that are no
    /// longer awaited.
    fn count_ahead(
        &mut self,
        now: Timestamp,
        pending: &PendingRequest,
        flow: &Flow,
        service_time: Duration,
    ) -> usize {
        self.requests.retain(|queued| !queued.sender.is_closed());
        let own = self.shares.rank(now, pending, flow, service_time);
        let queued = self.requests.iter();
        let ranked = queued.map(|queued| (self.rank(now, queued, service_time), &queued.flow));
        self.shares.count_ahead(now, ranked, (own, flow))
    }

    fn rank(&self, now: Timestamp, queued: &QueuedRequest, expected_latency: Duration) -> Rank {
        self.shares
            .rank(now, &queued.pending, &queued.flow, expected_latency)
    }
}

/// Queued requests by service.
#[derive(Default)]
pub struct Queue {
    by_service: RefCell<Map<String, ServiceQueue>>,
}

impl Queue {
    /// Returns the number of requests that are queued for a service.
    pub fn len(&self, service: &str) -> usize {
        self.by_service
            .borrow()
            .get(service)
            .map_or(0, |queue| queue.requests.len())
    }

    /// Returns the expected wait of a request that is queued now; zero if none is queued.
    pub fn expected_wait(&self, service: &str) -> Duration {
        let by_service = self.by_service.borrow();
        let queue = by_service.get(service);
        let queue = queue.filter(|queue| !queue.requests.is_empty());
        queue.map_or(Duration::ZERO, |queue| {
            queue.dequeue_rate.expected_wait(queue.requests.len() + 1)
        })
    }

    /// Returns true if no request is queued for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.len(service) == 0
    }

    /// Returns the workspaces with the most queued requests, and how many they have.
    pub fn longest_by_workspace(&self, count: usize) -> Vec<(WorkspaceName, usize)> {
        let by_service = self.by_service.borrow();
        let queued = by_service.values().flat_map(|queue| &queue.requests);
        let mut counts: Map<WorkspaceName, usize> = Map::default();
        for name in queued.filter_map(|queued| queued.flow.clone()) {
            *counts.entry(name).or_default() += 1;
        }
        let mut counts: Vec<(WorkspaceName, usize)> = counts.into_iter().collect();
        counts.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        counts.truncate(count);
        counts
    }

    /// Records that a request of the service arrived, for the usual rate of its workspace.
    pub fn record_arrival(&self, now: Timestamp, service: &str, flow: &Flow) {
        let mut by_service = self.by_service.borrow_mut();
        match by_service.get_mut(service) {
            Some(queue) => queue.shares.record_arrival(now, flow),
            None => {
                let queue = by_service.entry(service.to_owned()).or_default();
                queue.shares.record_arrival(now, flow);
            }
        }
    }

    /// Assigns a target to the first request in queue order that may be sent to it. Returns the
    /// target if there is none.
    fn assign(
        &self,
        shared: &SharedState,
        service: &str,
        mut candidate: Candidate,
    ) -> Option<Candidate> {
        loop {
            let queued = {
                let mut by_service = self.by_service.borrow_mut();
                let Some(queue) = by_service.get_mut(service) else {
                    return Some(candidate);
                };
                queue.requests.retain(|queued| !queued.sender.is_closed());
                let now = shared.now();
                let accepted = queue.requests.iter().enumerate();
                let accepted = accepted
                    .filter(|(_, queued)| queued.accepts(shared, now, &candidate))
                    .map(|(i, queued)| (i, &queued.pending, &queued.flow));
                let estimate = &candidate.estimate;
                match queue.shares.select_for_target(now, estimate, accepted) {
                    Some(i) => {
                        queue
                            .dequeue_rate
                            .record_dequeue(now, queue.requests.len() - 1);
                        queue.requests.swap_remove(i)
                    }
                    None => return Some(candidate),
                }
            };
            match queued.sender.send(candidate) {
                Ok(()) => return None,
                Err(unsent) => candidate = unsent,
            }
        }
    }
}

/// Returns true if the new request of `search` has to leave the target to queued ones, see
/// [`FairShares::must_yield`].
pub fn must_yield(shared: &SharedState, search: &TargetSearch<'_>, estimate: &Estimate) -> bool {
    let by_service = shared.queue.by_service.borrow();
    let Some(queue) = by_service.get(&search.service.name) else {
        return false;
    };
    let now = shared.now();
    let rank = search.pending.rank(now, estimate.expected_latency);
    queue.shares.must_yield(now, &rank, &search.flow())
}

/// Counts a target that a request gets towards the share of its workspace.
pub fn record_send(
    shared: &SharedState,
    search: &TargetSearch<'_>,
    estimate: &Estimate,
    origin: SendOrigin,
) {
    let mut by_service = shared.queue.by_service.borrow_mut();
    if let Some(queue) = by_service.get_mut(&search.service.name) {
        let now = shared.now();
        let rank = search.pending.rank(now, estimate.expected_latency);
        queue
            .shares
            .record_send(now, rank.urgency, &search.flow(), origin);
    }
}

/// Offers a target to the queued requests if it has capacity. Returns its connection to the pool if
/// none takes it.
pub fn offer(shared: &Rc<SharedState>, service: &str, candidate: Candidate) {
    let candidate = match candidate.estimate.has_capacity {
        true => shared.queue.assign(shared, service, candidate),
        false => Some(candidate),
    };
    if let Some(candidate) = candidate {
        shared.pool.put(candidate.connection);
    }
}

/// Queues the request of `search` until it gets a target or no target could respond in time.
///
/// # Errors
///
/// Returns the time after which the caller may retry.
pub async fn wait(
    shared: &Rc<SharedState>,
    search: &TargetSearch<'_>,
    service_time: Duration,
    reason: QueueReason,
) -> Result<Candidate, Duration> {
    let (sender, mut receiver) = oneshot::channel();
    let mut pending = search.pending.clone();
    let window = search.deadline.send_window(shared, service_time);
    pending.limit_to_window(window, service_time);
    check_send_times(shared, search, service_time, Queueing::New)?;
    let trip = search.trip(shared);
    let start_probing = {
        let mut by_service = shared.queue.by_service.borrow_mut();
        let queue = by_service.entry(search.service.name.clone()).or_default();
        let now = shared.now();
        let flow = search.flow();
        let ahead = queue.count_ahead(now, &pending, &flow, service_time);
        // Also if it is refused: requests are waiting.
        queue.shares.record_queued(now, reason);
        pending.check_queue_wait(now, ahead, &queue.dequeue_rate, service_time)?;
        queue.requests.push(QueuedRequest {
            pending: pending.clone(),
            bundle: search.bundle.clone(),
            route_id: search.route_id,
            workspace_id: search.workspace_id,
            flow,
            service: search.service.clone(),
            tried: search.tried.clone(),
            trip,
            queued_at: now,
            reason,
            sender,
        });
        !std::mem::replace(&mut queue.probing, true)
    };
    if start_probing {
        let service = search.service.clone();
        tokio::task::spawn_local(probe_while_queued(shared.clone(), service));
    }
    let shutdown = shared.wait_for_phase(Phase::Leaving);
    tokio::pin!(shutdown);
    let mut is_shutting_down = false;
    // From then on the request is late, and others come first.
    let late_at = pending.soft_deadline.saturating_sub(service_time);
    let mut recheck_at = Some(late_at.min(pending.queue_deadline(service_time)));
    loop {
        let leaves_at = pending.queue_deadline(service_time);
        let wakes_at = recheck_at.unwrap_or(leaves_at).min(leaves_at);
        tokio::select! {
            biased;
            candidate = &mut receiver => {
                let retry_after = |_| retry_after(shared.now(), search.caller_deadline);
                return candidate.map_err(retry_after);
            }
            () = &mut shutdown, if !is_shutting_down => {
                is_shutting_down = true;
                let window = search.deadline.send_window(shared, service_time);
                pending.limit_to_window(window, service_time);
                check_wait(shared, search, &pending, service_time)?;
            }
            () = tokio::time::sleep_until(shared.instant(wakes_at)) => {
                if recheck_at.take().is_none() || wakes_at >= leaves_at {
                    return Err(retry_after(shared.now(), search.caller_deadline));
                }
                check_send_times(shared, search, service_time, Queueing::Queued)?;
            }
        }
    }
}

/// Checks whether a queued request gets its turn before its deadline, which a shutdown may have brought
/// forward.
///
/// # Errors
///
/// Returns the time after which the caller may retry if it does not.
fn check_wait(
    shared: &SharedState,
    search: &TargetSearch<'_>,
    pending: &PendingRequest,
    service_time: Duration,
) -> Result<(), Duration> {
    let mut by_service = shared.queue.by_service.borrow_mut();
    let Some(queue) = by_service.get_mut(&search.service.name) else {
        return Ok(());
    };
    let now = shared.now();
    // Counts the request itself.
    let ahead = queue
        .count_ahead(now, pending, &search.flow(), service_time)
        .saturating_sub(1);
    pending.check_queue_wait(now, ahead, &queue.dequeue_rate, service_time)
}

/// Whether a request is in the queue already.
enum Queueing {
    New,
    Queued,
}

/// Checks whether the limits that targets name leave room for the request before its deadline.
///
/// # Errors
///
/// Returns the time after which the caller may retry if they do not.
fn check_send_times(
    shared: &SharedState,
    search: &TargetSearch<'_>,
    service_time: Duration,
    queueing: Queueing,
) -> Result<(), Duration> {
    let pending = &search.pending;
    let now = shared.now();
    let send_times = {
        let view = shared.view.borrow();
        let target_stats = shared.target_stats.borrow();
        let until = pending.queue_deadline(service_time);
        search
            .selector(shared)
            .limited_send_times(now, &view, &target_stats, until)
    };
    let Some(send_times) = send_times else {
        return Ok(());
    };
    let own_count = match queueing {
        Queueing::New => 0,
        Queueing::Queued => 1,
    };
    let service = &search.service.name;
    let mut by_service = shared.queue.by_service.borrow_mut();
    let queue = by_service.entry(service.clone()).or_default();
    let ahead = queue.count_ahead(now, pending, &search.flow(), service_time);
    let mut services = shared.services.borrow_mut();
    let limits = &shared.reloadable().retry;
    let arrivals_per_s = services
        .get_mut(service)
        .map_or(0.0, |state| state.retry_budget.requests_per_s(now, limits));
    let position = QueuePosition {
        ahead: ahead.saturating_sub(own_count),
        queued_count: queue.requests.len().saturating_sub(own_count),
        arrivals_per_s,
    };
    pending.check_send_times(
        now,
        &send_times,
        &position,
        service_time,
        search.caller_deadline,
    )
}

/// Probes targets until no request is queued for the service.
async fn probe_while_queued(shared: Rc<SharedState>, service: Service) {
    for turn in 0.. {
        let selected = {
            let mut by_service = shared.queue.by_service.borrow_mut();
            let Some(queue) = by_service.get_mut(&service.name) else {
                return;
            };
            queue.requests.retain(|queued| !queued.sender.is_closed());
            let now = shared.now();
            for queued in &queue.requests {
                queue.shares.record_queued(now, queued.reason);
            }
            // No target is known yet, so a request counts as on time until its soft deadline has
            // passed.
            let requests = queue.requests.iter();
            let ranks: Vec<Rank> = requests
                .map(|queued| queue.rank(now, queued, Duration::ZERO))
                .collect();
            match select_queued(&ranks, turn) {
                Some(i) => {
                    let queued = &queue.requests[i];
                    let ids = (queued.route_id, queued.workspace_id);
                    let waited = now.saturating_sub(queued.queued_at);
                    let trip = queued.trip.as_ref();
                    let trip = trip.map(|trip| (trip.after(waited), waited));
                    (queued.bundle.clone(), ids, queued.tried.clone(), trip)
                }
                None => {
                    queue.probing = false;
                    return;
                }
            }
        };
        let (bundle, (route_id, workspace_id), tried, trip) = selected;
        target_search::probe_for_queue(
            &shared,
            &service,
            &bundle,
            route_id,
            workspace_id.map(|id| &bundle.workspaces[id]),
            tried,
            trip,
        )
        .await;
        tokio::time::sleep(QUEUE_PROBE_PAUSE).await;
    }
}
