//! What a load run showed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::{Kind, Outcome, Sample};

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quantiles {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl Quantiles {
    /// Computes the quantiles of latencies (nearest rank).
    pub fn of(latencies: impl Iterator<Item = Duration>) -> Self {
        let mut sorted: Vec<Duration> = latencies.collect();
        sorted.sort_unstable();
        let rank = |share: f64| {
            let index = (share * sorted.len() as f64).ceil() as usize;
            sorted
                .get(index.saturating_sub(1))
                .map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
        };
        Self {
            count: sorted.len(),
            p50: rank(0.5),
            p99: rank(0.99),
            p999: rank(0.999),
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Kinds of the plan.
    pub kinds: Vec<Kind>,
    /// Time over which requests were sent.
    pub duration: Duration,
    /// Every request, in the order of due times.
    pub samples: Vec<Sample>,
}

impl Report {
    pub(super) fn new(kinds: Vec<Kind>, duration: Duration, samples: Vec<Sample>) -> Self {
        Self {
            kinds,
            duration,
            samples,
        }
    }

    /// Returns the number of requests that were due.
    pub fn offered(&self) -> usize {
        self.samples.len()
    }

    /// Returns the number of requests that got their whole answer.
    pub fn answered(&self) -> usize {
        self.count(|o| *o == Outcome::Answered)
    }

    /// Returns the number of requests with an outcome that `matches`.
    pub fn count(&self, matches: impl Fn(&Outcome) -> bool) -> usize {
        self.samples.iter().filter(|s| matches(&s.outcome)).count()
    }

    /// Returns the number of requests that the entries refused as not run.
    pub fn refused_not_run(&self) -> usize {
        self.count(|o| matches!(o, Outcome::Refused { outcome, .. } if outcome == "not-run"))
    }

    /// Returns the weights of answered and of offered requests.
    pub fn weights(&self) -> (u64, u64) {
        let sum = |samples: &mut dyn Iterator<Item = &Sample>| -> u64 {
            samples.map(|s| self.kinds[s.kind].weight).sum()
        };
        let answered = sum(&mut self
            .samples
            .iter()
            .filter(|s| s.outcome == Outcome::Answered));
        (answered, sum(&mut self.samples.iter()))
    }

    /// Returns the latencies of answered requests.
    pub fn answered_latencies(&self) -> impl Iterator<Item = Duration> {
        let answered = self
            .samples
            .iter()
            .filter(|s| s.outcome == Outcome::Answered);
        answered.map(|s| s.latency)
    }

    /// Returns the latency quantiles of answered requests.
    pub fn quantiles(&self) -> Quantiles {
        self.quantiles_between(Duration::ZERO, Duration::MAX)
    }

    /// Returns the latency quantiles of answered requests that were due in a part of the run.
    pub fn quantiles_between(&self, from: Duration, to: Duration) -> Quantiles {
        Quantiles::of(
            self.samples
                .iter()
                .filter(|s| s.outcome == Outcome::Answered && (from..to).contains(&s.at))
                .map(|s| s.latency),
        )
    }

    /// Returns the number of requests by outcome.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for sample in &self.samples {
            let name = match &sample.outcome {
                Outcome::Answered => "answered".to_owned(),
                Outcome::Wrong(what) => format!("WRONG {what}"),
                Outcome::Refused {
                    status,
                    outcome,
                    reason,
                } => format!("{status} {outcome} {reason}"),
                Outcome::Broken(error) => format!("broken {error}"),
                Outcome::Unsent => "unsent".to_owned(),
            };
            *outcomes.entry(name).or_insert(0) += 1;
        }
        outcomes
    }

    /// Returns answered requests by the target that answered.
    pub fn by_target(&self) -> BTreeMap<&str, usize> {
        let mut targets = BTreeMap::new();
        for sample in &self.samples {
            if let (Outcome::Answered, Some(target)) = (&sample.outcome, &sample.target) {
                *targets.entry(target.as_str()).or_insert(0) += 1;
            }
        }
        targets
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let q = self.quantiles();
        let (answered, offered) = self.weights();
        writeln!(
            f,
            "offered {} in {:.1} s, answered {}, weighted {answered} of {offered}",
            self.offered(),
            self.duration.as_secs_f64(),
            self.answered()
        )?;
        writeln!(
            f,
            "latency of answered requests: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            q.p50, q.p99, q.p999
        )?;
        for (outcome, count) in self.outcomes() {
            writeln!(f, "  {count:>8}  {outcome}")?;
        }
        Ok(())
    }
}
