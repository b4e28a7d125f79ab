//! The entry process: accepts requests of callers and forwards each to a target.

pub mod admin;
pub mod attempt;
pub mod caller;
pub mod connection;
pub mod connection_state;
pub mod dialect;
pub mod error;
pub mod inbound;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod peer_protocol;
pub mod probe;
pub mod process;
pub mod queue;
pub mod registration;
pub mod request;
pub mod response;
pub mod settings;
pub mod shared_state;
pub mod status;
pub mod store_client;
pub mod target_limit;
pub mod target_search;
pub mod unknown_fields;
pub mod view_sync;
