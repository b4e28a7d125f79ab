//! Events: everything that the reducer learns.

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Digest, NodeId, TargetId, Version};
use lacewingmoor_derive::{tag, value};

use crate::Message;

/// Id of a request, unique within one process.
pub type RequestId = u64;

/// Number of an attempt of a request, from 1.
pub type Attempt = u32;

/// Something that happened. Times inside are on the monotonic clock that `apply` is given.
#[value]
pub enum Event {
    /// A timer asked for by `State::next_wakeup` is due.
    Tick,
    /// A complete and verified bundle version was fetched.
    Bundle(Arc<Bundle>),
    /// The platform's VM list was read.
    VmList(Vec<Vm>),
    /// A message of an authenticated peer arrived.
    Peer {
        /// Sender.
        from: NodeId,
        /// Start of the sender's process; differs after a restart.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// The connection to a peer was lost.
    PeerDown {
        /// The peer.
        node: NodeId,
    },
    /// The store answered a read or a watch. A newer version is sent as `Bundle` before this event
    /// if all of it could be fetched and verified.
    StoreReached {
        /// Latest time at which the answer is known to have been current: the time of the call,
        /// plus the wait of a watch that ended without a change. The time of receipt would be too
        /// late after a pause of this process.
        as_of: Duration,
        /// Version that the store holds, 0 if none.
        version: Version,
        /// Manifest digest of that version.
        digest: Digest,
    },
    /// A call to the store failed or timed out, or its manifest is signed by no operator.
    StoreFailed,
    /// The head of a caller's request was read.
    Arrived(Arrival),
    /// A target's answer head was received for an attempt.
    Head {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Load report carried on the answer.
        report: Option<LoadReport>,
    },
    /// An attempt is over and occupies the target no longer.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller closed the connection or reset the stream.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A probe that an effect asked for is over.
    Probed {
        /// The target.
        target: TargetId,
        /// The report, or `None` if the target did not answer.
        report: Option<LoadReport>,
    },
    /// The process was asked to stop.
    Drain,
}

/// Head of a request as far as decisions need it.
#[value]
pub struct Arrival {
    /// Id given by the traffic side.
    pub request: RequestId,
    /// Method in upper case.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Value of the tenant header, if sent.
    pub tenant: Option<String>,
    /// Declared body length in bytes; `None` if unknown, `Some(0)` without a body.
    pub body_bytes: Option<u64>,
    /// Time left that the caller stated, if shorter than the route's deadline.
    pub deadline: Option<Duration>,
    /// True if the body can be sent again by a later attempt.
    pub replayable: bool,
}

/// How an attempt ended.
#[tag]
pub enum Outcome {
    /// The whole answer was passed on.
    Complete,
    /// No byte of the request was written; the target refused or did not accept the connection.
    NotSent,
    /// The target declared that it shed the request unrun.
    Shed,
    /// The dispatch was not carried out because `not_after` had passed.
    Expired,
    /// The connection broke after bytes may have been written and before the answer's head.
    Broken,
    /// The answer broke off in the body.
    Cut,
    /// Cancelled by a `Cancel` effect or because the caller went away.
    Cancelled,
}

/// State of a target, as its owner sees it or as it reports it.
#[tag]
#[derive(serde::Serialize, bincode::Encode, bincode::Decode)]
pub enum TargetState {
    /// Just started or not known to be warm; bears the cold cap only.
    Cold,
    /// On the ramp from the cold cap to full load.
    Warming,
    /// Bears full load.
    Warm,
    /// Refuses work that it has not run.
    Shedding,
    /// Finishes its work and takes no more.
    Draining,
    /// Shown as leaving by the VM list.
    Leaving,
    /// In an availability zone that operators have taken out.
    Out,
}

/// Load as a target reports it. It is always stale and may be wrong.
#[value]
pub struct LoadReport {
    /// State that the target claims.
    pub state: TargetState,
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting at the target.
    pub queue: u32,
    /// Hash of the id of the target's current start; changes on restart.
    pub start: u64,
}

/// Role of a VM in the platform's list.
#[tag]
pub enum VmRole {
    /// Runs the entry process.
    Entry,
    /// Runs a target.
    Target,
}

/// One VM of the platform's list.
#[value]
pub struct Vm {
    /// Name; for an entry the node name of its settings, for a target `service/target`.
    pub name: String,
    /// Role.
    pub role: VmRole,
    /// Zone name.
    pub zone: String,
    /// Region name.
    pub region: String,
    /// Address of the entry's peer listener, or of the target.
    pub addr: std::net::SocketAddr,
    /// True if the platform is about to remove the VM.
    pub leaving: bool,
}
