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
use crate::probe::{self, Probed};
use crate::queue;
use crate::shared_state::Node;

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
pub struct Placed {
    /// The target.
    pub target: Rc<Target>,
    /// What it promised.
    pub offer: Estimate,
    /// When it was asked.
    pub asked_at: Timestamp,
    /// Connection to it.
    pub connection: Connection,
}

/// A request that looks for a target.
pub struct Seeking<'a> {
    /// Bundle that its route is of.
    pub bundle: &'a Rc<Bundle>,
    /// Its route.
    pub route_id: usize,
    /// Service that is to answer.
    pub service: &'a Service,
    /// When it is due and how long it may wait.
    pub waiting: PendingRequest,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
    /// Rounds of asking so far.
    pub rounds: u32,
}

/// Asks targets for one kind of request.
struct Round<'a> {
    node: &'a Rc<Node>,
    service: &'a Service,
    route: &'a Route,
    tried: &'a [TargetId],
}

impl Seeking<'_> {
    /// Returns the route of the request.
    pub fn route(&self) -> &Route {
        &self.bundle.routes[self.route_id]
    }

    /// Finds a target.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may come back, if none can answer in time.
    pub async fn find(&mut self, node: &Rc<Node>) -> Result<Placed, Duration> {
        let mut best: Option<Placed> = None;
        let mut rounds = 0;
        loop {
            rounds += 1;
            self.rounds += 1;
            let reach = match rounds {
                1 => Scope::Region,
                _ => Scope::AllRegions,
            };
            best = self.round(node).ask(reach, ASKED, best).await;
            let offer = best.as_ref().map(|placed| &placed.offer);
            match self.waiting.decide(node.now(), rounds, offer) {
                AdmissionDecision::ProbeAllRegions => continue,
                AdmissionDecision::Send => {
                    if let Some(placed) = best.take_if(|best| self.round(node).take(best)) {
                        return Ok(placed);
                    }
                }
                AdmissionDecision::Queue => {}
            }
            if let Some(placed) = best {
                node.pool.put(placed.connection);
            }
            return self.wait(node).await;
        }
    }

    /// Asks targets of the own region once and returns one only if it is free.
    pub async fn find_free(&mut self, node: &Rc<Node>) -> Option<Placed> {
        self.rounds += 1;
        let placed = self.round(node).ask(Scope::Region, ASKED, None).await?;
        if placed.offer.preferred && self.round(node).take(&placed) {
            return Some(placed);
        }
        node.pool.put(placed.connection);
        None
    }

    async fn wait(&mut self, node: &Rc<Node>) -> Result<Placed, Duration> {
        let work = self.round(node).work();
        loop {
            let placed = queue::wait(node, self, work).await?;
            if self.round(node).take(&placed) {
                return Ok(placed);
            }
            node.pool.put(placed.connection);
        }
    }

    fn round<'b>(&'b self, node: &'b Rc<Node>) -> Round<'b> {
        Round {
            node,
            service: self.service,
            route: self.route(),
            tried: &self.tried,
        }
    }
}

/// Asks targets on behalf of waiting requests and offers those that have room.
pub async fn search_round(
    node: &Rc<Node>,
    service: &Service,
    route: &Route,
    tried: Vec<TargetId>,
    count: usize,
) {
    let round = Round {
        node,
        service,
        route,
        tried: &tried,
    };
    if !round.may_search(count) {
        return;
    }
    let targets = round.pick(Scope::AllRegions, count);
    if let Some(placed) = round.ask_all(targets, None).await {
        queue::offer(node, &service.name, placed);
    }
}

