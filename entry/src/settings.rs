//! Settings of the entry: as written in the YAML file, and validated.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lacewingmoor_control::Map;
use lacewingmoor_control::bounds::{
    Bounds, ExposureBounds, KeyBounds, RateLimitBounds, ZoneWeights,
};
use lacewingmoor_control::budget::RetryLimits;
use lacewingmoor_derive::value;
use serde::Deserialize;

use crate::dialect::Dialect;
use crate::error::Error;

/// Default limit of log lines per second. At 200 bytes per line this is 40 KB/s.
const LOG_LINES_PER_S_DEFAULT: u32 = 200;

/// Bandwidth above which bundles are not forwarded to other entries any faster.
const LINK_USABLE_MBIT_S: f64 = 200.0;

/// Environment variable with bounds as YAML, which replace those of the file.
pub const BOUNDS_VARIABLE: &str = "LACEWINGMOOR_BOUNDS";

/// Bytes of a megabyte, in which platforms state the memory of a VM.
const MEGABYTE: f64 = 1e6;

/// Settings as written in the file. Names and addresses are kept as strings, so that all errors are
/// reported at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawSettings {
    /// Name of this entry.
    pub node: String,
    /// Zone of this entry.
    pub zone: String,
    /// Region of this entry.
    pub region: String,
    /// Maps every zone to its region.
    pub regions: Map<String, String>,
    /// Set of header fields used with callers and targets.
    pub dialect: Dialect,
    /// Address for requests of callers.
    pub callers: String,
    /// Address for readiness checks. Serves the same paths as the address for metrics.
    pub ready: String,
    /// Address for metrics and the status page. Serves the same paths as the address for readiness
    /// checks.
    pub metrics: String,
    /// Address for other entries that receive updates from this one.
    pub peers: String,
    /// Peer addresses of entries to follow while the store and all known entries have failed
    /// recently, for example at a start during a store outage.
    pub seeds: Vec<String>,
    /// Address of the store.
    pub store: String,
    /// Grace period in seconds, from the stop signal until the process is killed.
    pub grace_s: f64,
    /// Maximum time until a change in the store takes effect in this entry, in milliseconds.
    pub apply_ms: u64,
    /// Resources of the VM.
    pub machine: RawMachine,
    /// Maximum rate of probes to one target, in total over all entries.
    pub probes_per_s: f64,
    /// Limits on retries and hedges.
    pub retry: RawRetry,
    /// Weights of distance in the choice of a target; distance has no weight without them.
    pub zones: Option<RawZones>,
    /// Log settings.
    pub log: RawLog,
    /// Bounds of features that not every deployment uses.
    pub bounds: RawBounds,
}

/// Weights of distance, as written in the file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawZones {
    /// Time that a request may wait longer to stay in its zone, in milliseconds.
    pub zone_cost_ms: f64,
    /// Time that a request may wait longer to stay in its region, in milliseconds.
    pub region_cost_ms: f64,
}

/// Bounds of features that not every deployment uses, as written in the file or in the variable
/// [`BOUNDS_VARIABLE`]. A feature is off if its bounds are missing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawBounds {
    /// Share of a service's requests that a new version may get until it has proved good.
    pub exposure_share: Option<f64>,
    /// Requests that it may get in addition.
    pub exposure_extra: Option<f64>,
    /// Time in which a version that fails gets no more requests, in milliseconds.
    pub exposure_stop_ms: Option<u64>,
    /// Length of the window for rate limits of workspaces, in seconds.
    pub rate_window_s: Option<f64>,
    /// Share of a rate limit by which a window may exceed it.
    pub rate_over: Option<f64>,
    /// Requests by which a window may exceed a rate limit in addition.
    pub rate_extra: Option<f64>,
    /// True if an entry whose view may be old must refuse keys that it knows.
    pub keys_strict: Option<bool>,
    /// Time in which a withdrawn key stops working, in milliseconds.
    pub keys_withdrawn_ms: Option<u64>,
    /// Memory of the VM in megabytes.
    pub memory_mb: Option<f64>,
}

/// Resources of the VM, as written in the file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawMachine {
    /// Share of a CPU core.
    pub cpu_share: f64,
    /// Bandwidth in megabits per second.
    pub link_mbit_s: f64,
}

/// Limits on retries and hedges, as written in the file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawRetry {
    /// Retries allowed in each window, as a share of the requests in it.
    pub ratio: f64,
    /// Retries allowed in addition in each window, for all entries together.
    pub extra: f64,
    /// Length of the sliding window in seconds.
    pub window_s: f64,
}

/// Log settings, as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// Lowest level that is logged.
    pub level: String,
    /// Rate limit of lines below warning level, in lines per second; lines above it are left out and
    /// counted.
    pub lines_per_s: u32,
}

impl Default for RawLog {
    fn default() -> Self {
        Self {
            level: "info".into(),
            lines_per_s: LOG_LINES_PER_S_DEFAULT,
        }
    }
}

