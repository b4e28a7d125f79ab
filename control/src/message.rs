//! Messages between entries that concern the reducer.

use std::time::Duration;

use lacewingmoor_bundle::{Digest, TargetId, Version};
use lacewingmoor_derive::wire;

use crate::TargetState;

/// A message between entries. Send times are on the sender's monotonic clock.
#[wire]
pub enum Message {
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// Asks for votes for the ownership of targets.
    Claim {
        /// Send time, echoed in the vote.
        sent: Duration,
        /// Hash of the roster of the targets' region as the claimant sees it.
        roster: u64,
        /// Targets claimed, all of one region.
        targets: Vec<TargetId>,
    },
    /// Answers a claim.
    Vote {
        /// Send time of the claim.
        claim_sent: Duration,
        /// Targets that the voter promises to no other claimant for `LEASE_TTL`.
        granted: Vec<TargetId>,
    },
    /// Tells an owner what this entry uses and wants.
    Demand {
        /// Send time, echoed in the grant.
        sent: Duration,
        /// One item a target.
        items: Vec<DemandItem>,
    },
    /// Grants slots to the sender of a demand.
    Grant {
        /// Send time of the demand that the grant answers; expiry counts from it.
        demand_sent: Duration,
        /// One item a target.
        items: Vec<GrantItem>,
    },
    /// Tells an owner what was seen on answers of its target.
    Observe {
        /// The target.
        target: TargetId,
        /// What was seen.
        observation: Observation,
    },
}

/// Sign of life and of the sender's knowledge.
#[wire]
pub struct Heartbeat {
    /// Send time.
    pub sent: Duration,
    /// The last heartbeat that the sender got from the receiver. It bounds the age of this one on
    /// the receiver's clock, however long this one was delayed or a process was paused.
    pub echo: Option<Echo>,
    /// Zone name of the sender.
    pub zone: String,
    /// Region name of the sender.
    pub region: String,
    /// False while the sender is stopping or not ready.
    pub ready: bool,
    /// Bundle version in force, 0 if none.
    pub version: Version,
    /// Manifest digest of that version.
    pub digest: Digest,
    /// Age of the sender's last confirmation that this version is the newest; `None` if never.
    pub fresh_age: Option<Duration>,
    /// True if the sender's own last store call failed.
    pub store_down: bool,
}

/// Echo of a heartbeat.
#[wire]
pub struct Echo {
    /// Send time of the echoed heartbeat, on the clock of the process that sent it.
    pub sent: Duration,
    /// Incarnation of the process that sent it.
    pub incarnation: u64,
    /// Time between its receipt and the sending of this echo.
    pub held: Duration,
}

/// Demand for one target.
#[wire]
pub struct DemandItem {
    /// The target.
    pub target: TargetId,
    /// Slots in use by the sender.
    pub in_use: u32,
    /// Slots that the sender could use at once: those in use and those that requests wait for.
    pub wanted: u32,
    /// Slots that the sender wants on top for requests yet to come.
    pub spare: u32,
    /// Credits that the sender holds; credits above this have been given back.
    pub held: u32,
    /// Successful answers of the target since the last demand.
    pub answered: u32,
}

/// Slots granted on one target.
#[wire]
pub struct GrantItem {
    /// The target.
    pub target: TargetId,
    /// Slots granted in all, not in addition.
    pub slots: u32,
    /// State of the target as its owner sees it.
    pub state: TargetState,
}

/// What an entry saw on the answers of a target that it does not own.
#[wire]
pub enum Observation {
    /// The connection was refused.
    Refused,
    /// The target declared a request unrun.
    Shed,
    /// The target's start id changed.
    Restarted {
        /// Hash of the new start id.
        start: u64,
    },
    /// The target reports that it drains.
    Draining,
    /// Answers are far slower than before and fail.
    Collapsed,
}
