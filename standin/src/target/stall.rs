//! Seeded times at which a target is slow.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Intervals, in seconds from the start, in which work proceeds at a fraction of its speed.
pub(super) struct Stalls {
    rng: StdRng,
    length: f64,
    every: f64,
    factor: f64,
    /// Begin and end of the stalls generated so far, in order.
    known: Vec<(f64, f64)>,
}

impl Stalls {
    pub(super) fn new(seed: u64, every: Duration, length: Duration, factor: f64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x5741_4c4c),
            length: length.as_secs_f64(),
            every: every.as_secs_f64(),
            factor,
            known: Vec::new(),
        }
    }

    /// Returns how long `work` takes when it starts at `at`.
    pub(super) fn stretch(&mut self, at: Duration, work: Duration) -> Duration {
        if self.every <= 0.0 || self.length <= 0.0 || self.factor <= 1.0 {
            return work;
        }
        let start = at.as_secs_f64();
        let mut now = start;
        let mut left = work.as_secs_f64();
        let mut index = self.known.partition_point(|(_, end)| *end <= start);
        loop {
            let (begin, end) = self.stall(index);
            if now < begin {
                let free = begin - now;
                if left <= free {
                    return Duration::from_secs_f64(now + left - start);
                }
                left -= free;
                now = begin;
            }
            let possible = (end - now).max(0.0) / self.factor;
            if left <= possible {
                return Duration::from_secs_f64(now + left * self.factor - start);
            }
            left -= possible;
            now = now.max(end);
            index += 1;
        }
    }

    fn stall(&mut self, index: usize) -> (f64, f64) {
        while self.known.len() <= index {
            let last = self.known.last().map_or(0.0, |(_, end)| *end);
            let gap = -self.every * (1.0 - self.rng.random::<f64>()).ln();
            self.known.push((last + gap, last + gap + self.length));
        }
        self.known[index]
    }
}
