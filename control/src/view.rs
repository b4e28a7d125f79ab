//! This entry's current view of the bundle, targets, zones and other entries.
//!
//! The same change may arrive twice, delayed or from another source. Changes carry the revision of
//! the store, so that an older revision of a key never replaces a newer one. The bundle version
//! never decreases within one process.
//!
//! Fault: the store is restored from an older copy. It lost what was written since the copy, and the
//! operators and targets that wrote it soon write it again. Until then a key of the new era may show
//! what had been replaced or removed in the earlier one. So the first change of a key in a new era that
//! contradicts the view is held back for a while, unless its contents show that it is the newer one:
//! bundles by their version, registrations of targets by their start and sequence.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Version};
use lacewingmoor_derive::value;

use crate::model::{
    Change, Entry, EntryName, RecordKey, RecordValue, RegionName, RejectedBundle, Revision, Target,
    TargetId, ZoneName,
};
use crate::rendezvous::rendezvous_key;
use crate::rollout::known::KnownRollout;
use crate::rollout::{ServiceName, Stage};
use crate::selection::Locality;
use crate::{Map, Set, Timestamp};

/// Time after a store outage for which lapsed targets are kept: targets write their registration
/// again within two seconds. See [`TargetChange::Lapsed`].
pub const LAPSED_RETENTION: Duration = Duration::from_secs(2);

/// Time after a restore of the store within which operators write again what was lost, and targets
/// their registrations.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// The same for entries, which notice the loss of their registration when they renew it.
const ENTRY_REWRITE_TIME: Duration = Duration::from_secs(9);

/// Number of tombstones at which the next removal drops all earlier ones. Tombstones prevent an
/// older change from another source from restoring a removed key.
const TOMBSTONES_MAX: usize = 4096;

/// A target in the view.
#[value]
pub struct RegisteredTarget {
    /// Content of the registration.
    pub target: Rc<Target>,
    /// Revision of the registration.
    pub revision: Revision,
    /// Time until which the target is kept if it has lapsed; it is dropped then unless it registers
    /// again.
    pub retained_until: Option<Timestamp>,
}

/// Removal of a key.
struct Tombstone {
    revision: Revision,
    /// Last registration of a removed target.
    target: Option<Rc<Target>>,
}

/// First change of a key after a restore of the store, which takes effect unless another one follows.
struct HeldChange {
    change: Change,
    until: Timestamp,
}

/// Effect of a change on the view.
#[value]
pub enum Effect {
    /// No effect: the change was a duplicate or stale, or removed something unknown, or removed the
    /// bundle, which stays active.
    None,
    /// A bundle version became active.
    BundleActivated(Version),
    /// A bundle was ignored because its version is not newer than the active one.
    BundleIgnored(Version),
    /// A bundle cannot be applied; the version `kept` stays active, if there is one.
    BundleRejected {
        /// The bundle.
        rejected: Rc<RejectedBundle>,
        /// The active version.
        kept: Option<Version>,
    },
    /// A target was added, changed or removed.
    Target(TargetId, TargetChange),
    /// A zone went out of service (`true`) or returned to service (`false`).
    Zone(ZoneName, bool),
    /// An entry registered (`true`) or its registration was removed (`false`).
    Entry(EntryName, bool),
    /// An order for a service came into force (`true`) or was removed (`false`).
    RolloutOrder(ServiceName, bool),
    /// The stage record of a service names this stage.
    RolloutStage(ServiceName, Stage),
    /// The value could not be used, with the reason.
    Invalid(String),
}

/// How a target changed.
#[value]
#[derive(Copy, Eq)]
pub enum TargetChange {
    /// First registration under this id.
    Joined,
    /// The target process restarted under the same id.
    Restarted,
    /// The same target process updated its registration.
    Updated,
    /// The target announced that it will shut down; it gets no new requests.
    Draining,
    /// The registration was removed, or the target had lapsed and did not register again in time.
    Left,
    /// The registration was removed after a store outage, in which its lease may have expired; the
    /// target is kept for a while.
    Lapsed,
}

