//! Phases of a graceful stop.
//!
//! The platform's load balancer needs two failed readiness checks, one a second, before it sends
//! callers elsewhere, so the listener stays open that long. Answers ask callers to close their
//! connections, and work in flight goes on until shortly before the process is killed.

use std::time::Duration;

use lacewingmoor_derive::tag;

use crate::Now;

/// Time after the signal during which new connections are still accepted.
pub const ACCEPT_FOR: Duration = Duration::from_millis(2700);

/// Time before the end of the grace period at which the process ends in any case.
pub const END_BEFORE: Duration = Duration::from_millis(100);

/// Phase of the process.
#[tag]
pub enum Phase {
    /// Serves callers.
    Running,
    /// Not ready; accepts connections, closes each after its answer.
    Leaving,
    /// The listener is closed; work in flight is finished.
    Finishing,
    /// Time is up.
    Ended,
}

/// Course of a stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stop {
    signalled_at: Option<Now>,
}

impl Stop {
    /// Starts the stop; a second signal changes nothing.
    pub fn begin(&mut self, now: Now) {
        self.signalled_at.get_or_insert(now);
    }

    /// Returns the phase at `now` with a grace period of `grace`.
    pub fn phase(&self, now: Now, grace: Duration) -> Phase {
        let Some(signalled_at) = self.signalled_at else {
            return Phase::Running;
        };
        let since = now.saturating_sub(signalled_at);
        if since >= grace.saturating_sub(END_BEFORE) {
            Phase::Ended
        } else if since >= ACCEPT_FOR {
            Phase::Finishing
        } else {
            Phase::Leaving
        }
    }
}
