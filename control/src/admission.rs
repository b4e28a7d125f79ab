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
use crate::selection::Offer;

/// Part of the time left at the caller after which a refused request may come back. Callers follow
/// up to a third.
const RETRY_AFTER_SHARE: f64 = 0.2;

/// Time after which a request that targets rejected may come back if there is room elsewhere: a
/// few round trips.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Requests that must be ahead before the pace of the line counts.
const AHEAD_MIN: usize = 3;

/// Weight of the newest gap in the pace of a line.
const FLOW_GAIN: f64 = 0.1;

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
            // A request that comes in finds a free target at once; the reserve is for waiting ones.
            Some(best) if best.free => Step::Send,
            Some(best) if self.may_take(now, best) && (last_round || self.heavy) => {
                let in_time = now + best.expected <= self.due;
                // Late anyway, so any target that it may take will do.
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

    /// Decides whether the request may wait behind `ahead` others in a line that moves at `flow`.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may come back, if its turn would come too late.
    pub fn join(
        &self,
        now: Now,
        ahead: usize,
        flow: &Flow,
        work: Duration,
    ) -> Result<(), Duration> {
        // A short line tells little about its pace, and somebody has to wait to find that out.
        if ahead < AHEAD_MIN {
            return Ok(());
        }
        let turn = flow.expected_wait(ahead + 1);
        if now + turn <= self.give_up_at(work) {
            return Ok(());
        }
        Err(turn)
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self, now: Now, deadline: Now) -> Duration {
        deadline.saturating_sub(now).mul_f64(RETRY_AFTER_SHARE)
    }

    /// Returns true if the request may go to the target that made the offer.
    ///
    /// Load pattern: a burst leaves a line of late requests in every entry, and each entry knows
    /// only its own. If late requests took the last slots, requests at other entries that could
    /// still be on time would be late in turn, long after the burst.
    pub fn may_take(&self, now: Now, offer: &Offer) -> bool {
        match self.rank(now, offer.expected) {
            Rank::OnTime(..) => offer.has_room,
            Rank::Late(_) => offer.has_spare_room,
        }
    }

    /// Returns when a caller may come back whose request targets have rejected, while `others`
    /// wait here for the same service.
    ///
    /// Load pattern: targets reject a part of what they could serve, more than repeats inside the
    /// budget make up for. Nobody waits then, so another target can serve the request at once; a
    /// caller that waits as in a burst would be late.
    pub fn retry_after_rejection(&self, now: Now, deadline: Now, others: usize) -> Duration {
        match others {
            0 => REJECTED_RETRY_AFTER,
            _ => self.retry_after(now, deadline),
        }
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

/// Returns the waiting request on whose behalf targets are asked in a turn of the search.
///
/// Every second turn is for the first by rank, the others go round. The first may be one that no
/// target may serve at the moment, such as one whose home regions are out of service, and those
/// behind it would wait for nothing.
pub fn search_for(ranks: &[Rank], turn: usize) -> Option<usize> {
    let first = (0..ranks.len()).min_by_key(|i| &ranks[*i])?;
    match turn % 2 {
        0 => Some(first),
        _ => Some(turn / 2 % ranks.len()),
    }
}

/// Pace at which waiting requests get a target.
///
/// Load pattern: a line that is longer than what can be served before its last request has to give
/// up. Those at its end are refused at once instead of after their time, and are told when their
/// turn would have come.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    mean_gap_s: Option<f64>,
    last_at: Option<Now>,
}

impl Flow {
    /// Notes that a waiting request got a target; `left` others still wait.
    pub fn moved(&mut self, now: Now, left: usize) {
        if let Some(last_at) = self.last_at {
            let gap_s = now.saturating_sub(last_at).as_secs_f64();
            let mean_s = self.mean_gap_s.unwrap_or(gap_s);
            self.mean_gap_s = Some(mean_s + (gap_s - mean_s) * FLOW_GAIN);
        }
        // The time until the next request waits says nothing about targets.
        self.last_at = (left > 0).then_some(now);
    }

    /// Returns the time until a request at `position` of the line, from 1, gets a target.
    pub fn expected_wait(&self, position: usize) -> Duration {
        let gap_s = self.mean_gap_s.unwrap_or(0.0);
        Duration::from_secs_f64(gap_s * position as f64)
    }
}
