//! When a request must have its response, whatever it is waiting for.

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::shutdown::Phase;
use lacewingmoor_derive::copy_value;

use crate::shared_state::SharedState;

/// Why a request must end.
#[copy_value]
pub enum Expiry {
    /// The process is shutting down and gives the last responses.
    Shutdown,
}

/// Deadline of a request: the end of the caller's timeout or of the route's, whichever is first.
pub struct RequestDeadline {
    at: Timestamp,
}

impl RequestDeadline {
    /// Returns a deadline at `at`.
    pub fn new(at: Timestamp) -> Self {
        Self { at }
    }

    /// Returns the time at which the deadline passes.
    pub fn at(&self) -> Timestamp {
        self.at
    }

    /// Waits until the request must end, and returns why.
    pub async fn expiry(&self, shared: &SharedState) -> Expiry {
        shared.wait_for_phase(Phase::Responding).await;
        Expiry::Shutdown
    }
}
