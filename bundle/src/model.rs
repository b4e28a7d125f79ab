//! Checked configuration types. Values of these types have passed every check of the bundle.

use std::time::Duration;

use lacewingmoor_derive::{tag, value};

use crate::Map;

/// Bundle version; each accepted bundle has a greater one than the bundle before it.
pub type Version = u64;

/// Index into [`Bundle::services`].
pub type ServiceId = usize;

/// Index into [`Bundle::routes`].
pub type RouteId = usize;

/// Name of a region.
pub type RegionName = String;

/// A checked bundle version.
#[value]
pub struct Bundle {
    /// Version of this bundle.
    pub version: Version,
    /// Services by id.
    pub services: Vec<Service>,
    /// Routes by id.
    pub routes: Vec<Route>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Routes of each host, longest prefix first.
    pub(crate) by_host: Map<String, Vec<RouteId>>,
}

/// A service and what its targets bear.
#[value]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health endpoint, which also tells the load.
    pub health_path: String,
    /// Connections that one target accepts from all entries together.
    pub connections_max: u32,
    /// Time for which a started target stays cold.
    pub warmup: Duration,
    /// Requests a second that a cold target bears.
    pub warmup_rate: f64,
}

/// Whether a request may be repeated.
#[tag]
pub enum Repeat {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request may run at most once.
    Once,
}

/// A kind of request: how it is matched and how it may be treated.
#[value]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that matches.
    pub host: String,
    /// Path prefix that matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting for the head of an answer.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Targets that one request may be sent to.
    pub attempts_max: u32,
    /// Rank among kinds of request; 0 is the most urgent.
    pub priority: u32,
    /// Services that answer, with their weights.
    pub destinations: Vec<Destination>,
    /// Regions that may serve the request; empty allows every region.
    pub home_regions: Vec<RegionName>,
}

/// A service among which the requests of a route are divided.
#[value]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its share relative to the other destinations.
    pub weight: u32,
}

/// Limits on what callers may send.
#[value]
pub struct Limits {
    /// Longest request head in bytes.
    pub head_bytes_max: usize,
    /// Longest request body in bytes.
    pub body_bytes_max: u64,
    /// Time that a caller may take for a request head.
    pub head_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Bundle {
    /// Finds the route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteId> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .copied()
            .find(|id| path.starts_with(&self.routes[*id].path_prefix))
    }
}

impl Route {
    /// Returns true if targets in `region` may serve the route.
    pub fn allows(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}
