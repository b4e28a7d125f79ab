//! The entry process of lacewingmoor.

#[allow(dead_code)]
mod control;

fn main() {}
