//! Search for the target of a request: probes a few targets of the region, then others of it, then
//! targets of all regions, or of the zones that `zone_search.rs` draws, and queues the request if none
//! has capacity.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Route, Service, Workspace, WorkspaceId};
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::admission::{AdmissionDecision, PendingRequest};
use lacewingmoor_control::assumed_load::assumed_load;
use lacewingmoor_control::confirmation::Confirmation;
use lacewingmoor_control::fairness::{Flow, QueueReason, SendOrigin};
use lacewingmoor_control::locality::{Reason, Trip};
use lacewingmoor_control::model::{Target, TargetId};
use lacewingmoor_control::selection::{
    Estimate, Scope, Selector, TargetHealth, estimate, still_has_capacity,
};
use lacewingmoor_control::stats::LoadReport;

use crate::connection::Connection;
use crate::probe::{self, ProbeResult, Purpose};
use crate::queue;
use crate::request_deadline::RequestDeadline;
use crate::shared_state::SharedState;
use crate::zone_search::targets_of;

/// Number of targets that are probed concurrently. `PROBE_RESERVE` in
/// `lacewingmoor_control::budget` equals it.
pub(crate) const PROBES_PER_ROUND: usize = 3;

/// The same for queued requests.
const QUEUE_PROBES_PER_ROUND: usize = 2;

/// Time after which a round of probes ends without the slower targets, as soon as there is a
/// candidate, which may come from the previous round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(8);

/// The same for a round with targets of other regions.
const REMOTE_ROUND_TIMEOUT: Duration = Duration::from_millis(40);

/// Timeout for connecting to a target that is chosen without a probe.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Share of the allowed probe rate per target that all entries together use. The rest covers
/// entries that are not registered yet.
const PROBE_UTILIZATION: f64 = 0.9;

/// Age up to which a load report is used in place of a probe that the budget does not allow. Must
/// not exceed `SEND_RETENTION` in `lacewingmoor_control::stats`, because the sends since the report
/// are added to it.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Targets that the log line of a refused request names.
const LEFT_OUT_MAX: usize = 6;

/// A target that a request may be sent to, with a connection to it.
pub struct Candidate {
    /// The target.
    pub target: Rc<Target>,
    /// Expected result of sending the request to it.
    pub estimate: Estimate,
    /// Time as of which `estimate.load` is known: the start of the probe, or the time of the
    /// estimate if it was made without one. Sends of this entry since then may not be included.
    pub load_as_of: Timestamp,
    /// Connection to the target.
    pub connection: Connection,
    /// Why targets of its zone were probed.
    pub reason: Reason,
}

/// What a target says of itself when it is asked whether it may be sent to.
enum ConfirmationResult {
    /// It may be sent to.
    Usable(Candidate),
    /// It may not, or another target has its address.
    Unusable,
    /// It has not responded in time. A full target does not.
    Unanswered,
}

/// Search for the target of one request.
pub struct TargetSearch<'a> {
    /// Bundle that the route belongs to.
    pub bundle: &'a Rc<Bundle>,
    /// Index of the route in the bundle.
    pub route_id: usize,
    /// Workspace of the request, if it has one.
    pub workspace_id: Option<WorkspaceId>,
    /// Service that handles the request.
    pub service: &'a Service,
    /// Deadlines and priority of the request.
    pub pending: PendingRequest,
    /// When the request must have its response.
    pub deadline: &'a RequestDeadline,
    /// When the caller's timeout expires.
    pub caller_deadline: Timestamp,
    /// Size of the request's body.
    pub body_bytes: usize,
    /// Targets that the request was already sent to.
    pub tried: Vec<TargetId>,
    /// Rounds of probes over all attempts of the request, for the log.
    pub rounds: u32,
    /// True until the first search for a target, if the request is assigned to the new version of a
    /// service that is being moved.
    pub prefers_new: bool,
}

