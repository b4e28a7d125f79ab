//! When a request must have its response, whatever it is waiting for, and until when it may be sent.

use std::cell::Cell;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::shutdown::{Phase, RequestTimes, SendWindow};
use lacewingmoor_derive::copy_value;

use crate::shared_state::SharedState;

/// Time after its deadline within which a response may end whose head arrived before. A request must
/// have its response within 500 ms of its route's timeout; the rest is for a process that gets little
/// processor time.
const RESPONSE_BODY_GRACE: Duration = Duration::from_millis(150);

/// Why a request must end.
#[copy_value]
pub enum Expiry {
    /// The timeout of the route or of the caller has expired.
    Deadline,
    /// The process is shutting down, and gives the last responses or has no time left for the request.
    Shutdown,
}

/// Deadline of a request: the end of the caller's timeout or of the route's, whichever is first.
pub struct RequestDeadline {
    at: Timestamp,
    /// When the last byte of the request was read; `None` while its body comes in.
    read_at: Cell<Option<Timestamp>>,
    has_response_head: Cell<bool>,
}

impl RequestDeadline {
    /// Returns a deadline at `at`.
    pub fn new(at: Timestamp) -> Self {
        Self {
            at,
            read_at: Cell::new(None),
            has_response_head: Cell::new(false),
        }
    }

    /// Returns the time at which the deadline passes.
    pub fn at(&self) -> Timestamp {
        self.at
    }

    /// Returns the time by which the body of a response must end whose head has arrived.
    pub fn body_ends_by(&self) -> Timestamp {
        self.at + RESPONSE_BODY_GRACE
    }

    /// Records that the last byte of the request was read at `now`.
    pub fn record_request_read(&self, now: Timestamp) {
        self.read_at.set(Some(now));
    }

    /// Returns when the request may be sent to a target that is expected to take `expected`.
    pub fn send_window(&self, shared: &SharedState, expected: Duration) -> SendWindow {
        shared.send_window(RequestTimes {
            read_at: self.read_at.get().unwrap_or_else(|| shared.now()),
            ends_by: self.body_ends_by(),
            expected,
        })
    }

    /// Records that the head of a response has arrived, so that the request waits for its body.
    pub fn record_response_head(&self) {
        self.has_response_head.set(true);
    }

    /// Waits until it is known that a shutdown lets no target have the request, because its body is still
    /// coming in when no more connections are accepted.
    async fn body_comes_too_late(&self, shared: &SharedState) {
        shared.wait_for_phase(Phase::Finishing).await;
        let is_coming_in = self.read_at.get().is_none();
        if !is_coming_in || self.send_window(shared, Duration::ZERO) != SendWindow::Closed {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the request must end, and returns why.
    pub async fn expiry(&self, shared: &SharedState) -> Expiry {
        let deadline = async {
            tokio::time::sleep_until(shared.instant(self.at)).await;
            if self.has_response_head.get() {
                tokio::time::sleep_until(shared.instant(self.body_ends_by())).await;
            }
        };
        tokio::select! {
            () = deadline => Expiry::Deadline,
            () = shared.wait_for_phase(Phase::Responding) => Expiry::Shutdown,
            () = self.body_comes_too_late(shared) => Expiry::Shutdown,
        }
    }
}
