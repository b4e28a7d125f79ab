//! A whole platform on loopback.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::entry::Shared;
use super::error::{Error, io_error};
use super::{BundleSpec, Entry, EntryOptions, Operator};
use crate::ANY_PORT;
use crate::load::Front;
use crate::store::Store;
use crate::target::{Settings, Target};
use crate::vms::{Role, Vm, VmList, VmState};

/// Interval at which the front asks entries whether they are ready, as a platform load balancer
/// does.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

/// Lines of each log that an error message shows.
const LOG_LINES: usize = 15;

/// Fleet key of the harness: 32 zero bytes in base64.
const FLEET_KEY: &str = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

/// Addresses for callers and of the admin listener of each entry.
type Checked = Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>;

/// A target of the fleet.
pub struct FleetTarget {
    /// Id in the VM list, `service/name`.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// The stand-in.
    pub target: Target,
}

/// Store, VM list, targets and entries. Dropping it ends all of them.
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// The VM list.
    pub vms: VmList,
    /// The bundle that the next rollout brings out.
    pub bundle: BundleSpec,
    /// Targets in the order in which they were added.
    pub targets: Vec<FleetTarget>,
    /// Entries in the order in which they were added.
    pub entries: Vec<Entry>,
    /// The operator.
    pub operator: Operator,
    version: u64,
    shared: Shared,
    front: Front,
    checked: Checked,
    health: JoinHandle<()>,
    _dir: TempDir,
}

impl Fleet {
    /// Starts store and VM list and creates an operator key.
    ///
    /// # Errors
    ///
    /// Returns an error if the binaries are not built or something does not start.
    pub async fn start(bundle: BundleSpec) -> Result<Self, Error> {
        let dir = tempfile::tempdir().map_err(io_error("create a directory"))?;
        let store = Store::start(ANY_PORT)
            .await
            .map_err(io_error("start the store"))?;
        let vms = VmList::start(ANY_PORT)
            .await
            .map_err(io_error("start the VM list"))?;
        let operator = Operator::new(dir.path(), store.addr()).await?;
        let shared = Shared {
            dir: dir.path().into(),
            store: store.addr(),
            vm_list: vms.addr(),
            operator_key: operator.public_key().into(),
            fleet_key: FLEET_KEY.into(),
        };
        let front = Front::default();
        let checked = Checked::default();
        Ok(Self {
            health: tokio::spawn(check_health(checked.clone(), front.clone())),
            store,
            vms,
            bundle,
            targets: Vec::new(),
            entries: Vec::new(),
            operator,
            version: 0,
            shared,
            front,
            checked,
            _dir: dir,
        })
    }

    /// Starts targets of a service of the bundle in a zone; each gets a seed of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if a target does not start.
    ///
    /// # Panics
    ///
    /// Panics if the bundle has no such service.
    pub async fn add_targets(
        &mut self,
        service: &str,
        zone: &str,
        count: usize,
        settings: &Settings,
    ) -> Result<(), Error> {
        for _ in 0..count {
            let specs = &mut self.bundle.services;
            let spec = specs
                .iter_mut()
                .find(|s| s.name == service)
                .expect("the bundle has the service");
            let name = format!("t{}", spec.targets.len() + 1);
            let id = format!("{service}/{name}");
            let settings = Settings {
                name: id.clone(),
                slots: spec.slots as usize,
                cold_slots: spec.cold_slots as usize,
                seed: settings.seed + self.targets.len() as u64,
                ..settings.clone()
            };
            let target = Target::start(ANY_PORT, settings)
                .await
                .map_err(io_error("start a target"))?;
            spec.targets.push((name, zone.into(), target.addr()));
            self.list(&id, target.addr(), zone, Role::Target);
            self.targets.push(FleetTarget {
                id,
                zone: zone.into(),
                target,
            });
        }
        Ok(())
    }

    fn list(&self, id: &str, address: SocketAddr, zone: &str, role: Role) {
        self.vms.upsert(Vm {
            id: id.into(),
            address,
            zone: zone.into(),
            region: self.bundle.region_of(zone).into(),
            role,
            state: VmState::Live,
        });
    }

    /// Starts an entry and puts it on the VM list. The front uses it as soon as it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not start.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the list of entries panicked.
    pub fn add_entry(
        &mut self,
        name: &str,
        zone: &str,
        options: &EntryOptions,
    ) -> Result<(), Error> {
        let region = self.bundle.region_of(zone).to_owned();
        let mut entry = Entry::new(&self.shared, name, zone, &region, options)?;
        self.list(name, entry.peer(), zone, Role::Entry);
        entry.start()?;
        let addrs = (entry.listen(), entry.admin());
        self.checked
            .lock()
            .expect("no holder of the lock panics")
            .push(addrs);
        self.entries.push(entry);
        Ok(())
    }

