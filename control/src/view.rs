//! What this entry believes about bundle, targets, zones and other entries.
//!
//! Changes carry the revision of the store, so the same change may arrive twice, late or from
//! another source: an older revision of a key never replaces a newer one, and a bundle version
//! never goes back within one process.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Version};
use lacewingmoor_derive::value;

use crate::facts::{Change, Fact, Node, NodeName, Revision, Subject, Target, TargetId, ZoneName};
use crate::{Map, Now};

/// Time after the return of the store during which a missing registration may still come back:
/// targets write again within two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Removed keys that are remembered, so that an older change from another source cannot bring
/// them back.
const TOMBSTONES_MAX: usize = 4096;

/// A target as it is believed to be.
#[value]
pub struct Known {
    /// Its registration.
    pub target: Rc<Target>,
    /// Revision of the registration.
    pub revision: Revision,
    /// Until when it is kept although its registration is missing.
    pub lapse_until: Option<Now>,
}

/// What a change did to the view, for the log.
#[value]
pub enum Effect {
    /// Nothing: known already, or older than what is known.
    None,
    /// A bundle version is in force.
    BundleInForce(Version),
    /// A bundle was ignored because it is not newer than the one in force.
    BundleOld(Version),
    /// A target joined, changed or left.
    Target(TargetId, TargetChange),
    /// A zone went out of service (`true`) or came back.
    Zone(ZoneName, bool),
    /// An entry joined (`true`) or left.
    Node(NodeName, bool),
    /// Content that cannot be used.
    Unusable(String),
}

/// What happened to a target.
#[value]
#[derive(Copy, Eq)]
pub enum TargetChange {
    /// First registration under this id.
    Joined,
    /// The target restarted under its id.
    Restarted,
    /// Another registration of the same run.
    Updated,
    /// It announced that it leaves.
    Draining,
    /// Its registration is gone.
    Left,
    /// Its registration is missing after an outage of the store; it is kept for now.
    Lapsed,
}

/// Entries that are assumed while their registrations are overdue: those of the fleets to build
/// towards.
const ENTRIES_ASSUMED: usize = 128;

/// The same for one zone.
const ENTRIES_IN_ZONE_ASSUMED: usize = 20;

/// The view. Revisions order all changes.
#[derive(Default)]
pub struct View {
    bundle: Option<(Rc<Bundle>, Revision)>,
    targets: Map<TargetId, Known>,
    zones_out: Map<ZoneName, Revision>,
    nodes: Map<NodeName, (Rc<Node>, Revision)>,
    removed: Map<Subject, Revision>,
    services: Map<String, Vec<TargetId>>,
    grace_until: Now,
    /// The registrations of entries were read after this entry's own start.
    has_read_entries: bool,
    /// They should have been read by now.
    entries_overdue: bool,
}

impl View {
    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Rc<Bundle>> {
        self.bundle.as_ref().map(|(bundle, _)| bundle)
    }

    /// Returns a target.
    pub fn target(&self, id: &str) -> Option<&Known> {
        self.targets.get(id)
    }

