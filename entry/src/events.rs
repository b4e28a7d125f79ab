//! The side of the control thread that the platform tasks use.

use std::time::Duration;

use lacewingmoor_control::Event;

use crate::control::Control;

/// Receives the events of the platform tasks.
pub trait Events: Send + Sync {
    /// Returns the monotonic time that the reducer works with.
    fn now(&self) -> Duration;

    /// Passes an event to the reducer.
    fn send(&self, event: Event);
}

impl Events for Control {
    fn now(&self) -> Duration {
        Control::now(self)
    }

    fn send(&self, event: Event) {
        Control::send(self, event);
    }
}
