//! Token budgets for retries and hedges.

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
}
