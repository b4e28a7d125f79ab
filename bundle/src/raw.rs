//! The bundle as operators write it in YAML. Values of these types have not been validated.

use lacewingmoor_derive::raw;

use crate::{Field, RawKey};

/// A whole bundle document.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawBundle {
    /// Version of the bundle.
    pub version: u64,
    /// Services.
    pub services: Vec<RawService>,
    /// Routes to services.
    pub routes: Vec<RawRoute>,
    /// Workspaces. Requests need no key only if the field is omitted: with an empty list or null, no key is
    /// known.
    #[serde(default, skip_serializing_if = "Field::is_absent")]
    pub workspaces: Field<Vec<RawWorkspace>>,
    /// Limits on requests and connections of callers.
    pub limits: RawLimits,
}

/// A service.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name, unique in the bundle.
    pub name: String,
    /// Path of the health endpoint.
    pub health_path: String,
    /// Connections that one target accepts, in total over all entries.
    pub connections_max: u64,
    /// Time after its start for which a target is warming up, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Request rate, per second, that a target that is warming up can handle, in total over all
    /// entries.
    #[serde(default)]
    pub warmup_per_s: f64,
}

/// Whether a request may run more than once, as written in the bundle.
#[raw]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RawRepeat {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request may run at most once.
    Once,
}

/// A route.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// Name; unique in a document.
    pub name: String,
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RawRepeat,
    /// Maximum time that a caller waits for the response head, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: a response within this time counts as on time, in milliseconds.
    pub objective_ms: u64,
    /// Maximum number of targets that one request may be sent to.
    pub attempts_max: u64,
    /// Priority of the requests; 0 is the most urgent.
    #[serde(default)]
    pub priority: u64,
    /// True if requests need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
    /// Services that handle the requests, with their weights.
    pub destinations: Vec<RawDestination>,
    /// The only regions whose targets may serve the requests; omitted or empty if every region may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
}

/// A service that receives a share of the requests of a route.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawDestination {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other destinations.
    pub weight: u64,
}

/// A customer whose requests share keys, priority and rate limit.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawWorkspace {
    /// Name, unique in the bundle.
    pub name: String,
    /// Keys, or their digests.
    #[serde(default)]
    pub keys: Vec<RawKey>,
    /// Priority of the requests, which goes before that of the route; 0 is the most urgent.
    #[serde(default)]
    pub priority: u64,
    /// Requests per second, in total over all entries; 0 for no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Requests that may be sent at once after a pause.
    #[serde(default)]
    pub burst: f64,
    /// The only regions whose targets may serve the requests; omitted or empty if every region may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
}

/// Limits on requests and connections of callers.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Maximum time that a caller may take to send a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle caller connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}
