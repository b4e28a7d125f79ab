//! Choice of a target for a request.

use std::time::Duration;

use rand::RngExt as _;

use crate::request::Request;
use crate::target::Target;
use crate::{Policy, State};

/// Round trip between zones of a region.
const ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Round trip between regions.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(24);

/// Expected latency, as a multiple of the service's mean, from which a target counts as stalled.
const STALL_FACTOR: f64 = 4.0;

/// Expected latency below which no target counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(30);

/// Multiple of the service's mean latency that a request waits for a target that is not stalled.
const STALL_PATIENCE: f64 = 2.0;

/// Requests at a target, as a multiple of its slots, from which nothing overflows to it.
const OVERFLOW_LOAD_MAX: f64 = 2.0;

/// Queueing time after which a request overflows whatever the reports say.
const OVERFLOW_REGARDLESS: Duration = Duration::from_millis(100);

/// Queueing time, as a share of the service's mean latency, after which a request goes to a warm
/// target without a credit. Moving a credit takes four messages; under load or on a slow entry
/// that takes longer than the request would wait at a target.
const OVERFLOW_PATIENCE: f64 = 0.5;

/// Shortest queueing time before a request goes to a warm target without a credit.
const OVERFLOW_PATIENCE_MIN: Duration = Duration::from_millis(2);

/// Assumed bytes of an answer on a link between regions; the reducer does not see real sizes.
const ANSWER_BYTES: u64 = 16 * 1024;

/// Whether a target can take a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// The target with this index, for the reason given.
    Target(usize, &'static str),
    /// Targets are allowed but none has a free slot for this entry.
    Busy,
    /// No target may take the request.
    Nowhere,
}

impl State {
    /// Chooses a target for a request.
    pub(crate) fn choose(&mut self, now: Duration, request: &Request) -> Choice {
        match self.setup.policy {
            Policy::Random => self.choose_random(now, request, 1),
            Policy::TwoChoices => self.choose_random(now, request, 2),
            Policy::StaticShare => self.choose_static(now, request),
            Policy::Credits => self.choose_credits(now, request),
        }
    }

    /// True if rules allow the target and the request was not turned down by it before.
    pub(crate) fn allowed(target: &Target, request: &Request) -> bool {
        target.open()
            && request.rules.home.has(target.region)
            && !request.tried.contains(&target.id)
            && !request.open.iter().any(|o| o.target == target.id)
    }

    /// Returns the allowed targets of a service: those of this entry's region if there are any,
    /// and those that accept connections if there are any.
    fn candidates(&self, now: Duration, request: &Request) -> Vec<usize> {
        let range = self.fleet.services[request.rules.service].targets.clone();
        let mut found: Vec<usize> = range
            .filter(|i| Self::allowed(&self.fleet.targets[*i], request))
            .collect();
        let targets = &self.fleet.targets;
        prefer(&mut found, |i| Some(targets[i].region) == self.region);
        prefer(&mut found, |i| !targets[i].is_down(now));
        found
    }

    fn choose_random(&mut self, now: Duration, request: &Request, draws: usize) -> Choice {
        let candidates = self.candidates(now, request);
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        let mut best = candidates[self.rng.random_range(0..candidates.len())];
        for _ in 1..draws {
            let other = candidates[self.rng.random_range(0..candidates.len())];
            if self.fleet.targets[other].in_flight < self.fleet.targets[best].in_flight {
                best = other;
            }
        }
        let reason = if draws == 1 { "random" } else { "two_choices" };
        Choice::Target(best, reason)
    }

    fn choose_static(&mut self, now: Duration, request: &Request) -> Choice {
        let candidates = self.candidates(now, request);
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        let offset = self.rng.random_range(0..candidates.len());
        let (after, before) = candidates.split_at(offset);
        let free = before
            .iter()
            .chain(after)
            .copied()
            .map(|i| (self.fleet.targets[i].in_flight, i))
            .filter(|(busy, i)| *busy < self.static_share(&self.fleet.targets[*i]))
            .min_by_key(|(busy, _)| *busy);
        match free {
            Some((_, i)) => Choice::Target(i, "static_share"),
            None => Choice::Busy,
        }
    }

