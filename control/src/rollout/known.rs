//! What an entry knows of the orders and stage records in the store.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_derive::value;

use super::{OrderNumber, RolloutOrder, RolloutRecord, Stage};
use crate::Timestamp;
use crate::model::{Era, Revision, VersionName};

/// An order and when it was learned.
#[value]
pub struct KnownOrder {
    /// The order.
    pub order: Rc<RolloutOrder>,
    /// Its revision in the store.
    pub revision: Revision,
    /// When this entry learned of it.
    pub since: Timestamp,
}

impl KnownOrder {
    /// Returns the number that identifies the order.
    pub fn number(&self) -> OrderNumber {
        self.revision.number
    }
}

/// A stage record and when it was learned.
#[value]
pub struct KnownRecord {
    /// The record, with what this entry knows beyond the store's.
    pub record: Rc<RolloutRecord>,
    /// Revision of the store's record, or of its removal.
    pub revision: Revision,
    /// Number of the revision that the store's record has; 0 if it has none.
    pub stored_number: u64,
    /// When this entry learned of the record.
    pub since: Timestamp,
    /// True if the store has the same record.
    pub is_stored: bool,
}

/// Order and stage record of one service.
#[derive(Clone, Debug, Default)]
pub struct KnownRollout {
    /// The order in force.
    pub order: Option<KnownOrder>,
    /// Revision of the store's order; number 0 if it has none. It is later than that of the order in force
    /// if the store's order is malformed.
    pub stored_order: Revision,
    /// The stage record.
    pub record: Option<KnownRecord>,
    /// Record of another order that a new era of the store has. It is used once that order is in force.
    pub deferred: Option<(Rc<RolloutRecord>, Revision)>,
    /// Versions of earlier orders that were replaced or withdrawn, in the order of their replacement.
    pub superseded: Vec<VersionName>,
}

impl KnownRollout {
    /// Returns the numbers that the last revisions of the store's order and record must have for a write
    /// that follows from this state; 0 for one that does not exist. `None` if the store, which is in `era`,
    /// has lost the order in a restore or has not listed it since: it may be written again.
    pub fn expected_numbers(&self, era: Era) -> Option<(OrderNumber, u64)> {
        if self.order.is_some() && self.stored_order.era != era {
            return None;
        }
        let record = self.record.as_ref().map_or(0, |known| known.stored_number);
        Some((self.stored_order.number, record))
    }

    /// Returns the record of the order in force.
    pub fn current_record(&self) -> Option<&Rc<RolloutRecord>> {
        let record = &self.record.as_ref()?.record;
        let order = self.order.as_ref()?;
        let is_same =
            record.order == order.number() && record.target_version == order.order.target_version;
        is_same.then_some(record)
    }

    /// Returns the stage of the order in force. An order that repeats a completed one moves nothing and is
    /// complete: its version is the only one that runs, and stays allowed however the order ends.
    pub fn stage(&self) -> Stage {
        if let Some(record) = self.current_record() {
            return record.stage;
        }
        match self.repeats_completed() {
            true => Stage::Completed,
            false => Stage::None,
        }
    }

    /// Returns true if the order in force is for the version to which an earlier order moved the service.
    pub fn repeats_completed(&self) -> bool {
        let (Some(order), Some(known)) = (&self.order, &self.record) else {
            return false;
        };
        known.record.stage == Stage::Completed
            && known.record.target_version == order.order.target_version
    }

    /// Returns the time since the order was written, as far as this entry knows. Clocks of VMs differ, so
    /// it is the longer of the time since this entry learned of the order, and the time that the record
    /// states and that has passed since this entry learned of the record.
    pub fn elapsed(&self, now: Timestamp) -> Duration {
        let since = |at: Timestamp| now.saturating_sub(at);
        let own = self.order.as_ref().map(|order| since(order.since));
        let recorded = self.current_record().and(self.record.as_ref());
        let recorded = recorded.map(|known| known.record.elapsed + since(known.since));
        own.max(recorded).unwrap_or_default()
    }

