//! How many requests of this entry go to the new version, and to which of its targets.
//!
//! Load pattern: hundreds of entries, each with a few requests per second, that do not know how many each
//! other sends. Each keeps to a share of its own requests, so the sum keeps to the share of all requests.

use std::rc::Rc;

use lacewingmoor_derive::value;

use super::Stage;
use super::schedule::Schedule;
use crate::model::{Target, TargetId, VersionName};
use crate::rendezvous::rendezvous_key;
use crate::{Map, Set};

/// Fewest targets of the new version that get requests in a region. A single one says nothing about the
/// others.
const CHOSEN_MIN: usize = 2;

/// Part of a send by which the next attempt to send to the new version is put off if it had no capacity,
/// since each costs probes.
const NO_CAPACITY_DELAY: f64 = 0.2;

/// Which targets of a service requests may be sent to, by version.
#[value]
#[derive(Default)]
pub enum Access {
    /// Those of any version.
    #[default]
    Any,
    /// Those of other versions than the new one.
    Old,
    /// Requests that are assigned to the new version: the chosen targets of it. Others: those of other
    /// versions.
    Split(Set<TargetId>),
    /// Those of the new version.
    New,
}

/// Rules on the versions of a service.
#[value]
#[derive(Default)]
pub struct VersionRules {
    /// Version that the service is moved to; empty without an order.
    pub target_version: VersionName,
    /// Targets that requests may be sent to.
    pub access: Access,
    /// Versions that get no requests.
    pub forbidden: Vec<VersionName>,
}

/// Rules for one request.
#[derive(Clone, Debug, Default)]
pub struct VersionChoice {
    /// Rules of the service; `None` if it is not moved.
    pub rules: Option<Rc<VersionRules>>,
    /// True while the request is assigned to the new version.
    pub prefers_new: bool,
}

impl VersionChoice {
    /// Returns true if the request may be sent to the target.
    pub fn allows(&self, target: &Target) -> bool {
        let Some(rules) = &self.rules else {
            return true;
        };
        if rules.forbidden.contains(&target.version) {
            return false;
        }
        let is_new = target.version == rules.target_version;
        match &rules.access {
            Access::Any => true,
            Access::Old => !is_new,
            Access::Split(chosen) => match self.prefers_new {
                true => is_new && chosen.contains(&target.id),
                false => !is_new,
            },
            Access::New => is_new,
        }
    }
}

/// Returns the targets of the new version that get its share of the requests: the same ones for all
/// entries, and more of them as the share rises. They carry about as much load as they would if all
/// requests went to the new version, so that a version that is bad under load shows it. They are chosen in
/// each region, since entries prefer their own, and routes may have home regions.
pub fn choose_targets<'a>(
    order: u64,
    share: f64,
    targets: impl Iterator<Item = &'a Rc<Target>>,
) -> Set<TargetId> {
    let seed = order.to_string();
    let mut by_zone: Map<(&str, &str), Vec<(u64, &TargetId)>> = Map::default();
    for target in targets {
        let ids = by_zone.entry((&target.region, &target.zone)).or_default();
        ids.push((rendezvous_key(&seed, &target.id), &target.id));
    }
    // One target of each zone comes first, so that a zone that fails has few of the chosen ones.
    let mut by_region: Map<&str, Vec<(usize, u64, &TargetId)>> = Map::default();
    for ((region, _), mut ids) in by_zone {
        ids.sort_unstable();
        let ranked = ids.into_iter().enumerate();
        let ranked = ranked.map(|(rank, (key, id))| (rank, key, id));
        by_region.entry(region).or_default().extend(ranked);
    }
    let mut chosen = Set::default();
    for mut ids in by_region.into_values() {
        ids.sort_unstable();
        let count = ((ids.len() as f64 * share).ceil() as usize).max(CHOSEN_MIN);
        chosen.extend(ids.into_iter().take(count).map(|(_, _, id)| id.clone()));
    }
    chosen
}

/// Count of the requests of a service and of the sends to its new version since the order was learned.
#[derive(Clone, Debug)]
pub struct Exposure {
    requests: u32,
    sends: u32,
    /// Sends that the stages so far have allowed and that were not made.
    credit: f64,
    /// Random number in [0, 1), with which the number of allowed sends is rounded. The mean over many
    /// entries is exact: 500 entries deviate by fewer than 12 sends (one standard deviation), which is
    /// within the slack of the bound. Rounding down would give a version no request at all if each of
    /// hundreds of entries has only a few requests.
    rounding: f64,
}

impl Exposure {
    /// Starts to count, with a random number in [0, 1).
    pub fn new(rounding: f64) -> Self {
        Self {
            requests: 0,
            sends: 0,
            credit: rounding,
            rounding,
        }
    }

    /// Returns the requests and the sends to the new version so far.
    pub fn counts(&self) -> (u32, u32) {
        (self.requests, self.sends)
    }

    /// Counts a request. Returns true if it is assigned to the new version.
    pub fn record_request(&mut self, schedule: &Schedule, stage: Stage) -> bool {
        self.requests += 1;
        // Sends that the new version had no capacity for are not made up for later in a burst.
        self.credit = (self.credit + schedule.share(stage)).min(1.0 + schedule.share(stage));
        self.may_send(schedule)
    }

    /// Returns true if a send to the new version is within the share.
    pub fn may_send(&self, schedule: &Schedule) -> bool {
        let allowed = schedule.cumulative_share() * f64::from(self.requests) + self.rounding;
        self.credit >= 1.0 && f64::from(self.sends + 1) <= allowed
    }

    /// Records that a request found no capacity at the new version and goes to the old one.
    pub fn record_no_capacity(&mut self) {
        self.credit = (self.credit - NO_CAPACITY_DELAY).max(0.0);
    }

    /// Counts a send to the new version.
    pub fn record_send(&mut self) {
        self.sends += 1;
        self.credit = (self.credit - 1.0).max(0.0);
    }
}