/// Number of entries assumed while their registrations have not been read in time: the number that
/// the load balancer is designed for.
const ASSUMED_ENTRY_COUNT: usize = 512;

/// The same for a single zone.
const ASSUMED_ENTRY_COUNT_IN_ZONE: usize = 64;

/// Number of entries that each registration is assumed to stand for while a new fleet registers: those
/// of a zone of the smallest deployments.
const ASSUMED_MEMBERS: usize = 4;

/// Current state of bundle, targets, zones and entries, with the revision of each.
#[derive(Default)]
pub struct View {
    bundle: Option<(Rc<Bundle>, Revision)>,
    rejected_bundle: Option<Rc<RejectedBundle>>,
    targets: Map<TargetId, RegisteredTarget>,
    zones_out_of_service: Map<ZoneName, Revision>,
    entries: Map<EntryName, (Rc<Entry>, Revision)>,
    tombstones: Map<RecordKey, Tombstone>,
    held: Map<RecordKey, HeldChange>,
    rollouts: Map<ServiceName, KnownRollout>,
    services: Map<String, Vec<TargetId>>,
    retain_lapsed_until: Timestamp,
    /// True once the registrations of entries have been read since this process started.
    has_read_entries: bool,
    /// True once those registrations should have been read.
    entries_overdue: bool,
    /// True while entries may have started that no registration names yet.
    entries_unsettled: bool,
    /// Registered entries and their members.
    known_entries: KnownEntries,
    /// Number of entries that is known in other ways than from registrations.
    entry_count_min: usize,
}

/// Entries of one zone, registered or named as members.
struct ZoneEntries {
    region: RegionName,
    names: Set<EntryName>,
}

/// All entries that registrations name. An entry counts once, even if several others name it as a
/// member.
#[derive(Default)]
struct KnownEntries {
    total: usize,
    by_zone: Map<ZoneName, ZoneEntries>,
}

impl KnownEntries {
    fn new<'a>(entries: impl Iterator<Item = &'a Rc<Entry>>) -> Self {
        let mut all = Set::default();
        let mut by_zone: Map<ZoneName, ZoneEntries> = Map::default();
        for entry in entries {
            let in_zone = by_zone
                .entry(entry.zone.clone())
                .or_insert_with(|| ZoneEntries {
                    region: entry.region.clone(),
                    names: Set::default(),
                });
            for name in std::iter::once(&entry.name).chain(&entry.members) {
                all.insert(name.clone());
                in_zone.names.insert(name.clone());
            }
        }
        Self {
            total: all.len(),
            by_zone,
        }
    }

    fn count_in_zone(&self, zone: &str) -> usize {
        self.by_zone.get(zone).map_or(0, |known| known.names.len())
    }
}

impl View {
    /// Returns the active bundle.
    pub fn bundle(&self) -> Option<&Rc<Bundle>> {
        self.bundle.as_ref().map(|(bundle, _)| bundle)
    }

    /// Returns the bundle that was rejected since the active one was written; `None` if there is none.
    pub fn rejected_bundle(&self) -> Option<&RejectedBundle> {
        self.rejected_bundle.as_deref()
    }

    /// Returns a registered target.
    pub fn target(&self, id: &str) -> Option<&RegisteredTarget> {
        self.targets.get(id)
    }

    /// Returns the ids of the targets of a service.
    pub fn service_targets(&self, name: &str) -> &[TargetId] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the services that have, or had, an order to move them to a version.
    pub fn rollouts(&self) -> impl Iterator<Item = (&ServiceName, &KnownRollout)> {
        self.rollouts.iter()
    }

    /// Returns what is known of the orders of a service.
    pub fn rollout(&self, service: &str) -> Option<&KnownRollout> {
        self.rollouts.get(service)
    }

