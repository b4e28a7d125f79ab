//! The commands, one per file.

pub mod check;
pub mod diff;
pub mod explain;
pub mod keygen;
pub mod rollout;
pub mod sign;
pub mod status;
