//! Local replica of the store's keys, from which followers are updated: the entries that follow
//! this one.
//!
//! Removed keys are kept as tombstones, so that an update since any revision includes removals.
//! Records carry the store's revision, so duplicate, delayed and reordered updates are harmless.
//!
//! Fault: the store is restored from an older copy and gives out revisions again. Its contents in the new
//! era begin with a snapshot, and records of an earlier era are no longer accepted: what was written
//! since the copy is lost.

use lacewingmoor_derive::wire;

use crate::model::{Record, Revision};
use crate::{Map, Set};

/// Number of tombstones above which they are dropped. Followers that have not received the dropped
/// ones get a snapshot.
const TOMBSTONES_MAX: usize = 2048;

/// Records sent to a follower: the changes since a revision, or a snapshot.
#[wire]
#[derive(Eq)]
pub struct Update {
    /// Revision up to which every change is included, in this or an earlier update.
    pub revision: Revision,
    /// True if the records are complete, so that any other key does not exist.
    pub is_snapshot: bool,
    /// Records, normally ordered by revision; [`Replica::apply`] accepts any order.
    pub records: Vec<Record>,
}

/// Latest record of every key, including tombstones.
#[derive(Default)]
pub struct Replica {
    records: Map<String, Record>,
    tombstone_count: usize,
    revision: Revision,
    /// Tombstones up to this revision may have been dropped.
    compacted_revision: Revision,
}

impl Replica {
    /// Returns the revision up to which every change is included; the default before the first update.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies an update and returns the records that were new, in the order of their revisions.
    pub fn apply(&mut self, update: Update) -> Vec<Record> {
        let mut records = update.records;
        records.retain(|record| record.revision.era >= self.revision.era);
        if update.is_snapshot && update.revision.era >= self.revision.era {
            records.extend(self.missing_from_snapshot(&records, update.revision));
        }
        records.sort_by_key(|record| record.revision);
        let changed: Vec<Record> = records
            .into_iter()
            .filter(|r| self.insert_if_newer(r))
            .collect();
        let is_first = self.revision == Revision::default();
        if is_first || update.revision.era > self.revision.era {
            // Followers may have keys that were removed, or lost, before this entry knew of them.
            self.compacted_revision = update.revision;
        }
        self.revision = self.revision.max(update.revision);
        if self.tombstone_count > TOMBSTONES_MAX {
            self.compact();
        }
        changed
    }

    /// Returns an update for a follower that has every change up to `after`: the later changes, or
    /// a snapshot if tombstones that it may need have been dropped.
    pub fn update_since(&self, after: Revision) -> Update {
        // A follower of an earlier era may have records that were lost with it.
        let is_snapshot = after < self.compacted_revision;
        let is_included = |record: &&Record| match is_snapshot {
            true => record.value.is_some(),
            false => record.revision > after,
        };
        let mut records: Vec<Record> = self.records.values().filter(is_included).cloned().collect();
        records.sort_by_key(|record| record.revision);
        Update {
            revision: self.revision,
            is_snapshot,
            records,
        }
    }

    /// Returns tombstones for the keys that are missing from a snapshot. Keys written after the
    /// snapshot's revision are not removed.
    fn missing_from_snapshot(&self, listed: &[Record], revision: Revision) -> Vec<Record> {
        let listed: Set<&str> = listed.iter().map(|r| r.key.as_str()).collect();
        self.records
            .values()
            .filter(|old| old.value.is_some() && old.revision <= revision)
            .filter(|old| !listed.contains(old.key.as_str()))
            .map(|old| Record {
                key: old.key.clone(),
                revision,
                value: None,
            })
            .collect()
    }

    fn insert_if_newer(&mut self, record: &Record) -> bool {
        let old = self.records.get(&record.key);
        if old.is_some_and(|old| old.revision >= record.revision) {
            return false;
        }
        let was_tombstone = old.is_some_and(|old| old.value.is_none());
        self.tombstone_count -= usize::from(was_tombstone);
        self.tombstone_count += usize::from(record.value.is_none());
        self.records.insert(record.key.clone(), record.clone());
        true
    }

    /// Drops all tombstones.
    fn compact(&mut self) {
        self.records.retain(|_, record| record.value.is_some());
        self.tombstone_count = 0;
        self.compacted_revision = self.revision;
    }
}
