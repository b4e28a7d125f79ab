//! Choice of the zone in which targets are probed for a request.
//!
//! Load pattern: the demand of one zone after the other swings by half within seconds. A zone's own
//! targets are then too few while those of others are idle, but bytes between zones and new
//! connections to targets are billed, and hundreds of entries see the same free targets.
//!
//! The first round of probes goes to another zone with a probability, the leave share, that follows
//! the expected gain of leaving in a ramp and moves by at most [`SHARE_CHANGE_PER_S`]. Later rounds
//! know what the first one found and go where free slots are expected. Whether a target may be used
//! is decided in `availability.rs` alone.

use std::time::Duration;

use lacewingmoor_bundle::Bundle;
use lacewingmoor_derive::{copy_value, value};
use rand::{Rng, RngExt as _};

use crate::availability::Use;
use crate::bounds::ZoneWeights;
use crate::model::{RegionName, Target, TargetId, ZoneName};
use crate::selection::{Estimate, Locality, SLOWDOWN_THRESHOLD, Selector, full_speed_slots};
use crate::stats::TargetStats;
use crate::view::{RegisteredTarget, View};
use crate::{Map, Timestamp};

/// Targets of each other zone that an entry probes first. One round probes as many, so that all
/// rounds there use the same connections.
const GUEST_SUBSET_SIZE: usize = 3;

/// Targets of the own zone that an entry probes first, as within a region without zone weights.
const HOME_SUBSET_SIZE: usize = 8;

/// Change of a leave share per second. A share of zero reaches one in two seconds, against a swing
/// of demand of 0.04 per second; what comes faster is moved by the second round of probes.
const SHARE_CHANGE_PER_S: f64 = 0.5;

/// Longest time since the last request for which a share moves at once.
const SHARE_STEP_MAX: Duration = Duration::from_secs(1);

/// Part of the first rounds that may leave. The rest keeps probing the own zone, so that the entry learns
/// when there is room again.
const LEAVE_SHARE_MAX: f64 = 0.95;

/// Expected gain at which the whole leave share is wanted, as a part of the service time.
const GAIN_RAMP: f64 = 0.25;

/// Part of the free slots of a zone that the first rounds of all entries of other zones may take.
/// Free slots are reported after what they take already, so at most half of the slots that the
/// zone itself leaves free are taken.
const SPILL_SHARE: f64 = 1.0;

/// Number of times that a zone of the region has to have the targets of another one for that to keep a
/// reserve. The excess of a zone at 1.5 times its capacity is above the whole capacity of such a zone.
const SMALL_ZONE_FACTOR: usize = 2;

/// Probes of a round.
const PROBES_PER_ROUND: i32 = 3;

/// Time in which the weight of a load report halves.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Age at which a load report is no longer counted; its weight is below a twentieth.
const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// Weight, in fresh reports, of the assumption that half of a zone is busy.
const ASSUMED_REPORTS: f64 = 0.5;

/// Free slots per target that are assumed at least when a zone is drawn after the first round, so
/// that one whose reports are all busy is still probed.
const FREE_SLOTS_MIN: f64 = 0.03;

/// Round trips to another zone for a probe and a request, at 0.5 to 0.9 ms one way.
const ZONE_DISTANCE: Duration = Duration::from_millis(3);

/// Round trips to another region for a probe and a request, at 12 ms one way.
const REGION_DISTANCE: Duration = Duration::from_millis(48);

/// Size of request and response for which the weights of the settings hold.
const TYPICAL_BYTES: f64 = 20_000.0;

/// Bounds of the factor on the weights for other sizes: probes and connections cost without a body,
/// and a large response must not wait without end.
const SIZE_FACTOR: (f64, f64) = (0.5, 4.0);

/// Where a target is, seen from the entry.
#[copy_value]
pub enum Place {
    /// In the zone of the entry.
    OwnZone,
    /// In another zone of its region.
    OwnRegion,
    /// In another region.
    OtherRegion,
}

impl Place {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OwnZone => "own_zone",
            Self::OwnRegion => "own_region",
            Self::OtherRegion => "other_region",
        }
    }

    fn distance(self) -> Duration {
        match self {
            Self::OwnZone => Duration::ZERO,
            Self::OwnRegion => ZONE_DISTANCE,
            Self::OtherRegion => REGION_DISTANCE,
        }
    }
}

