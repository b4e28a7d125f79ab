//! What this entry knows about one target: the state machine of its load state.

use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_bundle::{RegionId, Service, TargetId, ZoneId};

use crate::latency::Latency;
use crate::{LoadReport, Sight, TargetState};

/// Longest time between two successful answers that counts towards warming up.
const WARM_GAP_MAX: Duration = Duration::from_millis(500);

/// Time for one slot to come back after a target shed.
const SHED_RECOVERY: Duration = Duration::from_millis(500);

/// Time within which further sheds belong to the same overload.
const SHED_GROUP: Duration = Duration::from_millis(100);

/// First and longest wait before a refused target is tried again.
const DOWN_MIN: Duration = Duration::from_millis(250);
const DOWN_MAX: Duration = Duration::from_secs(2);

/// Slow or failed answers in a row that make a warm target count as cold again.
const COLLAPSE_STREAK: u32 = 4;

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
    /// Time of the last load report.
    pub reported: Option<Duration>,
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
            reported: None,
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
            None => limit,
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

    /// Takes an answer to an attempt that was sent at `sent`; returns what its owner should know.
    pub fn answered(
        &mut self,
        now: Duration,
        sent: Duration,
        success: bool,
        report: Option<&LoadReport>,
    ) -> Option<Sight> {
        let far = self.latency.add(now, now.saturating_sub(sent));
        if sent < self.since {
            return None;
        }
        if let Some(sight) = report.and_then(|r| self.reported(now, r)) {
            return Some(sight);
        }
        if success {
            self.down = None;
            self.progress(now);
        }
        if far || !success {
            return self.bad_answer(now, !success);
        }
        self.streak = 0;
        self.failed = 0;
        None
    }

    /// Takes a load report that was asked for after the last change.
    pub fn reported(&mut self, now: Duration, report: &LoadReport) -> Option<Sight> {
        self.reported = Some(now);
        let restarted = self.start.is_some_and(|s| s != report.start);
        self.start = Some(report.start);
        if restarted {
            self.turn_cold(now);
            return Some(Sight::Restarted {
                start: report.start,
            });
        }
        match report.state {
            TargetState::Draining | TargetState::Leaving => {
                let news = !self.draining;
                self.draining = true;
                return news.then_some(Sight::Draining);
            }
            TargetState::Cold if self.unknown => self.turn_cold(now),
            TargetState::Cold if self.phase == Phase::Warm => {
                self.turn_cold(now);
                return Some(Sight::Collapsed);
            }
            TargetState::Warm if self.unknown => {
                self.phase = Phase::Warm;
                self.unknown = false;
            }
            _ => {}
        }
        self.draining = false;
        None
    }

    /// Advances the warm-up by successful answers, also those that other entries tell of.
    pub fn progress(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_success).min(WARM_GAP_MAX);
        self.last_success = now;
        match self.phase {
            Phase::Cold => self.phase = Phase::Warming,
            Phase::Warming => {
                self.warm_time += gap;
                if self.warm_time >= self.warmup {
                    self.phase = Phase::Warm;
                    self.unknown = false;
                }
            }
            Phase::Warm => {}
        }
    }

    /// Notes a failed attempt, or an answer that is far too slow.
    pub fn bad_answer(&mut self, now: Duration, failed: bool) -> Option<Sight> {
        self.streak += 1;
        self.failed += u32::from(failed);
        if self.phase != Phase::Warm || self.streak < COLLAPSE_STREAK || self.failed < 2 {
            return None;
        }
        self.turn_cold(now);
        Some(Sight::Collapsed)
    }

    /// Notes a refused connection.
    pub fn refused(&mut self, now: Duration) -> Option<Sight> {
        let wait = match &self.down {
            Some(down) if now < down.until => return None,
            Some(down) => (down.wait * 2).min(DOWN_MAX),
            None => DOWN_MIN,
        };
        self.turn_cold(now);
        self.down = Some(Down {
            until: now + wait,
            wait,
        });
        Some(Sight::Refused)
    }

    /// Notes that the target accepts connections again.
    pub fn reachable(&mut self) {
        self.down = None;
    }

    /// True if the target refused connections and has not answered since.
    pub fn suspected(&self) -> bool {
        self.down.is_some()
    }

    /// Notes that the target declared a request unrun.
    pub fn shed(&mut self, now: Duration) -> Option<Sight> {
        if let Some(shed) = &self.shed
            && now.saturating_sub(shed.at) < SHED_GROUP
        {
            return None;
        }
        let limit = (self.ramp().min(self.shed_limit(now)) / 2).max(1);
        self.shed = Some(Shed { limit, at: now });
        Some(Sight::Shed)
    }

    /// Takes what another entry saw.
    pub fn observed(&mut self, now: Duration, sight: &Sight) {
        match sight {
            Sight::Refused => {
                self.refused(now);
            }
            Sight::Shed => {
                self.shed(now);
            }
            Sight::Restarted { start } => {
                if self.start != Some(*start) {
                    self.start = Some(*start);
                    self.turn_cold(now);
                }
            }
            Sight::Draining => self.draining = true,
            Sight::Collapsed if self.phase == Phase::Warm => self.turn_cold(now),
            Sight::Collapsed => {}
        }
    }

    /// Takes the state that the owner tells, unless this entry saw something worse after it asked.
    pub fn told(&mut self, now: Duration, asked: Duration, state: TargetState) {
        if asked < self.since {
            return;
        }
        self.unknown = false;
        self.draining = state == TargetState::Draining;
        match state {
            TargetState::Warm => self.phase = Phase::Warm,
            TargetState::Cold | TargetState::Warming if self.phase == Phase::Warm => {
                self.turn_cold(now);
                if state == TargetState::Warming {
                    self.phase = Phase::Warming;
                }
            }
            _ => {}
        }
    }
}
