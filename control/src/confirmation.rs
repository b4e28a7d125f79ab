//! When what an entry knows of a target has to be confirmed before the next send to it.
//!
//! Fault: a target that served requests becomes cold between two of its heartbeats. Its health responses
//! say so at once, its registration up to a heartbeat later; until then all entries go on sending, and the
//! target crashes with the requests that it runs. Targets that report their load are probed before each
//! send. The others are probed only when this module says so.

use std::time::Duration;

use lacewingmoor_derive::copy_value;

use crate::Timestamp;
use crate::stats::TargetStats;

/// Age of the last health response from which on a target must confirm that it is not cold. A target that
/// becomes cold gets what all entries send in this time, which must not exceed the slack of a second.
const CONFIRMED_AGE_MAX: Duration = Duration::from_millis(100);

/// Sends of this entry on one health response. Fewer than the slack of a second, for a single entry with
/// most of the requests.
const UNCONFIRMED_SENDS_MAX: u32 = 3;

/// Time in which a registration may be older than a health response that arrived before it: a heartbeat,
/// and the time until a change is applied everywhere.
const REGISTRATION_AGE_MAX: Duration = Duration::from_secs(4);

/// Time for which a target that did not respond in time is not asked again.
///
/// Load pattern: all targets of a service are full, and respond to health checks only when a slot is free.
/// Each check takes a slot for a moment.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(400);

/// Whether a target has confirmed that it is not cold.
#[copy_value]
pub enum Confirmation {
    /// It has, recently enough for the next send.
    Recent,
    /// It has to be asked before the next send.
    Due,
    /// It was asked a moment ago and did not respond in time.
    Unanswered,
}

impl TargetStats {
    /// Records a health response at `now`, with how long the target stays cold if it tells; zero ends its
    /// warm-up.
    pub fn record_confirmation(&mut self, now: Timestamp, warmup_left: Option<Duration>) {
        self.confirmed_at = Some(now);
        self.unanswered_until = Timestamp::ZERO;
        if let Some(warmup_left) = warmup_left {
            self.set_warmup(now, warmup_left);
        }
    }

    /// Records how long the target stays cold by a registration, unless a health response that may be newer
    /// says that it stays cold for longer.
    pub fn record_registered_warmup(&mut self, now: Timestamp, warmup_left: Duration) {
        let may_be_newer = |at: Timestamp| now < at + REGISTRATION_AGE_MAX;
        let is_longer = self.warmup_until > now + warmup_left;
        if !(is_longer && self.confirmed_at.is_some_and(may_be_newer)) {
            self.set_warmup(now, warmup_left);
        }
    }

    /// Records that the target, which was asked, did not respond in time.
    pub fn record_unanswered_confirmation(&mut self, now: Timestamp) {
        self.unanswered_until = now + UNANSWERED_PAUSE;
    }

    /// Returns whether the target has confirmed that it is not cold.
    pub fn confirmation(&self, now: Timestamp) -> Confirmation {
        let is_recent = |at: Timestamp| {
            now <= at + CONFIRMED_AGE_MAX && self.sends_since(at) < UNCONFIRMED_SENDS_MAX
        };
        if self.confirmed_at.is_some_and(is_recent) {
            Confirmation::Recent
        } else if now < self.unanswered_until {
            Confirmation::Unanswered
        } else {
            Confirmation::Due
        }
    }
}
