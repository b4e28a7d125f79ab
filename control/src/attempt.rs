//! What follows a failed attempt at a target, and when a request is hedged.

use std::time::Duration;

use lacewingmoor_bundle::Repeat;
use lacewingmoor_derive::copy_value;

use crate::Timestamp;

/// Multiple of the expected latency after which a target is assumed to have hung or crashed.
const HEDGE_DELAY_FACTOR: f64 = 2.5;

/// How a failed attempt ended.
#[copy_value]
pub enum Outcome {
    /// No byte of the request reached a target.
    NotSent,
    /// The target declared that it did not run the request.
    NotRun,
    /// Another target responded at the address and did not run the request.
    Misdirected,
    /// The target responded that the request failed.
    Failed,
    /// No usable response: it did not arrive completely or in time, belongs to another request, or
    /// does not show whether the request was run.
    Broken,
}

/// What to do after a failed attempt.
#[copy_value]
pub enum FailureAction {
    /// Send the request to another target.
    Retry,
    /// Respond that the request was not run.
    RefuseNotRun,
    /// Forward the failure response of the target.
    PassOn,
    /// Respond that it is unknown whether the request was run.
    Unknown,
}

/// Attempts of one request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    sent: u32,
    /// Sends whose outcome is not known yet.
    unresolved: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Returns the number of targets that the request was sent to.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns true if a target may have run the request, or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.unresolved > 0
    }

    /// Records that the request is about to be sent.
    pub fn record_send(&mut self) {
        self.sent += 1;
        self.unresolved += 1;
    }

    /// Records how an attempt ended.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        self.unresolved = self.unresolved.saturating_sub(1);
        match outcome {
            Outcome::NotSent => self.sent = self.sent.saturating_sub(1),
            Outcome::Failed | Outcome::Broken => self.may_have_run = true,
            Outcome::NotRun | Outcome::Misdirected => {}
        }
    }

    /// Returns what to do after an attempt ended with `outcome`. `take_budget` is called only if
    /// another attempt is otherwise allowed.
    pub fn after_failure(
        &self,
        outcome: Outcome,
        repeat: Repeat,
        attempts_max: u32,
        take_budget: impl FnOnce() -> bool,
    ) -> FailureAction {
        let may_retry = match repeat {
            Repeat::Idempotent => true,
            Repeat::Once => !self.may_have_run(),
        };
        // A request that was not sent reached no target, so it counts neither as an attempt nor as
        // a retry.
        let uncounted = outcome == Outcome::NotSent;
        if may_retry && (uncounted || (self.sent < attempts_max && take_budget())) {
            return FailureAction::Retry;
        }
        match outcome {
            Outcome::Failed => FailureAction::PassOn,
            _ if self.may_have_run() => FailureAction::Unknown,
            _ => FailureAction::RefuseNotRun,
        }
    }
}

/// Returns when an idempotent request that was sent at `sent_at` is hedged, that is, also sent to a
/// second target.
///
/// Load pattern: targets that crash without notice or hang. A response that is merely late is not
/// hedged, because a second run takes a slot that other requests wait for.
pub fn hedge_at(sent_at: Timestamp, expected_latency: Duration) -> Timestamp {
    sent_at + expected_latency.mul_f64(HEDGE_DELAY_FACTOR)
}
