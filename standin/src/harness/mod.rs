//! Test harness: a platform of stand-ins with real entry processes on loopback.

mod bundle;
mod entry;
mod error;
mod fleet;
mod operator;
mod preset;
mod process;

pub use self::bundle::{BundleSpec, Probe, Route, Service};
pub use self::entry::{Entry, EntryOptions};
pub use self::error::Error;
pub use self::fleet::{Fleet, FleetTarget};
pub use self::operator::Operator;
pub use self::preset::mix;
pub use self::process::{Exit, Process, binary};
