//! Phases of a graceful shutdown.
//!
//! The platform's load balancer needs two failed readiness checks, one per second, before it sends
//! callers elsewhere, so the listener stays open that long. Responses ask callers to close their
//! connections, and requests in flight may finish until shortly before the process is killed. Those
//! that have not finished by then get a response that says whether they may have run.
//!
//! So that none of these breaks off work of a target, [`Shutdown::send_window`] decides which requests a
//! target may still get. Whatever a request waits for, it asks before each send.

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

/// Multiple of the time that a target is expected to take for a request which must be left before the
/// last responses. The expected time is an average.
const EXPECTED_TIME_FACTOR: u32 = 2;

/// Time after which a caller may retry that a shutdown refuses. Another entry can serve it at once.
pub const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Times of a request on which it depends whether a shutdown leaves enough time for it.
#[copy_value]
pub struct RequestTimes {
    /// When its last byte was read; the current time while its body comes in.
    pub read_at: Timestamp,
    /// When it ends at the latest, because its timeout has expired.
    pub ends_by: Timestamp,
    /// Time that a target is expected to take for it.
    pub expected: Duration,
}

/// When a request may be sent to a target.
#[copy_value]
pub enum SendWindow {
    /// For as long as it lasts.
    Open,
    /// Up to this time.
    Until(Timestamp),
    /// Not any more.
    Closed,
}

impl SendWindow {
    /// Returns true if the request may be sent at `now`.
    pub fn allows(self, now: Timestamp) -> bool {
        match self {
            Self::Open => true,
            Self::Until(at) => now <= at,
            Self::Closed => false,
        }
    }
}

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

    /// Returns when a request may be sent to a target, for a grace period of `grace`.
    ///
    /// As long as connections are accepted, a caller that is refused may come back to this entry, so a
    /// request is sent if its expected time fits. From then on, callers reach other entries, and only a
    /// request is sent that its own timeout ends before the last responses are given.
    ///
    /// Load pattern: callers go on using connections whose last response began before the signal, and
    /// send requests on them until the process ends.
    pub fn send_window(&self, request: RequestTimes, grace: Duration) -> SendWindow {
        let Some(signalled_at) = self.signalled_at else {
            return SendWindow::Open;
        };
        let responds_at = signalled_at + finish_period(grace);
        if request.ends_by <= responds_at {
            SendWindow::Open
        } else if request.read_at >= signalled_at + ACCEPT_PERIOD {
            SendWindow::Closed
        } else {
            let needed = request.expected * EXPECTED_TIME_FACTOR;
            SendWindow::Until(responds_at.saturating_sub(needed))
        }
    }
}

/// Returns the time after the signal for which requests in flight may finish.
fn finish_period(grace: Duration) -> Duration {
    let margin = grace.mul_f64(RESPONSE_MARGIN_SHARE).max(EXIT_MARGIN * 2);
    grace.saturating_sub(margin)
}
