//! Whether a new version is bad, from the results of both versions at the same time.
//!
//! Fault: single targets of a good version crash, have noisy neighbours or are cut off. The worst third of
//! the targets is therefore left out, so that only a fault of most of them counts.

use lacewingmoor_derive::value;

use crate::Map;
use crate::counts::VersionResults;

/// Bad responses that are needed in addition to a difference of the shares. Four or fewer occur by chance
/// among the responses of a good version within a window.
const BAD_MIN: u32 = 5;

/// The same if the version has a single target, which may be the only bad one.
const BAD_MIN_SINGLE: u32 = 10;

/// The same if the version has several targets of which only one responds.
const BAD_MIN_LONE: u32 = 25;

/// Responses of the targets that are not left out, below which they are too few to judge the version.
///
/// Load pattern: one of several targets gets nearly all requests of the version.
const REST_MIN: u32 = 10;

/// Difference of the shares of bad responses above which the new version is bad. A window may have as many
/// good responses from before the fault as bad ones, and half of the responses may be good.
const DIFFERENCE: f64 = 0.2;

/// Bad responses from which a smaller difference is enough, since it no longer occurs by chance.
///
/// Fault: a version is bad under load, and only a few of its responses so far were made under load.
const BAD_MANY: u32 = 20;

/// See [`BAD_MANY`].
const DIFFERENCE_MANY: f64 = 0.1;

/// Responses of the old version that are assumed in addition to those that were seen, with
/// [`ASSUMED_BAD`] bad ones among them, so that few responses do not count as a flawless version.
const ASSUMED_ENDED: f64 = 20.0;

/// See [`ASSUMED_ENDED`].
const ASSUMED_BAD: f64 = 1.0;

/// Targets of the worst third that are left out, at least.
const LEFT_OUT_MIN: usize = 1;

/// Responses of the new version above which it counts as judged.
const JUDGED_MIN: u32 = 30;

/// Counts that show that a version is bad.
#[value]
pub struct BadVersion {
    /// Route on which it is bad; `None` if it is over all routes together.
    pub route: Option<String>,
    /// Responses of the new version, without the targets that were left out.
    pub new_ended: u32,
    /// Failed or slow ones among them.
    pub new_bad: u32,
    /// Responses of the old version.
    pub old_ended: u32,
    /// Failed or slow ones among them.
    pub old_bad: u32,
}

#[derive(Clone, Copy, Default)]
struct Sum {
    ended: u32,
    bad: u32,
}

impl Sum {
    fn add(&mut self, results: &VersionResults) {
        let bad = results.failed.saturating_add(results.slow);
        self.ended = self.ended.saturating_add(results.ended);
        self.bad = self.bad.saturating_add(bad.min(results.ended));
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            ended: self.ended.saturating_add(other.ended),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    fn share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.ended.max(1))
    }
}

/// Returns why the new version is bad; `None` if the results do not show it. `target_count` is the number
/// of its targets.
pub fn find_fault(results: &[VersionResults], target_count: usize) -> Option<BadVersion> {
    let mut routes: Vec<&str> = results.iter().map(|r| r.route.as_str()).collect();
    routes.sort_unstable();
    routes.dedup();
    let over_all = compare(results.iter(), target_count, None);
    over_all.or_else(|| {
        routes.into_iter().find_map(|route| {
            let on_route = results.iter().filter(|results| results.route == route);
            compare(on_route, target_count, Some(route))
        })
    })
}

/// Returns true if the new version has had enough responses to notice that it is bad.
pub fn is_judged(results: &[VersionResults]) -> bool {
    let of_new = results.iter().filter(|results| results.is_new);
    let ended = of_new.fold(0, |sum: u32, results| sum.saturating_add(results.ended));
    ended >= JUDGED_MIN
}

/// Returns true if the results are bad and come from one of several targets, so that they say nothing about
/// the others.
pub fn is_doubtful(results: &[VersionResults], target_count: usize) -> bool {
    let mut targets: Vec<&str> = results
        .iter()
        .filter(|results| results.is_new)
        .map(|results| results.target.as_str())
        .collect();
    targets.sort_unstable();
    targets.dedup();
    // Judged as if the version had no other target.
    targets.len() == 1 && target_count > 1 && find_fault(results, 1).is_some()
}

fn compare<'a>(
    results: impl Iterator<Item = &'a VersionResults>,
    target_count: usize,
    route: Option<&str>,
) -> Option<BadVersion> {
    let mut old = Sum::default();
    let mut by_target: Map<&str, Sum> = Map::default();
    for results in results {
        match results.is_new {
            true => by_target.entry(&results.target).or_default().add(results),
            false => old.add(results),
        }
    }
    let mut targets: Vec<Sum> = by_target.into_values().collect();
    targets.sort_by_key(|sum| std::cmp::Reverse(sum.bad));
    let (left_out, bad_min) = match (targets.len(), target_count) {
        (0, _) => return None,
        (1, 0 | 1) => (0, BAD_MIN_SINGLE),
        // Others may be good.
        (1, _) => (0, BAD_MIN_LONE),
        (count, _) => ((count / 3).max(LEFT_OUT_MIN), BAD_MIN),
    };
    let sum = |targets: &[Sum]| targets.iter().fold(Sum::default(), Sum::plus);
    let rest = sum(&targets[left_out..]);
    let old_share = (f64::from(old.bad) + ASSUMED_BAD) / (f64::from(old.ended) + ASSUMED_ENDED);
    let is_bad = |new: &Sum, bad_min| {
        let difference = match new.bad {
            BAD_MANY.. => DIFFERENCE_MANY,
            _ => DIFFERENCE,
        };
        new.bad >= bad_min && new.share() >= old_share + difference
    };
    let new = match is_bad(&rest, bad_min) {
        true => rest,
        false if left_out > 0 && rest.ended < REST_MIN => {
            let all = sum(&targets);
            is_bad(&all, BAD_MIN_LONE).then_some(all)?
        }
        false => return None,
    };
    Some(BadVersion {
        route: route.map(str::to_owned),
        new_ended: new.ended,
        new_bad: new.bad,
        old_ended: old.ended,
        old_bad: old.bad,
    })
}
