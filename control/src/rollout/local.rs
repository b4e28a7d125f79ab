//! State of this entry for each service that is being moved, and what follows from it for requests.

use std::rc::Rc;
use std::time::Duration;

use super::exposure::{Access, Exposure, VersionRules, choose_targets};
use super::known::KnownRollout;
use super::results::{AttemptResult, ResultWindow};
use super::schedule::Schedule;
use super::verdict::{BadVersion, find_fault, is_judged};
use super::{OrderNumber, ServiceName, Stage};
use crate::bounds::ExposureBounds;
use crate::counts::RolloutCounts;
use crate::model::{Revision, Target, VersionName};
use crate::rendezvous::rendezvous_key;
use crate::{Map, Timestamp};

/// Time without targets of other versions after which the new one is used without a bound. Longer than
/// registrations take that lapsed in an outage of the store.
///
/// Load pattern: the service has no other targets, so the bound would refuse every caller.
const NO_OLD_TARGETS_TIME: Duration = Duration::from_secs(3);

/// Time after which an entry that stopped alone sends to a version again that gets all requests elsewhere.
/// The counts of all entries show a bad version long before.
///
/// Fault: the network between an entry and most targets of a good version fails for a while.
const STOPPED_ALONE_TIME: Duration = Duration::from_secs(3);

/// Number of targets up to which results are counted for each one; above it, for groups of them, so that
/// the counts stay short.
const COUNTED_TARGETS_MAX: usize = 16;

/// State of one service.
#[derive(Clone, Debug)]
struct LocalRollout {
    order: OrderNumber,
    /// When this entry learned of the order.
    since: Timestamp,
    target_version: VersionName,
    schedule: Schedule,
    stage: Stage,
    exposure: Exposure,
    window: ResultWindow,
    /// When this entry saw that the version is bad. It sends nothing to the version from then on, until
    /// the results of all entries say otherwise.
    stopped_at: Option<Timestamp>,
    /// Number of targets of the version.
    target_count: usize,
    /// When a target of another version was registered last.
    old_seen_at: Option<Timestamp>,
}

/// Orders as this entry carries them out, and its requests in flight by version.
#[derive(Debug, Default)]
pub struct LocalRollouts {
    services: Map<ServiceName, LocalRollout>,
    rules: Map<ServiceName, Rc<VersionRules>>,
    in_flight: Map<String, Map<VersionName, u32>>,
}

/// Targets of a service that are registered and not draining.
pub struct ReadyTargets<'a> {
    targets: &'a [Rc<Target>],
    version: &'a str,
}

impl<'a> ReadyTargets<'a> {
    /// Splits targets by `version`.
    pub fn new(targets: &'a [Rc<Target>], version: &'a str) -> Self {
        Self { targets, version }
    }

    /// Returns those of the version.
    pub fn new_ones(&self) -> impl Iterator<Item = &'a Rc<Target>> {
        let version = self.version;
        self.targets
            .iter()
            .filter(move |target| &*target.version == version)
    }

    /// Returns true if there are any of other versions.
    pub fn has_old(&self) -> bool {
        self.targets
            .iter()
            .any(|target| &*target.version != self.version)
    }
}

impl LocalRollouts {
    /// Forgets all orders, because moving services is not enabled.
    pub fn clear(&mut self) {
        self.services.clear();
        self.rules.clear();
    }

