//! Settings of the entry: as written in the YAML file, and validated.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lacewingmoor_control::Map;
use lacewingmoor_control::budget::RetryLimits;
use lacewingmoor_derive::value;
use serde::Deserialize;

use crate::dialect::Dialect;
use crate::error::Error;

/// Default limit of log lines per second. At 200 bytes per line this is 40 KB/s.
const LOG_LINES_PER_S_DEFAULT: u32 = 200;

/// Bandwidth above which bundles are not forwarded to other entries any faster.
const LINK_USABLE_MBIT_S: f64 = 200.0;

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
    /// Log settings.
    pub log: RawLog,
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
    /// Rate limit of lines below warning level, in lines per second.
    pub log_lines_per_s: u32,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or any setting is invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::ReadSettings(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Validates settings given as YAML.
    ///
    /// # Errors
    ///
    /// Returns all errors at once, or only the first if the YAML does not match the schema.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let raw: RawSettings = serde_yaml_ng::from_str(text)
            .map_err(|error| Error::Settings(vec![error.to_string()]))?;
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
