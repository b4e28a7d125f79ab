//! Small stand-ins for the platform, for tests and demonstrations.

pub mod harness;
pub mod load;
pub mod ports;
pub mod server;
pub mod store;
pub mod target;
pub mod timer;
pub mod vms;

use std::net::{Ipv4Addr, SocketAddr};

/// Address on loopback with a port that the operating system chooses.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
