//! What this entry knows about one target, and the cap that follows from it.

mod evidence;

use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_bundle::{NodeId, RegionId, Service, TargetId, ZoneId};

use crate::credit::GrantLedger;
use crate::demand::Credit;
use crate::latency::Latency;
use crate::owner::Lease;
use crate::probe::Probing;
use crate::{Observation, TargetState};

/// Time for one slot to come back after a target shed.
const SHED_RECOVERY: Duration = Duration::from_millis(500);

/// Share of the slots, as a divisor, that may wait at a warm target. In trials with answers of
/// 20 ms, credits without overcommit left slots idle for the time that answers and credits travel.
const OVERCOMMIT_DIVISOR: u32 = 2;

/// Time after a shed during which nothing may wait at the target.
const OVERCOMMIT_PAUSE: Duration = Duration::from_secs(10);

/// Age at which the load in a report says nothing any more.
const LOAD_REPORT_FADE: Duration = Duration::from_millis(200);

/// Phase of the warm-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Cold,
    Warming,
    Warm,
}

#[derive(Clone, Debug)]
struct Down {
    until: Duration,
    wait: Duration,
}

#[derive(Clone, Debug)]
struct Shed {
    limit: u32,
    at: Duration,
}

/// One target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub id: TargetId,
    pub service: usize,
    pub zone: ZoneId,
    pub region: RegionId,
    pub addr: SocketAddr,
    /// Name as `service/target`.
    pub label: String,
    pub slots: u32,
    pub cold_slots: u32,
    warmup: Duration,
    /// False while the zone is out of service.
    pub in_service: bool,
    /// True while the VM list shows the target as leaving.
    pub leaving: bool,
    /// Attempts of this entry that occupy the target.
    pub in_flight: u32,
    pub latency: Latency,
    phase: Phase,
    /// True until something tells the state of a target that may have run before this entry.
    unknown: bool,
    warm_time: Duration,
    last_success: Duration,
    /// Time of the last change against the target; answers to older attempts prove nothing.
    pub since: Duration,
    start: Option<u64>,
    draining: bool,
    down: Option<Down>,
    shed: Option<Shed>,
    streak: u32,
    failed: u32,
    /// Requests running and waiting at the target by its last report, and when that came.
    reported_load: Option<(Duration, u32)>,
    /// Time of the last load report, or of an answer that another entry told of.
    pub evidence: Option<Duration>,
    /// What this entry saw last that its owner has not confirmed.
    pub unconfirmed: Option<Observation>,
    /// Entry that is ranked first among those alive.
    pub ranked: Option<NodeId>,
    /// Ownership by this entry.
    pub lease: Lease,
    /// Books of this entry as the owner.
    pub ledger: GrantLedger,
    /// Cap at the last division.
    pub divided_cap: u32,
    /// Probing by this entry as the owner.
    pub probe: Probing,
    /// Credits of this entry.
    pub credit: Credit,
}

impl Target {
    /// Creates a target that is seen for the first time; `unknown` if this entry has just started.
    pub fn new(
        now: Duration,
        service: usize,
        spec: &Service,
        target: &lacewingmoor_bundle::Target,
        unknown: bool,
    ) -> Self {
        Self {
            id: target.id,
            service,
            zone: target.zone,
            region: target.region,
            addr: target.addr,
            label: format!("{}/{}", spec.name, target.name),
            slots: spec.slots,
            cold_slots: spec.cold_slots.min(spec.slots),
            warmup: spec.warmup,
            in_service: true,
            leaving: false,
            in_flight: 0,
            latency: Latency::default(),
            phase: Phase::Cold,
            unknown,
            warm_time: Duration::ZERO,
            last_success: now,
            since: now,
            start: None,
            draining: false,
            down: None,
            shed: None,
            streak: 0,
            failed: 0,
            reported_load: None,
            evidence: None,
            unconfirmed: None,
            ranked: None,
            lease: Lease::default(),
            ledger: GrantLedger::default(),
            divided_cap: 0,
            probe: Probing::default(),
            credit: Credit::default(),
        }
    }

    /// Takes the settings of a newer bundle over to a target that stays.
    pub fn update(&mut self, now: Duration, fresh: &Target) {
        let moved = self.addr != fresh.addr;
        self.service = fresh.service;
        self.zone = fresh.zone;
        self.region = fresh.region;
        self.addr = fresh.addr;
        self.slots = fresh.slots;
        self.cold_slots = fresh.cold_slots;
        self.warmup = fresh.warmup;
        if moved {
            self.start = None;
            self.turn_cold(now);
        }
    }

