//! Effects: everything that the reducer asks the process to do.

use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_bundle::{NodeId, TargetId, Version};
use lacewingmoor_derive::{tag, value};

use crate::{Attempt, Message, RequestId, TargetState};

/// Something that the process has to carry out.
#[value]
pub enum Effect {
    /// Sends an attempt of a request to a target.
    Dispatch(Dispatch),
    /// Cancels an attempt; the traffic side answers with `Ended`.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Answers a request without a target's answer. The request is over for the reducer.
    Refuse(Refusal),
    /// Sends a message to a peer. Messages to unreachable peers are dropped.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Probes a target; the process answers with `Probed`.
    Probe {
        /// The target.
        target: TargetId,
        /// Address.
        addr: SocketAddr,
        /// Path of the load endpoint.
        path: String,
        /// Time after which the probe counts as failed.
        timeout: Duration,
    },
    /// Starts or ends the long poll on the store's manifest key.
    WatchStore(bool),
    /// Reads the manifest from the store once.
    ReadStore,
    /// Fetches a newer manifest and its missing parts from a peer.
    FetchBundle {
        /// The peer.
        from: NodeId,
        /// Version that the peer has in force.
        version: Version,
    },
    /// Publishes the readiness of this entry.
    Ready(bool),
    /// A bundle version came into force at this entry.
    InForce {
        /// The version.
        version: Version,
    },
    /// Entries to keep peer connections to.
    Peers(Vec<PeerAddr>),
    /// A line for the decision log.
    Log(Decision),
    /// An invariant of the reducer does not hold.
    Violation(Violation),
}

/// Address of a peer.
#[value]
pub struct PeerAddr {
    /// The peer.
    pub node: NodeId,
    /// Address of its peer listener.
    pub addr: SocketAddr,
}

/// An attempt to be sent.
#[value]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The target.
    pub target: TargetId,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Monotonic time after which no byte may be written; the attempt then ends as `Expired`.
    pub not_after: Duration,
    /// Monotonic time by which the answer's head must be there.
    pub deadline: Duration,
    /// Longest request body in bytes.
    pub body_bytes_max: u64,
    /// Connections that this entry may have open to the target.
    pub connections_max: u32,
}

/// What is known about the fate of a request that got no answer of a target.
#[tag]
pub enum Fate {
    /// No target ran it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

/// An answer of the entry itself.
#[value]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// Whether a target may have run it.
    pub fate: Fate,
    /// Why.
    pub reason: Reason,
    /// When a retry is worth while.
    pub retry_after: Option<Duration>,
}

/// Why a request was refused or failed.
#[tag]
pub enum Reason {
    /// No bundle is in force yet.
    NoBundle,
    /// No route matches.
    NoRoute,
    /// The tenant header names no tenant of the bundle.
    UnknownTenant,
    /// This entry's region is not a home region of the request.
    WrongRegion,
    /// The declared body is longer than the route allows.
    BodyTooLarge,
    /// The queue of the service is full.
    QueueFull,
    /// The deadline cannot be met or passed while queueing.
    Deadline,
    /// No target may take the request.
    NoTarget,
    /// This entry cannot tell whether its bundle is still in force.
    Isolated,
    /// This entry is stopping.
    Stopping,
    /// The connection to the target failed before a byte was written.
    ConnectFailed,
    /// Every target tried declared the request unrun.
    Shed,
    /// The connection broke after bytes may have been written.
    Broken,
    /// The deadline passed after dispatch.
    Timeout,
}

/// One routing or placement decision, for the log.
#[value]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The request, if the decision is about one.
    pub request: Option<RequestId>,
    /// The attempt, if the decision is about one.
    pub attempt: Option<Attempt>,
    /// Route name.
    pub route: Option<String>,
    /// Target as `service/target`.
    pub target: Option<String>,
    /// Zone of the target.
    pub zone: Option<String>,
    /// State of the target.
    pub state: Option<TargetState>,
    /// Short reason such as `credit`, `retry`, `hedge`, `queue_full`.
    pub reason: &'static str,
    /// Bundle version that the decision was taken under.
    pub version: Version,
}

/// Kind of a decision.
#[tag]
pub enum DecisionKind {
    /// An attempt was sent to a target.
    Dispatch,
    /// A request was queued.
    Queue,
    /// A request was refused or failed.
    Refuse,
    /// A target changed its state.
    TargetState,
    /// Ownership of a target was gained or lost.
    Owner,
    /// Slots of a target were granted to a peer.
    Grant,
    /// A bundle version was put in force or turned down.
    Bundle,
    /// This entry became fresh or isolated.
    Freshness,
}

/// A broken invariant.
#[value]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What was seen.
    pub detail: String,
}
