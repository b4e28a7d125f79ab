//! The versioned configuration bundle: raw YAML, checked types and differences.

mod check;
mod diff;
mod error;
mod model;
mod raw;

pub use diff::{Change, diff};
pub use error::{Error, Fault};
pub use model::*;
pub use raw::*;

/// Hash map with a fast hasher, for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher, for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;