    /// Returns true while the zone is out of service.
    pub fn is_zone_out_of_service(&self, zone: &str) -> bool {
        self.zones_out_of_service.contains_key(zone)
    }

    /// Returns the zones that are out of service.
    pub fn zones_out_of_service(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones_out_of_service.keys()
    }

    /// Returns the registered entries.
    pub fn entries(&self) -> impl Iterator<Item = &Rc<Entry>> {
        self.entries.values().map(|(entry, _)| entry)
    }

    /// Returns a registered entry.
    pub fn entry(&self, name: &str) -> Option<&Rc<Entry>> {
        self.entries.get(name).map(|(entry, _)| entry)
    }

    /// Records that the registrations of entries have been read, after entries that started at the
    /// same time had time to register.
    pub fn mark_entries_read(&mut self) {
        self.has_read_entries = true;
    }

    /// Records that the registrations of entries should have been read by now.
    pub fn mark_entries_overdue(&mut self) {
        self.entries_overdue = true;
    }

    /// Records whether entries may have started that no registration names yet.
    ///
    /// Load pattern: a new fleet starts with requests waiting. Entries know of few others until these
    /// have registered or are named as members.
    pub fn set_entries_unsettled(&mut self, unsettled: bool) {
        self.entries_unsettled = unsettled;
    }

    /// Sets the number of entries that is known in other ways than from registrations: of followers and
    /// from a source.
    ///
    /// Fault: the store stops responding before registrations name all entries of a new fleet.
    pub fn set_entry_count_min(&mut self, count: usize) {
        self.entry_count_min = count;
    }

    /// Returns the number of entries that registrations name.
    pub fn named_entry_count(&self) -> usize {
        self.known_entries.total
    }

    /// Returns true if the registrations of entries have been read.
    pub fn has_read_entries(&self) -> bool {
        self.has_read_entries
    }

    fn is_entry_count_unknown(&self) -> bool {
        self.entries_overdue && !self.has_read_entries
    }

    /// Returns the number of entries that share the retry budgets and the rate of probes, registered
    /// or not; at least 1.
    ///
    /// Fault: the store stops responding while all entries are starting. Entries that do not know
    /// of each other would each use the entire shared budget.
    pub fn entry_count(&self) -> usize {
        let minimum = match (self.is_entry_count_unknown(), self.entries_unsettled) {
            (true, _) => ASSUMED_ENTRY_COUNT,
            (false, true) => self.entries.len().max(1) * ASSUMED_MEMBERS,
            (false, false) => 1,
        };
        let known = self.known_entries.total.max(self.entry_count_min);
        known.max(minimum)
    }

    /// Returns the number of entries in a zone, which share the warm-up rate of its targets; at
    /// least 1.
    pub fn entry_count_in_zone(&self, zone: &str) -> usize {
        let in_zone = || self.entries().filter(|entry| &*entry.zone == zone).count();
        let minimum = match (self.is_entry_count_unknown(), self.entries_unsettled) {
            (true, _) => ASSUMED_ENTRY_COUNT_IN_ZONE,
            (false, true) => in_zone().max(1) * ASSUMED_MEMBERS,
            (false, false) => 1,
        };
        self.known_entries.count_in_zone(zone).max(minimum)
    }

    /// Returns the number of entries in a region; at least 1.
    pub fn entry_count_in_region(&self, region: &str) -> usize {
        let zones = self.known_entries.by_zone.values();
        let zones = zones.filter(|known| &*known.region == region);
        zones.map(|known| known.names.len()).sum::<usize>().max(1)
    }

