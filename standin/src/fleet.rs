//! A fleet on loopback: a store, targets and entries.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lacewingmoor_bundle::{
    Field, RawBundle, RawDestination, RawLimits, RawRepeat, RawRoute, RawService,
};
use lacewingmoor_control::model::Target;

use crate::entry::{EntryProcess, EntrySettings};
use crate::store::StoreStandin;
use crate::target::{HEALTH_PATH, TargetSettings, TargetStandin};

/// Host of the routes in the bundle.
pub const HOST: &str = "pool.example";

/// Zones of the fleet with their regions.
pub const ZONES: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];

/// A running target and its registration.
pub struct FleetTarget {
    /// The running target.
    pub standin: TargetStandin,
    /// Content of its registration as first written.
    pub registration: Target,
}

/// A running fleet.
pub struct Fleet {
    /// The store.
    pub store: StoreStandin,
    /// Targets, in the order in which they were started.
    pub targets: Vec<FleetTarget>,
    /// Entries, in the order in which they were started.
    pub entries: Vec<EntryProcess>,
    binary: PathBuf,
    dir: tempfile::TempDir,
}

/// A service and the properties of its targets.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets in each zone.
    pub targets_per_zone: usize,
    /// Number of requests that a target can run concurrently.
    pub slots: u32,
    /// Time that a target takes to run a request.
    pub service_time: Duration,
    /// True if targets report their load.
    pub reports_load: bool,
    /// Size of a response body in bytes.
    pub response_bytes: usize,
}

impl ServiceSpec {
    /// Returns a service with one target per zone, short requests and small responses.
    pub fn small(name: &'static str) -> Self {
        Self {
            name,
            targets_per_zone: 1,
            slots: 4,
            service_time: Duration::from_millis(5),
            reports_load: true,
            response_bytes: 200,
        }
    }
}

impl Fleet {
    /// Starts a store, the targets of `services` and `entry_count` entries, which are assigned to
    /// the zones in turn. Writes the bundle and the registrations of the targets.
    ///
    /// # Errors
    ///
    /// Returns an error if the store, a target or an entry cannot be started.
    pub async fn start(
        binary: &Path,
        services: &[ServiceSpec],
        entry_count: usize,
    ) -> io::Result<Self> {
        let dir = tempfile::tempdir()?;
        let store = StoreStandin::start(loopback()).await?;
        store.put_bundle(&bundle(1, services));
        let mut fleet = Self {
            store,
            targets: Vec::new(),
            entries: Vec::new(),
            binary: binary.to_owned(),
            dir,
        };
        for service in services {
            for (zone, region) in ZONES {
                for i in 0..service.targets_per_zone {
                    let id = format!("{}-{zone}-{i}", service.name);
                    fleet.add_target(service, &id, zone, region).await?;
                }
            }
        }
        for i in 0..entry_count {
            let (zone, _) = ZONES[i % ZONES.len()];
            fleet.add_entry(&format!("entry-{i}"), zone, fleet.store.addr())?;
        }
        Ok(fleet)
    }

    /// Returns the path of the entry's binary for a program among the examples: in the directory above
    /// theirs.
    ///
    /// # Panics
    ///
    /// Panics if the program has no path.
    pub fn entry_binary_of_example() -> PathBuf {
        let own = std::env::current_exe().expect("a running program has a path");
        let dir = own.parent().and_then(Path::parent);
        dir.expect("examples are built into a directory")
            .join("lacewingmoord")
    }

