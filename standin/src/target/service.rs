//! How long a target takes for each request.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::stall::Stalls;
use super::{Distribution, Settings, pattern_key};

/// Number of exponential stages of [`Distribution::Erlang`].
const ERLANG_SHAPE: u32 = 4;

/// Seeded service times.
pub(super) struct Service {
    mean: Duration,
    distribution: Distribution,
    seed: u64,
    rng: StdRng,
    stalls: Stalls,
    stalls_since: Instant,
    /// Service times of the requests so far.
    pub(super) times: Vec<Duration>,
}

impl Service {
    pub(super) fn new(settings: &Settings) -> Self {
        let stalls = Stalls::new(
            settings.seed,
            Duration::from_millis(settings.stall_every_ms),
            Duration::from_millis(settings.stall_ms),
            settings.stall_factor,
        );
        Self {
            mean: Duration::from_secs_f64(settings.service_ms / 1000.0),
            distribution: settings.distribution,
            seed: settings.seed,
            rng: StdRng::seed_from_u64(settings.seed),
            stalls,
            stalls_since: Instant::now(),
            times: Vec::new(),
        }
    }

    /// Lets the seeded times of stalls begin now.
    pub(super) fn restart_stalls(&mut self) {
        self.stalls_since = Instant::now();
    }

    /// Returns how long a request takes that starts now, with `fixed` instead of a drawn time.
    pub(super) fn time(
        &mut self,
        id: Option<&str>,
        fixed: Option<Duration>,
        factor: f64,
    ) -> Duration {
        let work = fixed.unwrap_or_else(|| self.draw(id)).mul_f64(factor);
        let time = self.stalls.stretch(self.stalls_since.elapsed(), work);
        self.times.push(time);
        time
    }

    /// Draws a service time. A request with an id gets the same time at this target in every run
    /// with the same seed, whatever the order of arrivals.
    fn draw(&mut self, id: Option<&str>) -> Duration {
        let stages = match self.distribution {
            Distribution::Constant => return self.mean,
            Distribution::Exponential => 1,
            Distribution::Erlang => ERLANG_SHAPE,
        };
        let seed = match id {
            Some(id) => self.seed ^ pattern_key(id),
            None => self.rng.random(),
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let sum: f64 = (0..stages).map(|_| -(1.0 - rng.random::<f64>()).ln()).sum();
        self.mean.mul_f64(sum / f64::from(stages))
    }
}
