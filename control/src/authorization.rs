//! What a request may do with its key, by what this entry knows of the key and how old that knowledge is.
//!
//! Fault: an entry that is cut off from the store does not learn of new and of withdrawn keys. It cannot
//! tell an unknown key from a new one, so it does not state that the key is wrong.

use std::time::Duration;

use lacewingmoor_bundle::{Bundle, FieldState};
use lacewingmoor_derive::copy_value;

use crate::bounds::KeyBounds;

/// Whether requests need keys.
#[copy_value]
pub enum KeyUse {
    /// Requests need no key. The header field of a key is forwarded like any other.
    Unused,
    /// Requests need the key of a workspace, except on public routes. Targets never get a key.
    Required,
}

impl KeyUse {
    /// Returns whether requests need keys by `bundle`.
    ///
    /// Fault: the last workspace of a bundle is removed. A list without workspaces admits no key; only a
    /// bundle without the list needs none.
    pub fn of(bundle: &Bundle) -> Self {
        match bundle.workspaces_field {
            FieldState::Absent => Self::Unused,
            FieldState::Null | FieldState::Present => Self::Required,
        }
    }
}

/// What to do with a request.
#[copy_value]
pub enum KeyDecision {
    /// Handle it for the workspace of its key.
    ForWorkspace,
    /// Handle it without a workspace.
    Anonymous,
    /// Refuse it: no workspace has its key.
    Refuse,
    /// Refuse it as not run: the view is too old to tell whether a workspace has its key.
    RefuseUnconfirmed,
}

/// What an entry knows when it decides about a key.
#[copy_value]
pub struct KeyFacts {
    /// Whether requests need keys by the active bundle.
    pub key_use: KeyUse,
    /// True if a workspace of the active bundle has the key. False also if the request has none.
    pub is_known: bool,
    /// True if the route needs no key.
    pub is_public: bool,
    /// Time since the store confirmed the view.
    pub view_age: Duration,
    /// Maximum time until a change takes effect.
    pub apply_deadline: Duration,
}

impl KeyFacts {
    /// Decides what to do with the request.
    pub fn decide(&self, bounds: &KeyBounds) -> KeyDecision {
        match self.key_use {
            KeyUse::Unused => return KeyDecision::Anonymous,
            KeyUse::Required => {}
        }
        let is_trusted = !bounds.strict || self.view_age <= self.withdrawn_within(bounds);
        match (self.is_known, self.is_public) {
            (true, _) if is_trusted => KeyDecision::ForWorkspace,
            (_, true) => KeyDecision::Anonymous,
            (true, false) => KeyDecision::RefuseUnconfirmed,
            (false, false) if self.view_age > self.apply_deadline => KeyDecision::RefuseUnconfirmed,
            (false, false) => KeyDecision::Refuse,
        }
    }

    /// Returns the view age up to which a known key counts as not withdrawn if the bounds are strict.
    fn withdrawn_within(&self, bounds: &KeyBounds) -> Duration {
        bounds.withdrawn_within.unwrap_or(self.apply_deadline)
    }
}

/// Whether a request that was admitted for a workspace may still be sent.
#[copy_value]
pub enum SendDecision {
    /// Send it.
    Send,
    /// Do not send it: the key was withdrawn.
    Withdrawn,
    /// Do not send it: the view is too old to tell whether the key was withdrawn.
    Unconfirmed,
    /// Do not send it: the key belongs to another workspace now, or to none on a route that needs none.
    /// The caller may repeat the request, which is then handled for that workspace.
    Moved,
}

/// Decides whether a request that was admitted for the workspace `admitted` may be sent, by the decision
/// that the newest bundle gives, in which its key belongs to `current`.
///
/// Fault: the key is withdrawn or moved to another workspace while the request waits or is retried.
pub fn decide_send(decision: KeyDecision, admitted: &str, current: Option<&str>) -> SendDecision {
    match decision {
        KeyDecision::ForWorkspace if current == Some(admitted) => SendDecision::Send,
        KeyDecision::ForWorkspace | KeyDecision::Anonymous => SendDecision::Moved,
        KeyDecision::Refuse => SendDecision::Withdrawn,
        KeyDecision::RefuseUnconfirmed => SendDecision::Unconfirmed,
    }
}
