//! How answers, reports and failures change the state of a target.

use std::time::Duration;

use super::{Down, Phase, Shed, Target};
use crate::{LoadReport, Observation, TargetState};

/// Longest time between two successful answers that counts towards warming up.
const WARM_GAP_MAX: Duration = Duration::from_millis(500);

/// Time within which further sheds belong to the same overload.
const SHED_GROUP: Duration = Duration::from_millis(100);

/// First and longest wait before a refused target is tried again.
const DOWN_MIN: Duration = Duration::from_millis(250);
const DOWN_MAX: Duration = Duration::from_secs(2);

/// Slow or failed answers in a row that make a warm target count as cold again.
const COLLAPSE_STREAK: u32 = 4;

impl Target {
    /// Takes an answer to an attempt that was sent at `sent`; returns what its owner should know.
    pub fn answered(
        &mut self,
        now: Duration,
        sent: Duration,
        success: bool,
        report: Option<&LoadReport>,
    ) -> Option<Observation> {
        let far = self.latency.add(now, now.saturating_sub(sent));
        if sent < self.since {
            return None;
        }
        if let Some(observation) = report.and_then(|r| self.reported(now, r)) {
            return Some(observation);
        }
        if success {
            self.down = None;
            self.credit.answered += 1;
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
    pub fn reported(&mut self, now: Duration, report: &LoadReport) -> Option<Observation> {
        self.evidence = Some(now);
        self.reported_load = Some((now, report.in_flight.saturating_add(report.queue)));
        let restarted = self.start.is_some_and(|s| s != report.start);
        self.start = Some(report.start);
        if restarted {
            self.turn_cold(now);
            return Some(Observation::Restarted {
                start: report.start,
            });
        }
        match report.state {
            TargetState::Draining | TargetState::Leaving => {
                let news = !self.draining;
                self.draining = true;
                return news.then_some(Observation::Draining);
            }
            TargetState::Cold if self.unknown => self.turn_cold(now),
            TargetState::Cold if self.phase == Phase::Warm => {
                self.turn_cold(now);
                return Some(Observation::Collapsed);
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

    /// Notes successful answers that another entry tells of.
    pub fn confirm(&mut self, now: Duration) {
        self.evidence = Some(now);
        self.down = None;
        self.progress(now);
    }

    /// Advances the warm-up by a successful answer.
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
    pub fn bad_answer(&mut self, now: Duration, failed: bool) -> Option<Observation> {
        self.streak += 1;
        self.failed += u32::from(failed);
        if self.phase != Phase::Warm || self.streak < COLLAPSE_STREAK || self.failed < 2 {
            return None;
        }
        self.turn_cold(now);
        Some(Observation::Collapsed)
    }

    /// Notes a refused connection.
    pub fn refused(&mut self, now: Duration) -> Option<Observation> {
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
        Some(Observation::Refused)
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
    pub fn shed(&mut self, now: Duration) -> Option<Observation> {
        if let Some(shed) = &self.shed
            && now.saturating_sub(shed.at) < SHED_GROUP
        {
            return None;
        }
        let limit = (self.ramp().min(self.shed_limit(now)) / 2).max(1);
        self.shed = Some(Shed { limit, at: now });
        Some(Observation::Shed)
    }

    /// Takes what another entry saw.
    pub fn observed(&mut self, now: Duration, observation: &Observation) {
        match observation {
            Observation::Refused => {
                self.refused(now);
            }
            Observation::Shed => {
                self.shed(now);
            }
            Observation::Restarted { start } => {
                if self.start != Some(*start) {
                    self.start = Some(*start);
                    self.turn_cold(now);
                }
            }
            Observation::Draining => self.draining = true,
            Observation::Collapsed if self.phase == Phase::Warm => self.turn_cold(now),
            Observation::Collapsed => {}
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
