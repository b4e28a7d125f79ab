//! What the store tells about bundle, targets, zones and entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::Bundle;
use lacewingmoor_derive::{value, wire};

/// Id of one registration of a target.
pub type TargetId = Rc<str>;

/// Name of an availability zone.
pub type ZoneName = Rc<str>;

/// Name of a region.
pub type RegionName = Rc<str>;

/// Name of an entry VM.
pub type NodeName = Rc<str>;

/// Revision of the store; grows with each change of any key.
pub type Revision = u64;

/// A registered target.
#[value]
pub struct Target {
    /// Id that the target expects to be addressed by.
    pub id: TargetId,
    /// Name of its service.
    pub service: String,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Region of the target.
    pub region: RegionName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// True once the target has announced that it leaves.
    pub draining: bool,
    /// Time for which the target stayed cold when it wrote the registration.
    pub warmup_left: Duration,
    /// Unix time in milliseconds at which the target started, if it tells.
    pub born_unix_ms: Option<u64>,
}

/// A registered entry.
#[value]
pub struct Node {
    /// Name of the entry.
    pub name: NodeName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Region of the entry.
    pub region: RegionName,
    /// Address at which other entries follow it.
    pub addr: SocketAddr,
    /// How much its VM can carry; entries with more are followed first.
    pub capacity: u32,
}

/// A key of the store as it was written or removed, still encoded.
#[wire]
#[derive(Eq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// Value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// What a key of the store is about.
#[value]
#[derive(Eq, Hash)]
pub enum Subject {
    /// The configuration bundle.
    Bundle,
    /// A target.
    Target(TargetId),
    /// A zone taken out of service while the key exists.
    ZoneOut(ZoneName),
    /// An entry.
    Node(NodeName),
}

/// Content of a key.
#[value]
pub enum Fact {
    /// The bundle in force.
    Bundle(Rc<Bundle>),
    /// A registered target.
    Target(Rc<Target>),
    /// The zone is out of service.
    ZoneOut,
    /// A registered entry.
    Node(Rc<Node>),
    /// The content cannot be used, and why.
    Unusable(String),
}

/// A key as written or removed at a revision.
#[value]
pub struct Change {
    /// What the key is about.
    pub subject: Subject,
    /// Revision of the change.
    pub revision: Revision,
    /// Content; `None` if the key was removed.
    pub fact: Option<Fact>,
}
