//! The versioned, signed configuration bundle: raw YAML, checked types, parts and signatures.

mod check;
mod diff;
mod error;
mod model;
mod part;
mod raw;
mod sign;

pub use diff::{Change, diff};
pub use error::{Error, Fault};
pub use model::*;
pub use part::*;
pub use raw::*;
pub use sign::*;

/// Hash map with a fast hasher, for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher, for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;