/// Selects, probes and reserves targets for requests of one service and route.
pub(crate) struct TargetProber<'a> {
    pub(crate) shared: &'a Rc<SharedState>,
    pub(crate) bundle: &'a Bundle,
    pub(crate) service: &'a Service,
    route: &'a Route,
    workspace: Option<&'a Workspace>,
    tried: &'a [TargetId],
    prefers_new: bool,
    /// What leaving the zone costs the request; `None` if no zone weights are set.
    pub(crate) trip: Option<Trip>,
    /// Why targets are probed, for the candidates.
    reason: Reason,
}

impl TargetSearch<'_> {
    /// Returns the route of the request.
    pub fn route(&self) -> &Route {
        &self.bundle.routes[self.route_id]
    }

    /// Returns the workspace of the request.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.workspace_id.map(|id| &self.bundle.workspaces[id])
    }

    /// Returns whose share of the service's targets the request takes.
    pub fn flow(&self) -> Flow {
        self.workspace().map(|workspace| workspace.name.clone())
    }

    /// Returns a target for the request, for which it may wait in the queue.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry, if no target can respond in time.
    pub async fn find(&mut self, shared: &Rc<SharedState>) -> Result<Candidate, Duration> {
        if let Some(candidate) = self.find_new(shared).await {
            return Ok(candidate);
        }
        let mut best: Option<Candidate> = None;
        let mut search_rounds = 0;
        let mut reason = QueueReason::NoTarget;
        // Targets that this search has probed, besides those that the request was sent to.
        let mut seen = self.tried.clone();
        self.prober(shared).refresh_limit();
        loop {
            search_rounds += 1;
            self.rounds += 1;
            let mut prober = TargetProber {
                tried: &seen,
                ..self.prober(shared)
            };
            let found = best.as_ref().map(|best| prober.usable_estimate(best));
            let selected = prober.select_round(search_rounds, found.as_ref());
            let targets = selected.targets;
            prober.reason = selected.reason;
            let ids: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
            best = prober.probe(targets, best).await;
            let estimate = best.as_ref().map(|best| prober.usable_estimate(best));
            seen.extend(ids);
            match self
                .pending
                .decide(shared.now(), search_rounds, estimate.as_ref())
            {
                AdmissionDecision::ProbeMore => continue,
                AdmissionDecision::Send => {
                    if let Some(candidate) =
                        best.take_if(|best| queue::must_yield(shared, self, &best.estimate))
                    {
                        queue::offer(shared, &self.service.name, candidate);
                        reason = QueueReason::Yielded;
                    } else if let Some(candidate) =
                        best.take_if(|best| self.prober(shared).try_reserve(best))
                    {
                        queue::record_send(shared, self, &candidate.estimate, SendOrigin::New);
                        return Ok(candidate);
                    }
                }
                AdmissionDecision::Queue => {}
            }
            if let Some(candidate) = best {
                shared.pool.put(candidate.connection);
            }
            return self.wait_in_queue(shared, reason).await;
        }
    }

    /// Runs one round of probes, as the first one of a new request, and returns the best target only
    /// if it is preferred.
    pub async fn find_preferred(&mut self, shared: &Rc<SharedState>) -> Option<Candidate> {
        self.rounds += 1;
        let mut prober = self.prober(shared);
        let selected = prober.select_round(1, None);
        prober.reason = selected.reason;
        let candidate = prober.probe(selected.targets, None).await?;
        if prober.usable_estimate(&candidate).preferred && prober.try_reserve(&candidate) {
            return Some(candidate);
        }
        shared.pool.put(candidate.connection);
        None
    }

    /// Returns a target of the new version if the request is assigned to it and one has capacity. Without
    /// one, the request is no longer assigned to it.
    async fn find_new(&mut self, shared: &Rc<SharedState>) -> Option<Candidate> {
        if !self.prefers_new {
            return None;
        }
        self.rounds += 1;
        let prober = self.prober(shared);
        let targets = prober.select_targets(Scope::Region, PROBES_PER_ROUND);
        let mut candidate = prober.probe(targets, None).await;
        let found = candidate.take_if(|candidate| {
            self.pending.may_send_to(shared.now(), &candidate.estimate)
                && prober.try_reserve(candidate)
        });
        if let Some(candidate) = candidate {
            shared.pool.put(candidate.connection);
        }
        if found.is_none() {
            let mut rollouts = shared.rollouts.borrow_mut();
            rollouts.record_no_capacity(&self.service.name);
        }
        self.prefers_new = false;
        found
    }

    async fn wait_in_queue(
        &mut self,
        shared: &Rc<SharedState>,
        mut reason: QueueReason,
    ) -> Result<Candidate, Duration> {
        let service_time = self.service_time(shared);
        loop {
            let candidate = queue::wait(shared, self, service_time, reason).await?;
            if self.prober(shared).try_reserve(&candidate) {
                queue::record_send(shared, self, &candidate.estimate, SendOrigin::Queue);
                return Ok(candidate);
            }
            reason = QueueReason::NoTarget;
            shared.pool.put(candidate.connection);
        }
    }

    /// Returns the selector of targets for the request.
    pub fn selector<'b>(&'b self, shared: &'b SharedState) -> Selector<'b> {
        Selector {
            service: &self.service.name,
            route: self.route(),
            workspace: self.workspace(),
            warmup_rate_per_s: self.service.warmup_rate_per_s,
            excluded: &self.tried,
            locality: &shared.locality,
            versions: shared.version_choice(&self.service.name, self.prefers_new),
        }
    }

    /// Names some of the targets that the request must not be sent to now, with the reasons, for the log.
    pub fn left_out(&self, shared: &SharedState) -> String {
        let view = shared.view.borrow();
        let target_stats = shared.target_stats.borrow();
        let exclusions =
            self.selector(shared)
                .exclusions(shared.now(), &view, &target_stats, LEFT_OUT_MAX);
        let texts = exclusions.iter().map(|(id, why)| format!("{id}: {why}"));
        texts.collect::<Vec<_>>().join("; ")
    }

    /// Returns the time that a target at full speed takes for the request.
    pub fn service_time(&self, shared: &Rc<SharedState>) -> Duration {
        self.prober(shared).service_time()
    }

    fn prober<'b>(&'b self, shared: &'b Rc<SharedState>) -> TargetProber<'b> {
        TargetProber {
            shared,
            bundle: self.bundle,
            service: self.service,
            route: self.route(),
            workspace: self.workspace(),
            tried: &self.tried,
            prefers_new: self.prefers_new,
            trip: self.trip(shared),
            reason: Reason::Scope,
        }
    }
}