impl Locality {
    /// Returns where a zone is.
    pub fn place(&self, zone: &ZoneName, region: &RegionName) -> Place {
        if *zone == self.zone {
            Place::OwnZone
        } else if *region == self.region {
            Place::OwnRegion
        } else {
            Place::OtherRegion
        }
    }
}

/// Why targets of a zone were probed for a request.
#[copy_value]
pub enum Reason {
    /// No zone weights are set.
    Scope,
    /// The own zone was expected to have room.
    Home,
    /// The own zone has no target that the request may be sent to.
    NoTarget,
    /// The own zone was expected to be busy.
    ExpectedLoad,
    /// The targets probed before were busy.
    ProbedLoad,
    /// The request was queued.
    Queued,
}

impl Reason {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Scope => "scope",
            Self::Home => "home",
            Self::NoTarget => "no_target",
            Self::ExpectedLoad => "expected_load",
            Self::ProbedLoad => "probed_load",
            Self::Queued => "queued",
        }
    }
}

/// What an entry knows of the targets of one zone that a request may be sent to.
#[value]
pub struct ZoneLoad {
    /// Zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Where it is.
    pub place: Place,
    /// Targets that the request may be sent to.
    pub target_count: usize,
    /// Share of them that have no free full-speed slot, are in a slow episode or warm up.
    pub busy_share: f64,
    /// Full-speed slots that are free.
    pub free_slots: f64,
}

/// Reports of the targets of a zone, weighted by age.
struct Reports {
    load: ZoneLoad,
    weight: f64,
    busy: f64,
    free: f64,
    /// Full-speed slots of the targets that do not warm up.
    slots: f64,
}

impl Reports {
    fn add(&mut self, now: Timestamp, registered: &RegisteredTarget, stats: Option<&TargetStats>) {
        self.load.target_count += 1;
        let full_speed = f64::from(full_speed_slots(registered.target.slots));
        if stats.is_some_and(|stats| stats.is_warming_up(now)) {
            self.weight += 1.0;
            self.busy += 1.0;
            return;
        }
        self.slots += full_speed;
        let Some((stats, (_, at))) = stats.and_then(|s| Some((s, s.last_report?))) else {
            return;
        };
        let Some(report) = stats.recent_report(now, REPORT_AGE_MAX) else {
            return;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
        let ahead = f64::from(report.running + report.queued);
        let is_slow = report.slowdown >= SLOWDOWN_THRESHOLD && !stats.is_persistently_slow();
        let free_share = match is_slow {
            true => 0.0,
            false => (1.0 - ahead / full_speed).max(0.0),
        };
        self.weight += weight;
        self.free += weight * free_share;
        if free_share == 0.0 {
            self.busy += weight;
        }
    }

    fn finish(self) -> ZoneLoad {
        let weight = self.weight + ASSUMED_REPORTS;
        let assumed = ASSUMED_REPORTS / 2.0;
        ZoneLoad {
            busy_share: (self.busy + assumed) / weight,
            free_slots: (self.free + assumed) / weight * self.slots,
            ..self.load
        }
    }
}

impl Selector<'_> {
    /// Returns the load of each zone with targets that the request may be sent to now; empty if all
    /// that are left are a last resort.
    pub fn zones(
        &self,
        now: Timestamp,
        view: &View,
        target_stats: &Map<TargetId, TargetStats>,
    ) -> Vec<ZoneLoad> {
        let mut zones: Vec<Reports> = Vec::new();
        let ids = view.service_targets(self.service).iter();
        for registered in ids.filter_map(|id| view.target(id)) {
            let target = &registered.target;
            let stats = target_stats.get(&target.id);
            if !matches!(self.check(now, view, registered, stats), Ok(Use::Normal)) {
                continue;
            }
            let known = zones.iter().position(|zone| zone.load.zone == target.zone);
            let i = known.unwrap_or_else(|| {
                zones.push(Reports {
                    load: ZoneLoad {
                        zone: target.zone.clone(),
                        region: target.region.clone(),
                        place: self.locality.place(&target.zone, &target.region),
                        target_count: 0,
                        busy_share: 0.0,
                        free_slots: 0.0,
                    },
                    weight: 0.0,
                    busy: 0.0,
                    free: 0.0,
                    slots: 0.0,
                });
                zones.len() - 1
            });
            zones[i].add(now, registered, stats);
        }
        zones.into_iter().map(Reports::finish).collect()
    }

