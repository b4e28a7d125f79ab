//! The entry process as a library: traffic, control thread, platform and peers, admin listener and
//! process frame.

pub mod acceptor;
pub mod admin;
pub mod answer;
pub mod body;
pub mod bundle_sync;
pub mod caller;
pub mod control;
pub mod effects;
pub mod error;
pub mod events;
pub mod framing;
pub mod head;
mod http_get;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod peer_auth;
pub mod peer_codec;
mod peer_dial;
pub mod peer_listen;
pub mod peer_queue;
mod peer_stream;
pub mod platform;
pub mod probe;
pub mod process;
pub mod request;
pub mod settings;
pub mod store;
pub mod store_watch;
pub mod target;
pub mod vm_list;
