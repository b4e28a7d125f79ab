//! The reducer that takes every routing and placement decision.
//!
//! [`State::apply`] maps an event and the current time to effects. It does no I/O, reads no clock
//! and draws randomness only from the seed it was built with, so that the same code runs in the
//! entry process and in randomised tests.

mod effect;
mod event;
mod membership;
mod message;
mod state;

pub use effect::*;
pub use event::*;
pub use membership::*;
pub use message::*;
pub use state::*;