    /// Chooses by credits: a target of this region before one of another, a prompt one before a
    /// stalled one, and among these the one with the shortest expected latency.
    fn choose_credits(&mut self, now: Duration, request: &Request) -> Choice {
        let service = request.rules.service;
        let mean = self.fleet.services[service].latency.mean().as_secs_f64();
        let patient = now.saturating_sub(request.arrived).as_secs_f64() < STALL_PATIENCE * mean;
        let mut any = false;
        let mut best: Option<(bool, f64, usize, &'static str)> = None;
        for index in self.fleet.services[service].targets.clone() {
            let target = &self.fleet.targets[index];
            if !Self::allowed(target, request) {
                continue;
            }
            any = true;
            let Some(reason) = self.slot(now, index) else {
                continue;
            };
            let expected = target.latency.expected(now, mean);
            let stalled = expected > (STALL_FACTOR * mean).max(STALL_MIN.as_secs_f64());
            if stalled && patient {
                continue;
            }
            let remote = Some(target.region) != self.region;
            let cost = expected + self.distance(target);
            let better = best.is_none_or(|(r, c, ..)| (remote, cost) < (r, c));
            if better {
                best = Some((remote, cost, index, reason));
            }
        }
        match best {
            Some((true, _, index, reason)) => {
                if self.spend_link(now, request) {
                    Choice::Target(index, reason)
                } else {
                    Choice::Busy
                }
            }
            Some((false, _, index, reason)) => Choice::Target(index, reason),
            None if any => self.choose_overflow(now, request),
            None => Choice::Nowhere,
        }
    }

    /// Returns the queueing time after which a request of the service overflows.
    pub(crate) fn overflow_patience(&self, service: usize) -> Duration {
        let mean = self.fleet.services[service].latency.mean();
        mean.mul_f64(OVERFLOW_PATIENCE).max(OVERFLOW_PATIENCE_MIN)
    }

    /// Chooses a warm target of this region without a credit for a request that has waited long: the
    /// one with the least load by its last report, its latency taken into account.
    fn choose_overflow(&mut self, now: Duration, request: &Request) -> Choice {
        let service = request.rules.service;
        if now.saturating_sub(request.arrived) < self.overflow_patience(service) {
            return Choice::Busy;
        }
        let mean = self.fleet.services[service].latency.mean().as_secs_f64();
        let late = now.saturating_sub(request.arrived) > OVERFLOW_REGARDLESS;
        let range = self.fleet.services[service].targets.clone();
        let open: Vec<usize> = range
            .filter(|i| {
                let target = &self.fleet.targets[*i];
                Self::allowed(target, request)
                    && Some(target.region) == self.region
                    && target.is_warm(now)
                    && target.in_flight < target.credit.slots(now) + self.static_share(target)
                    && (late
                        || target.estimated_load(now) < OVERFLOW_LOAD_MAX * f64::from(target.slots))
            })
            .collect();
        let mut best: Option<(f64, usize)> = None;
        for index in open {
            let target = &self.fleet.targets[index];
            // The jitter keeps entries with the same reports from choosing the same target.
            let load = target.estimated_load(now) + self.rng.random_range(0.0..1.0);
            let cost = (load + 1.0) * target.latency.expected(now, mean);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        match best {
            Some((_, index)) => Choice::Target(index, "overflow"),
            None => Choice::Busy,
        }
    }

    /// Returns the slots of a target divided by the entries of this region, at least one.
    fn static_share(&self, target: &Target) -> u32 {
        (target.slots / self.entries_here).max(1)
    }

    /// Returns why this entry may use a slot of the target now, if it may.
    pub(crate) fn slot(&self, now: Duration, index: usize) -> Option<&'static str> {
        let target = &self.fleet.targets[index];
        let credit = &target.credit;
        let slots = if self.faults.ignore_expiry {
            credit.slots_ever()
        } else {
            credit.slots(now)
        };
        if target.in_flight < slots {
            return Some("credit");
        }
        let here = Some(target.region) == self.region;
        if !here || !target.is_warm(now) || credit.owner_present(now) {
            return None;
        }
        (target.in_flight < self.static_share(target)).then_some("static_share")
    }

    /// Returns the network delay there and back in seconds.
    fn distance(&self, target: &Target) -> f64 {
        if Some(target.zone) == self.zone {
            0.0
        } else if Some(target.region) == self.region {
            ZONE_ROUND_TRIP.as_secs_f64()
        } else {
            REGION_ROUND_TRIP.as_secs_f64()
        }
    }

    /// Spends the budget of links between regions for one request.
    fn spend_link(&mut self, now: Duration, request: &Request) -> bool {
        let Some(bundle) = self.bundle() else {
            return false;
        };
        let per_second = f64::from(bundle.limits.interregion_mbit_s) * 1e6 / 8.0;
        let bytes = request.arrival.body_bytes.unwrap_or(ANSWER_BYTES) + ANSWER_BYTES;
        let cost = bytes as f64;
        self.link
            .spend(now, per_second, (per_second / 4.0).max(cost), cost)
    }
}

/// Keeps the items for which `keep` is true if there are any.
fn prefer(items: &mut Vec<usize>, keep: impl Fn(usize) -> bool) {
    if items.iter().any(|i| keep(*i)) {
        items.retain(|i| keep(*i));
    }
}
