//! Data model of the store: the configuration bundle, targets, zones and entries.
//!
//! An entry is a process of the load balancer on an entry VM; a target is a server that requests
//! are sent to.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, ValidationError, Version};
use lacewingmoor_derive::{value, wire};

use crate::rollout::{RolloutOrder, RolloutRecord, ServiceName};

/// Id of one registration of a target; a restarted target may keep it.
pub type TargetId = Rc<str>;

/// Version of the software of a target.
pub type VersionName = Rc<str>;

/// Name of an availability zone.
pub type ZoneName = Rc<str>;

/// Name of a region.
pub type RegionName = Rc<str>;

/// Name of an entry.
pub type EntryName = Rc<str>;

/// Number of an era of the store. A store that is restored from an older copy begins a new one.
pub type Era = u64;

/// Revision of the store; increases with every change of any key.
///
/// The store counts changes with a number, and gives out numbers again after it was restored from an
/// older copy. Revisions of a later era are therefore greater than all of an earlier one.
#[wire]
#[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// Era in which the revision was read.
    pub era: Era,
    /// Number that the store counts changes with; 0 before the first one.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// A registered target.
#[value]
pub struct Target {
    /// Id that is sent with each request, so that another target at the same address can reject it.
    pub id: TargetId,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Region of the target.
    pub region: RegionName,
    /// Version of its software; empty if it states none.
    pub version: VersionName,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// True once the target has announced that it will shut down; it gets no new requests.
    pub draining: bool,
    /// Remaining warm-up time at the moment the registration was written.
    pub warmup_left: Duration,
    /// Unix time in milliseconds at which the target started, if it reports one.
    pub started_unix_ms: Option<u64>,
    /// Number that the target counts up with each report since its start, if it states one.
    pub sequence: Option<u64>,
}

/// A registered entry.
#[value]
pub struct Entry {
    /// Name of the entry.
    pub name: EntryName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Region of the entry.
    pub region: RegionName,
    /// Address at which other entries follow it.
    pub addr: SocketAddr,
    /// Relative capacity of its VM; entries with more capacity are preferred as sources.
    pub capacity: u32,
    /// Unregistered entries that follow it.
    pub members: Vec<EntryName>,
}

/// A write or removal of a key of the store, with its value still encoded.
#[wire]
#[derive(Eq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Revision at which the key was written or removed.
    pub revision: Revision,
    /// Encoded value; `None` is a tombstone: the key was removed.
    pub value: Option<Vec<u8>>,
}

/// A stored bundle that entries cannot apply.
#[value]
#[derive(Eq)]
pub struct RejectedBundle {
    /// Its version; `None` if it cannot be read either.
    pub version: Option<Version>,
    /// Why, with the path of each field in the stored value.
    pub errors: Vec<ValidationError>,
}

/// Decoded key of a [`Record`].
#[value]
#[derive(Eq, Hash)]
pub enum RecordKey {
    /// The configuration bundle.
    Bundle,
    /// Registration of a target.
    Target(TargetId),
    /// Takes a zone out of service for as long as the key exists.
    ZoneOutOfService(ZoneName),
    /// Registration of an entry.
    Entry(EntryName),
    /// Order to move a service to a version.
    RolloutOrder(ServiceName),
    /// Stage record of the orders of a service.
    RolloutRecord(ServiceName),
}

/// Decoded value of a [`Record`].
#[value]
pub enum RecordValue {
    /// The configuration bundle.
    Bundle(Rc<Bundle>),
    /// A configuration bundle that cannot be applied.
    RejectedBundle(Rc<RejectedBundle>),
    /// A registered target.
    Target(Rc<Target>),
    /// The zone is out of service.
    ZoneOutOfService,
    /// A registered entry.
    Entry(Rc<Entry>),
    /// An order to move a service to a version.
    RolloutOrder(Rc<RolloutOrder>),
    /// A stage record.
    RolloutRecord(Rc<RolloutRecord>),
    /// The value could not be decoded or validated, with the reason.
    Invalid(String),
}

/// A decoded [`Record`]: a key written or removed at a revision.
#[value]
pub struct Change {
    /// Key.
    pub key: RecordKey,
    /// Revision at which the key was written or removed.
    pub revision: Revision,
    /// Value; `None` if the key was removed.
    pub value: Option<RecordValue>,
}
