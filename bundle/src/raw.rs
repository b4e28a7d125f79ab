//! The bundle as operators write it in YAML. Nothing in these types has been checked.

use lacewingmoor_derive::raw;

/// A whole bundle document.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawBundle {
    /// Version of the bundle.
    pub version: u64,
    /// Name of the region that holds the configuration store.
    pub store_region: String,
    /// Regions with their zones.
    pub regions: Vec<RawRegion>,
    /// Services with their targets.
    pub services: Vec<RawService>,
    /// Routes to services.
    pub routes: Vec<RawRoute>,
    /// Tenants with a share or home regions of their own.
    #[serde(default)]
    pub tenants: Vec<RawTenant>,
    /// Limits that hold for every request.
    pub limits: RawLimits,
}

/// A region.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawRegion {
    /// Name, unique in the bundle.
    pub name: String,
    /// Availability zones of the region.
    pub zones: Vec<RawZone>,
}

/// An availability zone.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawZone {
    /// Name, unique in the bundle.
    pub name: String,
    /// Whether the zone is in service.
    pub state: ZoneState,
}

/// Whether operators keep a zone in service.
#[raw]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone takes work.
    In,
    /// The zone takes no new work.
    Out,
}

/// A service.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name, unique in the bundle.
    pub name: String,
    /// Requests that one warm target runs at a time.
    pub slots: u64,
    /// Requests that one cold target can handle at a time.
    pub cold_slots: u64,
    /// Time over which a cold target is brought to full load, in milliseconds.
    pub warmup_ms: u64,
    /// Connections that one target accepts from all entries together.
    pub connections_max: u64,
    /// Active probing; left out if the targets have no load endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe: Option<RawProbe>,
    /// Targets of the service.
    pub targets: Vec<RawTarget>,
}

/// How the targets of a service are probed.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawProbe {
    /// Path of the load endpoint.
    pub path: String,
    /// Time that one probe occupies a slot, in milliseconds.
    pub cost_ms: u64,
    /// Share of the target's slot time for probes of the whole fleet, in 1/1000.
    pub budget_permille: u64,
}

/// A target.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// Name, unique in the service.
    pub name: String,
    /// IP address and port.
    pub addr: String,
    /// Name of the zone that the target is in.
    pub zone: String,
}

/// A route.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// Name, unique in the bundle.
    pub name: String,
    /// Name of the service that answers.
    pub service: String,
    /// Methods that match, in upper case.
    pub methods: Vec<String>,
    /// Path prefix that matches, on a segment boundary.
    pub path_prefix: String,
    /// True if running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// True if a second attempt may be started while the first one is slow.
    #[serde(default)]
    pub hedge: bool,
    /// Weight of an answered request.
    pub weight: u64,
    /// Time from arrival within which the head of the answer must be there, in milliseconds.
    pub deadline_ms: u64,
    /// Longest request body in bytes.
    pub body_bytes_max: u64,
    /// Regions that may serve and keep the request; left out if every region may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home_regions: Option<Vec<String>>,
}

/// A tenant.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawTenant {
    /// Name, the value of the tenant header.
    pub name: String,
    /// Share in the fair queue relative to other tenants.
    pub share: u64,
    /// Regions that may serve and keep requests of the tenant; left out if every region may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home_regions: Option<Vec<String>>,
}

/// Limits that hold for every request.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// Header that names the tenant, in lower case.
    pub tenant_header: String,
    /// Longest request head in bytes.
    pub head_bytes_max: u64,
    /// Requests that one entry queues per service.
    pub queue_max: u64,
    /// Retries allowed per 100 requests.
    pub retry_percent: u64,
    /// Hedges allowed per 100 requests.
    pub hedge_percent: u64,
    /// Megabits a second that one entry may cause on links between regions.
    pub interregion_mbit_s: u64,
}
