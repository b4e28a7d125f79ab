//! The entry process: takes requests of callers and forwards each to a target.

pub mod admin;
pub mod answer;
pub mod caller;
pub mod connection;
pub mod dialect;
pub mod error;
pub mod feed;
pub mod follow;
pub mod incoming;
pub mod log;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod place;
pub mod probe;
pub mod process;
pub mod progress;
pub mod queue;
pub mod register;
pub mod request;
pub mod send;
pub mod settings;
pub mod status;
pub mod store;