    /// Returns up to `count` targets of a zone to probe, in random order, out of this entry's subset.
    pub fn select_in_zone(
        &self,
        now: Timestamp,
        view: &View,
        target_stats: &Map<TargetId, TargetStats>,
        zone: &ZoneName,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<TargetId> {
        let ids = view.service_targets(self.service).iter();
        let in_zone = ids
            .filter_map(|id| view.target(id))
            .filter(|registered| registered.target.zone == *zone);
        let mut pool: Vec<_> = in_zone
            .filter(|registered| {
                let stats = target_stats.get(&registered.target.id);
                matches!(self.check(now, view, registered, stats), Ok(Use::Normal))
            })
            .collect();
        let size = match *zone == self.locality.zone {
            true => HOME_SUBSET_SIZE,
            false => GUEST_SUBSET_SIZE,
        };
        self.keep_subset(&mut pool, size);
        Self::pick(pool, count, rng)
    }

    /// Returns true if the request has home regions, so that it has nowhere else to go.
    pub fn is_confined(&self) -> bool {
        let workspace = self.workspace;
        !self.route.home_regions.is_empty() || workspace.is_some_and(|w| !w.home_regions.is_empty())
    }

    /// Returns the estimate of a target for the request, without the last usable slot if the target keeps
    /// it free for others.
    pub fn usable_estimate(
        &self,
        view: &View,
        bundle: &Bundle,
        target: &Target,
        estimate: &Estimate,
    ) -> Estimate {
        if estimate.has_spare_capacity
            || self.is_confined()
            || !self.keeps_reserve(view, bundle, target)
        {
            return estimate.clone();
        }
        Estimate {
            preferred: false,
            has_capacity: false,
            ..estimate.clone()
        }
    }

    /// Returns true if the target keeps a slot free that requests of this entry must not use: for those
    /// with home regions, which cannot go elsewhere, and for those of a zone much smaller than this
    /// one. A reserve at all targets would cost those with few slots a third of their capacity.
    fn keeps_reserve(&self, view: &View, bundle: &Bundle, target: &Target) -> bool {
        match self.locality.place(&target.zone, &target.region) {
            Place::OwnZone => false,
            Place::OwnRegion => {
                let count = |zone: &ZoneName| {
                    let ids = view.service_targets(self.service).iter();
                    let targets = ids.filter_map(|id| view.target(id));
                    targets.filter(|r| r.target.zone == *zone).count()
                };
                count(&target.zone) * SMALL_ZONE_FACTOR <= count(&self.locality.zone)
            }
            Place::OtherRegion => {
                let mut routes = bundle.routes.iter();
                let mut workspaces = bundle.workspaces.iter();
                routes.any(|route| !route.home_regions.is_empty())
                    || workspaces.any(|workspace| !workspace.home_regions.is_empty())
            }
        }
    }
}

/// What leaving its zone costs a request and what staying may cost it.
#[value]
pub struct Trip {
    /// Weights of the settings.
    pub weights: ZoneWeights,
    /// Time that a request takes at full speed.
    pub service_time: Duration,
    /// Expected wait of requests that are queued now.
    pub queue_wait: Duration,
    /// Expected size of request and response.
    pub bytes: f64,
    /// Time that the request can lose and still be on time; zero if it is late.
    pub slack: Duration,
}

impl Trip {
    /// Returns the time that the request may wait or take longer rather than go to `place`. A request
    /// that would be late is not kept.
    pub fn cost(&self, place: Place) -> Duration {
        let weight = match place {
            Place::OwnZone => return Duration::ZERO,
            Place::OwnRegion => self.weights.zone_cost,
            Place::OtherRegion => self.weights.region_cost,
        };
        let (min, max) = SIZE_FACTOR;
        let cost = weight.mul_f64((self.bytes / TYPICAL_BYTES).clamp(min, max));
        match self.slack.is_zero() {
            // It is late wherever it goes, so leaving has no gain but time.
            true => cost,
            false => cost.min(self.slack),
        }
    }

    /// Returns true if the request, which found no capacity nearer for `loss`, may go to `place`.
    pub fn may_leave(&self, place: Place, loss: Duration) -> bool {
        loss >= self.cost(place) && (self.slack.is_zero() || place.distance() <= self.slack)
    }

    /// Returns the time lost by a request whose rounds of probes found `best`.
    pub fn loss(&self, best: Option<&Estimate>) -> Duration {
        match best {
            Some(best) if best.has_capacity => {
                best.expected_latency.saturating_sub(self.service_time)
            }
            _ => self.service_time + self.queue_wait,
        }
    }