    /// Returns the ids of the targets of a service.
    pub fn service(&self, name: &str) -> &[TargetId] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns true while the zone is out of service.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zones_out.contains_key(zone)
    }

    /// Returns the zones that are out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones_out.keys()
    }

    /// Returns the registered entries.
    pub fn nodes(&self) -> impl Iterator<Item = &Rc<Node>> {
        self.nodes.values().map(|(node, _)| node)
    }

    /// Returns a registered entry.
    pub fn node(&self, name: &str) -> Option<&Rc<Node>> {
        self.nodes.get(name).map(|(node, _)| node)
    }

    /// Notes that the registrations of entries have been read after those that start together had
    /// time to register.
    pub fn entries_read(&mut self) {
        self.has_read_entries = true;
    }

    /// Notes that the registrations of entries should have been read by now.
    pub fn entries_overdue(&mut self) {
        self.entries_overdue = true;
    }

    /// Returns true if the registrations of entries have been read.
    pub fn has_read_entries(&self) -> bool {
        self.has_read_entries
    }

    fn is_entry_count_unknown(&self) -> bool {
        self.entries_overdue && !self.has_read_entries
    }

    /// Returns the number of entries that share a budget, this one included, at least 1.
    ///
    /// Fault: the store pauses while a fleet starts. Entries that do not know of each other would
    /// each use the whole of a shared budget.
    pub fn node_count(&self) -> usize {
        let least = match self.is_entry_count_unknown() {
            true => ENTRIES_ASSUMED,
            false => 1,
        };
        self.nodes.len().max(least)
    }

    /// Returns the number of entries that share a budget in a zone, at least 1.
    pub fn nodes_in_zone(&self, zone: &str) -> usize {
        let least = match self.is_entry_count_unknown() {
            true => ENTRIES_IN_ZONE_ASSUMED,
            false => 1,
        };
        let known = self.nodes().filter(|n| &*n.zone == zone).count();
        known.max(least)
    }

    /// Notes that the store answers again after an outage: registrations that lapsed meanwhile
    /// may come back.
    pub fn store_returned(&mut self, now: Now) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Applies one change.
    pub fn apply(&mut self, now: Now, change: Change) -> Effect {
        let known = self.known_revision(&change.subject);
        if known.is_some_and(|known| known >= change.revision) {
            return Effect::None;
        }
        self.put(now, change)
    }

    /// Drops targets whose registration has not come back in time.
    pub fn expire(&mut self, now: Now) -> Vec<Effect> {
        let expired: Vec<TargetId> = self
            .targets
            .values()
            .filter(|known| known.lapse_until.is_some_and(|until| until <= now))
            .map(|known| known.target.id.clone())
            .collect();
        expired
            .into_iter()
            .map(|id| {
                self.drop_target(&id);
                Effect::Target(id, TargetChange::Left)
            })
            .collect()
    }

    fn known_revision(&self, subject: &Subject) -> Option<Revision> {
        let present = match subject {
            Subject::Bundle => self.bundle.as_ref().map(|(_, revision)| *revision),
            Subject::Target(id) => self.targets.get(id).map(|known| known.revision),
            Subject::ZoneOut(zone) => self.zones_out.get(zone).copied(),
            Subject::Node(name) => self.nodes.get(name).map(|(_, revision)| *revision),
        };
        present.max(self.removed.get(subject).copied())
    }

    fn put(&mut self, now: Now, change: Change) -> Effect {
        let revision = change.revision;
        if change.fact.is_none() {
            if self.removed.len() >= TOMBSTONES_MAX {
                self.removed.clear();
            }
            self.removed.insert(change.subject.clone(), revision);
        }
        match (change.subject, change.fact) {
            (Subject::Bundle, Some(Fact::Bundle(bundle))) => self.put_bundle(bundle, revision),
            // A bundle stays in force until a newer one replaces it.
            (Subject::Bundle, None) => Effect::None,
            (Subject::Bundle, Some(fact)) => unusable(fact),
            (Subject::Target(_), Some(Fact::Target(target))) => self.put_target(target, revision),
            (Subject::Target(id), None) => self.remove_target(now, id, revision),
            (Subject::Target(id), Some(fact)) => {
                // A registration that cannot be read names no target to use.
                self.drop_target(&id);
                self.removed.insert(Subject::Target(id), revision);
                unusable(fact)
            }
            (Subject::ZoneOut(zone), Some(_)) => {
                self.zones_out.insert(zone.clone(), revision);
                Effect::Zone(zone, true)
            }
            (Subject::ZoneOut(zone), None) => match self.zones_out.remove(&zone) {
                Some(_) => Effect::Zone(zone, false),
                None => Effect::None,
            },
            (Subject::Node(name), Some(Fact::Node(node))) => {
                self.nodes.insert(name.clone(), (node, revision));
                Effect::Node(name, true)
            }
            (Subject::Node(name), None) => match self.nodes.remove(&name) {
                Some(_) => Effect::Node(name, false),
                None => Effect::None,
            },
            (Subject::Node(_), Some(fact)) => unusable(fact),
        }
    }

    fn put_bundle(&mut self, bundle: Rc<Bundle>, revision: Revision) -> Effect {
        let version = bundle.version;
        if self
            .bundle()
            .is_some_and(|current| current.version >= version)
        {
            return Effect::BundleOld(version);
        }
        self.bundle = Some((bundle, revision));
        Effect::BundleInForce(version)
    }

    fn put_target(&mut self, target: Rc<Target>, revision: Revision) -> Effect {
        let id = target.id.clone();
        let before = self.targets.get(&id);
        let change = match before {
            None => TargetChange::Joined,
            Some(known) if restarted(&known.target, &target) => TargetChange::Restarted,
            _ if target.draining => TargetChange::Draining,
            _ => TargetChange::Updated,
        };
        let moved = before.is_some_and(|known| known.target.service != target.service);
        if moved {
            self.drop_target(&id);
        }
        if moved || change == TargetChange::Joined {
            let service = target.service.clone();
            self.services.entry(service).or_default().push(id.clone());
        }
        let known = Known {
            target,
            revision,
            lapse_until: None,
        };
        self.targets.insert(id.clone(), known);
        Effect::Target(id, change)
    }

    fn remove_target(&mut self, now: Now, id: TargetId, revision: Revision) -> Effect {
        let grace_until = self.grace_until;
        let Some(known) = self.targets.get_mut(&id) else {
            return Effect::None;
        };
        if now < grace_until && !known.target.draining {
            known.lapse_until = Some(grace_until);
            known.revision = revision;
            return Effect::Target(id, TargetChange::Lapsed);
        }
        self.drop_target(&id);
        Effect::Target(id, TargetChange::Left)
    }

    fn drop_target(&mut self, id: &TargetId) {
        let Some(known) = self.targets.remove(id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&known.target.service) {
            ids.retain(|other| other != id);
        }
    }
}

fn unusable(fact: Fact) -> Effect {
    match fact {
        Fact::Unusable(why) => Effect::Unusable(why),
        _ => Effect::Unusable("content of another kind".into()),
    }
}

/// Tells a new run under the same id from another registration of the same run.
fn restarted(before: &Target, after: &Target) -> bool {
    before.born_unix_ms != after.born_unix_ms
}
