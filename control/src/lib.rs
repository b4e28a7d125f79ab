//! The reducer that takes every routing and placement decision.
//!
//! [`State::apply`] maps an event and the current time to effects. It does no I/O, reads no clock
//! and draws randomness only from the seed it was built with, so that the same code runs in the
//! entry process and in randomised tests.

mod answer;
mod budget;
mod credit;
mod demand;
mod effect;
mod event;
mod exchange;
mod fleet;
mod flow;
mod invariant;
mod latency;
mod log;
mod membership;
mod message;
mod owner;
mod probe;
mod queue;
mod reload;
mod request;
mod select;
mod setup;
mod state;
mod status;
mod target;

pub use effect::*;
pub use event::*;
pub use membership::*;
pub use message::*;
pub use setup::*;
pub use state::*;
pub use status::*;
