//! Choice of the target of a request.
//!
//! Load pattern: targets that turn several times slower for a few hundred milliseconds, so that
//! every report is older than the state it tells of. A few targets are asked for their load right
//! before the send, and the one that promises the earliest answer gets the request.

use std::hash::{Hash as _, Hasher as _};
use std::time::Duration;

use lacewingmoor_bundle::Route;
use lacewingmoor_derive::value;
use rand::Rng;
use rand::seq::SliceRandom as _;
use rustc_hash::FxHasher;

use crate::facts::{NodeName, RegionName, TargetId, ZoneName};
use crate::stats::{Book, Load};
use crate::view::{Known, View};
use crate::{Map, Now};

/// Part of a target's slots up to which it works at full speed.
const FULL_SPEED_SHARE: f64 = 0.8;

/// Targets of a service that an entry asks first, of the own region if it has any. With hundreds of
/// targets, an entry that asked any of them would open a connection for nearly every question.
const FAMILIAR_TARGETS: usize = 8;

/// How much longer work takes on a target that is nearly full.
const CROWDED_FACTOR: f64 = 1.7;

/// Part of the fleet-wide rate of a cold target that entries use. The rest covers entries whose
/// view of their zone differs.
const COLD_RATE_SHARE: f64 = 1.2;

/// Slots at full speed that late requests leave to those that can still be on time: the least that
/// keeps a target open to them.
const LATE_RESERVE: u32 = 1;

/// Pace above which a target counts as slow.
pub const PACE_SLOW: f64 = 1.5;

/// Pace above which the difference no longer matters.
const PACE_MAX: f64 = 100.0;

/// Error rate below which a target counts as sound.
const ERROR_RATE_SOUND: f64 = 0.1;

/// Expected time lost per failed answer, in units of the work time.
const FAILURE_COST: f64 = 4.0;

/// Expected time lost at a target that says it is not healthy, in units of the work time.
const UNHEALTHY_COST: f64 = 20.0;

/// Where this entry stands.
#[value]
pub struct Place {
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Name of the entry, which decides the targets that it asks first.
    pub node: NodeName,
}

impl Place {
    /// Orders targets differently for each entry.
    fn affinity(&self, id: &TargetId) -> u64 {
        let mut hasher = FxHasher::default();
        self.node.hash(&mut hasher);
        id.hash(&mut hasher);
        hasher.finish()
    }
}

/// Which targets are asked.
#[value]
#[derive(Copy, Eq)]
pub enum Reach {
    /// Those of the entry's own region, or of all regions if it has none.
    Region,
    /// Those of every region.
    Anywhere,
}

/// A request that looks for a target.
pub struct Query<'a> {
    /// Service that is to answer.
    pub service: &'a str,
    /// Route of the request.
    pub route: &'a Route,
    /// Requests a second that a cold target of the service bears.
    pub warmup_rate: f64,
    /// Targets that are left out.
    pub tried: &'a [TargetId],
    /// Where the entry stands.
    pub here: &'a Place,
}

impl Query<'_> {
    /// Returns up to `count` targets to ask, in random order. Targets that failed lately are asked
    /// only if there are no others.
    pub fn candidates(
        &self,
        now: Now,
        view: &View,
        books: &Map<TargetId, Book>,
        reach: Reach,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<TargetId> {
        let mut sound = Vec::new();
        let mut avoided = Vec::new();
        for id in view.service(self.service) {
            let Some(known) = view.target(id) else {
                continue;
            };
            let book = books.get(id);
            if !self.may_use(now, view, known, book) {
                continue;
            }
            match book {
                Some(book) if book.is_avoided(now) => avoided.push(known),
                _ => sound.push(known),
            }
        }
        let mut pool = if sound.is_empty() { avoided } else { sound };
        if reach == Reach::Region {
            if pool.iter().any(|k| k.target.region == self.here.region) {
                pool.retain(|k| k.target.region == self.here.region);
            }
            if pool.len() > FAMILIAR_TARGETS {
                pool.sort_by_cached_key(|k| self.here.affinity(&k.target.id));
                pool.truncate(FAMILIAR_TARGETS);
            }
        }
        let (picked, _) = pool.partial_shuffle(rng, count);
        picked.iter().map(|k| k.target.id.clone()).collect()
    }

    /// Returns true if the rules allow a send to the target now.
    pub fn may_use(&self, now: Now, view: &View, known: &Known, book: Option<&Book>) -> bool {
        let target = &known.target;
        if target.draining
            || view.is_out(&target.zone)
            || !self.route.allows(&target.region)
            || self.tried.contains(&target.id)
        {
            return false;
        }
        match book {
            Some(book) if book.is_cold(now) => {
                target.zone == self.here.zone && book.cold_gate.open(now, self.cold_rate(view))
            }
            _ => true,
        }
    }

    /// Returns this entry's part of the rate at which a cold target of its zone is used.
    pub fn cold_rate(&self, view: &View) -> f64 {
        self.warmup_rate * COLD_RATE_SHARE / view.nodes_in_zone(&self.here.zone) as f64
    }
}

