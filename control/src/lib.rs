//! Decisions on routing, target selection and limits, the view of targets and entries, and the
//! choice of sources.
//!
//! Nothing in this crate does I/O or reads a clock: every function takes the time since the start
//! of the process, and randomness comes from a seeded generator that the caller owns.
//!
//! Comments that begin with "Load pattern:" or "Fault:" name the traffic or the failure that a rule
//! handles.

pub mod admission;
pub mod assumed_load;
pub mod attempt;
pub mod authorization;
pub mod availability;
pub mod bounds;
pub mod budget;
pub mod confirmation;
pub mod counts;
pub mod fairness;
pub mod locality;
pub mod membership;
pub mod message_bounds;
pub mod model;
pub mod notice;
pub mod rate_limit;
pub mod rendezvous;
pub mod replica;
pub mod rollout;
pub mod selection;
pub mod sharing;
pub mod shutdown;
pub mod silence;
pub mod sliding_count;
pub mod source;
pub mod split;
pub mod stats;
pub mod view;
pub mod workspace_limit;

pub use lacewingmoor_bundle::{Map, Set};

/// Point in time, past or future, given as the time since the start of the process.
pub type Timestamp = std::time::Duration;