    /// Starts a target and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub async fn add_target(
        &mut self,
        service: &ServiceSpec,
        id: &str,
        zone: &str,
        region: &str,
    ) -> io::Result<()> {
        self.add_target_of_version(service, id, (zone, region), "v1")
            .await
    }

    /// Starts a target of a version and registers it. `zone` is its zone with its region.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub async fn add_target_of_version(
        &mut self,
        service: &ServiceSpec,
        id: &str,
        (zone, region): (&str, &str),
        version: &str,
    ) -> io::Result<()> {
        let settings = TargetSettings {
            id: id.to_owned(),
            slots: service.slots,
            service_time: service.service_time,
            reports_load: service.reports_load,
            response_bytes: service.response_bytes,
        };
        let standin = TargetStandin::start(loopback(), settings).await?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let registration = Target {
            id: Rc::from(id),
            service: service.name.to_owned(),
            addr: standin.addr(),
            zone: Rc::from(zone),
            region: Rc::from(region),
            version: Rc::from(version),
            slots: service.slots,
            draining: false,
            warmup_left: Duration::ZERO,
            started_unix_ms: started.ok().map(|time| time.as_millis() as u64),
            sequence: Some(1),
        };
        self.store.put_target(&registration);
        self.targets.push(FleetTarget {
            standin,
            registration,
        });
        Ok(())
    }

    /// Starts an entry that calls the store at `store_addr`, with the first two entries as seeds.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn add_entry(&mut self, name: &str, zone: &str, store_addr: SocketAddr) -> io::Result<()> {
        let seeds = self.entries.iter().take(2).map(|e| e.peer_addr).collect();
        self.start_entry(name, zone, store_addr, seeds)
    }

    /// Starts an entry with the given seeds.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn add_entry_with_seeds(
        &mut self,
        name: &str,
        zone: &str,
        seeds: Vec<SocketAddr>,
    ) -> io::Result<()> {
        self.start_entry(name, zone, self.store.addr(), seeds)
    }

    /// Starts an entry that calls the store at `store_addr`, with the given seeds.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn start_entry(
        &mut self,
        name: &str,
        zone: &str,
        store_addr: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> io::Result<()> {
        let regions = ZONES.iter();
        let settings = EntrySettings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            regions: regions
                .map(|(z, r)| ((*z).to_owned(), (*r).to_owned()))
                .collect(),
            dialect: "platform",
            store_addr,
            seeds,
            // As in `platform::template::sample_fields`.
            grace: Duration::from_secs(6),
        };
        let entry = EntryProcess::start(&self.binary, self.dir.path(), &settings)?;
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until the readiness check of every entry succeeds.
    ///
    /// # Errors
    ///
    /// Returns the log of an entry that is not ready after `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        for entry in &self.entries {
            while get_status(entry.ready_addr, lacewingmoor_platform::READY_PATH).await != Some(200)
            {
                if Instant::now() > deadline {
                    return Err(io::Error::other(entry.log_text()));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends a GET request and returns the status code; `None` if there is no complete response.
pub async fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    get(addr, path).await.map(|(status, _)| status)
}

/// Sends a GET request and returns status code and body; `None` if there is no complete response.
pub async fn get(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    use http_body_util::BodyExt as _;
    let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    let request = http::Request::get(path)
        .header(http::header::HOST, addr.to_string())
        .body(http_body_util::Empty::<bytes::Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns a bundle with two routes per service: `/<name>/read/` for idempotent requests, and
/// `/<name>/write/` for requests that may run only once, with `north` as home region.
pub fn bundle(version: u64, services: &[ServiceSpec]) -> RawBundle {
    let route = |service: &ServiceSpec, repeat| {
        let (verb, regions) = match repeat {
            RawRepeat::Idempotent => ("read", Vec::new()),
            RawRepeat::Once => ("write", vec!["north".to_owned()]),
        };
        RawRoute {
            name: format!("{}-{verb}", service.name),
            host: HOST.to_owned(),
            path_prefix: format!("/{}/{verb}/", service.name),
            repeat,
            timeout_ms: 2000,
            objective_ms: 400,
            attempts_max: 2,
            priority: 1,
            public: false,
            destinations: vec![RawDestination {
                service: service.name.to_owned(),
                weight: 1,
            }],
            home_regions: regions,
        }
    };
    let raw_services = services.iter().map(|service| RawService {
        name: service.name.to_owned(),
        health_path: HEALTH_PATH.to_owned(),
        connections_max: 200,
        warmup_ms: 3000,
        warmup_per_s: 7.0,
    });
    let reads = services
        .iter()
        .map(|service| route(service, RawRepeat::Idempotent));
    let writes = services
        .iter()
        .map(|service| route(service, RawRepeat::Once));
    RawBundle {
        version,
        services: raw_services.collect(),
        routes: reads.chain(writes).collect(),
        workspaces: Field::Absent,
        limits: RawLimits {
            head_bytes_max: 16 * 1024,
            body_bytes_max: 1 << 20,
            head_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    }
}
