//! Selection of the target that a request is sent to.
//!
//! Load pattern: targets that become several times slower for a few hundred milliseconds, so that
//! every load report is older than the state it describes. An entry probes the load of a few
//! targets right before it sends, and the target with the lowest expected latency gets the request.
//!
//! Such a period, in which a target reports a slowdown of at least [`SLOWDOWN_THRESHOLD`], is
//! called a slow episode.

use std::time::Duration;

use lacewingmoor_bundle::{Route, Workspace};
use lacewingmoor_derive::value;
use rand::Rng;
use rand::seq::SliceRandom as _;

use crate::admission::SendTimes;
use crate::availability::{Exclusion, Use};
use crate::model::{EntryName, RegionName, Target, TargetId, ZoneName};
use crate::rendezvous::rendezvous_key;
use crate::rollout::exposure::VersionChoice;
use crate::sharing;
use crate::stats::{LoadReport, TargetStats};
use crate::view::{RegisteredTarget, View};
use crate::{Map, Timestamp};

/// Share of a target's slots up to which it works at full speed.
const FULL_SPEED_SHARE: f64 = 0.8;

/// Number of targets of a service that an entry probes first, from its own region if there are any
/// there. With hundreds of targets, an entry that probed any of them would open a new connection
/// for nearly every probe.
const SUBSET_SIZE: usize = 8;

/// Factor by which requests take longer on a target that is nearly full.
const CONTENTION_FACTOR: f64 = 1.7;

/// Multiple of a target's warm-up rate that all its senders together use.
const WARMUP_RATE_FACTOR: f64 = 1.2;

/// Multiple of a target's warm-up rate above which it may collapse, if exceeded in a second by more than
/// a few requests. What lies between [`WARMUP_RATE_FACTOR`] and it allows for senders that send at the
/// same moment.
const WARMUP_RATE_FACTOR_MAX: f64 = 1.5;

/// Part of the interval between two sends for which a send that a limit allows is left to requests that
/// can be on time.
const LATE_HOLD_SHARE: f64 = 0.25;

/// Sends to one target that are considered for queued requests. With a higher limit, a queue is not
/// bound by it.
const SENDS_MAX: usize = 64;

/// Part of a target's limit by which its senders may exceed it in a second.
const LIMIT_EXCESS_SHARE: f64 = 0.5;

/// Usable slots of a target that late requests must not use, so that requests that can still be on
/// time find one. One slot is the smallest reserve that does so.
const LATE_RESERVE_SLOTS: u32 = 1;

/// Slowdown at and above which a target counts as slow.
pub const SLOWDOWN_THRESHOLD: f64 = 1.5;

/// Slowdown above which the difference no longer matters.
const SLOWDOWN_MAX: f64 = 100.0;

/// Error rate below which a target can be preferred.
const PREFERRED_ERROR_RATE_MAX: f64 = 0.1;

/// Expected time lost per failed response, as a multiple of the service time.
const FAILURE_PENALTY: f64 = 4.0;

/// Expected time lost at a target that reports itself unhealthy, as a multiple of the service time.
const UNHEALTHY_PENALTY: f64 = 20.0;

/// Location and name of this entry.
#[value]
pub struct Locality {
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Name of the entry, which determines the subset of targets that it probes first.
    pub entry: EntryName,
}

/// Regions whose targets are probed.
#[value]
#[derive(Copy, Eq)]
pub enum Scope {
    /// The entry's own region, or all regions if it has no targets there. If there are more than
    /// `SUBSET_SIZE` targets, only the entry's subset of that size is probed.
    Region,
    /// All regions.
    AllRegions,
}

/// Selects targets for a request.
pub struct Selector<'a> {
    /// Name of the service that handles the request.
    pub service: &'a str,
    /// Route of the request.
    pub route: &'a Route,
    /// Workspace of the request, if it has one.
    pub workspace: Option<&'a Workspace>,
    /// Requests per second that one target of the service can take from all entries together while
    /// it warms up.
    pub warmup_rate_per_s: f64,
    /// Targets that are not considered, because they were already tried for this request.
    pub excluded: &'a [TargetId],
    /// Location and name of the entry.
    pub locality: &'a Locality,
    /// Versions of the service that the request may be sent to.
    pub versions: VersionChoice,
}

