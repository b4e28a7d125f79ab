//! The commands, one per file.

pub mod check;
pub mod diff;
pub mod render;
pub mod status;
pub mod trace;
