//! Phases of a graceful shutdown.
//!
//! The platform's load balancer needs two failed readiness checks, one per second, before it sends
//! callers elsewhere, so the listener stays open that long. Responses ask callers to close their
//! connections, and requests in flight may finish until shortly before the process is killed. Those
//! that have not finished by then get a response that says whether they may have run.

use std::time::Duration;

use lacewingmoor_derive::copy_value;

use crate::Timestamp;

/// Time after the signal for which new connections are still accepted.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(2700);

/// Time before the end of the grace period at which the process exits in any case.
pub const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// Share of the grace period, at its end, that is left for writing the last responses. Half of the
/// time in which a request that its target is still running may be broken off.
const RESPONSE_MARGIN_SHARE: f64 = 1.0 / 12.0;

/// Phase of the process.
#[copy_value]
pub enum Phase {
    /// Serves callers.
    Running,
    /// Not ready; accepts connections and closes each after its response.
    Leaving,
    /// The listener is closed; requests in flight finish.
    Finishing,
    /// Requests that are still in flight get their final response.
    Responding,
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
        } else if elapsed >= finish_period(grace) {
            Phase::Responding
        } else if elapsed >= ACCEPT_PERIOD {
            Phase::Finishing
        } else {
            Phase::Leaving
        }
    }

    /// Returns by when a request that arrives now, or has arrived, must have its response: at
    /// `deadline`, or when the shutdown gives the last responses.
    pub fn limit_deadline(&self, deadline: Timestamp, grace: Duration) -> Timestamp {
        match self.signalled_at {
            Some(at) => deadline.min(at + finish_period(grace)),
            None => deadline,
        }
    }
}

/// Returns the time after the signal for which requests in flight may finish.
fn finish_period(grace: Duration) -> Duration {
    let margin = grace.mul_f64(RESPONSE_MARGIN_SHARE).max(EXIT_MARGIN * 2);
    grace.saturating_sub(margin)
}