    /// Returns the number of entries that come before `own` among those that send to `target` while its
    /// rate is limited for all entries together (see [`crate::sharing`]), if it is below `max`. `None`
    /// also while this entry does not know the others, or no registration names it: others would not
    /// count it as a sender.
    pub fn sender_rank(&self, own: &Locality, target: &Target, max: usize) -> Option<usize> {
        if !self.has_read_entries || self.entries_unsettled {
            return None;
        }
        let own_zone = self.known_entries.by_zone.get(&own.zone)?;
        if !own_zone.names.contains(&own.entry) {
            return None;
        }
        // Entries of the target's zone come first, then those of its region.
        let distance = |zone: &ZoneName, region: &RegionName| match zone {
            zone if *zone == target.zone => 0,
            _ if *region == target.region => 1,
            _ => 2,
        };
        let own_distance = distance(&own.zone, &own.region);
        let own_key = (rendezvous_key(&own.entry, &target.id), &own.entry);
        let zones = self.known_entries.by_zone.iter();
        let zones = zones.map(|(zone, known)| (distance(zone, &known.region), known));
        let (closer, same): (Vec<_>, Vec<_>) = zones
            .filter(|(distance, _)| *distance <= own_distance)
            .partition(|(distance, _)| *distance < own_distance);
        let closer_count: usize = closer.iter().map(|(_, known)| known.names.len()).sum();
        if closer_count >= max {
            return None;
        }
        let is_ahead = |name: &&EntryName| (rendezvous_key(name, &target.id), *name) < own_key;
        let names = same.iter().flat_map(|(_, known)| &known.names);
        let rank = closer_count + names.filter(is_ahead).count();
        (rank < max).then_some(rank)
    }

    /// Returns true if the entry is registered, or named as a member by one that is.
    pub fn counts_entry(&self, name: &EntryName) -> bool {
        self.entries.contains_key(name) || self.entries().any(|entry| entry.members.contains(name))
    }

    /// Records that the store responds again after an outage. Targets whose registration is removed
    /// within [`LAPSED_RETENTION`] lapse instead of being dropped, because their leases may have
    /// expired during the outage.
    pub fn store_recovered(&mut self, now: Timestamp) {
        self.retain_lapsed_until = now + LAPSED_RETENTION;
    }

    /// Applies a change unless the view already has the same or a newer revision of its key.
    pub fn apply(&mut self, now: Timestamp, change: Change) -> Effect {
        let last = self.last_revision(&change.key);
        if last.is_some_and(|last| last >= change.revision) {
            return Effect::None;
        }
        if last.is_some_and(|last| last.era < change.revision.era) {
            match self.rate_first_of_era(&change) {
                FirstOfEra::Applies => {}
                FirstOfEra::IsKnown => {
                    self.set_revision(&change);
                    return Effect::None;
                }
                FirstOfEra::IsHeld(time) => {
                    let until = now + time;
                    let key = change.key.clone();
                    self.held.insert(key, HeldChange { change, until });
                    return Effect::None;
                }
            }
        }
        if self.is_outdated_registration(&change) {
            self.set_revision(&change);
            return Effect::None;
        }
        self.held.remove(&change.key);
        self.apply_newer(now, change)
    }

    /// Returns true if the change writes a registration that the target had replaced before.
    ///
    /// Fault: the store executes a write of a target seconds late, after the target has announced that it
    /// will shut down.
    fn is_outdated_registration(&self, change: &Change) -> bool {
        let (RecordKey::Target(id), Some(RecordValue::Target(target))) =
            (&change.key, &change.value)
        else {
            return false;
        };
        let registered = self.targets.get(id).map(|registered| &registered.target);
        let removed = self.tombstones.get(&change.key);
        let known = registered.or_else(|| removed.and_then(|tombstone| tombstone.target.as_ref()));
        known.is_some_and(|known| is_older(target, known))
    }

    /// Applies changes that were held back and that no other change has replaced, and drops lapsed
    /// targets that did not register again in time.
    pub fn apply_due(&mut self, now: Timestamp) -> Vec<Effect> {
        let held = self.held.iter();
        let due = held.filter(|(_, held)| held.until <= now);
        let due: Vec<RecordKey> = due.map(|(key, _)| key.clone()).collect();
        let mut effects = self.drop_lapsed_targets(now);
        for key in due {
            if let Some(held) = self.held.remove(&key) {
                effects.push(self.apply_newer(now, held.change));
            }
        }
        effects
    }

