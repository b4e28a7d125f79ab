//! The entry process as a library: traffic, control thread, admin listener and process frame.

pub mod acceptor;
pub mod admin;
pub mod answer;
pub mod body;
pub mod caller;
pub mod control;
pub mod effects;
pub mod error;
pub mod head;
pub mod log;
pub mod metrics;
pub mod platform;
pub mod process;
pub mod request;
pub mod settings;
pub mod target;
