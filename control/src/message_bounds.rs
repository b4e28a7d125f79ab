//! How much an entry holds of one message, whoever sends it.
//!
//! Fault: another process sends bytes without end, valid or not. A reader that keeps what it gets until
//! the message is complete fills the memory of the VM, and the process ends with all its requests. Each
//! reader takes its bounds from here; a message that exceeds them is refused, or forwarded from there on.
//! The memory that all messages take together is bound by [`crate::bounds::BodyBytes`].

use lacewingmoor_bundle::Limits;
use lacewingmoor_derive::copy_value;

/// A kind of message that an entry reads.
#[copy_value]
pub enum MessageKind {
    /// Request of a caller while no bundle is active; see [`MessageBounds::of_request`].
    Request,
    /// Request of an operator or the platform, for readiness, metrics or status. Its body is not read.
    AdminRequest,
    /// Response of a target to a request. Its body is held until its head is forwarded.
    Response,
    /// Response of a target that did not run the request.
    Rejection,
    /// Response of a target to a probe.
    ProbeResponse,
    /// Response of the store. A page has at most about 1 MB.
    StoreResponse,
    /// All pages of a listing of the store, without what entries do not use. As long as a snapshot, in
    /// which the entry sends it to others.
    Listing,
    /// Frame of an entry that is followed. A snapshot has a bundle of up to 1 MB and all registrations.
    SourceFrame,
    /// First frame of a follower, which has two names.
    Subscription,
    /// Later frame of a follower. Counts of 75 workspaces take 2 KB, those of a rollout with 100 targets
    /// on 20 routes 80 KB.
    Report,
}

/// Bounds of one message.
#[copy_value]
pub struct MessageBounds {
    /// Length of the head; 0 if the message has none.
    pub head_bytes: usize,
    /// Bytes of the body that are held.
    pub body_bytes: usize,
}

/// Greatest length of a request head that is held, whatever the bundle allows: each connection may hold one.
const HEAD_BYTES_HELD_MAX: usize = 1 << 20;

impl MessageBounds {
    /// Returns the bounds of a kind of message.
    pub const fn of(kind: MessageKind) -> Self {
        let (head_bytes, body_bytes) = match kind {
            MessageKind::Request => (16 << 10, 0),
            MessageKind::AdminRequest => (8 << 10, 0),
            MessageKind::Response => (4 << 10, 96 << 10),
            MessageKind::Rejection | MessageKind::ProbeResponse => (4 << 10, 16 << 10),
            MessageKind::StoreResponse => (4 << 10, 4 << 20),
            MessageKind::Listing | MessageKind::SourceFrame => (0, 8 << 20),
            MessageKind::Subscription => (0, 16 << 10),
            MessageKind::Report => (0, 512 << 10),
        };
        Self {
            head_bytes,
            body_bytes,
        }
    }

    /// Returns the bounds of a request of a caller, for the limits of the active bundle.
    pub fn of_request(limits: Option<&Limits>) -> Self {
        match limits {
            Some(limits) => Self {
                head_bytes: limits.head_bytes_max.min(HEAD_BYTES_HELD_MAX),
                body_bytes: usize::try_from(limits.body_bytes_max).unwrap_or(usize::MAX),
            },
            None => Self::of(MessageKind::Request),
        }
    }
}