    /// Decides what the first change of a key in a new era does.
    fn rate_first_of_era(&self, change: &Change) -> FirstOfEra {
        match (&change.key, &change.value) {
            (RecordKey::Bundle, _) => FirstOfEra::Applies,
            (RecordKey::Target(id), Some(RecordValue::Target(target))) => {
                let registered = self.targets.get(id);
                let is_known = match registered {
                    Some(known) => *known.target == **target || is_older(target, &known.target),
                    None => self.tombstones.get(&change.key).is_some_and(|tombstone| {
                        let last = tombstone.target.as_ref();
                        last.is_some_and(|last| **last == **target || is_older(target, last))
                    }),
                };
                match is_known {
                    true => FirstOfEra::IsKnown,
                    false => FirstOfEra::Applies,
                }
            }
            // The target lapses if it is not draining.
            (RecordKey::Target(_), _) => FirstOfEra::Applies,
            (RecordKey::ZoneOutOfService(zone), value) => {
                match self.zones_out_of_service.contains_key(zone) == value.is_some() {
                    true => FirstOfEra::Applies,
                    false => FirstOfEra::IsHeld(REWRITE_TIME),
                }
            }
            (RecordKey::Entry(_), Some(_)) => FirstOfEra::Applies,
            (RecordKey::Entry(name), None) => match self.entries.contains_key(name) {
                true => FirstOfEra::IsHeld(ENTRY_REWRITE_TIME),
                false => FirstOfEra::Applies,
            },
            (RecordKey::RolloutOrder(service), value) => {
                let known = self.rollouts.get(service);
                let known = known.and_then(|known| known.order.as_ref());
                let is_same = match (known, value) {
                    (Some(known), Some(RecordValue::RolloutOrder(order))) => known.order == *order,
                    (None, None) => true,
                    _ => false,
                };
                match is_same {
                    true => FirstOfEra::Applies,
                    false => FirstOfEra::IsHeld(REWRITE_TIME),
                }
            }
            // An older record adds nothing; see `RolloutRecord::merged_with`.
            (RecordKey::RolloutRecord(_), _) => FirstOfEra::Applies,
        }
    }

    /// Records the revision of a change that changes nothing.
    fn set_revision(&mut self, change: &Change) {
        if let RecordKey::Target(id) = &change.key
            && let Some(registered) = self.targets.get_mut(id)
        {
            registered.revision = change.revision;
        } else if let Some(tombstone) = self.tombstones.get_mut(&change.key) {
            tombstone.revision = change.revision;
        }
    }

    fn drop_lapsed_targets(&mut self, now: Timestamp) -> Vec<Effect> {
        let lapsed: Vec<TargetId> = self
            .targets
            .values()
            .filter(|registered| registered.retained_until.is_some_and(|until| until <= now))
            .map(|registered| registered.target.id.clone())
            .collect();
        lapsed
            .into_iter()
            .map(|id| {
                self.delete_target(&id);
                Effect::Target(id, TargetChange::Left)
            })
            .collect()
    }

    fn last_revision(&self, key: &RecordKey) -> Option<Revision> {
        let present = match key {
            RecordKey::Bundle => self.bundle.as_ref().map(|(_, revision)| *revision),
            RecordKey::Target(id) => self.targets.get(id).map(|registered| registered.revision),
            RecordKey::ZoneOutOfService(zone) => self.zones_out_of_service.get(zone).copied(),
            RecordKey::Entry(name) => self.entries.get(name).map(|(_, revision)| *revision),
            RecordKey::RolloutOrder(service) => {
                let known = self.rollouts.get(service);
                let order = known.and_then(|known| known.order.as_ref());
                order.map(|order| order.revision)
            }
            RecordKey::RolloutRecord(service) => {
                let known = self.rollouts.get(service);
                let record = known.and_then(|known| known.record.as_ref());
                record.map(|record| record.revision)
            }
        };
        let removed = self.tombstones.get(key).map(|tombstone| tombstone.revision);
        let held = self.held.get(key).map(|held| held.change.revision);
        present.max(removed).max(held)
    }

