//! Token budgets for retries, hedges and traffic between regions.

use std::time::Duration;

/// Tokens that a service may hold unused, so that a quiet time does not pay for a retry storm.
const TOKENS_MAX: f64 = 20.0;

/// Tokens of a service at start, so that the first requests may be retried as well.
const TOKENS_INITIAL: f64 = 3.0;

/// Budget that is earned by requests and spent by extra attempts.
#[derive(Clone, Debug)]
pub(crate) struct Tokens(f64);

impl Default for Tokens {
    fn default() -> Self {
        Self(TOKENS_INITIAL)
    }
}

impl Tokens {
    /// Earns the share of one request.
    pub fn earn(&mut self, percent: u32) {
        self.0 = (self.0 + f64::from(percent) / 100.0).min(TOKENS_MAX);
    }

    /// Spends one token if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.0 >= 1.0;
        if enough {
            self.0 -= 1.0;
        }
        enough
    }

    /// True if a token could be spent.
    pub fn any(&self) -> bool {
        self.0 >= 1.0
    }
}

/// Budget that is earned by time: starts empty and holds at most one burst.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    level: f64,
    at: Duration,
}

impl Rate {
    /// Creates an empty budget.
    pub fn empty(now: Duration) -> Self {
        Self {
            level: 0.0,
            at: now,
        }
    }

    /// Spends `cost` if the budget, earned at `per_second` up to `burst`, allows it.
    pub fn spend(&mut self, now: Duration, per_second: f64, burst: f64, cost: f64) -> bool {
        self.fill(now, per_second, burst);
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }

    fn fill(&mut self, now: Duration, per_second: f64, burst: f64) {
        let earned = now.saturating_sub(self.at).as_secs_f64() * per_second;
        self.level = (self.level + earned).min(burst);
        self.at = now;
    }
}
