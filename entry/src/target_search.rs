//! Finds a target for a request: asks a few, asks further ones, or waits.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Route, Service};
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::admission::{AdmissionDecision, PendingRequest};
use lacewingmoor_control::model::{Target, TargetId};
use lacewingmoor_control::selection::{Estimate, Scope, Selector, estimate, still_has_capacity};
use lacewingmoor_control::stats::LoadReport;

use crate::connection::Connection;
use crate::probe::{self, ProbeResult};
use crate::queue;
use crate::shared_state::SharedState;

/// Targets asked at the same time.
const ASKED: usize = 3;

/// Time after the question at which slower targets are left out, if one has answered.
const ROUND_MIN: Duration = Duration::from_millis(8);

/// The same for questions to other regions.
const FAR_ROUND_MIN: Duration = Duration::from_millis(40);

/// Time to open a connection to a target that is not asked first.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the questions that operators allow a target which entries use. The rest covers entries
/// that are not registered yet.
const PROBE_SHARE: f64 = 0.9;

/// Age up to which a load report stands for a question that the budget does not allow.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// A target that the request is sent to next.
pub struct Candidate {
    /// The target.
    pub target: Rc<Target>,
    /// What it promised.
    pub estimate: Estimate,
    /// When it was asked.
    pub load_as_of: Timestamp,
    /// Connection to it.
    pub connection: Connection,
}

/// A request that looks for a target.
pub struct TargetSearch<'a> {
    /// Bundle that its route is of.
    pub bundle: &'a Rc<Bundle>,
    /// Its route.
    pub route_id: usize,
    /// Service that is to answer.
    pub service: &'a Service,
    /// When it is due and how long it may wait.
    pub pending: PendingRequest,
    /// When the caller stops waiting.
    pub caller_deadline: Timestamp,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
    /// Rounds of asking so far.
    pub rounds: u32,
}

/// Asks targets for one kind of request.
struct Round<'a> {
    shared: &'a Rc<SharedState>,
    service: &'a Service,
    route: &'a Route,
    tried: &'a [TargetId],
}

impl TargetSearch<'_> {
    /// Returns the route of the request.
    pub fn route(&self) -> &Route {
        &self.bundle.routes[self.route_id]
    }

    /// Finds a target.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may come back, if none can answer in time.
    pub async fn find(&mut self, shared: &Rc<SharedState>) -> Result<Candidate, Duration> {
        let mut best: Option<Candidate> = None;
        let mut rounds = 0;
        loop {
            rounds += 1;
            self.rounds += 1;
            let reach = match rounds {
                1 => Scope::Region,
                _ => Scope::AllRegions,
            };
            best = self.round(shared).ask(reach, ASKED, best).await;
            let offer = best.as_ref().map(|placed| &placed.estimate);
            match self.pending.decide(shared.now(), rounds, offer) {
                AdmissionDecision::ProbeAllRegions => continue,
                AdmissionDecision::Send => {
                    if let Some(placed) = best.take_if(|best| self.round(shared).take(best)) {
                        return Ok(placed);
                    }
                }
                AdmissionDecision::Queue => {}
            }
            if let Some(placed) = best {
                shared.pool.put(placed.connection);
            }
            return self.wait(shared).await;
        }
    }

    /// Asks targets of the own region once and returns one only if it is free.
    pub async fn find_preferred(&mut self, shared: &Rc<SharedState>) -> Option<Candidate> {
        self.rounds += 1;
        let placed = self.round(shared).ask(Scope::Region, ASKED, None).await?;
        if placed.estimate.preferred && self.round(shared).take(&placed) {
            return Some(placed);
        }
        shared.pool.put(placed.connection);
        None
    }

    async fn wait(&mut self, shared: &Rc<SharedState>) -> Result<Candidate, Duration> {
        let work = self.round(shared).work();
        loop {
            let placed = queue::wait(shared, self, work).await?;
            if self.round(shared).take(&placed) {
                return Ok(placed);
            }
            shared.pool.put(placed.connection);
        }
    }

    fn round<'b>(&'b self, shared: &'b Rc<SharedState>) -> Round<'b> {
        Round {
            shared,
            service: self.service,
            route: self.route(),
            tried: &self.tried,
        }
    }
}

