//! The bundle as operators write it in YAML. Nothing in these types has been checked.

use lacewingmoor_derive::raw;

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
    /// Limits on what callers may send.
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
    /// Connections that one target accepts from all entries together.
    pub connections_max: u64,
    /// Time for which a started target stays cold, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Requests a second that a cold target bears.
    #[serde(default)]
    pub warmup_per_s: f64,
}

/// Whether a request may be repeated, as written in the bundle.
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
    /// Name, unique in the bundle.
    pub name: String,
    /// Host that matches.
    pub host: String,
    /// Path prefix that matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the request may be repeated.
    pub repeat: RawRepeat,
    /// Longest time that a caller is kept waiting for the head of an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, in milliseconds.
    pub objective_ms: u64,
    /// Targets that one request may be sent to.
    pub attempts_max: u64,
    /// Rank among kinds of request; 0 is the most urgent.
    #[serde(default)]
    pub priority: u64,
    /// Services that answer, with their weights.
    pub destinations: Vec<RawDestination>,
    /// Regions that may serve the request; left out or empty if every region may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<String>,
}

/// A service among which the requests of a route are divided.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawDestination {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other destinations.
    pub weight: u64,
}

/// Limits on what callers may send.
#[raw]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// Longest request head in bytes.
    pub head_bytes_max: u64,
    /// Longest request body in bytes.
    pub body_bytes_max: u64,
    /// Time that a caller may take for a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection of a caller is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}
