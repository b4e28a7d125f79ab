//! Sending now, asking further targets, or waiting.
//!
//! Load pattern: a burst above what the targets bear. Work slows down on a target that is nearly
//! full, so a fleet that fills every slot answers less than one that leaves the last ones free; a
//! request in the queue of a target is stuck there, and a target that is full may reset the
//! connection, after which a request that may run once is lost. So a request is only sent to a
//! target that works at full speed, and otherwise waits here, where it can go to whichever target
//! frees up first.

use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Now;
use crate::place::Offer;

/// Part of the time left at the caller after which a refused request may come back. Callers follow
/// up to a third.
const RETRY_AFTER_SHARE: f64 = 0.2;

/// A request that looks for a target.
#[value]
pub struct Waiting {
    /// When the answer stops being on time.
    pub due: Now,
    /// When the caller or the route's timeout ends the request.
    pub latest: Now,
    /// Rank among kinds of request; 0 is the most urgent.
    pub priority: u32,
    /// True if answers are large, so that the way between regions costs more than a slow target.
    pub heavy: bool,
}

/// What to do with a request after a round of asking.
#[value]
#[derive(Copy, Eq)]
pub enum Step {
    /// Send it to the target that made the best offer.
    Send,
    /// Ask targets of every region.
    Widen,
    /// Wait until a target frees up.
    Wait,
}

impl Waiting {
    /// Decides on the best offer after `rounds` rounds; `None` if no target made one.
    pub fn step(&self, now: Now, rounds: u32, best: Option<&Offer>) -> Step {
        let last_round = rounds > 1;
        match best {
            Some(best) if best.free => Step::Send,
            Some(best) if best.has_room && (last_round || self.heavy) => {
                let in_time = now + best.expected <= self.due;
                // Late anyway, so any target with room will do.
                let late = now >= self.due;
                if in_time || late || last_round {
                    Step::Send
                } else {
                    Step::Widen
                }
            }
            _ if last_round => Step::Wait,
            _ => Step::Widen,
        }
    }

    /// Returns when waiting ends, because no target could answer in the time left.
    pub fn give_up_at(&self, work: Duration) -> Now {
        self.latest.saturating_sub(work)
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self, now: Now, deadline: Now) -> Duration {
        deadline.saturating_sub(now).mul_f64(RETRY_AFTER_SHARE)
    }

    /// Returns the rank of the request for a target that frees up; the least goes first.
    ///
    /// Requests that can still be on time come first, the most urgent kind of them first, then the
    /// one with the least time left. What is late gets what they leave, the one that ends next
    /// first.
    pub fn rank(&self, now: Now, expected: Duration) -> Rank {
        if now + expected <= self.due {
            Rank::OnTime(self.priority, self.due)
        } else {
            Rank::Late(self.latest)
        }
    }
}

/// Order of waiting requests.
#[value]
#[derive(Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Can be on time: priority, due time.
    OnTime(u32, Now),
    /// Is late: end of its time.
    Late(Now),
}
