//! Finds a target for a request: asks a few, waits, or gives up.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Route, Service};
use lacewingmoor_control::Now;
use lacewingmoor_control::admit::{Step, Waiting};
use lacewingmoor_control::book::Load;
use lacewingmoor_control::facts::{Target, TargetId};
use lacewingmoor_control::place::{Offer, Query, Reach, offer};

use crate::connection::Connection;
use crate::node::Node;
use crate::probe::{self, Probed};

/// Targets asked at the same time.
const ASKED: usize = 3;

/// Time after the question at which slower targets are left out, if one has answered.
const ROUND_MIN: Duration = Duration::from_millis(8);

/// The same for questions to other regions.
const FAR_ROUND_MIN: Duration = Duration::from_millis(40);

/// Time to open a connection to a target that is not asked first.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A target that the request is sent to next.
pub struct Placed {
    /// The target.
    pub target: Rc<Target>,
    /// What it promised.
    pub offer: Offer,
    /// Connection to it.
    pub connection: Connection,
}

/// A request that looks for a target.
pub struct Seeking<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Service that is to answer.
    pub service: &'a Service,
    /// Arrival, objective and end of its time.
    pub waiting: Waiting,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
}

impl Seeking<'_> {
    /// Finds a target, or the time after which the caller may come back.
    pub async fn find(&mut self, node: &Rc<Node>) -> Result<Placed, Duration> {
        let mut best: Option<Placed> = None;
        self.waiting.rounds = 0;
        loop {
            self.waiting.rounds += 1;
            let reach = match self.waiting.rounds {
                1 => Reach::Region,
                _ => Reach::Anywhere,
            };
            best = self.round(node, reach, best).await;
            let work = self.work(node);
            let offer = best.as_ref().map(|placed| &placed.offer);
            match self.waiting.step(node.now(), offer, work) {
                Step::Send => {
                    if let Some(placed) = best.take()
                        && self.take_cold_gate(node, &placed)
                    {
                        return Ok(placed);
                    }
                }
                Step::Widen => {}
                Step::Wait(pause) => {
                    // An old offer tells nothing about the next moment.
                    if let Some(placed) = best.take() {
                        node.pool.put(placed.connection);
                    }
                    tokio::time::sleep(pause).await;
                }
                Step::Refuse(retry_after) => {
                    if let Some(placed) = best.take() {
                        node.pool.put(placed.connection);
                    }
                    return Err(retry_after);
                }
            }
        }
    }

    fn work(&self, node: &Node) -> Duration {
        let services = node.services.borrow();
        let state = services.get(&self.service.name);
        state.map_or(self.route.objective, |s| s.work.get())
    }

    fn query<'b>(&'b self, node: &'b Node) -> Query<'b> {
        Query {
            service: &self.service.name,
            route: self.route,
            warmup_rate: self.service.warmup_rate,
            tried: &self.tried,
            here: &node.here,
        }
    }

    /// Asks a few targets and returns the best offer of this round and the one before.
    async fn round(
        &self,
        node: &Rc<Node>,
        reach: Reach,
        mut best: Option<Placed>,
    ) -> Option<Placed> {
        let targets = self.pick(node, reach);
        if targets.is_empty() {
            return best;
        }
        let reports_load = {
            let services = node.services.borrow();
            services
                .get(&self.service.name)
                .is_none_or(|s| s.reports_load)
        };
        if !reports_load {
            return self.least_used(node, targets).await.or(best);
        }
        let mut left = targets.len();
        let patience = match reach {
            Reach::Region => ROUND_MIN,
            Reach::Anywhere => FAR_ROUND_MIN,
        };
        let patience_ends = tokio::time::Instant::now() + patience;
        let mut answers = probe::ask(node, self.service, targets);
        while left > 0 {
            let answer = tokio::select! {
                answer = answers.recv() => answer.flatten(),
                () = tokio::time::sleep_until(patience_ends), if best.is_some() => break,
            };
            left -= 1;
            let Some(probed) = answer else {
                continue;
            };
            let placed = self.rate(node, probed);
            let better = best
                .as_ref()
                .is_none_or(|b| placed.offer.expected < b.offer.expected);
            let worse = if better {
                best.replace(placed)
            } else {
                Some(placed)
            };
            if let Some(worse) = worse {
                node.pool.put(worse.connection);
            }
        }
        best
    }

    fn pick(&self, node: &Node, reach: Reach) -> Vec<Rc<Target>> {
        let view = node.view.borrow();
        let books = node.books.borrow();
        let mut rng = node.rng.borrow_mut();
        let ids = self
            .query(node)
            .candidates(node.now(), &view, &books, reach, ASKED, &mut *rng);
        ids.iter()
            .filter_map(|id| view.target(id).map(|known| known.target.clone()))
            .collect()
    }

    fn rate(&self, node: &Node, probed: Probed) -> Placed {
        let now = node.now();
        let (error_rate, cold, in_flight) = node.with_book(&probed.target.id, |book| {
            (book.error_rate(now), book.is_cold(now), book.in_flight)
        });
        let load = probed.load.unwrap_or_else(|| {
            self.note_no_load(node);
            own_load(&probed.target, in_flight)
        });
        let offer = offer(load, probed.round_trip, self.work(node), error_rate, cold);
        Placed {
            target: probed.target,
            offer,
            connection: probed.connection,
        }
    }

    fn note_no_load(&self, node: &Node) {
        if let Some(state) = node.services.borrow_mut().get_mut(&self.service.name) {
            state.reports_load = false;
        }
    }

    /// Takes the target with the fewest requests of this entry, for services that do not report
    /// their load.
    async fn least_used(&self, node: &Rc<Node>, targets: Vec<Rc<Target>>) -> Option<Placed> {
        let now = node.now();
        let (target, in_flight) = targets
            .into_iter()
            .map(|t| {
                let in_flight = node.with_book(&t.id, |book| book.in_flight);
                (t, in_flight)
            })
            .min_by_key(|(_, in_flight)| *in_flight)?;
        match node.pool.get(target.addr, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                let (error_rate, cold) = node.with_book(&target.id, |book| {
                    (book.error_rate(now), book.is_cold(now))
                });
                let load = own_load(&target, in_flight);
                let offer = offer(load, Duration::ZERO, self.work(node), error_rate, cold);
                Some(Placed {
                    target,
                    offer,
                    connection,
                })
            }
            Err(error) => {
                slog::debug!(node.log, "connect_failed"; "target" => &*target.id, "cause" => %error);
                node.with_book(&target.id, |book| book.failed(node.now()));
                None
            }
        }
    }

    /// Takes one send to a cold target out of its allowed rate; true for a warm one.
    fn take_cold_gate(&self, node: &Rc<Node>, placed: &Placed) -> bool {
        let now: Now = node.now();
        let rate = {
            let view = node.view.borrow();
            let query = self.query(node);
            let usable = view.target(&placed.target.id).is_some_and(|known| {
                let books = node.books.borrow();
                query.may_use(now, &view, known, books.get(&placed.target.id))
            });
            if !usable {
                return false;
            }
            query.cold_rate(&view)
        };
        node.with_book(&placed.target.id, |book| {
            !book.is_cold(now) || book.cold_gate.take(now, rate)
        })
    }
}

fn own_load(target: &Target, in_flight: u32) -> Load {
    Load {
        running: in_flight,
        waiting: 0,
        slots: target.slots,
        pace: 1.0,
    }
}
