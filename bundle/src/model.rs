//! Validated configuration types. Values of these types have passed every check of the bundle.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};

use crate::{FieldState, KeyDigest, Map};

/// Version of a bundle; each accepted bundle has a greater version than the one before it.
pub type Version = u64;

/// Index into [`Bundle::services`].
pub type ServiceId = usize;

/// Index into [`Bundle::routes`].
pub type RouteId = usize;

/// Index into [`Bundle::workspaces`].
pub type WorkspaceId = usize;

/// Host and path prefix of a route.
pub type RouteKey = Rc<str>;

/// Greatest weight of a destination. The sum of the weights of eight million destinations fits in an `i64`.
pub const WEIGHT_MAX: u64 = 1 << 40;

/// Name of a workspace.
pub type WorkspaceName = Rc<str>;

/// Name of a region.
pub type RegionName = String;

/// A validated bundle.
#[value]
pub struct Bundle {
    /// Version of this bundle.
    pub version: Version,
    /// Services, indexed by [`ServiceId`].
    pub services: Vec<Service>,
    /// Routes, indexed by [`RouteId`].
    pub routes: Vec<Route>,
    /// Workspaces, indexed by [`WorkspaceId`].
    pub workspaces: Vec<Workspace>,
    /// How the document lists them, which decides whether requests need keys.
    pub workspaces_field: FieldState,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// What the bundle contains that this version does not know, for the log.
    pub warnings: Vec<String>,
    /// Workspaces by the digests of their keys.
    pub(crate) workspaces_by_key: Map<KeyDigest, WorkspaceId>,
    /// Ids of the routes of each host, longest prefix first.
    pub(crate) routes_by_host: Map<String, Vec<RouteId>>,
}

/// A service and the load that its targets can handle.
#[value]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health endpoint, which also reports the load.
    pub health_path: String,
    /// Connections that one target accepts, in total over all entries. Greater numbers are kept as the
    /// greatest of the type.
    pub connections_max: u32,
    /// Time after its start for which a target is warming up.
    pub warmup: Duration,
    /// Request rate, per second, that a target that is warming up can handle, in total over all
    /// entries.
    pub warmup_rate_per_s: f64,
}

/// Whether a request may run more than once.
#[copy_value]
pub enum Repeat {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request may run at most once.
    Once,
}

/// Matches requests by host and path prefix and defines how they are handled.
#[value]
pub struct Route {
    /// Identifies the route in this bundle and those before and after it.
    pub key: RouteKey,
    /// Name of the route, which others may have too.
    pub name: String,
    /// Host that the route matches, in lower case.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum time that a caller waits for the response head.
    pub timeout: Duration,
    /// Latency objective: a response within this time counts as on time.
    pub objective: Duration,
    /// Maximum number of targets that one request may be sent to; 0 if the route is closed.
    pub attempts_max: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u64,
    /// True if requests need no key.
    pub public: bool,
    /// Services that handle the requests, with their weights.
    pub destinations: Vec<Destination>,
    /// The only regions whose targets may serve the requests; empty allows every region.
    pub home_regions: Vec<RegionName>,
}

/// A service that receives a share of the requests of a route.
#[value]
pub struct Destination {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other destinations; up to [`WEIGHT_MAX`].
    pub weight: u64,
}

/// A customer whose requests share keys, priority and rate limit.
#[value]
pub struct Workspace {
    /// Name of the workspace, which targets are told.
    pub name: WorkspaceName,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: u64,
    /// Limit on its requests; `None` if it has none.
    pub rate_limit: Option<WorkspaceRateLimit>,
    /// The only regions whose targets may serve its requests; empty allows every region.
    pub home_regions: Vec<RegionName>,
}

/// Limit on the requests of a workspace, in total over all entries.
#[value]
#[derive(Copy)]
pub struct WorkspaceRateLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
}

/// Limits on requests and connections of callers.
#[value]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Maximum time that a caller may take to send a request head.
    pub head_timeout: Duration,
    /// Time after which an idle caller connection is closed.
    pub idle_timeout: Duration,
}

impl Bundle {
    /// Returns the route of `host`, in lower case, with the longest path prefix that matches `path`. A host
    /// with a port that has no routes of its own has those of the host without the port.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteId> {
        let routes = self.routes_by_host.get(host);
        let routes = routes.or_else(|| self.routes_by_host.get(without_port(host)))?;
        routes
            .iter()
            .copied()
            .find(|id| path.starts_with(&self.routes[*id].path_prefix))
    }

    /// Returns the `count` largest workspaces by their rate limits, of which none is the largest; in the
    /// order of their names if the limits are equal. All entries with the bundle return the same ones.
    pub fn largest_workspaces(&self, count: usize) -> Vec<&Workspace> {
        let rate = |workspace: &Workspace| {
            workspace
                .rate_limit
                .as_ref()
                .map_or(f64::INFINITY, |limit| limit.rate_per_s)
        };
        let mut workspaces: Vec<&Workspace> = self.workspaces.iter().collect();
        workspaces.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then(a.name.cmp(&b.name)));
        workspaces.truncate(count);
        workspaces
    }

    /// Returns the workspace that has the key with this digest.
    pub fn workspace(&self, key: &KeyDigest) -> Option<WorkspaceId> {
        self.workspaces_by_key.get(key).copied()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

impl Workspace {
    /// Returns true if targets in `region` may serve the workspace.
    pub fn allows(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}

impl Route {
    /// Returns true if targets in `region` may serve the route.
    pub fn allows(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}