/// Asks targets on behalf of waiting requests and offers those that have room.
pub async fn probe_for_queue(
    shared: &Rc<SharedState>,
    service: &Service,
    route: &Route,
    tried: Vec<TargetId>,
    count: usize,
) {
    let round = Round {
        shared,
        service,
        route,
        tried: &tried,
    };
    if !round.may_search(count) {
        return;
    }
    let targets = round.pick(Scope::AllRegions, count);
    if let Some(placed) = round.ask_all(targets, None).await {
        queue::offer(shared, &service.name, placed);
    }
}

impl Round<'_> {
    fn query(&self) -> Selector<'_> {
        Selector {
            service: &self.service.name,
            route: self.route,
            warmup_rate_per_s: self.service.warmup_rate_per_s,
            excluded: self.tried,
            locality: &self.shared.locality,
        }
    }

    fn work(&self) -> Duration {
        let services = self.shared.services.borrow();
        let state = services.get(&self.service.name);
        state.map_or(self.route.objective, |s| s.service_time.get())
    }

    /// Returns this entry's part of the questions that the targets may be asked a second.
    fn probe_rate(&self) -> f64 {
        let view = self.shared.view.borrow();
        let targets = view.service_targets(&self.service.name).len();
        let allowed = self.shared.reloadable().probes_per_s * PROBE_SHARE;
        allowed * targets as f64 / view.entry_count() as f64
    }

    /// Takes `count` questions for the search out of the budget.
    fn may_search(&self, count: usize) -> bool {
        let rate = self.probe_rate();
        let mut services = self.shared.services.borrow_mut();
        let state = services.get_mut(&self.service.name);
        state.is_some_and(|s| {
            s.probe_budget
                .try_take_for_queue(self.shared.now(), rate, count)
        })
    }

    /// Takes up to `count` questions out of the budget.
    fn take_probes(&self, count: usize) -> usize {
        let rate = self.probe_rate();
        let mut services = self.shared.services.borrow_mut();
        let state = services.get_mut(&self.service.name);
        state.map_or(0, |s| {
            s.probe_budget
                .take_for_request(self.shared.now(), rate, count)
        })
    }

    /// Asks a few targets and returns the best offer of these and `best`.
    async fn ask(
        &self,
        reach: Scope,
        count: usize,
        mut best: Option<Candidate>,
    ) -> Option<Candidate> {
        let mut targets = self.pick(reach, count);
        if targets.is_empty() {
            return best;
        }
        let allowed = match self.reports_load() {
            true => self.take_probes(targets.len()),
            false => 0,
        };
        if allowed == 0 {
            if let Some(placed) = self.choose_unasked(targets).await {
                self.keep_better(&mut best, placed);
            }
            return best;
        }
        targets.truncate(allowed);
        self.ask_all(targets, best).await
    }

    /// Asks targets and returns the best offer of these and `best`.
    async fn ask_all(
        &self,
        targets: Vec<Rc<Target>>,
        mut best: Option<Candidate>,
    ) -> Option<Candidate> {
        if targets.is_empty() {
            return best;
        }
        let mut left = targets.len();
        let here = &self.shared.locality.region;
        let patience = match targets.iter().all(|target| target.region == *here) {
            true => ROUND_MIN,
            false => FAR_ROUND_MIN,
        };
        let patience_ends = tokio::time::Instant::now() + patience;
        let mut answers = probe::probe_targets(self.shared, self.service, targets);
        while left > 0 {
            let answer = tokio::select! {
                answer = answers.recv() => answer.flatten(),
                () = tokio::time::sleep_until(patience_ends), if best.is_some() => break,
            };
            left -= 1;
            let Some(probed) = answer else {
                continue;
            };
            self.keep_better(&mut best, self.rate(probed));
        }
        best
    }

    /// Keeps the better of two offers; the other one is there for waiting requests.
    fn keep_better(&self, best: &mut Option<Candidate>, placed: Candidate) {
        let better = best
            .as_ref()
            .is_none_or(|b| placed.estimate.expected_latency < b.estimate.expected_latency);
        let worse = match better {
            true => best.replace(placed),
            false => Some(placed),
        };
        if let Some(worse) = worse {
            queue::offer(self.shared, &self.service.name, worse);
        }
    }

    fn reports_load(&self) -> bool {
        let services = self.shared.services.borrow();
        let state = services.get(&self.service.name);
        state.is_none_or(|s| s.reports_load != Some(false))
    }

    fn pick(&self, reach: Scope, count: usize) -> Vec<Rc<Target>> {
        let shared = self.shared;
        let view = shared.view.borrow();
        let books = shared.target_stats.borrow();
        let mut rng = shared.rng.borrow_mut();
        let ids = self
            .query()
            .candidates(shared.now(), &view, &books, reach, count, &mut *rng);
        ids.iter()
            .filter_map(|id| view.target(id).map(|known| known.target.clone()))
            .collect()
    }

    fn rate(&self, probed: ProbeResult) -> Candidate {
        let now = self.shared.now();
        let target = probed.target;
        let (mut record, in_flight) = self
            .shared
            .with_target_stats(&target.id, |book| (book.health(now), book.in_flight));
        record.unhealthy = !probed.healthy;
        self.note_report(probed.load.is_some(), probed.healthy);
        let load = probed.load.unwrap_or_else(|| own_load(&target, in_flight));
        Candidate {
            estimate: estimate(load, probed.round_trip, self.work(), record),
            target,
            load_as_of: probed.probed_at,
            connection: probed.connection,
        }
    }

    /// Learns whether the service reports its load.
    fn note_report(&self, reported: bool, healthy: bool) {
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

    /// Takes the best target by what is known without a question: its last report, or the requests
    /// of this entry there. For services that do not report their load, and for requests that are
    /// more than the questions allowed.
    async fn choose_unasked(&self, targets: Vec<Rc<Target>>) -> Option<Candidate> {
        let shared = self.shared;
        let now = shared.now();
        let work = self.work();
        let rated = targets.into_iter().map(|target| {
            shared.with_target_stats(&target.id, |book| {
                let load = match book.recent_report(now, REPORT_AGE_MAX) {
                    Some(load) => load,
                    None => own_load(&target, book.in_flight),
                };
                let offer = estimate(load, Duration::ZERO, work, book.health(now));
                (target.clone(), offer, book.in_flight)
            })
        });
        let best = rated.min_by_key(|(_, offer, in_flight)| (offer.expected_latency, *in_flight));
        let (target, offer, _) = best?;
        match shared.pool.get(target.addr, CONNECT_TIMEOUT).await {
            Ok(connection) => Some(Candidate {
                estimate: offer,
                target,
                load_as_of: now,
                connection,
            }),
            Err(error) => {
                slog::debug!(shared.log, "connect_failed"; "target" => &*target.id, "cause" => %error);
                shared.with_target_stats(&target.id, |book| book.eject(shared.now()));
                None
            }
        }
    }

    /// Checks right before the send that the rules still allow it and that the target still has
    /// room, and takes a send to a cold target out of its allowed rate.
    fn take(&self, placed: &Candidate) -> bool {
        let shared = self.shared;
        let now: Timestamp = shared.now();
        let rate = {
            let view = shared.view.borrow();
            let query = self.query();
            let usable = view.target(&placed.target.id).is_some_and(|known| {
                let books = shared.target_stats.borrow();
                query.is_eligible(now, &view, known, books.get(&placed.target.id))
            });
            if !usable {
                return false;
            }
            query.entry_warmup_rate_per_s(&view)
        };
        shared.with_target_stats(&placed.target.id, |book| {
            let sends = book.sends_since(placed.load_as_of);
            let taken = still_has_capacity(placed.estimate.load, sends, book.in_flight)
                && (!book.is_warming_up(now) || book.warmup_limiter.try_take(now, rate));
            if taken {
                book.record_send(now);
            }
            taken
        })
    }
}

/// Offers a target whose answer has just been read to the waiting requests, or keeps the
/// connection.
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
    // The report on an answer still counts the request that it answers.
    let load = LoadReport {
        running: load.running.saturating_sub(1),
        ..load
    };
    let record = shared.with_target_stats(&target.id, |book| {
        book.record_report(now, load);
        book.health(now)
    });
    if shared.queue.is_empty(service) {
        return shared.pool.put(connection);
    }
    let work = {
        let services = shared.services.borrow();
        services
            .get(service)
            .map_or(Duration::ZERO, |s| s.service_time.get())
    };
    let placed = Candidate {
        estimate: estimate(load, Duration::ZERO, work, record),
        target,
        load_as_of: now,
        connection,
    };
    queue::offer(shared, service, placed);
}

fn own_load(target: &Target, in_flight: u32) -> LoadReport {
    LoadReport {
        running: in_flight,
        queued: 0,
        slots: target.slots,
        slowdown: 1.0,
    }
}