impl Round<'_> {
    fn query(&self) -> Selector<'_> {
        Selector {
            service: &self.service.name,
            route: self.route,
            warmup_rate_per_s: self.service.warmup_rate_per_s,
            excluded: self.tried,
            locality: &self.node.here,
        }
    }

    fn work(&self) -> Duration {
        let services = self.node.services.borrow();
        let state = services.get(&self.service.name);
        state.map_or(self.route.objective, |s| s.work.get())
    }

    /// Returns this entry's part of the questions that the targets may be asked a second.
    fn probe_rate(&self) -> f64 {
        let view = self.node.view.borrow();
        let targets = view.service_targets(&self.service.name).len();
        let allowed = self.node.tuning().probes_per_s * PROBE_SHARE;
        allowed * targets as f64 / view.entry_count() as f64
    }

    /// Takes `count` questions for the search out of the budget.
    fn may_search(&self, count: usize) -> bool {
        let rate = self.probe_rate();
        let mut services = self.node.services.borrow_mut();
        let state = services.get_mut(&self.service.name);
        state.is_some_and(|s| s.probes.try_take_for_queue(self.node.now(), rate, count))
    }

    /// Takes up to `count` questions out of the budget.
    fn take_probes(&self, count: usize) -> usize {
        let rate = self.probe_rate();
        let mut services = self.node.services.borrow_mut();
        let state = services.get_mut(&self.service.name);
        state.map_or(0, |s| {
            s.probes.take_for_request(self.node.now(), rate, count)
        })
    }

    /// Asks a few targets and returns the best offer of these and `best`.
    async fn ask(&self, reach: Scope, count: usize, mut best: Option<Placed>) -> Option<Placed> {
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
    async fn ask_all(&self, targets: Vec<Rc<Target>>, mut best: Option<Placed>) -> Option<Placed> {
        if targets.is_empty() {
            return best;
        }
        let mut left = targets.len();
        let here = &self.node.here.region;
        let patience = match targets.iter().all(|target| target.region == *here) {
            true => ROUND_MIN,
            false => FAR_ROUND_MIN,
        };
        let patience_ends = tokio::time::Instant::now() + patience;
        let mut answers = probe::ask(self.node, self.service, targets);
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
    fn keep_better(&self, best: &mut Option<Placed>, placed: Placed) {
        let better = best
            .as_ref()
            .is_none_or(|b| placed.offer.expected_latency < b.offer.expected_latency);
        let worse = match better {
            true => best.replace(placed),
            false => Some(placed),
        };
        if let Some(worse) = worse {
            queue::offer(self.node, &self.service.name, worse);
        }
    }

    fn reports_load(&self) -> bool {
        let services = self.node.services.borrow();
        let state = services.get(&self.service.name);
        state.is_none_or(|s| s.reports_load != Some(false))
    }

    fn pick(&self, reach: Scope, count: usize) -> Vec<Rc<Target>> {
        let node = self.node;
        let view = node.view.borrow();
        let books = node.books.borrow();
        let mut rng = node.rng.borrow_mut();
        let ids = self
            .query()
            .candidates(node.now(), &view, &books, reach, count, &mut *rng);
        ids.iter()
            .filter_map(|id| view.target(id).map(|known| known.target.clone()))
            .collect()
    }

    fn rate(&self, probed: Probed) -> Placed {
        let now = self.node.now();
        let target = probed.target;
        let (mut record, in_flight) = self
            .node
            .with_book(&target.id, |book| (book.health(now), book.in_flight));
        record.unhealthy = !probed.healthy;
        self.note_report(probed.load.is_some(), probed.healthy);
        let load = probed.load.unwrap_or_else(|| own_load(&target, in_flight));
        Placed {
            offer: estimate(load, probed.round_trip, self.work(), record),
            target,
            asked_at: probed.asked_at,
            connection: probed.connection,
        }
    }

    /// Learns whether the service reports its load.
    fn note_report(&self, reported: bool, healthy: bool) {
        let mut services = self.node.services.borrow_mut();
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
    async fn choose_unasked(&self, targets: Vec<Rc<Target>>) -> Option<Placed> {
        let node = self.node;
        let now = node.now();
        let work = self.work();
        let rated = targets.into_iter().map(|target| {
            node.with_book(&target.id, |book| {
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
        match node.pool.get(target.addr, CONNECT_TIMEOUT).await {
            Ok(connection) => Some(Placed {
                offer,
                target,
                asked_at: now,
                connection,
            }),
            Err(error) => {
                slog::debug!(node.log, "connect_failed"; "target" => &*target.id, "cause" => %error);
                node.with_book(&target.id, |book| book.eject(node.now()));
                None
            }
        }
    }

    /// Checks right before the send that the rules still allow it and that the target still has
    /// room, and takes a send to a cold target out of its allowed rate.
    fn take(&self, placed: &Placed) -> bool {
        let node = self.node;
        let now: Timestamp = node.now();
        let rate = {
            let view = node.view.borrow();
            let query = self.query();
            let usable = view.target(&placed.target.id).is_some_and(|known| {
                let books = node.books.borrow();
                query.is_eligible(now, &view, known, books.get(&placed.target.id))
            });
            if !usable {
                return false;
            }
            query.entry_warmup_rate_per_s(&view)
        };
        node.with_book(&placed.target.id, |book| {
            let sends = book.sends_since(placed.asked_at);
            let taken = still_has_capacity(placed.offer.load, sends, book.in_flight)
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
pub fn release(
    node: &Rc<Node>,
    service: &str,
    target: Rc<Target>,
    load: Option<LoadReport>,
    connection: Connection,
) {
    let now = node.now();
    let Some(load) = load else {
        return node.pool.put(connection);
    };
    // The report on an answer still counts the request that it answers.
    let load = LoadReport {
        running: load.running.saturating_sub(1),
        ..load
    };
    let record = node.with_book(&target.id, |book| {
        book.record_report(now, load);
        book.health(now)
    });
    if node.queue.is_empty(service) {
        return node.pool.put(connection);
    }
    let work = {
        let services = node.services.borrow();
        services
            .get(service)
            .map_or(Duration::ZERO, |s| s.work.get())
    };
    let placed = Placed {
        offer: estimate(load, Duration::ZERO, work, record),
        target,
        asked_at: now,
        connection,
    };
    queue::offer(node, service, placed);
}

fn own_load(target: &Target, in_flight: u32) -> LoadReport {
    LoadReport {
        running: in_flight,
        queued: 0,
        slots: target.slots,
        slowdown: 1.0,
    }
}