    fn apply_newer(&mut self, now: Timestamp, change: Change) -> Effect {
        let revision = change.revision;
        if change.value.is_none() {
            self.insert_tombstone(change.key.clone(), revision);
        }
        match (change.key, change.value) {
            (RecordKey::Bundle, Some(RecordValue::Bundle(bundle))) => {
                self.set_bundle(bundle, revision)
            }
            (RecordKey::Bundle, Some(RecordValue::RejectedBundle(rejected))) => {
                self.rejected_bundle = Some(rejected.clone());
                let kept = self.bundle().map(|bundle| bundle.version);
                Effect::BundleRejected { rejected, kept }
            }
            // A bundle stays active until a newer one replaces it.
            (RecordKey::Bundle, None) => Effect::None,
            (RecordKey::Bundle, Some(value)) => invalid(value),
            (RecordKey::Target(_), Some(RecordValue::Target(target))) => {
                self.set_target(target, revision)
            }
            (RecordKey::Target(id), None) => self.apply_target_removal(now, id, revision),
            (RecordKey::Target(id), Some(value)) => {
                // An invalid registration does not describe a target that can be used, so the
                // target is dropped.
                self.insert_tombstone(RecordKey::Target(id.clone()), revision);
                self.delete_target(&id);
                invalid(value)
            }
            (RecordKey::ZoneOutOfService(zone), Some(_)) => {
                self.zones_out_of_service.insert(zone.clone(), revision);
                Effect::Zone(zone, true)
            }
            (RecordKey::ZoneOutOfService(zone), None) => {
                match self.zones_out_of_service.remove(&zone) {
                    Some(_) => Effect::Zone(zone, false),
                    None => Effect::None,
                }
            }
            (RecordKey::Entry(name), Some(RecordValue::Entry(entry))) => {
                self.entries.insert(name.clone(), (entry, revision));
                self.known_entries = KnownEntries::new(self.entries());
                Effect::Entry(name, true)
            }
            (RecordKey::Entry(name), None) => match self.entries.remove(&name) {
                Some(_) => {
                    self.known_entries = KnownEntries::new(self.entries());
                    Effect::Entry(name, false)
                }
                None => Effect::None,
            },
            (RecordKey::Entry(_), Some(value)) => invalid(value),
            (RecordKey::RolloutOrder(service), Some(RecordValue::RolloutOrder(order))) => {
                let known = self.rollouts.entry(service.clone()).or_default();
                known.set_order(now, order, revision);
                Effect::RolloutOrder(service, true)
            }
            (RecordKey::RolloutOrder(service), None) => {
                let known = self.rollouts.get_mut(&service);
                match known.is_some_and(KnownRollout::remove_order) {
                    true => Effect::RolloutOrder(service, false),
                    false => Effect::None,
                }
            }
            // The order in force stays.
            (RecordKey::RolloutOrder(service), Some(value)) => {
                if let Some(known) = self.rollouts.get_mut(&service) {
                    known.stored_order = revision;
                }
                invalid(value)
            }
            (RecordKey::RolloutRecord(service), Some(RecordValue::RolloutRecord(record))) => {
                let known = self.rollouts.entry(service.clone()).or_default();
                known.set_record(now, &record, revision);
                let stage = known.record.as_ref().map(|known| known.record.stage);
                Effect::RolloutStage(service, stage.unwrap_or_default())
            }
            (RecordKey::RolloutRecord(service), value) => {
                if let Some(known) = self.rollouts.get_mut(&service) {
                    let stored_number = value.as_ref().map_or(0, |_| revision.number);
                    known.lose_record(revision, stored_number);
                }
                value.map_or(Effect::None, invalid)
            }
        }
    }

