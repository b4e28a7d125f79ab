//! Results of this entry's requests while a service is moved, over the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use lacewingmoor_derive::copy_value;

use crate::counts::VersionResults;
use crate::{Map, Timestamp};

/// Time for which results count. Long enough for the responses that a share of a few percent yields, short
/// enough that good results of a version that turns bad later do not hide it.
const WINDOW: Duration = Duration::from_secs(6);

/// Time that is counted together.
const BUCKET: Duration = Duration::from_millis(500);

/// Multiple of the expected latency above which a response counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Time by which a response must exceed that multiple, since short requests vary with the load of the VMs.
const SLOW_MARGIN: Duration = Duration::from_millis(20);

/// Result of one attempt.
#[copy_value]
pub enum AttemptResult {
    /// A response in about the expected time.
    Good,
    /// A response that took much longer than expected, or none in that time.
    Slow,
    /// A failure, or no usable response.
    Failed,
}

impl AttemptResult {
    /// Returns the result of an attempt that got a good response after `latency`.
    pub fn of_response(latency: Duration, expected: Duration) -> Self {
        match latency > expected.mul_f64(SLOW_FACTOR) + SLOW_MARGIN {
            true => Self::Slow,
            false => Self::Good,
        }
    }

    /// Returns the result of an attempt that was given up after `elapsed`; `None` if that was too early to
    /// say anything. A margin would hide slow short requests: their hedges respond soon after 3 times the
    /// expected latency.
    pub fn of_given_up(elapsed: Duration, expected: Duration) -> Option<Self> {
        let is_slow = elapsed > expected.mul_f64(SLOW_FACTOR);
        is_slow.then_some(Self::Slow)
    }
}

/// What results are counted by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    is_new: bool,
    route: String,
    target: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    ended: u32,
    failed: u32,
    slow: u32,
}

/// Results of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct ResultWindow {
    buckets: VecDeque<(Timestamp, Map<Group, Tally>)>,
}

impl ResultWindow {
    /// Records a result. `target` is empty for the old version.
    pub fn record(
        &mut self,
        now: Timestamp,
        is_new: bool,
        route: &str,
        target: &str,
        result: AttemptResult,
    ) {
        self.drop_old(now);
        if self
            .buckets
            .back()
            .is_none_or(|(start, _)| now >= *start + BUCKET)
        {
            self.buckets.push_back((now, Map::default()));
        }
        let Some((_, bucket)) = self.buckets.back_mut() else {
            return;
        };
        let group = Group {
            is_new,
            route: route.to_owned(),
            target: target.to_owned(),
        };
        let tally = bucket.entry(group).or_default();
        tally.ended += 1;
        match result {
            AttemptResult::Good => {}
            AttemptResult::Slow => tally.slow += 1,
            AttemptResult::Failed => tally.failed += 1,
        }
    }

    /// Returns the results of the last seconds.
    pub fn results(&mut self, now: Timestamp) -> Vec<VersionResults> {
        self.drop_old(now);
        let mut sums: Map<&Group, Tally> = Map::default();
        for (group, tally) in self.buckets.iter().flat_map(|(_, bucket)| bucket) {
            let sum = sums.entry(group).or_default();
            sum.ended += tally.ended;
            sum.failed += tally.failed;
            sum.slow += tally.slow;
        }
        let results = sums.into_iter().map(|(group, sum)| VersionResults {
            is_new: group.is_new,
            route: group.route.clone(),
            target: group.target.clone(),
            ended: sum.ended,
            failed: sum.failed,
            slow: sum.slow,
        });
        results.collect()
    }

    /// Removes the results of the new version.
    pub fn clear_new(&mut self) {
        for (_, bucket) in &mut self.buckets {
            bucket.retain(|group, _| !group.is_new);
        }
    }

    fn drop_old(&mut self, now: Timestamp) {
        while self
            .buckets
            .front()
            .is_some_and(|(start, _)| *start + WINDOW < now)
        {
            self.buckets.pop_front();
        }
    }
}