/// Validated settings.
#[value]
pub struct Settings {
    /// Name of this entry.
    pub entry_name: String,
    /// Zone of this entry.
    pub zone: String,
    /// Region of this entry.
    pub region: String,
    /// Maps every zone to its region.
    pub regions: Map<String, String>,
    /// Set of header fields used with callers and targets.
    pub dialect: Dialect,
    /// Address for requests of callers.
    pub caller_addr: SocketAddr,
    /// Address for readiness checks. Serves the same paths as the address for metrics.
    pub ready_addr: SocketAddr,
    /// Address for metrics and the status page. Serves the same paths as the address for readiness
    /// checks.
    pub metrics_addr: SocketAddr,
    /// Address for other entries that receive updates from this one.
    pub peer_addr: SocketAddr,
    /// Peer addresses of entries to follow while the store and all known entries have failed
    /// recently, for example at a start during a store outage.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Relative capacity of the VM; entries with more capacity are preferred as sources.
    pub capacity: u32,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
    /// Settings that take effect on a reload.
    pub reloadable: ReloadableSettings,
}

/// Settings that take effect on a reload, without a restart.
#[value]
pub struct ReloadableSettings {
    /// Grace period, from the stop signal until the process is killed.
    pub grace: Duration,
    /// Maximum time until a change in the store takes effect in this entry.
    pub apply_deadline: Duration,
    /// Maximum rate of probes to one target, in total over all entries.
    pub probes_per_s: f64,
    /// Limits on retries and hedges.
    pub retry: RetryLimits,
    /// Bounds of features that not every deployment uses.
    pub bounds: Bounds,
    /// Rate limit of lines below warning level, in lines per second.
    pub log_lines_per_s: u32,
}

impl Settings {
    /// Reads and validates a settings file. Bounds in the environment replace those of the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or any setting is invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::ReadSettings(path.to_owned(), error))?;
        let bounds = std::env::var(BOUNDS_VARIABLE).ok();
        Self::parse_with_bounds(&text, bounds.as_deref())
    }

    /// Validates settings given as YAML.
    ///
    /// # Errors
    ///
    /// Returns all errors at once, or only the first if the YAML does not match the schema.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::parse_with_bounds(text, None)
    }

    /// Validates settings and bounds given as YAML. The bounds replace those of the settings.
    ///
    /// # Errors
    ///
    /// See [`Settings::parse`].
    pub fn parse_with_bounds(text: &str, bounds: Option<&str>) -> Result<Self, Error> {
        let mut raw: RawSettings = serde_yaml_ng::from_str(text)
            .map_err(|error| Error::Settings(vec![error.to_string()]))?;
        if let Some(bounds) = bounds {
            raw.bounds = serde_yaml_ng::from_str(bounds)
                .map_err(|error| Error::Settings(vec![format!("{BOUNDS_VARIABLE}: {error}")]))?;
        }
        Self::try_from(raw)
    }
}

/// Returns the capacity of a VM, which approximates how fast it forwards bundles to other entries:
/// the product of CPU share and usable bandwidth, which count equally. The factor 100 keeps two
/// decimals in the integer.
fn capacity(cpu_share: f64, link_mbit_s: f64) -> u32 {
    (cpu_share * link_mbit_s.min(LINK_USABLE_MBIT_S) * 100.0) as u32
}

/// Collects the errors of all settings. For an invalid value its methods return a placeholder, which
/// is not used because the settings are rejected.
struct Checker {
    errors: Vec<String>,
}

impl Checker {
    fn report(&mut self, error: String) {
        self.errors.push(error);
    }

    fn name(&mut self, field: &str, value: String) -> String {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if value.is_empty() {
            self.report(format!("{field}: is missing"));
        } else if !value.chars().all(is_allowed) {
            self.report(format!(
                "{field}: may only contain letters, digits, '-', '_' and '.'"
            ));
        }
        value
    }