    fn insert_tombstone(&mut self, key: RecordKey, revision: Revision) {
        if self.tombstones.len() >= TOMBSTONES_MAX {
            self.tombstones.clear();
        }
        let target = match &key {
            RecordKey::Target(id) => {
                let registered = self.targets.get(id);
                let last = registered.map(|registered| registered.target.clone());
                let before = self.tombstones.get(&key);
                last.or_else(|| before.and_then(|tombstone| tombstone.target.clone()))
            }
            _ => None,
        };
        self.tombstones.insert(key, Tombstone { revision, target });
    }

    fn set_bundle(&mut self, bundle: Rc<Bundle>, revision: Revision) -> Effect {
        let version = bundle.version;
        if self
            .bundle()
            .is_some_and(|current| current.version >= version)
        {
            return Effect::BundleIgnored(version);
        }
        self.bundle = Some((bundle, revision));
        self.rejected_bundle = None;
        Effect::BundleActivated(version)
    }

    fn set_target(&mut self, target: Rc<Target>, revision: Revision) -> Effect {
        let id = target.id.clone();
        let before = self.targets.get(&id);
        let change = match before {
            None => TargetChange::Joined,
            Some(registered) if is_restart(&registered.target, &target) => TargetChange::Restarted,
            _ if target.draining => TargetChange::Draining,
            _ => TargetChange::Updated,
        };
        let service_changed =
            before.is_some_and(|registered| registered.target.service != target.service);
        if service_changed {
            self.delete_target(&id);
        }
        if service_changed || change == TargetChange::Joined {
            let service = target.service.clone();
            self.services.entry(service).or_default().push(id.clone());
        }
        let registered = RegisteredTarget {
            target,
            revision,
            retained_until: None,
        };
        self.targets.insert(id.clone(), registered);
        Effect::Target(id, change)
    }

    /// Applies the removal of a registration. Shortly after a store outage or a restore of the store the
    /// target lapses, unless it is draining.
    fn apply_target_removal(&mut self, now: Timestamp, id: TargetId, revision: Revision) -> Effect {
        let Some(registered) = self.targets.get_mut(&id) else {
            return Effect::None;
        };
        let retain_lapsed_until = match registered.revision.era < revision.era {
            true => self.retain_lapsed_until.max(now + LAPSED_RETENTION),
            false => self.retain_lapsed_until,
        };
        if now < retain_lapsed_until && !registered.target.draining {
            registered.retained_until = Some(retain_lapsed_until);
            registered.revision = revision;
            return Effect::Target(id, TargetChange::Lapsed);
        }
        self.delete_target(&id);
        Effect::Target(id, TargetChange::Left)
    }

    /// Deletes a target at once, even one that has lapsed.
    fn delete_target(&mut self, id: &TargetId) {
        let Some(registered) = self.targets.remove(id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&registered.target.service) {
            ids.retain(|other| other != id);
        }
    }
}

/// What the first change of a key in a new era does.
enum FirstOfEra {
    /// It takes effect at once.
    Applies,
    /// It repeats what is known, or what was replaced since.
    IsKnown,
    /// It takes effect after this time unless another change follows.
    IsHeld(Duration),
}

/// Returns true if the registration `target` was written before `known`, by their contents.
fn is_older(target: &Target, known: &Target) -> bool {
    match (target.started_unix_ms, known.started_unix_ms) {
        (Some(started), Some(known_started)) if started != known_started => started < known_started,
        _ => match (target.sequence, known.sequence) {
            (Some(sequence), Some(known_sequence)) => sequence < known_sequence,
            _ => false,
        },
    }
}

fn invalid(value: RecordValue) -> Effect {
    match value {
        RecordValue::Invalid(why) => Effect::Invalid(why),
        _ => Effect::Invalid("value does not match the type of its key".into()),
    }
}

/// Returns true if `after` was registered by a new process rather than updated by the same one.
fn is_restart(before: &Target, after: &Target) -> bool {
    before.started_unix_ms != after.started_unix_ms
}