    /// Updates the state of a service and returns its stage if that changed. `targets` are those that are
    /// registered and not draining, `rounding` is a random number in [0, 1).
    pub fn update(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        known: &KnownRollout,
        targets: &[Rc<Target>],
        bounds: &ExposureBounds,
        rounding: f64,
    ) -> Option<Stage> {
        let forbidden = known.forbidden_versions();
        let Some(order) = &known.order else {
            self.services.remove(service);
            let rules = VersionRules {
                forbidden,
                ..VersionRules::default()
            };
            self.rules.insert(service.clone(), Rc::new(rules));
            return None;
        };
        let target_version = &order.order.target_version;
        let is_usable = |target: &&Rc<Target>| !forbidden.contains(&target.version);
        let targets: Vec<Rc<Target>> = targets.iter().filter(is_usable).cloned().collect();
        let ready = ReadyTargets::new(&targets, target_version);
        // The number alone changes if a restore of the store lost the order and it was written again.
        let local = self.services.get(service);
        let is_same = local.is_some_and(|local| {
            local.since == order.since && local.target_version == *target_version
        });
        if !is_same {
            let local = LocalRollout {
                order: order.number(),
                since: order.since,
                target_version: target_version.clone(),
                schedule: Schedule {
                    bound: bounds.share,
                    duration: order.order.duration,
                },
                stage: Stage::None,
                exposure: Exposure::new(rounding),
                window: ResultWindow::default(),
                stopped_at: None,
                target_count: 0,
                // Fault: all entries and targets restart; targets of the new version register first.
                old_seen_at: (now < NO_OLD_TARGETS_TIME).then_some(now),
            };
            self.services.insert(service.clone(), local);
        }
        let local = self.services.get_mut(service)?;
        local.order = order.number();
        local.target_count = ready.new_ones().count();
        if ready.has_old() {
            local.old_seen_at = Some(now);
        }
        let stage = known.stage();
        let mut change = None;
        if stage != local.stage || !is_same {
            local.stage = stage;
            change = Some(stage);
            if matches!(stage, Stage::All | Stage::Completed) {
                // Decided from the results of all entries. Later ones of this entry count again, beside those
                // of the old version: without these, a good version of a service that fails anyway, such
                // as for a fault behind it, would be compared with an assumed share of bad responses.
                local.stopped_at = None;
                local.window.clear_new();
            }
        }
        let rules = Rc::new(VersionRules {
            target_version: target_version.clone(),
            access: local.access(now, &ready),
            forbidden,
        });
        self.rules.insert(service.clone(), rules);
        change
    }

    /// Returns the rules on the versions of a service; `None` if it never had an order.
    pub fn rules(&self, service: &str) -> Option<Rc<VersionRules>> {
        self.rules.get(service).cloned()
    }

    /// Returns the stage that this entry is at for a service.
    pub fn stage(&self, service: &str) -> Option<Stage> {
        self.services
            .get(service)
            .map(LocalRollout::effective_stage)
    }

    /// Counts a request. Returns true if it is assigned to the new version of its service.
    pub fn record_request(&mut self, service: &str) -> bool {
        let is_split = self.is_split(service);
        let Some(local) = self.services.get_mut(service) else {
            return false;
        };
        let stage = match is_split {
            true => local.stage,
            false => Stage::None,
        };
        local.exposure.record_request(&local.schedule, stage) && is_split
    }

    /// Records that a request found no capacity at the new version and goes to the old one.
    pub fn record_no_capacity(&mut self, service: &str) {
        if let Some(local) = self.services.get_mut(service) {
            local.exposure.record_no_capacity();
        }
    }

    fn is_split(&self, service: &str) -> bool {
        let rules = self.rules.get(service);
        rules.is_some_and(|rules| matches!(rules.access, Access::Split(_)))
    }

    /// Returns true if a send to the target is within this entry's share for the new version.
    pub fn may_send(&self, target: &Target) -> bool {
        let is_split = self.is_split(&target.service);
        self.services
            .get(target.service.as_str())
            .is_none_or(|local| {
                !is_split
                    || local.target_version != target.version
                    || local.exposure.may_send(&local.schedule)
            })
    }

    /// Returns true if the target has a new version that its service has not been moved to yet. The time
    /// that its requests take is no measure of the service: a slow version would soon be expected to be slow.
    pub fn is_unproven(&self, target: &Target) -> bool {
        let local = self.services.get(target.service.as_str());
        local.is_some_and(|local| local.target_version == target.version && !local.stage.is_final())
    }

    /// Counts a send to a target.
    pub fn record_send(&mut self, target: &Target) {
        if let Some(local) = self.services.get_mut(target.service.as_str())
            && local.target_version == target.version
        {
            local.exposure.record_send();
        }
    }

    /// Counts a request as in flight at a version until [`Self::end_in_flight`].
    pub fn begin_in_flight(&mut self, service: &str, version: &VersionName) {
        let versions = match self.in_flight.get_mut(service) {
            Some(versions) => versions,
            None => self.in_flight.entry(service.to_owned()).or_default(),
        };
        *versions.entry(version.clone()).or_default() += 1;
    }

    /// Ends what [`Self::begin_in_flight`] began.
    pub fn end_in_flight(&mut self, service: &str, version: &VersionName) {
        if let Some(versions) = self.in_flight.get_mut(service)
            && let Some(count) = versions.get_mut(version)
        {
            *count = count.saturating_sub(1);
            if *count == 0 {
                versions.remove(version);
            }
        }
    }