    fn addr(&mut self, field: &str, value: &str) -> SocketAddr {
        if value.is_empty() {
            self.report(format!("{field}: is missing"));
        } else if let Ok(addr) = value.parse() {
            return addr;
        } else {
            self.report(format!(
                "{field}: {value:?} is not an IP address with a port"
            ));
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    fn addrs(&mut self, field: &str, values: &[String]) -> Vec<SocketAddr> {
        let values = values.iter().enumerate();
        values
            .map(|(i, value)| self.addr(&format!("{field}[{i}]"), value))
            .collect()
    }

    fn seconds(&mut self, field: &str, value: f64) -> Duration {
        match Duration::try_from_secs_f64(value) {
            Ok(duration) if !duration.is_zero() => duration,
            _ => {
                self.report(format!(
                    "{field}: {value} is out of range; use a number of seconds greater than 0"
                ));
                Duration::from_secs(1)
            }
        }
    }

    fn millis(&mut self, field: &str, value: u64) -> Duration {
        if value == 0 {
            self.report(format!("{field}: is missing or 0"));
        }
        Duration::from_millis(value)
    }

    fn bounds(&mut self, raw: &RawBounds, zones: Option<&RawZones>) -> Bounds {
        let exposure = raw.exposure_share.map(|share| ExposureBounds {
            share: self.non_negative("bounds.exposure_share", share),
            extra: self.optional("bounds.exposure_extra", raw.exposure_extra),
            stop_within: Duration::from_millis(raw.exposure_stop_ms.unwrap_or_default()),
        });
        let rate_limits = raw.rate_window_s.map(|window_s| RateLimitBounds {
            window: self.seconds("bounds.rate_window_s", window_s),
            over: self.optional("bounds.rate_over", raw.rate_over),
            extra: self.optional("bounds.rate_extra", raw.rate_extra),
        });
        let memory_mb = raw
            .memory_mb
            .map(|mb| self.non_negative("bounds.memory_mb", mb));
        Bounds {
            exposure,
            rate_limits,
            keys: KeyBounds {
                strict: raw.keys_strict.unwrap_or_default(),
                withdrawn_within: raw.keys_withdrawn_ms.map(Duration::from_millis),
            },
            memory_bytes: memory_mb.map(|mb| (mb * MEGABYTE) as u64),
            zones: zones.map(|zones| ZoneWeights {
                zone_cost: self.cost("zones.zone_cost_ms", zones.zone_cost_ms),
                region_cost: self.cost("zones.region_cost_ms", zones.region_cost_ms),
            }),
        }
    }

    fn cost(&mut self, field: &str, cost_ms: f64) -> Duration {
        let cost = Duration::try_from_secs_f64(cost_ms / 1000.0);
        cost.unwrap_or_else(|_| {
            self.report(format!("{field}: {cost_ms} is out of range; use 0 or more"));
            Duration::ZERO
        })
    }

    fn optional(&mut self, field: &str, value: Option<f64>) -> f64 {
        self.non_negative(field, value.unwrap_or_default())
    }

    fn non_negative(&mut self, field: &str, value: f64) -> f64 {
        if !value.is_finite() || value < 0.0 {
            self.report(format!(
                "{field}: {value} is out of range; use a finite number of 0 or more"
            ));
        }
        value
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self, Error> {
        let mut checker = Checker { errors: Vec::new() };
        if raw.regions.get(&raw.zone) != Some(&raw.region) {
            checker.report(format!(
                "regions: does not map zone {:?} to region {:?}",
                raw.zone, raw.region
            ));
        }
        let log_level = raw.log.level.parse().unwrap_or_else(|()| {
            checker.report(format!("log.level: {:?} is not a log level", raw.log.level));
            slog::Level::Info
        });
        let settings = Self {
            entry_name: checker.name("node", raw.node),
            zone: checker.name("zone", raw.zone),
            region: checker.name("region", raw.region),
            regions: raw.regions,
            dialect: raw.dialect,
            caller_addr: checker.addr("callers", &raw.callers),
            ready_addr: checker.addr("ready", &raw.ready),
            metrics_addr: checker.addr("metrics", &raw.metrics),
            peer_addr: checker.addr("peers", &raw.peers),
            seeds: checker.addrs("seeds", &raw.seeds),
            store_addr: checker.addr("store", &raw.store),
            capacity: capacity(
                checker.non_negative("machine.cpu_share", raw.machine.cpu_share),
                checker.non_negative("machine.link_mbit_s", raw.machine.link_mbit_s),
            ),
            log_level,
            reloadable: ReloadableSettings {
                grace: checker.seconds("grace_s", raw.grace_s),
                apply_deadline: checker.millis("apply_ms", raw.apply_ms),
                probes_per_s: checker.non_negative("probes_per_s", raw.probes_per_s),
                retry: RetryLimits {
                    ratio: checker.non_negative("retry.ratio", raw.retry.ratio),
                    extra: checker.non_negative("retry.extra", raw.retry.extra),
                    window: checker.seconds("retry.window_s", raw.retry.window_s),
                },
                bounds: checker.bounds(&raw.bounds, raw.zones.as_ref()),
                log_lines_per_s: raw.log.lines_per_s,
            },
        };
        let listeners = [
            ("callers", settings.caller_addr),
            ("ready", settings.ready_addr),
            ("metrics", settings.metrics_addr),
            ("peers", settings.peer_addr),
        ];
        for (i, (name, addr)) in listeners.iter().enumerate() {
            for (other_name, other_addr) in &listeners[..i] {
                if addr.port() != 0 && addr == other_addr {
                    checker.report(format!("{name}: {addr} is already used by {other_name}"));
                }
            }
        }
        if checker.errors.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Settings(checker.errors))
        }
    }
}
