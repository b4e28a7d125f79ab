//! Keys of the store as this entry has them, for entries that follow it.
//!
//! Removed keys stay as records without a value, so that "everything since a revision" is complete
//! whoever asks. Records carry the store's revision, which makes repeated, late and reordered
//! updates harmless.

use lacewingmoor_derive::wire;

use crate::facts::{Record, Revision};
use crate::{Map, Set};

/// Removed keys that are remembered. Followers that are further behind get everything.
const REMOVED_MAX: usize = 2048;

/// Records up to a revision.
#[wire]
#[derive(Eq)]
pub struct Update {
    /// Every change up to this revision is included, in this or an earlier update.
    pub revision: Revision,
    /// True if keys that are not among the records do not exist.
    pub whole: bool,
    /// Records in the order of their revisions.
    pub records: Vec<Record>,
}

/// The records.
#[derive(Default)]
pub struct Ledger {
    records: Map<String, Record>,
    removed: usize,
    revision: Revision,
    /// Removals up to this revision may have been forgotten.
    forgotten: Revision,
}

impl Ledger {
    /// Returns the revision up to which every change is included; 0 if nothing is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes an update over and returns the records that are news.
    pub fn apply(&mut self, update: Update) -> Vec<Record> {
        let mut records = update.records;
        if update.whole {
            records.extend(self.missing(&records, update.revision));
        }
        records.sort_by_key(|record| record.revision);
        let news: Vec<Record> = records.into_iter().filter(|r| self.put(r)).collect();
        self.revision = self.revision.max(update.revision);
        if self.removed > REMOVED_MAX {
            self.forget();
        }
        news
    }

    /// Returns what a follower lacks that has everything up to `after`.
    pub fn since(&self, after: Revision) -> Update {
        let whole = after < self.forgotten;
        let missed = |record: &&Record| match whole {
            true => record.value.is_some(),
            false => record.revision > after,
        };
        let mut records: Vec<Record> = self.records.values().filter(missed).cloned().collect();
        records.sort_by_key(|record| record.revision);
        Update {
            revision: self.revision,
            whole,
            records,
        }
    }

    /// Returns removals of the known keys that a complete listing lacks.
    fn missing(&self, listed: &[Record], revision: Revision) -> Vec<Record> {
        let listed: Set<&str> = listed.iter().map(|r| r.key.as_str()).collect();
        self.records
            .values()
            .filter(|known| known.value.is_some() && known.revision <= revision)
            .filter(|known| !listed.contains(known.key.as_str()))
            .map(|known| Record {
                key: known.key.clone(),
                revision,
                value: None,
            })
            .collect()
    }

    fn put(&mut self, record: &Record) -> bool {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        let was_removed = known.is_some_and(|known| known.value.is_none());
        self.removed -= usize::from(was_removed);
        self.removed += usize::from(record.value.is_none());
        self.records.insert(record.key.clone(), record.clone());
        true
    }

    /// Forgets removed keys.
    fn forget(&mut self) {
        self.records.retain(|_, record| record.value.is_some());
        self.removed = 0;
        self.forgotten = self.revision;
    }
}
