//! Settings of the entry: raw YAML and the checked type.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lacewingmoor_control::Map;
use lacewingmoor_control::budget::RetryLimits;
use lacewingmoor_derive::value;
use serde::Deserialize;

use crate::dialect::Dialect;
use crate::error::Error;

/// Lines a second that are logged by default. At 200 bytes a line this is 40 KB/s.
const LOG_LINES_PER_S_DEFAULT: u32 = 200;

/// Bandwidth above which more does not help to pass bundles on.
const LINK_ENOUGH_MBIT_S: f64 = 200.0;

/// Settings as written in the file. Values are strings so that all errors are reported at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawSettings {
    /// Name of this entry.
    pub node: String,
    /// Zone of this entry.
    pub zone: String,
    /// Region of this entry.
    pub region: String,
    /// Region of every zone.
    pub regions: Map<String, String>,
    /// Header fields that callers and targets speak.
    pub dialect: Dialect,
    /// Address for callers.
    pub callers: String,
    /// Address of the readiness check.
    pub ready: String,
    /// Address of metrics and status.
    pub metrics: String,
    /// Address for other entries.
    pub peers: String,
    /// Addresses of other entries to start from while the store is away.
    pub seeds: Vec<String>,
    /// Address of the store.
    pub store: String,
    /// Time between the signal to stop and the kill, in seconds.
    pub grace_s: f64,
    /// Time within which changes must be in force, in milliseconds.
    pub apply_ms: u64,
    /// What the VM can carry.
    pub machine: RawMachine,
    /// Questions that a target may be asked by all entries together, a second.
    pub probes_per_s: f64,
    /// Limits of repeated sends.
    pub retry: RawRetry,
    /// Log settings.
    pub log: RawLog,
}

/// What the VM can carry, as written in the file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawMachine {
    /// Share of a core.
    pub cpu_share: f64,
    /// Bandwidth in megabits a second.
    pub link_mbit_s: f64,
}

/// Limits of repeated sends as written in the file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawRetry {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats on top, for all entries together.
    pub extra: f64,
    /// Length of the sliding window in seconds.
    pub window_s: f64,
}

/// Log settings as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// Lowest level that is logged.
    pub level: String,
    /// Most lines a second; what does not fit is counted.
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

/// Checked settings.
#[value]
pub struct Settings {
    /// Name of this entry.
    pub node: String,
    /// Zone of this entry.
    pub zone: String,
    /// Region of this entry.
    pub region: String,
    /// Region of every zone.
    pub regions: Map<String, String>,
    /// Header fields that callers and targets speak.
    pub dialect: Dialect,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of metrics and status.
    pub metrics: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Addresses of other entries to start from while the store is away.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Rank of the VM as a source for other entries; greater is better.
    pub capacity: u32,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
    /// Settings that a reload changes.
    pub reloadable: ReloadableSettings,
}

/// Settings that take effect on a reload.
#[value]
pub struct ReloadableSettings {
    /// Time between the signal to stop and the kill.
    pub grace: Duration,
    /// Time within which changes must be in force.
    pub apply_deadline: Duration,
    /// Questions that a target may be asked by all entries together, a second.
    pub probes_per_s: f64,
    /// Limits of repeated sends.
    pub retry: RetryLimits,
    /// Most log lines a second.
    pub log_lines_per_s: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or any setting is invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::ReadSettings(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Checks settings given as YAML.
    ///
    /// # Errors
    ///
    /// Returns every invalid setting at once.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let raw: RawSettings = serde_yaml_ng::from_str(text)
            .map_err(|error| Error::Settings(vec![error.to_string()]))?;
        Self::try_from(raw)
    }
}

/// Ranks a VM by the time that it takes to pass a bundle on: processor and link count alike.
fn capacity(cpu_share: f64, link_mbit_s: f64) -> u32 {
    (cpu_share * link_mbit_s.min(LINK_ENOUGH_MBIT_S) * 100.0) as u32
}

struct Checker {
    errors: Vec<String>,
}

impl Checker {
    fn add(&mut self, error: String) {
        self.errors.push(error);
    }

    fn name(&mut self, field: &str, value: String) -> String {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if value.is_empty() {
            self.add(format!("{field}: is missing"));
        } else if !value.chars().all(plain) {
            self.add(format!(
                "{field}: may only hold letters, digits, '-', '_' and '.'"
            ));
        }
        value
    }

    fn addr(&mut self, field: &str, value: &str) -> SocketAddr {
        if value.is_empty() {
            self.add(format!("{field}: is missing"));
        } else if let Ok(addr) = value.parse() {
            return addr;
        } else {
            self.add(format!(
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
            Ok(time) if !time.is_zero() => time,
            _ => {
                self.add(format!("{field}: {value} is not a time above 0 seconds"));
                Duration::from_secs(1)
            }
        }
    }

    fn millis(&mut self, field: &str, value: u64) -> Duration {
        if value == 0 {
            self.add(format!("{field}: is missing or 0"));
        }
        Duration::from_millis(value)
    }

    fn positive(&mut self, field: &str, value: f64) -> f64 {
        if !value.is_finite() || value < 0.0 {
            self.add(format!("{field}: {value} is not a number of 0 or more"));
        }
        value
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self, Error> {
        let mut check = Checker { errors: Vec::new() };
        if raw.regions.get(&raw.zone) != Some(&raw.region) {
            check.add(format!(
                "regions: does not map zone {:?} to region {:?}",
                raw.zone, raw.region
            ));
        }
        let log_level = raw.log.level.parse().unwrap_or_else(|()| {
            check.add(format!("log.level: {:?} is not a level", raw.log.level));
            slog::Level::Info
        });
        let settings = Self {
            node: check.name("node", raw.node),
            zone: check.name("zone", raw.zone),
            region: check.name("region", raw.region),
            regions: raw.regions,
            dialect: raw.dialect,
            callers: check.addr("callers", &raw.callers),
            ready: check.addr("ready", &raw.ready),
            metrics: check.addr("metrics", &raw.metrics),
            peers: check.addr("peers", &raw.peers),
            seeds: check.addrs("seeds", &raw.seeds),
            store: check.addr("store", &raw.store),
            capacity: capacity(
                check.positive("machine.cpu_share", raw.machine.cpu_share),
                check.positive("machine.link_mbit_s", raw.machine.link_mbit_s),
            ),
            log_level,
            reloadable: ReloadableSettings {
                grace: check.seconds("grace_s", raw.grace_s),
                apply_deadline: check.millis("apply_ms", raw.apply_ms),
                probes_per_s: check.positive("probes_per_s", raw.probes_per_s),
                retry: RetryLimits {
                    ratio: check.positive("retry.ratio", raw.retry.ratio),
                    extra: check.positive("retry.extra", raw.retry.extra),
                    window: check.seconds("retry.window_s", raw.retry.window_s),
                },
                log_lines_per_s: raw.log.lines_per_s,
            },
        };
        let listeners = [
            ("callers", settings.callers),
            ("ready", settings.ready),
            ("metrics", settings.metrics),
            ("peers", settings.peers),
        ];
        for (i, (name, addr)) in listeners.iter().enumerate() {
            for (other, earlier) in &listeners[..i] {
                if addr.port() != 0 && addr == earlier {
                    check.add(format!("{name}: {addr} is already used by {other}"));
                }
            }
        }
        if check.errors.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Settings(check.errors))
        }
    }
}