    /// Returns the versions that must get no requests: those that were rolled back, those of replaced or
    /// withdrawn orders, and the one of an unfinished record without an order.
    pub fn forbidden_versions(&self) -> Vec<VersionName> {
        let record = self.record.as_ref().map(|known| &known.record);
        let rolled_back = record.into_iter().flat_map(|record| &record.rolled_back);
        let mut versions: Vec<VersionName> = rolled_back.map(|r| r.version.clone()).collect();
        versions.extend(self.superseded.iter().cloned());
        if let Some(record) = record
            && !record.stage.is_final()
        {
            versions.push(record.target_version.clone());
        }
        versions.sort_unstable();
        versions.dedup();
        if let Some(order) = &self.order {
            let target_version = &order.order.target_version;
            let is_rolled_back = self.stage() == Stage::RolledBack
                || record.is_some_and(|record| record.rolled_back(target_version) == Some(true));
            if !is_rolled_back {
                versions.retain(|version| version != target_version);
            }
        }
        versions
    }

    /// Sets the order in force.
    pub fn set_order(&mut self, now: Timestamp, order: Rc<RolloutOrder>, revision: Revision) {
        self.stored_order = revision;
        if let Some(known) = &mut self.order
            && known.revision.era < revision.era
            && known.order == order
        {
            // Fault: a restore of the store lost the order, and the operators wrote it again.
            let number = known.number();
            known.revision = revision;
            if let Some(record) = &mut self.record
                && record.record.order == number
                && number != revision.number
            {
                Rc::make_mut(&mut record.record).order = revision.number;
                record.is_stored = false;
            }
            return;
        }
        self.supersede_order(&order.target_version);
        self.superseded
            .retain(|version| *version != order.target_version);
        self.order = Some(KnownOrder {
            order,
            revision,
            since: now,
        });
        if let Some((record, stored_at)) = self.deferred.take()
            && record.order == revision.number
        {
            self.set_record(now, &record, stored_at);
        }
    }

    /// Removes the order. Returns false if there was none.
    pub fn remove_order(&mut self) -> bool {
        self.stored_order.number = 0;
        self.supersede_order("");
        self.order.take().is_some()
    }

    /// Records that the order in force ends without having completed, unless the next one is for the same
    /// version.
    fn supersede_order(&mut self, next: &str) {
        let stage = self.stage();
        if let Some(known) = &self.order {
            let version = &known.order.target_version;
            if stage != Stage::Completed && **version != *next {
                self.superseded.retain(|other| other != version);
                self.superseded.push(version.clone());
            }
        }
    }

    /// Sets the record of the store.
    pub fn set_record(&mut self, now: Timestamp, record: &RolloutRecord, revision: Revision) {
        self.deferred = None;
        let is_current = self.current_record().is_some();
        if let Some(known) = &mut self.record
            && is_current
            && known.revision.era < revision.era
            && known.record.order != record.order
        {
            // Fault: a restore of the store brings the record of an earlier order back. It may also be that
            // of a later order, which this entry reads next.
            self.deferred = Some((Rc::new(record.clone()), revision));
            known.revision = revision;
            known.stored_number = revision.number;
            known.is_stored = false;
            let current = Rc::make_mut(&mut known.record);
            for version in &record.rolled_back {
                if version.version != current.target_version {
                    current.roll_back(&version.version, version.is_bad);
                }
            }
            return;
        }
        let merged = match &self.record {
            Some(known) => record.clone().merged_with(&known.record),
            None => record.clone(),
        };
        self.record = Some(KnownRecord {
            is_stored: merged == *record,
            record: Rc::new(merged),
            revision,
            stored_number: revision.number,
            since: now,
        });
    }

    /// Records that the store has no usable record: it was removed (`stored_number` 0) or is invalid.
    pub fn lose_record(&mut self, revision: Revision, stored_number: u64) {
        self.deferred = None;
        if let Some(known) = &mut self.record {
            known.revision = revision;
            known.stored_number = stored_number;
            known.is_stored = false;
        }
    }
}