/// Probes targets for queued requests, if the probe budget allows it, and offers them those that
/// have capacity. `trip` is that of the request for which targets are probed, with the time that it has
/// waited, if zone weights are set.
pub async fn probe_for_queue(
    shared: &Rc<SharedState>,
    service: &Service,
    bundle: &Bundle,
    route_id: usize,
    workspace: Option<&Workspace>,
    tried: Vec<TargetId>,
    trip: Option<(Trip, Duration)>,
) {
    let count = QUEUE_PROBES_PER_ROUND;
    let (trip, waited) = trip.unzip();
    let reason = match trip {
        Some(_) => Reason::Queued,
        None => Reason::Scope,
    };
    let prober = TargetProber {
        shared,
        bundle,
        service,
        route: &bundle.routes[route_id],
        workspace,
        tried: &tried,
        prefers_new: false,
        trip,
        reason,
    };
    if !prober.try_take_queue_probes(count) {
        return;
    }
    let targets = match waited {
        Some(waited) => prober.select_for_queue(waited, count),
        None => prober.select_targets(Scope::AllRegions, count),
    };
    if let Some(candidate) = prober.probe_all(targets, None).await {
        queue::offer(shared, &service.name, candidate);
    }
}

impl TargetProber<'_> {
    pub(crate) fn selector(&self) -> Selector<'_> {
        Selector {
            service: &self.service.name,
            route: self.route,
            workspace: self.workspace,
            warmup_rate_per_s: self.service.warmup_rate_per_s,
            excluded: self.tried,
            locality: &self.shared.locality,
            versions: (self.shared).version_choice(&self.service.name, self.prefers_new),
        }
    }

    fn service_time(&self) -> Duration {
        let services = self.shared.services.borrow();
        let state = services.get(&self.service.name);
        state.map_or(self.route.objective, |s| s.service_time.get())
    }

    /// Returns this entry's share of the probe rate that the targets of the service allow.
    fn probe_rate_per_s(&self) -> f64 {
        let view = self.shared.view.borrow();
        let target_count = view.service_targets(&self.service.name).len();
        let target_rate_per_s = self.shared.reloadable().probes_per_s * PROBE_UTILIZATION;
        target_rate_per_s * target_count as f64 / view.entry_count() as f64
    }

    /// Takes `count` probes for queued requests out of the budget if it allows all of them.
    fn try_take_queue_probes(&self, count: usize) -> bool {
        let rate_per_s = self.probe_rate_per_s();
        let mut services = self.shared.services.borrow_mut();
        let state = services.get_mut(&self.service.name);
        state.is_some_and(|s| {
            s.probe_budget
                .try_take_for_queue(self.shared.now(), rate_per_s, count)
        })
    }

    /// Takes up to `count` probes for a new request out of the budget and returns the number taken.
    fn take_request_probes(&self, count: usize) -> usize {
        let rate_per_s = self.probe_rate_per_s();
        let mut services = self.shared.services.borrow_mut();
        let state = services.get_mut(&self.service.name);
        state.map_or(0, |s| {
            s.probe_budget
                .take_for_request(self.shared.now(), rate_per_s, count)
        })
    }

    /// Probes `targets` and returns the best candidate of these and `best`. Goes on without a probe if the
    /// budget is used up. If the service does not report its load, probes only for a confirmation.
    async fn probe(
        &self,
        mut targets: Vec<Rc<Target>>,
        mut best: Option<Candidate>,
    ) -> Option<Candidate> {
        if targets.is_empty() {
            return best;
        }
        let chosen = match self.may_report_load() {
            true => match self.take_request_probes(targets.len()) {
                0 => self.choose_without_probe(targets).await,
                probe_count => {
                    targets.truncate(probe_count);
                    return self.probe_all(targets, best).await;
                }
            },
            false => self.choose_confirmed(targets).await,
        };
        if let Some(candidate) = chosen {
            self.keep_better(&mut best, candidate);
        }
        best
    }

    /// Probes `targets` and returns the best candidate of these and `best`.
    async fn probe_all(
        &self,
        targets: Vec<Rc<Target>>,
        mut best: Option<Candidate>,
    ) -> Option<Candidate> {
        if targets.is_empty() {
            return best;
        }
        let mut remaining = targets.len();
        let own_region = &self.shared.locality.region;
        let timeout = match targets.iter().all(|target| target.region == *own_region) {
            true => ROUND_TIMEOUT,
            false => REMOTE_ROUND_TIMEOUT,
        };
        let deadline = tokio::time::Instant::now() + timeout;
        let mut results = probe::probe_targets(self.shared, self.service, targets, Purpose::Load);
        while remaining > 0 {
            let result = tokio::select! {
                result = results.recv() => result.flatten(),
                () = tokio::time::sleep_until(deadline), if best.is_some() => break,
            };
            remaining -= 1;
            let Some(probe_result) = result else {
                continue;
            };
            // The probe may have told a limit that this entry did not know.
            if !self.is_eligible(&probe_result.target) {
                self.shared.pool.put(probe_result.connection);
                continue;
            }
            self.keep_better(&mut best, self.candidate_from(probe_result));
        }
        best
    }

    /// Returns true if the request may be sent to the target now.
    fn is_eligible(&self, target: &Target) -> bool {
        is_eligible(self.shared, &self.selector(), target)
    }

    /// Returns true if the target's limit leaves the next send to requests that can be on time.
    fn is_reserved(&self, target: &Target) -> bool {
        let shared = self.shared;
        let view = shared.view.borrow();
        let target_stats = shared.target_stats.borrow();
        let stats = target_stats.get(&target.id);
        stats.is_some_and(|stats| {
            self.selector()
                .is_reserved(shared.now(), &view, target, stats)
        })
    }

    /// Probes a target that this entry must not send to, if its limit has to be confirmed and the probe
    /// budget allows it.
    fn refresh_limit(&self) {
        let target = {
            let view = self.shared.view.borrow();
            let target_stats = self.shared.target_stats.borrow();
            let id = self
                .selector()
                .select_for_refresh(self.shared.now(), &view, &target_stats);
            id.and_then(|id| view.target(&id).map(|registered| registered.target.clone()))
        };
        if let Some(target) = target
            && self.take_request_probes(1) == 1
        {
            let now = self.shared.now();
            self.shared
                .with_target_stats(&target.id, |stats| stats.limit.record_refresh(now));
            // Nothing waits for the result: the probe updates the statistics of the target.
            drop(probe::probe_targets(
                self.shared,
                self.service,
                vec![target],
                Purpose::Load,
            ));
        }
    }

    /// Keeps the better of two candidates and offers the other one to queued requests.
    fn keep_better(&self, best: &mut Option<Candidate>, candidate: Candidate) {
        let total =
            |candidate: &Candidate| candidate.estimate.expected_latency + self.cost(candidate);
        let better = best.as_ref().is_none_or(|b| total(&candidate) < total(b));
        let worse = match better {
            true => best.replace(candidate),
            false => Some(candidate),
        };
        if let Some(worse) = worse {
            queue::offer(self.shared, &self.service.name, worse);
        }
    }

    /// Returns false only if the service is known not to report its load.
    fn may_report_load(&self) -> bool {
        let services = self.shared.services.borrow();
        let state = services.get(&self.service.name);
        state.is_none_or(|s| s.reports_load != Some(false))
    }

    /// Returns true if the service is known to report its load.
    fn reports_load(&self) -> bool {
        let services = self.shared.services.borrow();
        let state = services.get(&self.service.name);
        state.is_some_and(|s| s.reports_load == Some(true))
    }

    pub(crate) fn select_targets(&self, scope: Scope, count: usize) -> Vec<Rc<Target>> {
        let shared = self.shared;
        let view = shared.view.borrow();
        let target_stats = shared.target_stats.borrow();
        let mut rng = shared.rng.borrow_mut();
        let ids =
            self.selector()
                .select(shared.now(), &view, &target_stats, scope, count, &mut *rng);
        targets_of(&view, &ids)
    }

    fn candidate_from(&self, probe_result: ProbeResult) -> Candidate {
        let now = self.shared.now();
        let target = probe_result.target;
        let (health, in_flight) = self
            .shared
            .with_target_stats(&target.id, |stats| (stats.health(now), stats.in_flight));
        let health = TargetHealth {
            unhealthy: !probe_result.healthy,
            reserved: self.is_reserved(&target),
            ..health
        };
        self.update_reports_load(probe_result.load.is_some(), probe_result.healthy);
        let load = probe_result
            .load
            .unwrap_or_else(|| load_from_in_flight(&target, in_flight));
        Candidate {
            estimate: estimate(load, probe_result.round_trip, self.service_time(), health),
            target,
            load_as_of: probe_result.probed_at,
            connection: probe_result.connection,
            reason: self.reason,
        }
    }

    /// Records whether the service reports its load. Once it has reported its load it counts as
    /// reporting, even if single responses lack it. A missing report counts only from a healthy
    /// target.
    fn update_reports_load(&self, reported: bool, healthy: bool) {
        let mut services = self.shared.services.borrow_mut();
        let Some(state) = services.get_mut(&self.service.name) else {
            return;
        };
        if reported {
            state.reports_load = Some(true);
        } else if healthy && state.reports_load.is_none() {
            state.reports_load = Some(false);
        }
    }

    /// Chooses the best target by the requests that this entry has in flight there, as
    /// [`Self::choose_without_probe`], that confirms that it is not cold, if that is due and the probe
    /// budget allows it. If none responds in time, chooses the best one without that.
    async fn choose_confirmed(&self, targets: Vec<Rc<Target>>) -> Option<Candidate> {
        let mut remaining = targets;
        let mut unanswered = Vec::new();
        while let Some((target, _)) = self.best_without_probe(&remaining) {
            remaining.retain(|other| other.id != target.id);
            let now = self.shared.now();
            let confirmation =
                (self.shared).with_target_stats(&target.id, |stats| stats.confirmation(now));
            match confirmation {
                Confirmation::Due if self.take_request_probes(1) == 1 => {}
                Confirmation::Due | Confirmation::Recent => {
                    return self.choose_without_probe(vec![target]).await;
                }
                Confirmation::Unanswered => {
                    unanswered.push(target);
                    continue;
                }
            }
            match self.confirm(&target).await {
                ConfirmationResult::Usable(candidate) => return Some(candidate),
                ConfirmationResult::Unusable => {}
                ConfirmationResult::Unanswered => unanswered.push(target),
            }
        }
        self.choose_without_probe(unanswered).await
    }

    /// Asks a target whether it may be sent to.
    async fn confirm(&self, target: &Rc<Target>) -> ConfirmationResult {
        let timeout = match target.region == self.shared.locality.region {
            true => ROUND_TIMEOUT,
            false => REMOTE_ROUND_TIMEOUT,
        };
        let targets = vec![target.clone()];
        let mut results =
            probe::probe_targets(self.shared, self.service, targets, Purpose::Confirmation);
        let Ok(result) = tokio::time::timeout(timeout, results.recv()).await else {
            let now = self.shared.now();
            self.shared.with_target_stats(&target.id, |stats| {
                stats.record_unanswered_confirmation(now)
            });
            return ConfirmationResult::Unanswered;
        };
        match result.flatten() {
            Some(probe_result) if self.is_eligible(&probe_result.target) => {
                ConfirmationResult::Usable(self.candidate_from(probe_result))
            }
            probe_result => {
                probe::return_connection(self.shared, probe_result);
                ConfirmationResult::Unusable
            }
        }
    }

    /// Chooses the best target by its last load report or, without a recent one, by the requests
    /// that this entry has in flight there, see [`assumed_load`]. Used for services that do not report their load, and
    /// when the probe budget is used up.
    async fn choose_without_probe(&self, targets: Vec<Rc<Target>>) -> Option<Candidate> {
        let shared = self.shared;
        let now = shared.now();
        let (target, best_estimate) = self.best_without_probe(&targets)?;
        match shared.pool.get(target.addr, CONNECT_TIMEOUT).await {
            Ok(connection) => Some(Candidate {
                estimate: best_estimate,
                target,
                load_as_of: now,
                connection,
                reason: self.reason,
            }),
            Err(error) => {
                slog::debug!(shared.log, "connect_failed"; "target" => &*target.id, "cause" => %error);
                shared.with_target_stats(&target.id, |stats| stats.eject(shared.now()));
                None
            }
        }
    }

    /// Returns the best target by what is known without a probe, and its estimate.
    fn best_without_probe(&self, targets: &[Rc<Target>]) -> Option<(Rc<Target>, Estimate)> {
        let shared = self.shared;
        let now = shared.now();
        let service_time = self.service_time();
        let reports_load = self.reports_load();
        let estimated = targets.iter().filter_map(|target| {
            let reserved = self.is_reserved(target);
            shared.with_target_stats(&target.id, |stats| {
                let recent = stats.recent_report(now, REPORT_AGE_MAX);
                let repeat = self.route.repeat;
                let load =
                    assumed_load(repeat, reports_load, recent, stats.in_flight, target.slots)?;
                let health = TargetHealth {
                    reserved,
                    ..stats.health(now)
                };
                let estimate = estimate(load, Duration::ZERO, service_time, health);
                Some((target.clone(), estimate, stats.in_flight))
            })
        });
        let best = estimated
            .min_by_key(|(_, estimate, in_flight)| (estimate.expected_latency, *in_flight));
        best.map(|(target, estimate, _)| (target, estimate))
    }

    /// Records a send to the target, if the target is still eligible and still has capacity. Checked
    /// right before the send, because both may have changed since the probe. A send to a target that
    /// is warming up is reserved only if this entry's share of its warm-up rate allows it, and
    /// counts towards that share.
    fn try_reserve(&self, candidate: &Candidate) -> bool {
        let shared = self.shared;
        let now: Timestamp = shared.now();
        let rate_per_s = {
            let view = shared.view.borrow();
            let selector = self.selector();
            if !self.is_eligible(&candidate.target) {
                return false;
            }
            selector.entry_warmup_rate_per_s(&view)
        };
        if !shared.rollouts.borrow().may_send(&candidate.target) {
            return false;
        }
        let reserved = shared.with_target_stats(&candidate.target.id, |stats| {
            let sends = stats.sends_since(candidate.load_as_of);
            let reserved = still_has_capacity(candidate.estimate.load, sends, stats.in_flight)
                && (!stats.is_warming_up(now) || stats.warmup_limiter.try_take(now, rate_per_s));
            if reserved {
                stats.record_send(now);
            }
            reserved
        });
        if reserved {
            shared.rollouts.borrow_mut().record_send(&candidate.target);
        }
        reserved
    }
}