    /// Records the result of an attempt. Returns why this entry stops sending to the new version if the
    /// result shows that it is bad.
    pub fn record_result(
        &mut self,
        now: Timestamp,
        target: &Target,
        route: &str,
        result: AttemptResult,
    ) -> Option<BadVersion> {
        let local = self.services.get_mut(target.service.as_str())?;
        if local.stage.is_final() {
            return None;
        }
        let is_new = target.version == local.target_version;
        let label = match is_new {
            true => local.label(target),
            false => String::new(),
        };
        local.window.record(now, is_new, route, &label, result);
        if !is_new || result == AttemptResult::Good || local.stopped_at.is_some() {
            return None;
        }
        let fault = find_fault(&local.window.results(now), local.target_count)?;
        self.stop(now, &target.service);
        Some(fault)
    }

    /// Stops sending to the new version if the counts of all entries show that it is bad, before the
    /// verdict is in the store. Returns why. Sends to it again if this entry stopped alone.
    pub fn check_totals(&mut self, now: Timestamp, totals: &RolloutCounts) -> Option<BadVersion> {
        let local = self.services.get_mut(totals.service.as_str())?;
        if local.order != totals.order.number || local.stage.is_final() {
            return None;
        }
        let fault = find_fault(&totals.results, local.target_count);
        match (fault, local.stopped_at) {
            (Some(fault), None) => {
                self.stop(now, &totals.service);
                Some(fault)
            }
            (None, Some(stopped_at))
                if local.stage == Stage::All
                    && stopped_at + STOPPED_ALONE_TIME <= now
                    && is_judged(&totals.results) =>
            {
                local.stopped_at = None;
                local.window.clear_new();
                None
            }
            _ => None,
        }
    }

    fn stop(&mut self, now: Timestamp, service: &str) {
        if let Some(local) = self.services.get_mut(service) {
            local.stopped_at = Some(now);
        }
        if let Some(rules) = self.rules.get_mut(service) {
            Rc::make_mut(rules).access = Access::Old;
        }
    }

    /// Returns the requests of a service and the sends to its new version since the order was learned.
    pub fn exposure(&self, service: &str) -> Option<(u32, u32)> {
        self.services
            .get(service)
            .map(|local| local.exposure.counts())
    }

    /// Returns this entry's counts for all orders that are not finished.
    pub fn counts(&mut self, now: Timestamp) -> Vec<RolloutCounts> {
        let in_flight = &self.in_flight;
        let services = self.services.iter_mut();
        let unfinished = services.filter(|(_, local)| !local.stage.is_final());
        let counts = unfinished.map(|(service, local)| {
            let versions = in_flight.get(&**service).into_iter().flatten();
            let old = versions.filter(|(version, _)| **version != local.target_version);
            let (requests, sent_to_new) = local.exposure.counts();
            RolloutCounts {
                service: service.to_string(),
                order: Revision {
                    era: 0,
                    number: local.order,
                },
                entry_count: 1,
                stage_min: local.effective_stage().number(),
                in_flight_at_old: old.map(|(_, count)| count).sum(),
                requests,
                sent_to_new,
                results: local.window.results(now),
            }
        });
        counts.collect()
    }
}

impl LocalRollout {
    /// Returns the stage that this entry is at: none while it has stopped sending to the version or has no
    /// target of it.
    fn effective_stage(&self) -> Stage {
        let is_usable = self.stopped_at.is_none() && self.target_count > 0;
        match self.stage.is_final() || is_usable {
            true => self.stage,
            false => Stage::None,
        }
    }

    fn access(&self, now: Timestamp, ready: &ReadyTargets<'_>) -> Access {
        let has_old = self
            .old_seen_at
            .is_some_and(|seen_at| seen_at + NO_OLD_TARGETS_TIME >= now);
        match self.effective_stage() {
            Stage::Completed => Access::New,
            Stage::RolledBack => Access::Old,
            Stage::All if has_old => Access::New,
            _ if !has_old && self.stopped_at.is_none() => Access::Any,
            Stage::Trial | Stage::Rising | Stage::Raised => {
                let share = self.schedule.share(self.stage);
                Access::Split(choose_targets(self.order, share, ready.new_ones()))
            }
            Stage::None | Stage::All => Access::Old,
        }
    }

    /// Returns what the results of a target are counted under.
    fn label(&self, target: &Target) -> String {
        match self.target_count <= COUNTED_TARGETS_MAX {
            true => target.id.to_string(),
            false => {
                let group = rendezvous_key("", &target.id) % COUNTED_TARGETS_MAX as u64;
                format!("group-{group}")
            }
        }
    }
}