impl Selector<'_> {
    /// Returns up to `count` targets to probe, in random order. Targets of last resort are returned only
    /// if there are no others.
    pub fn select(
        &self,
        now: Timestamp,
        view: &View,
        target_stats: &Map<TargetId, TargetStats>,
        scope: Scope,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<TargetId> {
        let mut available = Vec::new();
        let mut last_resort = Vec::new();
        for id in view.service_targets(self.service) {
            let Some(registered) = view.target(id) else {
                continue;
            };
            match self.check(now, view, registered, target_stats.get(id)) {
                Ok(Use::Normal) => available.push(registered),
                Ok(Use::LastResort) => last_resort.push(registered),
                Err(_) => {}
            }
        }
        let mut pool = if available.is_empty() {
            last_resort
        } else {
            available
        };
        if scope == Scope::Region {
            if pool
                .iter()
                .any(|registered| registered.target.region == self.locality.region)
            {
                pool.retain(|registered| registered.target.region == self.locality.region);
            }
            self.keep_subset(&mut pool, SUBSET_SIZE);
        }
        Self::pick(pool, count, rng)
    }

    /// Keeps this entry's subset of at most `size` targets.
    pub(crate) fn keep_subset(&self, pool: &mut Vec<&RegisteredTarget>, size: usize) {
        if pool.len() > size {
            pool.sort_by_cached_key(|registered| {
                rendezvous_key(&self.locality.entry, &registered.target.id)
            });
            pool.truncate(size);
        }
    }

    /// Returns up to `count` targets in random order.
    pub(crate) fn pick(
        mut pool: Vec<&RegisteredTarget>,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<TargetId> {
        let (picked, _) = pool.partial_shuffle(rng, count);
        picked
            .iter()
            .map(|registered| registered.target.id.clone())
            .collect()
    }

    /// Returns true if the request may be sent to the target now.
    pub fn is_eligible(
        &self,
        now: Timestamp,
        view: &View,
        registered: &RegisteredTarget,
        stats: Option<&TargetStats>,
    ) -> bool {
        self.check(now, view, registered, stats).is_ok()
    }

    /// Returns true if this entry may send to the target, which is warming up.
    pub fn may_warm_up(
        &self,
        now: Timestamp,
        view: &View,
        target: &Target,
        stats: &TargetStats,
    ) -> bool {
        let rate_per_s = self.entry_warmup_rate_per_s(view);
        self.is_warmup_sender(view, target) && stats.warmup_limiter.allows(now, rate_per_s)
    }

    /// Returns the times until `until` at which the limits that targets name, or the times for which they
    /// decline requests, allow this entry another send. `None` if a target may be sent to without such a
    /// bound.
    pub fn limited_send_times(
        &self,
        now: Timestamp,
        view: &View,
        target_stats: &Map<TargetId, TargetStats>,
        until: Timestamp,
    ) -> Option<SendTimes> {
        let ids = view.service_targets(self.service).iter();
        let mut times = SendTimes::default();
        for registered in ids.filter_map(|id| view.target(id)) {
            let target = &registered.target;
            let stats = target_stats.get(&target.id);
            let returns_at = match self.check(now, view, registered, stats) {
                Err(exclusion) if exclusion.is_lasting() => continue,
                Err(Exclusion::Declined { until, .. }) => until,
                Ok(_) | Err(_) => now,
            };
            if returns_at > until {
                times.record_return(returns_at);
                continue;
            }
            let stats = stats.filter(|stats| stats.limit.get().is_some())?;
            let Some(share) = self.share(view, target, stats) else {
                continue;
            };
            let from = |at: Timestamp| at.max(returns_at);
            times
                .on_time
                .extend(share.sends(from(share.next_send_at), until));
            times
                .late
                .extend(share.sends(from(share.late_from()), until));
        }
        times.on_time.sort();
        times.late.sort();
        Some(times)
    }

    /// Returns from when on the limit that a target names allows this entry to send to it: always if it
    /// names none, `None` if only other entries may.
    pub fn next_send_at(
        &self,
        view: &View,
        target: &Target,
        stats: &TargetStats,
    ) -> Option<Timestamp> {
        if stats.limit.get().is_none() {
            return Some(Timestamp::ZERO);
        }
        let share = self.share(view, target, stats)?;
        Some(share.next_send_at)
    }

    /// Returns true if a target names a limit and its next send is left to requests that can be on time.
    pub fn is_reserved(
        &self,
        now: Timestamp,
        view: &View,
        target: &Target,
        stats: &TargetStats,
    ) -> bool {
        let share = self.share(view, target, stats);
        share.is_some_and(|share| now < share.late_from())
    }

    /// Returns this entry's share of the limit that a target names; `None` if it has none.
    fn share(&self, view: &View, target: &Target, stats: &TargetStats) -> Option<Share> {
        let rate_per_s = stats.limit.get()?.per_s();
        let entry_count = view.entry_count();
        let senders = sharing::senders_max(rate_per_s * LIMIT_EXCESS_SHARE).min(entry_count);
        let last_send_at = stats.last_send_at();
        let rank = view.sender_rank(self.locality, target, senders);
        let interval = sharing::send_interval(rate_per_s, senders);
        if let (Some(rank), Some(interval)) = (rank, interval) {
            // Senders that are told at the same moment begin one after the other.
            let first_wait = interval.mul_f64((rank + 1) as f64 / senders as f64);
            let limit = &stats.limit;
            return Some(Share {
                next_send_at: limit.next_send_at(last_send_at, interval, first_wait),
                interval,
            });
        }
        let key = rendezvous_key(&self.locality.entry, &target.id);
        let draw = key as f64 / u64::MAX as f64;
        let interval = sharing::trial_interval(rate_per_s, entry_count, draw);
        let next_send_at = stats.limit.next_trial_at(last_send_at, interval)?;
        Some(Share {
            next_send_at,
            interval,
        })
    }

    /// Returns a target of the entry's region to probe because the entry may not send to it and has not
    /// heard for a while whether its limit still holds.
    ///
    /// Load pattern: a target recovers and no longer names a limit. Entries that are no senders of it
    /// would never send to it again.
    pub fn select_for_refresh(
        &self,
        now: Timestamp,
        view: &View,
        target_stats: &Map<TargetId, TargetStats>,
    ) -> Option<TargetId> {
        let in_region = view.entry_count_in_region(&self.locality.region);
        let interval = sharing::refresh_interval(in_region);
        let should_refresh = |id: &&TargetId| {
            let stats = target_stats.get(*id);
            let is_due = stats.is_some_and(|stats| stats.limit.should_refresh(now, interval));
            is_due
                && view.target(id).is_some_and(|registered| {
                    registered.target.region == self.locality.region
                        && matches!(
                            self.check(now, view, registered, stats),
                            Err(Exclusion::Limited | Exclusion::WarmingUp)
                        )
                })
        };
        let ids = view.service_targets(self.service).iter();
        ids.filter(|id| !self.excluded.contains(id))
            .find(should_refresh)
            .cloned()
    }

    /// Returns true if this entry is one of those that send to the target while it warms up: entries
    /// of its zone.
    fn is_warmup_sender(&self, view: &View, target: &Target) -> bool {
        let senders_max = self.warmup_senders_max();
        let zone = &self.locality.zone;
        *zone == target.zone
            && (view.entry_count_in_zone(zone) <= senders_max
                || view
                    .sender_rank(self.locality, target, senders_max)
                    .is_some())
    }

    fn warmup_senders_max(&self) -> usize {
        let excess = WARMUP_RATE_FACTOR_MAX - WARMUP_RATE_FACTOR;
        sharing::senders_max(self.warmup_rate_per_s * excess)
    }

    /// Returns this entry's share of the rate at which a target of its zone that is warming up gets
    /// requests.
    pub fn entry_warmup_rate_per_s(&self, view: &View) -> f64 {
        let entry_count = view.entry_count_in_zone(&self.locality.zone);
        let senders = entry_count.min(self.warmup_senders_max());
        self.warmup_rate_per_s * WARMUP_RATE_FACTOR / senders as f64
    }
}

/// Share of an entry in the rate of a target that is limited for all entries together.
struct Share {
    /// Time from which on the entry may send.
    next_send_at: Timestamp,
    /// Interval between further sends.
    interval: Duration,
}

impl Share {
    /// Returns the time from which on the entry may also send a request that is late.
    ///
    /// Load pattern: all targets of a service name limits that are below the load. Late requests wait
    /// for every send that becomes allowed, so requests that arrive a moment later and could be on time
    /// would become late in turn.
    fn late_from(&self) -> Timestamp {
        let hold = self.interval.mul_f64(LATE_HOLD_SHARE);
        self.next_send_at.saturating_add(hold)
    }

    /// Returns the times of the sends from `first` until `until`, at most [`SENDS_MAX`].
    fn sends(&self, first: Timestamp, until: Timestamp) -> impl Iterator<Item = Timestamp> {
        let interval = self.interval;
        std::iter::successors(Some(first), move |at| at.checked_add(interval))
            .take_while(move |at| *at <= until)
            .take(SENDS_MAX)
    }
}

/// Expected result of sending a request to a target.
#[value]
pub struct Estimate {
    /// Load of the target.
    pub load: LoadReport,
    /// Expected time until the response.
    pub expected_latency: Duration,
    /// True if the target can start the request at once at full speed, has a low error rate, is
    /// healthy and is not warming up.
    pub preferred: bool,
    /// True if the target can start the request at once in one of its usable slots (see
    /// [`usable_slots`]), and is in no slow episode or is persistently slow.
    pub has_capacity: bool,
    /// True if `has_capacity` holds even without the slots that late requests must leave free.
    pub has_spare_capacity: bool,
    /// True if late requests must not use the target's limit yet.
    pub reserved: bool,
}

/// State of a target apart from its load report.
#[value]
#[derive(Copy)]
pub struct TargetHealth {
    /// Share of recent requests that failed.
    pub error_rate: f64,
    /// True if the target is warming up.
    pub warming_up: bool,
    /// True if the target reports itself unhealthy.
    pub unhealthy: bool,
    /// True if the target names a limit that leaves a send to requests that can be on time.
    pub reserved: bool,
    /// True if the target had several consecutive slow episodes and is therefore used in spite of
    /// them. For other targets, requests wait until a slow episode is over, because a request that
    /// starts in one is slow until it ends.
    pub persistently_slow: bool,
}

/// Returns how many requests a target with `slots` slots runs at full speed.
pub fn full_speed_slots(slots: u32) -> u32 {
    ((f64::from(slots) * FULL_SPEED_SHARE) as u32).max(1)
}

/// Returns how many requests a target with `slots` slots runs when it serves the most per second: all
/// slots if it is faster with every slot in use than with only the full-speed slots, which are
/// fewer.
///
/// Load pattern: targets with two slots, one of which is a full-speed slot, under a load above half
/// of the slots. If the second slot stayed idle, requests would wait for a free target until they
/// are late although they could be on time in it.
pub fn usable_slots(slots: u32) -> u32 {
    let full_speed = full_speed_slots(slots);
    let serves_more_when_full = f64::from(slots) / CONTENTION_FACTOR > f64::from(full_speed);
    if serves_more_when_full {
        slots
    } else {
        full_speed
    }
}

/// Returns true if a target that reported `load` still has capacity after `sends` requests that the
/// report does not include, with `in_flight` requests of this entry that await their response.
///
/// Load pattern: many requests arrive at one entry at once, probe the same target and see the same
/// free slot. A report may also overtake a request that was sent before it.
pub fn still_has_capacity(load: LoadReport, sends: u32, in_flight: u32) -> bool {
    let reported = load.running + load.queued + sends;
    reported.max(in_flight) < usable_slots(load.slots)
}

/// Estimates the latency of a target that reported `load` after `round_trip`. `service_time` is the
/// time that a request of the service takes at full speed.
pub fn estimate(
    load: LoadReport,
    round_trip: Duration,
    service_time: Duration,
    health: TargetHealth,
) -> Estimate {
    let full_speed = full_speed_slots(load.slots);
    let ahead = load.running + load.queued;
    let usable = usable_slots(load.slots);
    let has_full_speed_slot = ahead < full_speed;
    let contention = if has_full_speed_slot {
        1.0
    } else {
        CONTENTION_FACTOR
    };
    let queue_factor =
        f64::from((ahead + 1).saturating_sub(load.slots)) / f64::from(load.slots.max(1));
    let busy = service_time.mul_f64(contention * (1.0 + queue_factor));
    let slowed = busy.mul_f64(load.slowdown.clamp(1.0, SLOWDOWN_MAX));
    // Probes can be wrong, so an unhealthy target is a last resort instead of being excluded.
    let unhealthy_penalty = if health.unhealthy {
        UNHEALTHY_PENALTY
    } else {
        0.0
    };
    let penalty = service_time.mul_f64(health.error_rate * FAILURE_PENALTY + unhealthy_penalty);
    let at_speed = load.slowdown < SLOWDOWN_THRESHOLD || health.persistently_slow;
    let reserve = LATE_RESERVE_SLOTS.min(usable - 1);
    Estimate {
        load,
        expected_latency: slowed + penalty + round_trip,
        preferred: has_full_speed_slot
            && load.slowdown < SLOWDOWN_THRESHOLD
            && health.error_rate < PREFERRED_ERROR_RATE_MAX
            && !health.warming_up
            && !health.unhealthy,
        has_capacity: ahead < usable && at_speed,
        has_spare_capacity: ahead + reserve < usable && at_speed,
        reserved: health.reserved,
    }
}

/// Moving average of the time that a request of a service takes at full speed.
#[derive(Clone, Debug)]
pub struct ServiceTime {
    mean_s: f64,
}

impl ServiceTime {
    /// Weight of the newest response in the average.
    const SMOOTHING: f64 = 0.05;

    /// Share of the latency objective that is assumed before the first response.
    const INITIAL_SHARE: f64 = 0.4;

    /// Starts from a share of the latency objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            mean_s: objective.as_secs_f64() * Self::INITIAL_SHARE,
        }
    }

    /// Returns the average.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Updates the average with a response that took `latency` where `expected_latency` was
    /// estimated. The ratio of the two removes the effect of load, and it is clamped so that one
    /// outlier counts little.
    pub fn observe(&mut self, latency: Duration, expected_latency: Duration) {
        let ratio = latency.as_secs_f64() / expected_latency.as_secs_f64().max(0.001);
        self.mean_s += self.mean_s * (ratio.clamp(0.2, 3.0) - 1.0) * Self::SMOOTHING;
    }
}
