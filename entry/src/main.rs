//! The entry process of lacewingmoor.

fn main() {}
