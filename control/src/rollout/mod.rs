//! Moving a service to a new version: orders, stages and the stage record.
//!
//! Fault: a new version fails or is slow, at once, after some seconds, under load or on one route. It gets
//! a small share of the requests first, and nothing more once it has proved bad.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};

use crate::model::VersionName;

pub mod exposure;
pub mod known;
pub mod local;
pub mod progress;
pub mod results;
pub mod schedule;
pub mod verdict;

/// Name of a service.
pub type ServiceName = Rc<str>;

/// Number of the revision at which an order was written. The era is left out, so that entries agree on it
/// after a restore of the store.
pub type OrderNumber = u64;

/// Order of the operators to move a service to a version.
#[value]
pub struct RolloutOrder {
    /// Version that the service is moved to.
    pub target_version: VersionName,
    /// Time from the order until its deadline.
    pub duration: Duration,
}

/// How far a service has been moved to the version of an order. Stages follow each other in this order.
#[copy_value]
#[derive(Default)]
pub enum Stage {
    /// The version gets nothing.
    #[default]
    None,
    /// A small share, at a few targets of the version.
    Trial,
    /// The share of the exposure bound.
    Rising,
    /// A higher share, for a time that keeps the sum below the bound.
    Raised,
    /// All requests.
    All,
    /// All requests; no entry uses the old version.
    Completed,
    /// The version gets nothing.
    RolledBack,
}

impl Stage {
    /// All stages in their order.
    pub const LIST: [Self; 7] = [
        Self::None,
        Self::Trial,
        Self::Rising,
        Self::Raised,
        Self::All,
        Self::Completed,
        Self::RolledBack,
    ];

    /// Returns the number of the stage, which rises with each.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// Returns the name of the stage in the store and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Trial => "trial",
            Self::Rising => "rising",
            Self::Raised => "raised",
            Self::All => "all",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }

    /// Returns the stage with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::LIST.into_iter().find(|stage| stage.name() == name)
    }

    /// Returns true if nothing follows the stage.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A version that gets no requests.
#[value]
pub struct RolledBackVersion {
    /// The version.
    pub version: VersionName,
    /// True if it proved bad. Otherwise its order was replaced, withdrawn or not finished in time, and
    /// another order may try it again.
    pub is_bad: bool,
}

/// State of an order in the store, written by the entry that leads the counts.
#[value]
pub struct RolloutRecord {
    /// The order.
    pub order: OrderNumber,
    /// Version of the order.
    pub target_version: VersionName,
    /// Stage of the order.
    pub stage: Stage,
    /// Time from the order until the record was written.
    pub elapsed: Duration,
    /// Versions that were rolled back.
    pub rolled_back: Vec<RolledBackVersion>,
}

impl RolloutRecord {
    /// Returns whether the version proved bad; `None` if it was not rolled back.
    pub fn rolled_back(&self, version: &str) -> Option<bool> {
        let mut versions = self.rolled_back.iter();
        let found = versions.find(|rolled_back| &*rolled_back.version == version);
        found.map(|rolled_back| rolled_back.is_bad)
    }

    /// Adds a version that is rolled back. One that proved bad stays bad.
    pub fn roll_back(&mut self, version: &VersionName, is_bad: bool) {
        let mut versions = self.rolled_back.iter_mut();
        match versions.find(|rolled_back| rolled_back.version == *version) {
            Some(known) => known.is_bad |= is_bad,
            None => self.rolled_back.push(RolledBackVersion {
                version: version.clone(),
                is_bad,
            }),
        }
    }

    /// Returns the record with what `known` has beyond it: a later stage of the same order, and versions
    /// that were rolled back.
    ///
    /// Fault: the store is restored from a copy with an older stage, in which a version that has proved
    /// bad since would get requests again.
    pub fn merged_with(mut self, known: &Self) -> Self {
        if self.order == known.order && self.target_version == known.target_version {
            self.stage = self.stage.max(known.stage);
            self.elapsed = self.elapsed.max(known.elapsed);
        }
        for version in &known.rolled_back {
            // An order may try a version again that was rolled back without having proved bad.
            let is_tried = version.version == self.target_version && !self.stage.is_final();
            if version.is_bad || !is_tried {
                self.roll_back(&version.version, version.is_bad);
            }
        }
        self
    }
}
