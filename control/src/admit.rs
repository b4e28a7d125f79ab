//! Sending, waiting or refusing.
//!
//! Load pattern: a burst above what the targets bear. A target that has all slots taken queues a
//! request behind others of unknown age, and a full one resets the connection, after which a
//! request that may run once is lost. So a request waits here, where it can still go to whichever
//! target frees up first, and is refused as soon as no target can answer it in time.

use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Now;
use crate::place::Offer;

/// Pause between two rounds of asking while every target is full.
const ROUND_PAUSE: Duration = Duration::from_millis(15);

/// Part of the objective after which a request joins the queue of a target.
const QUEUE_AFTER_SHARE: f64 = 0.3;

/// Queue at a target, relative to its slots, that a request still joins.
const QUEUE_SHARE_MAX: f64 = 0.75;

/// Part of the time left that a refused caller is asked to wait; callers follow up to a third.
const RETRY_AFTER_SHARE: f64 = 0.2;

/// A request that looks for a target.
#[value]
pub struct Waiting {
    /// Arrival of the request.
    pub arrived: Now,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// When the caller or the route's timeout ends the request.
    pub latest: Now,
    /// Rounds of asking so far.
    pub rounds: u32,
}

/// What to do with a request.
#[value]
pub enum Step {
    /// Send it to the target that made the best offer.
    Send,
    /// Ask targets of every region.
    Widen,
    /// Ask again after a pause.
    Wait(Duration),
    /// Refuse it; the caller may come back after this time.
    Refuse(Duration),
}

impl Waiting {
    /// Decides on the best offer of a round; `None` if no target made one. `work` is the usual
    /// time that a request of the service takes.
    pub fn step(&self, now: Now, best: Option<&Offer>, work: Duration) -> Step {
        let left = self.latest.saturating_sub(now);
        if let Some(best) = best {
            let room = f64::from(best.load.running + best.load.waiting)
                < f64::from(best.load.slots) * (1.0 + QUEUE_SHARE_MAX);
            let starts = best.load.running + best.load.waiting < best.load.slots;
            let overdue = now.saturating_sub(self.arrived)
                > self.objective.mul_f64(QUEUE_AFTER_SHARE);
            if best.free || (self.rounds > 1 && (starts || (overdue && room))) {
                return Step::Send;
            }
        }
        if self.rounds <= 1 {
            return Step::Widen;
        }
        if left <= work {
            return Step::Refuse(left.mul_f64(RETRY_AFTER_SHARE));
        }
        Step::Wait(ROUND_PAUSE)
    }
}