/// Returns true if a request for which `selector` selects targets may be sent to the target now.
pub fn is_eligible(shared: &SharedState, selector: &Selector<'_>, target: &Target) -> bool {
    let view = shared.view.borrow();
    let target_stats = shared.target_stats.borrow();
    let stats = target_stats.get(&target.id);
    view.target(&target.id)
        .is_some_and(|registered| selector.is_eligible(shared.now(), &view, registered, stats))
}

/// Offers a target to queued requests after its response has been read. Returns its connection to
/// the pool if none takes it.
pub fn release_target(
    shared: &Rc<SharedState>,
    service: &str,
    target: Rc<Target>,
    load: Option<LoadReport>,
    connection: Connection,
) {
    let now = shared.now();
    let Some(load) = load else {
        return shared.pool.put(connection);
    };
    // The report in a response still counts the request that it responds to.
    let load = LoadReport {
        running: load.running.saturating_sub(1),
        ..load
    };
    let (health, is_leaving) = shared.with_target_stats(&target.id, |stats| {
        stats.record_report(now, load);
        (stats.health(now), stats.notices.is_leaving())
    });
    if shared.queue.is_empty(service) || is_leaving {
        return shared.pool.put(connection);
    }
    let service_time = {
        let services = shared.services.borrow();
        services
            .get(service)
            .map_or(Duration::ZERO, |s| s.service_time.get())
    };
    let candidate = Candidate {
        estimate: estimate(load, Duration::ZERO, service_time, health),
        target,
        load_as_of: now,
        connection,
        reason: match shared.reloadable().bounds.zones {
            Some(_) => Reason::Queued,
            None => Reason::Scope,
        },
    };
    queue::offer(shared, service, candidate);
}

fn load_from_in_flight(target: &Target, in_flight: u32) -> LoadReport {
    LoadReport {
        running: in_flight,
        queued: 0,
        slots: target.slots,
        slowdown: 1.0,
    }
}