    /// Returns the time that a request is expected to lose in a zone, with distance and weight.
    fn total_s(&self, zone: &ZoneLoad) -> f64 {
        let probes = PROBES_PER_ROUND.min(zone.target_count as i32);
        let wait = match zone.place {
            Place::OwnZone => self.service_time + self.queue_wait,
            Place::OwnRegion | Place::OtherRegion => self.service_time,
        };
        zone.busy_share.powi(probes) * wait.as_secs_f64()
            + (zone.place.distance() + self.cost(zone.place)).as_secs_f64()
    }

    /// Returns the mean of [`Self::total_s`] over the targets of the zones of `place`.
    fn place_total_s(&self, zones: &[ZoneLoad], place: Place) -> Option<f64> {
        let in_place = zones.iter().filter(|zone| zone.place == place);
        let (sum, count) = in_place.fold((0.0, 0.0), |(sum, count), zone| {
            let targets = zone.target_count as f64;
            (sum + self.total_s(zone) * targets, count + targets)
        });
        (count > 0.0).then(|| sum / count)
    }

    /// Returns how much a request gains by going to a zone rather than to nearer places, from 0 to 1.
    fn gain(&self, zones: &[ZoneLoad], zone: &ZoneLoad) -> f64 {
        let nearer = [Place::OwnZone, Place::OwnRegion]
            .into_iter()
            .filter(|place| *place < zone.place);
        let baseline_s = nearer
            .filter_map(|place| self.place_total_s(zones, place))
            .fold(f64::INFINITY, f64::min);
        let ramp_s = self.service_time.as_secs_f64() * GAIN_RAMP;
        ((baseline_s - self.total_s(zone)) / ramp_s.max(0.001)).clamp(0.0, 1.0)
    }
}

/// Load of the zones and of the entry, for the draw of a zone.
pub struct Surroundings<'a> {
    /// Zones with targets that the request may be sent to.
    pub zones: &'a [ZoneLoad],
    /// View, for the number of entries.
    pub view: &'a View,
    /// Requests of the service per second that arrive at this entry.
    pub requests_per_s: f64,
}

impl Surroundings<'_> {
    /// Returns the probability up to which the first round of a request may go to another zone.
    ///
    /// Load pattern: a zone with two targets beside one with dozens, and with hundreds of entries that
    /// all see its free slots.
    fn spill_limit(&self, trip: &Trip, zone: &ZoneLoad) -> f64 {
        let entries = match zone.place {
            Place::OwnZone | Place::OwnRegion => self.view.entry_count_in_region(&zone.region),
            Place::OtherRegion => self.view.entry_count(),
        };
        let running = self.requests_per_s
            * (trip.service_time + zone.place.distance()).as_secs_f64()
            * entries as f64;
        zone.free_slots * SPILL_SHARE / running.max(f64::MIN_POSITIVE)
    }

    /// Draws the zone of a round after the first one, in proportion to free slots, among the nearest
    /// place and those that are worth going to after `loss`. The second round goes to other regions
    /// only as far as that is expected to gain time over zones of the own region.
    pub fn next_zone(
        &self,
        trip: &Trip,
        round: u32,
        loss: Duration,
        rng: &mut impl Rng,
    ) -> Option<(ZoneName, Reason)> {
        let nearest = self.zones.iter().map(|zone| zone.place).min()?;
        let weighted = self.zones.iter().filter_map(|zone| {
            let factor = match zone.place {
                place if place == nearest => 1.0,
                place if !trip.may_leave(place, loss) => return None,
                Place::OtherRegion if round <= 2 => trip.gain(self.zones, zone),
                _ => 1.0,
            };
            Some((zone, probing_weight(zone) * factor))
        });
        let zone = draw(weighted, rng)?;
        let reason = match zone.place {
            Place::OwnZone => Reason::Home,
            Place::OwnRegion | Place::OtherRegion => Reason::ProbedLoad,
        };
        Some((zone.zone.clone(), reason))
    }
}

/// Shares of the first rounds of probes of a service that leave the zone and the region.
#[derive(Clone, Debug, Default)]
pub struct LeaveShares {
    zone: f64,
    region: f64,
    moved_at: Timestamp,
}

