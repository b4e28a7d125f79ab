//! Checked configuration types. Values of these types have passed every check of the bundle.

use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_derive::value;
use sha2::{Digest as _, Sha256};

/// Bundle version; each accepted bundle has a greater one than the bundle before it.
pub type Version = u64;

/// SHA-256 digest.
pub type Digest = [u8; 32];

/// Index into [`Bundle::regions`].
pub type RegionId = usize;

/// Index into [`Bundle::zones`].
pub type ZoneId = usize;

/// Index into [`Bundle::services`].
pub type ServiceId = usize;

/// Index into [`Bundle::routes`].
pub type RouteId = usize;

/// Index into [`Bundle::tenants`].
pub type TenantId = usize;

/// Id of a target that stays the same across bundle versions.
pub type TargetId = u64;

/// Id of an entry VM, derived from its name.
pub type NodeId = u64;

/// A checked bundle version.
#[value]
pub struct Bundle {
    /// Version of this bundle.
    pub version: Version,
    /// SHA-256 digest of the manifest.
    pub digest: Digest,
    /// Region that holds the configuration store.
    pub store_region: RegionId,
    /// Regions by id.
    pub regions: Vec<Region>,
    /// Availability zones by id.
    pub zones: Vec<Zone>,
    /// Services by id.
    pub services: Vec<Service>,
    /// Routes by id.
    pub routes: Vec<Route>,
    /// Tenants by id.
    pub tenants: Vec<Tenant>,
    /// Limits that hold for every request.
    pub limits: Limits,
}

/// A region.
#[value]
pub struct Region {
    /// Name of the region.
    pub name: String,
}

/// An availability zone.
#[value]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Region of the zone.
    pub region: RegionId,
    /// False while operators have taken the zone out of service.
    pub in_service: bool,
}

/// A service and its targets.
#[value]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Requests that one warm target runs at a time.
    pub slots: u32,
    /// Requests that one cold target bears at a time.
    pub cold_slots: u32,
    /// Time over which a cold target is brought to full load.
    pub warmup: Duration,
    /// Connections that one target accepts from all entries together.
    pub connections_max: u32,
    /// Active probing, if the targets have a load endpoint.
    pub probe: Option<Probe>,
    /// Targets of the service.
    pub targets: Vec<Target>,
}

/// How the targets of a service are probed.
#[value]
pub struct Probe {
    /// Path of the load endpoint.
    pub path: String,
    /// Time that one probe occupies a slot of the target.
    pub cost: Duration,
    /// Share of the target's slot time that probes of the whole fleet may use, in 1/1000.
    pub budget_permille: u32,
}

/// One server of a service.
#[value]
pub struct Target {
    /// Id that stays the same across versions.
    pub id: TargetId,
    /// Name, unique in the service.
    pub name: String,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Region of the target.
    pub region: RegionId,
}

/// A kind of request: how it is matched and how it may be treated.
#[value]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Service that answers it.
    pub service: ServiceId,
    /// Methods that match, in upper case.
    pub methods: Vec<String>,
    /// Path prefix that matches, on a segment boundary.
    pub path_prefix: String,
    /// True if running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// True if a second attempt may be started while the first one is slow. Needs `idempotent`.
    pub hedge: bool,
    /// Weight of an answered request in the users' count and in the fair queue.
    pub weight: u32,
    /// Time from arrival within which the head of the answer must be there.
    pub deadline: Duration,
    /// Longest request body in bytes.
    pub body_bytes_max: u64,
    /// Regions that may serve and keep the request; `None` allows every region.
    pub home_regions: Option<Vec<RegionId>>,
}

/// A customer whose requests are told apart by a header value.
#[value]
pub struct Tenant {
    /// Name of the tenant, the value of [`Limits::tenant_header`].
    pub name: String,
    /// Share in the fair queue relative to other tenants.
    pub share: u32,
    /// Regions that may serve and keep requests of the tenant; `None` allows every region.
    pub home_regions: Option<Vec<RegionId>>,
}

/// Limits that hold for every request.
#[value]
pub struct Limits {
    /// Header that names the tenant, in lower case.
    pub tenant_header: String,
    /// Longest request head in bytes.
    pub head_bytes_max: usize,
    /// Requests that one entry queues per service.
    pub queue_max: usize,
    /// Retries allowed per 100 requests.
    pub retry_percent: u32,
    /// Hedges allowed per 100 requests.
    pub hedge_percent: u32,
    /// Megabits a second that one entry may cause on links between regions.
    pub interregion_mbit_s: u32,
}

impl Bundle {
    /// Finds the route with the longest path prefix that matches method and path.
    pub fn route(&self, method: &str, path: &str) -> Option<RouteId> {
        let mut best: Option<RouteId> = None;
        for (id, route) in self.routes.iter().enumerate() {
            let longer =
                best.is_none_or(|b| route.path_prefix.len() > self.routes[b].path_prefix.len());
            if longer
                && route.methods.iter().any(|m| m == method)
                && prefix_matches(&route.path_prefix, path)
            {
                best = Some(id);
            }
        }
        best
    }

    /// Finds a tenant by name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|t| t.name == name)
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|z| z.name == name)
    }

    /// Finds a region by name.
    pub fn region(&self, name: &str) -> Option<RegionId> {
        self.regions.iter().position(|r| r.name == name)
    }
}

/// Matches a path prefix on a segment boundary, so that `/lanes` does not match `/lanes2`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

/// Derives a stable 64-bit id from a name.
fn short_id(name: &str) -> u64 {
    let digest: Digest = Sha256::digest(name.as_bytes()).into();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Derives the id of a target from the names of its service and itself.
pub fn target_id(service: &str, target: &str) -> TargetId {
    short_id(&format!("{service}/{target}"))
}

/// Derives the id of an entry VM from its name.
pub fn node_id(name: &str) -> NodeId {
    short_id(name)
}