    /// Adds targets of a service, the same number in every zone, rolls out the bundle, starts
    /// entries in the zones by turns, and waits until they are ready. `options` gets the number of
    /// the entry, from 0.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start or the entries are not ready within `limit`.
    ///
    /// # Panics
    ///
    /// Panics if the bundle has no such service.
    pub async fn populate(
        &mut self,
        service: &str,
        zones: &[&str],
        targets: (usize, &Settings),
        entries: (usize, impl Fn(usize) -> EntryOptions),
        limit: Duration,
    ) -> Result<(), Error> {
        for zone in zones {
            self.add_targets(service, zone, targets.0 / zones.len(), targets.1)
                .await?;
        }
        self.rollout().await?;
        for number in 0..entries.0 {
            let zone = zones[number % zones.len()];
            let name = format!("entry-{}", number + 1);
            self.add_entry(&name, zone, &entries.1(number))?;
        }
        self.wait_ready(entries.0, limit).await
    }

    /// Rolls out the bundle as a new version with the real command line; returns the version and
    /// what the command line printed.
    ///
    /// # Errors
    ///
    /// Returns an error if a command fails.
    pub async fn rollout(&mut self) -> Result<(u64, String), Error> {
        self.rollout_to(&[]).await
    }

    /// Rolls out the bundle like [`Fleet::rollout`], and lets the command line wait until every
    /// entry has it in force.
    ///
    /// # Errors
    ///
    /// Returns an error if a command fails.
    pub async fn rollout_and_wait(&mut self) -> Result<(u64, String), Error> {
        let nodes: Vec<SocketAddr> = self.entries.iter().map(Entry::admin).collect();
        self.rollout_to(&nodes).await
    }

    async fn rollout_to(&mut self, nodes: &[SocketAddr]) -> Result<(u64, String), Error> {
        self.version += 1;
        let yaml = self.bundle.yaml(self.version);
        let text = self.operator.rollout(self.version, &yaml, nodes).await?;
        Ok((self.version, text))
    }

    /// Returns the front over the entries that are ready.
    pub fn front(&self) -> Front {
        self.front.clone()
    }

    /// Waits until the front uses `count` entries.
    ///
    /// # Errors
    ///
    /// Returns an error with the ends of the logs if that takes longer than `limit`.
    pub async fn wait_ready(&mut self, count: usize, limit: Duration) -> Result<(), Error> {
        let until = Instant::now() + limit;
        while self.front.addrs().len() != count {
            if Instant::now() >= until {
                let ready = self.front.addrs().len();
                let what = format!("readiness of {count} entries ({ready} are ready)");
                return Err(Error::Late(what, self.logs()));
            }
            tokio::time::sleep(HEALTH_INTERVAL / 5).await;
        }
        Ok(())
    }

    /// Waits until every running entry has a bundle version in force.
    ///
    /// # Errors
    ///
    /// Returns an error with the ends of the logs if that takes longer than `limit`.
    pub async fn wait_version(&mut self, version: u64, limit: Duration) -> Result<(), Error> {
        let until = Instant::now() + limit;
        loop {
            let mut missing = 0;
            for entry in &mut self.entries {
                if entry.process().is_some() && status_version(entry).await != Some(version) {
                    missing += 1;
                }
            }
            if missing == 0 {
                return Ok(());
            }
            if Instant::now() >= until {
                let what = format!("version {version} at every entry ({missing} lack it)");
                return Err(Error::Late(what, self.logs()));
            }
            tokio::time::sleep(HEALTH_INTERVAL / 5).await;
        }
    }

    /// Returns the targets of a zone.
    pub fn targets_in(&self, zone: &str) -> impl Iterator<Item = &FleetTarget> {
        self.targets.iter().filter(move |t| t.zone == zone)
    }

    /// Returns the ids of requests that ran more than once, with the number of runs.
    pub fn double_runs(&self) -> Vec<(String, usize)> {
        let mut runs = std::collections::HashMap::new();
        for target in &self.targets {
            for (id, list) in target.target.all_runs() {
                *runs.entry(id).or_insert(0) += list.len();
            }
        }
        runs.into_iter().filter(|(_, count)| *count > 1).collect()
    }

    /// Returns the ends of the logs of all entries, for error messages.
    pub fn logs(&self) -> String {
        let tails = self.entries.iter().map(|entry| {
            let log = entry.log();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_LINES)..];
            format!("--- {}\n{}", entry.name, tail.join("\n"))
        });
        tails.collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.health.abort();
    }
}

async fn status_version(entry: &Entry) -> Option<u64> {
    let (_, status) = entry.admin_get("/status").await.ok()?;
    let status: serde_json::Value = serde_json::from_str(&status).ok()?;
    status.get("version")?.as_u64()
}

/// Keeps the front on the entries that answer that they are ready.
async fn check_health(checked: Checked, front: Front) {
    let client = reqwest::Client::new();
    loop {
        let entries = checked
            .lock()
            .expect("no holder of the lock panics")
            .clone();
        let checks = entries.iter().map(|(listen, admin)| {
            let request = client
                .get(format!("http://{admin}/ready"))
                .timeout(HEALTH_INTERVAL * 5);
            async move {
                let answer = request.send().await;
                answer.is_ok_and(|a| a.status() == 200).then_some(*listen)
            }
        });
        let ready = futures_util::future::join_all(checks).await;
        front.set(ready.into_iter().flatten().collect());
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}
