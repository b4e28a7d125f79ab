//! The operator's command line of lacewingmoor.

fn main() {}