impl LeaveShares {
    /// Returns the share that leaves the zone for others of the region.
    pub fn zone(&self) -> f64 {
        self.zone
    }

    /// Returns the share that leaves the region.
    pub fn region(&self) -> f64 {
        self.region
    }

    /// Draws the zone of the first round of probes for a request. `None` if no zone has a target.
    pub fn first_zone(
        &mut self,
        now: Timestamp,
        trip: &Trip,
        around: &Surroundings<'_>,
        rng: &mut impl Rng,
    ) -> Option<(ZoneName, Reason)> {
        let zones = around.zones;
        let gains: Vec<f64> = zones.iter().map(|zone| trip.gain(zones, zone)).collect();
        // `None` if the request has no zone to go to there, as with home regions.
        let wanted = |place: Place| {
            let in_place = zones.iter().zip(&gains).filter(|(z, _)| z.place == place);
            in_place.map(|(_, gain)| *gain).reduce(f64::max)
        };
        let nearest = zones.iter().map(|zone| zone.place).min()?;
        let step = now.saturating_sub(self.moved_at).min(SHARE_STEP_MAX);
        self.moved_at = now;
        if let (Place::OwnZone, Some(wanted)) = (nearest, wanted(Place::OwnRegion)) {
            move_towards(&mut self.zone, wanted, step);
        }
        if let (Place::OwnZone | Place::OwnRegion, Some(wanted)) =
            (nearest, wanted(Place::OtherRegion))
        {
            move_towards(&mut self.region, wanted, step);
        }
        let draw_place = |place: Place, share: f64, rng: &mut _| {
            let others = zones.iter().zip(&gains).filter(|(z, _)| z.place == place);
            let weight = |zone: &ZoneLoad, gain: f64| zone.free_slots * gain;
            let sum: f64 = others.clone().map(|(zone, gain)| weight(zone, *gain)).sum();
            let probability = |zone: &ZoneLoad, gain: f64| {
                let part = weight(zone, gain) / sum.max(f64::MIN_POSITIVE);
                (share * part).min(around.spill_limit(trip, zone))
            };
            let shares = others.map(|(zone, gain)| (zone, probability(zone, *gain)));
            draw_up_to_one(shares, rng)
        };
        let places = [
            (Place::OtherRegion, self.region),
            (Place::OwnRegion, self.zone),
        ];
        let may_leave = rng.random::<f64>() < LEAVE_SHARE_MAX;
        let farther = places
            .into_iter()
            .filter(|(place, _)| may_leave && *place > nearest);
        for (place, share) in farther {
            if let Some(zone) = draw_place(place, share, rng) {
                return Some((zone.zone.clone(), Reason::ExpectedLoad));
            }
        }
        let near = zones.iter().filter(|zone| zone.place == nearest);
        let zone = draw(near.map(|zone| (zone, probing_weight(zone))), rng)?;
        let reason = match nearest {
            Place::OwnZone => Reason::Home,
            Place::OwnRegion | Place::OtherRegion => Reason::NoTarget,
        };
        Some((zone.zone.clone(), reason))
    }
}

/// Moves a share towards the wanted one.
fn move_towards(share: &mut f64, wanted: f64, step: Duration) {
    let change_max = SHARE_CHANGE_PER_S * step.as_secs_f64();
    *share += (wanted - *share).clamp(-change_max, change_max);
}

fn probing_weight(zone: &ZoneLoad) -> f64 {
    zone.free_slots
        .max(zone.target_count as f64 * FREE_SLOTS_MIN)
}

/// Draws a zone in proportion to the weights.
fn draw<'a>(
    zones: impl Iterator<Item = (&'a ZoneLoad, f64)> + Clone,
    rng: &mut impl Rng,
) -> Option<&'a ZoneLoad> {
    let sum: f64 = zones.clone().map(|(_, weight)| weight).sum();
    let last = zones.clone().last().map(|(zone, _)| zone);
    draw_up_to_one(zones.map(|(zone, weight)| (zone, weight / sum)), rng).or(last)
}

/// Draws a zone with the given probabilities; `None` with the rest.
fn draw_up_to_one<'a>(
    zones: impl Iterator<Item = (&'a ZoneLoad, f64)>,
    rng: &mut impl Rng,
) -> Option<&'a ZoneLoad> {
    let mut left: f64 = rng.random();
    for (zone, probability) in zones {
        left -= probability;
        if left < 0.0 {
            return Some(zone);
        }
    }
    None
}
