//! Settings of the entry: raw YAML and the checked type.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use lacewingmoor_bundle::PublicKey;
use lacewingmoor_control::{Policy, Setup};
use lacewingmoor_derive::value;
use serde::Deserialize;

use crate::error::Error;

const UNREADY_MS_DEFAULT: u64 = 2000;
const UNREADY_MS_MAX: u64 = 600_000;

/// Settings as written in the file. Values are strings so that all errors are reported at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawSettings {
    /// Name of this entry.
    pub node: String,
    /// Zone name.
    pub zone: String,
    /// Region name.
    pub region: String,
    /// Address for callers.
    pub listen: String,
    /// Address of the admin listener.
    pub admin: String,
    /// Address for peers.
    pub peer: String,
    /// Address of the store.
    pub store: String,
    /// Address of the VM list.
    pub vm_list: String,
    /// Operator keys, base64.
    pub operator_keys: Vec<String>,
    /// Fleet key, base64.
    pub fleet_key: String,
    /// Choice of targets.
    pub policy: Policy,
    /// Seed of random choices; random when missing.
    pub seed: Option<u64>,
    /// Time between unready and the close of the listeners.
    pub unready_ms: Option<u64>,
    /// Log settings.
    pub log: RawLog,
}

/// Log settings as written in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// Whether routing and placement decisions are logged.
    pub decisions: bool,
    /// Lowest level that is logged.
    pub level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self {
            decisions: true,
            level: "info".into(),
        }
    }
}

/// Checked settings.
#[value]
pub struct Settings {
    /// Name of this entry.
    pub node: String,
    /// Zone name.
    pub zone: String,
    /// Region name.
    pub region: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Keys that may sign bundles.
    pub operator_keys: Vec<PublicKey>,
    /// Key that peers authenticate each other with.
    pub fleet_key: [u8; 32],
    /// Choice of targets.
    pub policy: Policy,
    /// Seed of random choices.
    pub seed: u64,
    /// Time between unready and the close of the listeners.
    pub unready: Duration,
    /// Whether routing and placement decisions are logged.
    pub log_decisions: bool,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
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

    /// Returns what the reducer is built with.
    pub fn setup(&self, incarnation: u64) -> Setup {
        Setup {
            name: self.node.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            incarnation,
            policy: self.policy,
            seed: self.seed,
        }
    }
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

    fn key(&mut self, field: &str, value: &str) -> [u8; 32] {
        let bytes = STANDARD.decode(value.trim()).unwrap_or_default();
        <[u8; 32]>::try_from(bytes.as_slice()).unwrap_or_else(|_| {
            self.add(format!("{field}: is not 32 bytes in base64"));
            [0; 32]
        })
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self, Error> {
        let mut check = Checker { errors: Vec::new() };
        let mut operator_keys = Vec::new();
        if raw.operator_keys.is_empty() {
            check.add("operator_keys: at least one key is needed".into());
        }
        for (i, text) in raw.operator_keys.iter().enumerate() {
            match PublicKey::from_base64(text) {
                Ok(key) => operator_keys.push(key),
                Err(error) => check.add(format!("operator_keys[{i}]: {error}")),
            }
        }
        let unready_ms = raw.unready_ms.unwrap_or(UNREADY_MS_DEFAULT);
        if unready_ms > UNREADY_MS_MAX {
            check.add(format!(
                "unready_ms: {unready_ms} is above {UNREADY_MS_MAX}"
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
            listen: check.addr("listen", &raw.listen),
            admin: check.addr("admin", &raw.admin),
            peer: check.addr("peer", &raw.peer),
            store: check.addr("store", &raw.store),
            vm_list: check.addr("vm_list", &raw.vm_list),
            operator_keys,
            fleet_key: check.key("fleet_key", &raw.fleet_key),
            policy: raw.policy,
            seed: raw.seed.unwrap_or_else(rand::random),
            unready: Duration::from_millis(unready_ms),
            log_decisions: raw.log.decisions,
            log_level,
        };
        let listeners = [
            ("listen", settings.listen),
            ("admin", settings.admin),
            ("peer", settings.peer),
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