/// What a target that was asked promises.
#[value]
pub struct Offer {
    /// Load that it reported.
    pub load: Load,
    /// Expected time until its answer.
    pub expected: Duration,
    /// True if it starts the request at once and works at full speed.
    pub free: bool,
    /// True if it starts the request at once without slowing down what it runs.
    pub has_room: bool,
    /// True if it has such room for late requests too.
    pub has_spare_room: bool,
}

/// What is known of a target besides its load report.
#[value]
#[derive(Copy)]
pub struct Record {
    /// Share of requests that recently went wrong.
    pub error_rate: f64,
    /// True if it is cold.
    pub cold: bool,
    /// True if it says that it is not healthy.
    pub unhealthy: bool,
    /// True if it is slow in one spell after the other. A request that starts in a spell is slow as
    /// a whole, so a spell is waited out; a target that is slow for good is used as it is.
    pub slow_for_good: bool,
}

/// Returns how many requests a target of `slots` slots runs at full speed.
pub fn full_speed_slots(slots: u32) -> u32 {
    ((f64::from(slots) * FULL_SPEED_SHARE) as u32).max(1)
}

/// Returns true if a target that reported `load` still has room after `sends` of which the report
/// did not know, while `in_flight` requests of this entry are there or on their way.
///
/// Load pattern: many requests arrive at one entry at once, ask the same target and see the same
/// free slot. A report may also overtake a request that was sent before it.
pub fn still_has_room(load: Load, sends: u32, in_flight: u32) -> bool {
    let reported = load.running + load.waiting + sends;
    reported.max(in_flight) < full_speed_slots(load.slots)
}

/// Rates a target that reported `load` after `round_trip`. `work` is the usual time that a request
/// of the service takes.
pub fn offer(load: Load, round_trip: Duration, work: Duration, record: Record) -> Offer {
    let room = full_speed_slots(load.slots);
    let ahead = load.running + load.waiting;
    let has_room = ahead < room;
    let crowding = if has_room { 1.0 } else { CROWDED_FACTOR };
    let queued = f64::from((ahead + 1).saturating_sub(load.slots)) / f64::from(load.slots.max(1));
    let busy = work.mul_f64(crowding * (1.0 + queued));
    let slowed = busy.mul_f64(load.pace.clamp(1.0, PACE_MAX));
    // Health answers can be false, so an unhealthy target is the last resort rather than none.
    let unhealthy = if record.unhealthy {
        UNHEALTHY_COST
    } else {
        0.0
    };
    let failures = work.mul_f64(record.error_rate * FAILURE_COST + unhealthy);
    let usable = load.pace < PACE_SLOW || record.slow_for_good;
    let reserve = LATE_RESERVE.min(room - 1);
    Offer {
        load,
        expected: slowed + failures + round_trip,
        free: has_room
            && load.pace < PACE_SLOW
            && record.error_rate < ERROR_RATE_SOUND
            && !record.cold
            && !record.unhealthy,
        has_room: has_room && usable,
        has_spare_room: ahead + reserve < room && usable,
    }
}

/// Running estimate of the usual time that a request of a service takes on an idle target.
#[derive(Clone, Debug)]
pub struct WorkTime {
    mean_s: f64,
}

impl WorkTime {
    /// Weight of the newest answer.
    const GAIN: f64 = 0.05;

    /// Share of the objective that is assumed before the first answer.
    const INITIAL_SHARE: f64 = 0.4;

    /// Starts from the latency objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            mean_s: objective.as_secs_f64() * Self::INITIAL_SHARE,
        }
    }

    /// Returns the estimate.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Learns from an answer that took `took` where `expected` was expected.
    pub fn learn(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.mean_s += self.mean_s * (ratio.clamp(0.2, 3.0) - 1.0) * Self::GAIN;
    }
}
