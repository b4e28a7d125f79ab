//! Budgets that all entries share without talking: each entry uses its part.

use std::collections::VecDeque;
use std::time::Duration;

use lacewingmoor_derive::{tag, value};

use crate::Now;

/// Share of the fleet's budget that entries use together. The rest covers entries that do not
/// know of each other yet.
const USED_SHARE: f64 = 0.8;

/// Part of the budget that hedges may use.
const HEDGE_SHARE: f64 = 0.5;

/// Part of a window after which counts are dropped.
const BUCKETS: u32 = 10;

/// Limits of repeated sends.
#[value]
pub struct RetryLimits {
    /// Repeats allowed for each first send.
    pub ratio: f64,
    /// Repeats allowed on top, for all entries together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Now,
    requests: u32,
    repeats: u32,
}

/// Why a request is sent again.
#[tag]
pub enum Reason {
    /// An attempt failed.
    Failure,
    /// An attempt takes long.
    Hedge,
}

/// Counts first sends and repeats of one service in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn request(&mut self, now: Now, limits: &RetryLimits) {
        self.bucket(now, limits).requests += 1;
    }

    /// Takes one repeat if this entry's part of the budget allows it. A hedge is a repeat of a
    /// request that has not failed; it may not use up what failed requests need.
    pub fn repeat(
        &mut self,
        now: Now,
        limits: &RetryLimits,
        node_count: usize,
        reason: Reason,
    ) -> bool {
        let extra = limits.extra * USED_SHARE / node_count as f64;
        self.bucket(now, limits);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let part = match reason {
            Reason::Failure => 1.0,
            Reason::Hedge => HEDGE_SHARE,
        };
        let allowed = part * (limits.ratio * USED_SHARE * f64::from(requests) + extra);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, limits).repeats += 1;
        true
    }

    fn bucket(&mut self, now: Now, limits: &RetryLimits) -> &mut Bucket {
        let width = limits.window / BUCKETS;
        while self
            .buckets
            .front()
            .is_some_and(|b| b.started_at + limits.window + width < now)
        {
            self.buckets.pop_front();
        }
        let fresh = self
            .buckets
            .back()
            .is_some_and(|b| b.started_at + width > now);
        if !fresh {
            self.buckets.push_back(Bucket {
                started_at: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}

/// Limits the rate of requests to one cold target.
///
/// Load pattern: a target that turns cold under load collapses well above its warm-up rate, which
/// counts over all entries. Only entries of the target's zone send to it, each an equal part.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    next_at: Now,
}

impl ColdGate {
    /// Takes one send at `rate_per_s` requests a second.
    pub fn take(&mut self, now: Now, rate_per_s: f64) -> bool {
        if !self.open(now, rate_per_s) {
            return false;
        }
        self.next_at = now + Duration::from_secs_f64(1.0 / rate_per_s);
        true
    }

    /// Returns true if a send could be taken.
    pub fn open(&self, now: Now, rate_per_s: f64) -> bool {
        rate_per_s > 0.0 && now >= self.next_at
    }
}

/// Limits how often targets of a service are asked.
///
/// Load patterns: every target is full for seconds, and each waiting request would ask on; or
/// requests are so short that three questions for each would be more than operators allow a target.
/// Requests that come in get what there is, and go on without a question if there is nothing; the
/// search on behalf of waiting ones leaves them a reserve.
#[derive(Clone, Debug, Default)]
pub struct ProbeBudget {
    level: f64,
    filled_at: Now,
}

impl ProbeBudget {
    /// Takes up to `count` questions for a request, at `rate_per_s` a second. Returns how many.
    pub fn take_for_request(&mut self, now: Now, rate_per_s: f64, count: usize) -> usize {
        self.fill(now, rate_per_s);
        let taken = count.min(self.level as usize);
        self.level -= taken as f64;
        taken
    }

    /// Takes `count` questions for the search, at `rate_per_s` a second, if that leaves the reserve.
    pub fn take_for_search(&mut self, now: Now, rate_per_s: f64, count: usize) -> bool {
        self.fill(now, rate_per_s);
        let has_enough = self.level >= PROBE_RESERVE + count as f64;
        if has_enough {
            self.level -= count as f64;
        }
        has_enough
    }

    fn fill(&mut self, now: Now, rate_per_s: f64) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        let most = rate_per_s * PROBE_BURST_S;
        self.level = (self.level + elapsed * rate_per_s).min(most);
        self.filled_at = now;
    }
}

/// Seconds of the allowed rate of questions that may be saved up.
const PROBE_BURST_S: f64 = 5.0;

/// Questions that the search leaves to new requests: those of one request.
const PROBE_RESERVE: f64 = 3.0;
