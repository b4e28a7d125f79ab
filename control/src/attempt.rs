//! What follows an attempt at a target, and when a second one is started beside it.

use std::time::Duration;

use lacewingmoor_bundle::Repeat;
use lacewingmoor_derive::tag;

use crate::Now;

/// Multiple of the expected time after which a target is taken to have fallen silent.
const SILENT: f64 = 2.5;

/// How an attempt ended.
#[tag]
pub enum Outcome {
    /// No byte reached a target.
    NotSent,
    /// The target declared that it did not run the request.
    NotRun,
    /// Another target answered at the address; the request was not run.
    Misdirected,
    /// The target answered that it failed.
    Failed,
    /// The connection broke, or what came back is not an answer to this request.
    Broken,
}

/// What to do next.
#[tag]
pub enum Next {
    /// Try another target.
    Retry,
    /// Answer that the request has not run.
    RefuseNotRun,
    /// Pass the target's failure on.
    PassOn,
    /// Answer that the outcome is unknown.
    Unknown,
}

/// Attempts of one request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    sent: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Returns the number of targets that the request was sent to.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns true if a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notes that the request is about to be sent.
    pub fn send(&mut self) {
        self.sent += 1;
    }

    /// Notes how a send ended.
    pub fn ended(&mut self, outcome: Outcome) {
        match outcome {
            // It reached no target.
            Outcome::NotSent => self.sent = self.sent.saturating_sub(1),
            Outcome::Failed | Outcome::Broken => self.may_have_run = true,
            Outcome::NotRun | Outcome::Misdirected => {}
        }
    }

    /// Decides what follows `outcome`. `budget` is asked only if another attempt would be right.
    pub fn next(
        &self,
        outcome: Outcome,
        repeat: Repeat,
        attempts_max: u32,
        budget: impl FnOnce() -> bool,
    ) -> Next {
        let allowed = match repeat {
            Repeat::Idempotent => true,
            Repeat::Once => !self.may_have_run,
        };
        // What was not sent reached no target, so it counts neither as an attempt nor as a repeat.
        let free = outcome == Outcome::NotSent;
        if allowed && (free || (self.sent < attempts_max && budget())) {
            return Next::Retry;
        }
        match outcome {
            Outcome::Failed => Next::PassOn,
            _ if self.may_have_run => Next::Unknown,
            _ => Next::RefuseNotRun,
        }
    }
}

/// Returns when an idempotent request that was sent at `sent_at` is sent to a second target as
/// well.
///
/// Load pattern: targets that crash without a sign or hang. An answer that is merely late is left
/// alone, because a second run takes a slot that other requests wait for.
pub fn hedge_at(sent_at: Now, expected: Duration) -> Now {
    sent_at + expected.mul_f64(SILENT)
}
