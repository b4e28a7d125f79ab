//! Versioned configuration bundle: YAML types, validated types and comparison of two versions.

mod check;
mod diff;
mod error;
mod field;
mod key;
mod model;
mod raw;

pub use diff::{Difference, diff};
pub use error::{Error, ValidationError};
pub use field::{Field, FieldState};
pub use key::{KeyDigest, RawKey};
pub use model::*;
pub use raw::*;

/// Hash map with a fast hasher that does not resist hash flooding; only for keys that callers
/// cannot choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher that does not resist hash flooding; only for keys that callers
/// cannot choose freely.
pub type Set<K> = rustc_hash::FxHashSet<K>;
