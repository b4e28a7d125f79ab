//! Estimates of answer latency.

use std::time::Duration;

/// Weight of a new answer in the fast estimate.
const FAST: f64 = 0.3;

/// Weight of a new answer in the baseline.
const SLOW: f64 = 0.02;

/// Age at which the fast estimate of a target counts as forgotten, so that it is tried again.
const FORGET: Duration = Duration::from_millis(500);

/// Running estimate of a quantile without stored samples.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quantile {
    value: f64,
    mean: f64,
    samples: u64,
}

/// Quantile after which a hedge is started.
const HEDGE_QUANTILE: f64 = 0.92;

/// Answers before the quantile is used.
const SAMPLES_MIN: u64 = 50;

impl Quantile {
    /// Takes one latency.
    pub fn add(&mut self, latency: Duration) {
        let x = latency.as_secs_f64();
        self.samples += 1;
        if self.samples == 1 {
            self.value = x;
            self.mean = x;
        }
        self.mean += (x - self.mean) * 0.05;
        let step = self.mean * 0.05;
        if x > self.value {
            self.value += step * HEDGE_QUANTILE;
        } else {
            self.value = (self.value - step * (1.0 - HEDGE_QUANTILE)).max(0.0);
        }
    }

    /// Returns the quantile once there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        (self.samples >= SAMPLES_MIN).then(|| Duration::from_secs_f64(self.value))
    }

    /// Returns the running mean, zero without samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }
}

/// Latency of one target as this entry sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Latency {
    fast: f64,
    baseline: f64,
    last: Option<Duration>,
    awaiting: u32,
    awaiting_since: Duration,
}

impl Latency {
    /// Notes that an answer is awaited.
    pub fn sent(&mut self, now: Duration) {
        if self.awaiting == 0 {
            self.awaiting_since = now;
        }
        self.awaiting += 1;
    }

    /// Notes that an answer is awaited no longer because it came or the attempt ended.
    pub fn settled(&mut self, now: Duration) {
        self.awaiting = self.awaiting.saturating_sub(1);
        self.awaiting_since = now;
    }

    /// Takes the latency of an answer; returns true if it is far above the baseline.
    pub fn add(&mut self, now: Duration, latency: Duration) -> bool {
        let x = latency.as_secs_f64();
        if self.last.is_none() {
            self.fast = x;
            self.baseline = x;
        }
        let far = x > 5.0 * self.baseline && x > self.baseline + 0.05;
        self.fast += (x - self.fast) * FAST;
        self.baseline += (x - self.baseline) * SLOW;
        self.last = Some(now);
        far
    }

    /// Returns the expected latency in seconds. An old estimate moves towards `mean`, the one of
    /// the service; an answer that is overdue raises it.
    pub fn expected(&self, now: Duration, mean: f64) -> f64 {
        let base = match self.last {
            None => mean,
            Some(last) => {
                let age = now.saturating_sub(last).as_secs_f64() / FORGET.as_secs_f64();
                self.fast + (mean - self.fast) * age.min(1.0)
            }
        };
        if self.awaiting == 0 {
            return base;
        }
        base.max(now.saturating_sub(self.awaiting_since).as_secs_f64())
    }

    /// Returns the fast estimate of the last answers.
    pub fn recent(&self) -> Option<Duration> {
        self.last.map(|_| Duration::from_secs_f64(self.fast))
    }
}
