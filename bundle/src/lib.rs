//! The versioned, signed configuration bundle: raw YAML, checked types, parts and signatures.

mod model;

pub use model::*;

/// Hash map with a fast hasher, for keys that callers cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher, for keys that callers cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;
