//! Stand-ins for the store, targets and callers, and a harness that runs entries as processes.

pub mod caller;
pub mod entry;
pub mod fleet;
pub mod http_server;
pub mod raw_target;
pub mod relay;
pub mod store;
pub mod target;
