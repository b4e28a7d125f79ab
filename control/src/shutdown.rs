//! Phases of a graceful shutdown.
//!
//! The platform's load balancer needs two failed readiness checks, one per second, before it sends
//! callers elsewhere, so the listener stays open that long. Responses ask callers to close their
//! connections, and requests in flight may finish until shortly before the process is killed.

use std::time::Duration;

use lacewingmoor_derive::copy_value;

use crate::Timestamp;

/// Time after the signal for which new connections are still accepted.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(2700);

/// Time before the end of the grace period at which the process exits in any case.
pub const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// Phase of the process.
#[copy_value]
pub enum Phase {
    /// Serves callers.
    Running,
    /// Not ready; accepts connections and closes each after its response.
    Leaving,
    /// The listener is closed; requests in flight finish.
    Finishing,
    /// The process exits.
    Ended,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shutdown {
    signalled_at: Option<Timestamp>,
}

impl Shutdown {
    /// Starts the shutdown; a second signal changes nothing.
    pub fn begin(&mut self, now: Timestamp) {
        self.signalled_at.get_or_insert(now);
    }

    /// Returns the phase at `now` for a grace period of `grace`.
    pub fn phase(&self, now: Timestamp, grace: Duration) -> Phase {
        let Some(signalled_at) = self.signalled_at else {
            return Phase::Running;
        };
        let elapsed = now.saturating_sub(signalled_at);
        if elapsed >= grace.saturating_sub(EXIT_MARGIN) {
            Phase::Ended
        } else if elapsed >= ACCEPT_PERIOD {
            Phase::Finishing
        } else {
            Phase::Leaving
        }
    }
}
