//! Commands, one per module.

pub mod check;
pub mod diff;
pub mod render;
pub mod status;
pub mod trace;
