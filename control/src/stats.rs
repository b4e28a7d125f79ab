//! What this entry has seen of each target itself.

use std::collections::VecDeque;
use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Now;
use crate::budget::ColdGate;
use crate::selection::{PACE_SLOW, Record};

/// Time for which a target is left alone after its first failure; doubles with each further one.
const AVOID_MIN: Duration = Duration::from_millis(250);

/// Longest time for which a failing target is left alone.
const AVOID_MAX: Duration = Duration::from_secs(4);

/// Time for which sends are remembered; reports that are older than this are not used.
const SENDS_KEPT: Duration = Duration::from_secs(1);

/// Time after which a report of a slow target tells of another spell than the one before. Spells
/// in which neighbours slow a target down commonly last 300 ms.
const SLOW_SPELL: Duration = Duration::from_millis(400);

/// Spells in a row, with no report of usual speed in between, after which a target counts as slow
/// for good. A target that is slow for a quarter of the time shows this once in 1,000 rows.
const SLOW_SPELLS_MAX: u32 = 5;

/// Weight of the newest answer in the error rate.
const ERROR_GAIN: f64 = 0.2;

/// Time in which an observed error rate halves without new answers.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(3);

/// Load that a target reports.
#[value]
#[derive(Copy)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// How long work takes at this moment; 1 is usual.
    pub pace: f64,
}

/// Own observations of one target.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// Requests of this entry in flight.
    pub in_flight: u32,
    /// Last load report and when it came.
    pub load: Option<(Load, Now)>,
    /// Until when the target is cold.
    pub cold_until: Now,
    /// Rate limit while it is cold.
    pub cold_gate: ColdGate,
    /// Sends of this entry in the last second, oldest first.
    sends: VecDeque<Now>,
    /// Spells in a row in which it was slow.
    slow_spells: u32,
    /// When the last of them was noticed.
    slow_spell_at: Now,
    failures: u32,
    avoid_until: Now,
    error_rate: f64,
    error_at: Now,
}

impl Book {
    /// Notes a load report.
    pub fn reported(&mut self, now: Now, load: Load) {
        self.load = Some((load, now));
        if load.pace < PACE_SLOW {
            self.slow_spells = 0;
        } else if self.slow_spells == 0 || now >= self.slow_spell_at + SLOW_SPELL {
            self.slow_spells += 1;
            self.slow_spell_at = now;
        }
    }

    /// Returns true if the target has been slow in one spell after the other.
    ///
    /// Load pattern: many entries, each of which asks a target once in seconds. Two reports from
    /// two spells look like one long spell, and requests that start in a spell are slow as a whole:
    /// they hold their slots for several times as long, and the fleet does not get out of a burst.
    pub fn is_slow_for_good(&self) -> bool {
        self.slow_spells >= SLOW_SPELLS_MAX
    }

    /// Returns the last load report with the requests that this entry has sent since, if it is not
    /// older than `age_max`.
    pub fn recent_load(&self, now: Now, age_max: Duration) -> Option<Load> {
        let (load, at) = self.load?;
        let running = load.running + self.sends_since(at);
        (at + age_max >= now).then_some(Load { running, ..load })
    }

    /// Returns what is known of the target besides its load.
    pub fn record(&self, now: Now) -> Record {
        Record {
            error_rate: self.error_rate(now),
            cold: self.is_cold(now),
            unhealthy: false,
            slow_for_good: self.is_slow_for_good(),
        }
    }

    /// Notes a send to the target.
    pub fn sent(&mut self, now: Now) {
        let old = |at: &Now| *at + SENDS_KEPT < now;
        while self.sends.front().is_some_and(old) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Returns the number of sends since `at`, which a report asked for at that time may lack.
    pub fn sends_since(&self, at: Now) -> u32 {
        self.sends.iter().filter(|sent| **sent >= at).count() as u32
    }

    /// Notes how much longer the target is cold; zero ends it.
    pub fn warmup(&mut self, now: Now, left: Duration) {
        self.cold_until = now + left;
    }

    /// Returns true while the target is cold.
    pub fn is_cold(&self, now: Now) -> bool {
        now < self.cold_until
    }

    /// Notes that the target answered a health check.
    pub fn reached(&mut self) {
        self.failures = 0;
        self.avoid_until = Now::ZERO;
    }

    /// Notes that the target could not be reached or is not healthy.
    pub fn failed(&mut self, now: Now) {
        let wait = AVOID_MIN * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.avoid_until = now + wait.min(AVOID_MAX);
    }

    /// Notes the end of a request: whether the target gave a good answer.
    pub fn answered(&mut self, now: Now, good: bool) {
        let rate = self.error_rate(now);
        let sample = if good { 0.0 } else { 1.0 };
        self.error_rate = rate + (sample - rate) * ERROR_GAIN;
        self.error_at = now;
    }

    /// Returns the share of requests that recently went wrong, fading with time.
    pub fn error_rate(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.error_at).as_secs_f64();
        self.error_rate * 0.5_f64.powf(age / ERROR_HALF_LIFE.as_secs_f64())
    }

    /// Returns true while the target is left alone.
    pub fn is_avoided(&self, now: Now) -> bool {
        now < self.avoid_until
    }
}
