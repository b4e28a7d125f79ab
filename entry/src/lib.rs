//! The entry process as a library: traffic, control thread, admin listener and process frame.

pub mod bundle_sync;
pub mod control;
pub mod events;
mod http_get;
pub mod peer;
pub mod peer_auth;
pub mod peer_codec;
mod peer_dial;
pub mod peer_listen;
pub mod peer_queue;
mod peer_stream;
pub mod platform;
pub mod probe;
pub mod store;
pub mod store_watch;
pub mod vm_list;
