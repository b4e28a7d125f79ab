//! Budgets that all entries share. Entries do not coordinate: each uses its own part.

use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};

use crate::Timestamp;
use crate::sliding_count::{SlidingCount, Window};

/// Share of the retry budget that all entries together use. The rest covers entries that do not
/// know of each other yet.
const BUDGET_UTILIZATION: f64 = 0.8;

/// Used share of this entry's retry budget above which no hedge is started.
const HEDGE_SHARE: f64 = 0.5;

/// Number of buckets in a window; counts expire one bucket at a time.
const BUCKETS_PER_WINDOW: u32 = 10;

/// Limits on retries and hedges.
#[value]
pub struct RetryLimits {
    /// Retries allowed in each window, as a share of the requests in it.
    pub ratio: f64,
    /// Retries allowed in addition in each window, for all entries together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryLimits {
    fn window(&self) -> Window {
        Window {
            length: self.window,
            bucket_count: BUCKETS_PER_WINDOW,
        }
    }
}

/// Reason why a request is sent again.
#[copy_value]
pub enum RetryReason {
    /// An attempt failed.
    Failure,
    /// An attempt takes too long.
    Hedge,
}

/// Counts requests and retries of one service in a sliding window. Hedges count as retries.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp, limits: &RetryLimits) {
        self.requests.add(now, &limits.window());
    }

    /// Returns the number of requests per second in the window.
    pub fn requests_per_s(&mut self, now: Timestamp, limits: &RetryLimits) -> f64 {
        let requests = self.requests.get(now, &limits.window());
        f64::from(requests) / limits.window.as_secs_f64()
    }

    /// Takes a token for one retry if this entry's share of the budget allows it. The request of a
    /// hedge has not failed, so hedges may not use up what failed requests need.
    pub fn try_take(
        &mut self,
        now: Timestamp,
        limits: &RetryLimits,
        entry_count: usize,
        reason: RetryReason,
    ) -> bool {
        let extra = limits.extra * BUDGET_UTILIZATION / entry_count as f64;
        let window = limits.window();
        let requests = self.requests.get(now, &window);
        let retries = self.retries.get(now, &window);
        let share = match reason {
            RetryReason::Failure => 1.0,
            RetryReason::Hedge => HEDGE_SHARE,
        };
        let allowed = share * (limits.ratio * BUDGET_UTILIZATION * f64::from(requests) + extra);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.retries.add(now, &window);
        true
    }
}

/// Limits the rate of requests to one target that is warming up.
///
/// Load pattern: a target that starts to warm up again while it is under load collapses if it gets
/// requests well above its warm-up rate, which is the total of all entries. Only a few entries of the
/// target's zone send to it (see [`crate::sharing`]), each with an equal share of the rate.
#[derive(Clone, Debug, Default)]
pub struct WarmupLimiter {
    next_at: Timestamp,
}

impl WarmupLimiter {
    /// Takes a token for one request if `rate_per_s` requests per second allow it.
    pub fn try_take(&mut self, now: Timestamp, rate_per_s: f64) -> bool {
        if !self.allows(now, rate_per_s) {
            return false;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate_per_s).unwrap_or(Duration::MAX);
        self.next_at = now.saturating_add(interval);
        true
    }

    /// Returns true if `rate_per_s` requests per second allow a request now.
    pub fn allows(&self, now: Timestamp, rate_per_s: f64) -> bool {
        rate_per_s > 0.0 && now >= self.next_at
    }
}

/// Token bucket that limits how often targets of a service are probed.
///
/// Load patterns: every target is full for seconds, and each queued request would keep probing; or
/// requests are so short that three probes for each would be more than the limit that operators set
/// per target. New requests take the available tokens and proceed without a probe if there are
/// none; probes for queued requests leave them a reserve.
#[derive(Clone, Debug, Default)]
pub struct ProbeBudget {
    tokens: f64,
    refilled_at: Timestamp,
}

impl ProbeBudget {
    /// Takes tokens for up to `count` probes for a new request, at `rate_per_s` probes per second.
    /// Returns the number taken.
    pub fn take_for_request(&mut self, now: Timestamp, rate_per_s: f64, count: usize) -> usize {
        self.refill(now, rate_per_s);
        let taken = count.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }

    /// Takes tokens for `count` probes for a queued request, at `rate_per_s` probes per second, if
    /// that leaves the reserve.
    pub fn try_take_for_queue(&mut self, now: Timestamp, rate_per_s: f64, count: usize) -> bool {
        self.refill(now, rate_per_s);
        let has_enough = self.tokens >= PROBE_RESERVE + count as f64;
        if has_enough {
            self.tokens -= count as f64;
        }
        has_enough
    }

    fn refill(&mut self, now: Timestamp, rate_per_s: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let tokens_max = rate_per_s * PROBE_BURST_S;
        self.tokens = (self.tokens + elapsed * rate_per_s).min(tokens_max);
        self.refilled_at = now;
    }
}

/// Capacity of the token bucket, in seconds of the allowed probe rate.
const PROBE_BURST_S: f64 = 5.0;

/// Probes that queued requests leave to new requests: those of one request. Equals
/// `PROBES_PER_ROUND` of the entry.
const PROBE_RESERVE: f64 = 3.0;