    /// Sets whether the zone is in service. A target that comes back is cold.
    pub fn set_in_service(&mut self, now: Duration, in_service: bool) {
        if self.in_service != in_service {
            self.in_service = in_service;
            self.turn_cold(now);
        }
    }

    /// Sets whether the VM list shows the target as leaving. A target that comes back is cold.
    pub fn set_leaving(&mut self, now: Duration, leaving: bool) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.turn_cold(now);
        }
    }

    /// Returns the load state.
    pub fn state(&self, now: Duration) -> TargetState {
        if self.leaving {
            TargetState::Leaving
        } else if !self.in_service {
            TargetState::Out
        } else if self.draining {
            TargetState::Draining
        } else if self.shed_limit(now) < self.ramp() {
            TargetState::Shedding
        } else {
            match self.phase {
                Phase::Cold => TargetState::Cold,
                Phase::Warming => TargetState::Warming,
                Phase::Warm => TargetState::Warm,
            }
        }
    }

    /// True if new work may be sent at all.
    pub fn open(&self) -> bool {
        self.in_service && !self.leaving && !self.draining
    }

    /// True if the target is warm and neither shedding nor refusing.
    pub fn is_warm(&self, now: Duration) -> bool {
        self.open()
            && self.phase == Phase::Warm
            && self.down.is_none()
            && self.shed_limit(now) >= self.slots
    }

    /// True while the target refuses connections and no new try is due.
    pub fn is_down(&self, now: Duration) -> bool {
        self.down.as_ref().is_some_and(|d| now < d.until)
    }

    /// Returns the requests that all entries together may have running on the target.
    pub fn cap(&self, now: Duration) -> u32 {
        if !self.open() {
            return 0;
        }
        let limit = self.ramp().min(self.shed_limit(now));
        match &self.down {
            Some(down) if now < down.until => 0,
            Some(_) => limit.min(1),
            // While an answer and the next request are on the way, the slot would stand idle.
            None if self.phase == Phase::Warm && limit == self.slots => {
                limit + self.overcommit(now)
            }
            None => limit,
        }
    }

    /// Returns the requests that may wait at a warm target. A target that has shed gets none for a
    /// while, because it may not queue at all.
    fn overcommit(&self, now: Duration) -> u32 {
        match &self.shed {
            Some(shed) if now < shed.at + OVERCOMMIT_PAUSE => 0,
            _ => self.slots.div_ceil(OVERCOMMIT_DIVISOR),
        }
    }

    fn ramp(&self) -> u32 {
        match self.phase {
            Phase::Cold => self.cold_slots,
            Phase::Warm => self.slots,
            Phase::Warming => {
                let share = self.warm_time.as_secs_f64() / self.warmup.as_secs_f64().max(1e-3);
                let room = f64::from(self.slots - self.cold_slots);
                self.cold_slots + (room * share.min(1.0)) as u32
            }
        }
    }

    fn shed_limit(&self, now: Duration) -> u32 {
        match &self.shed {
            None => u32::MAX,
            Some(shed) => {
                let steps = now.saturating_sub(shed.at).as_millis() / SHED_RECOVERY.as_millis();
                let limit = shed.limit.saturating_add(steps as u32);
                if limit >= self.slots { u32::MAX } else { limit }
            }
        }
    }

    /// Estimates the requests running and waiting at the target, those of other entries included.
    /// A report loses its weight with age in favour of nearly twice the slots: a target that reports
    /// seldom answers seldom, and may well be the one that has stalled.
    pub fn estimated_load(&self, now: Duration) -> f64 {
        let unreported = 2.0 * f64::from(self.slots) - 1.0;
        let known = match self.reported_load {
            Some((at, load)) => {
                let age = now.saturating_sub(at).as_secs_f64() / LOAD_REPORT_FADE.as_secs_f64();
                let load = f64::from(load);
                load + (unreported - load) * age.min(1.0)
            }
            None => f64::from(self.slots),
        };
        known.max(f64::from(self.in_flight))
    }

    /// Makes the target cold.
    pub fn turn_cold(&mut self, now: Duration) {
        self.phase = Phase::Cold;
        self.unknown = false;
        self.warm_time = Duration::ZERO;
        self.last_success = now;
        self.since = now;
        self.streak = 0;
        self.failed = 0;
        self.draining = false;
        self.shed = None;
    }
}
