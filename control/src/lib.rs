//! The reducer that takes every routing and placement decision.
//!
//! [`State::apply`] maps an event and the current time to effects. It does no I/O, reads no clock
//! and draws randomness only from the seed it was built with, so that the same code runs in the
//! entry process and in randomised tests.

mod budget;
mod effect;
mod event;
mod fleet;
mod flow;
mod invariant;
mod latency;
mod membership;
mod message;
mod queue;
#[expect(dead_code, reason = "hedges are not connected yet")]
mod request;
mod select;
mod state;
#[expect(
    dead_code,
    reason = "the parts for the credits policy are not connected yet"
)]
mod target;

pub use effect::*;
pub use event::*;
pub use membership::*;
pub use message::*;
pub use state::*;
