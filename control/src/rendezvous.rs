//! Rendezvous hashing: each entry orders others differently, and always in the same way.

use std::hash::{Hash as _, Hasher as _};

use rustc_hash::FxHasher;

/// Returns a sort key of `other` that differs from entry to entry.
pub fn rendezvous_key(entry: &str, other: &str) -> u64 {
    let mut hasher = FxHasher::default();
    entry.hash(&mut hasher);
    other.hash(&mut hasher);
    hasher.finish()
}
