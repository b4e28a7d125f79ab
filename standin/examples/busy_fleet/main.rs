//! Randomised test of many entry processes on a busy machine, beside a sound store.
//!
//!     busy_fleet --seed 1 --seeds 50 --seconds 15 --entries 12
//!
//! Relays between entries and targets delay, stall, cut in the middle of a response, reset, or write an
//! earlier response once more. Entries are stopped by SIGTERM in overlapping series, reloaded, killed,
//! restarted, and starved of processor time by short pauses. New bundles with further routes are written
//! all the while. Targets say that they leave, or for how long they want no requests. Callers wait for longer
//! than the timeout of the routes, and half of them keep their connections for as long as these stay open.
//! Others send an order on the connection of a download that has just ended, whose response may have begun
//! before a stop. One target sends bytes without end.
//!
//! Checks for each seed, from what callers and targets observed, see `checks.rs`. Exits with 1 if one fails,
//! and prints the seed.

mod callers;
mod checks;
mod long_work;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use callers::{Kind, Observations};
use lacewingmoor_bundle::{RawBundle, RawRoute};
use lacewingmoor_standin::fleet::{Fleet, ServiceSpec, ZONES, bundle};
use lacewingmoor_standin::relay::{NetworkFault, Relay};
use long_work::RawTargets;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Timeout of all routes but those of [`long_work`].
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the routes of orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of the routes of downloads.
const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Time from SIGTERM to SIGKILL, as in the settings of the entries.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time after the grace period by which a process that was stopped must have been reaped.
const REAP_SLACK: Duration = Duration::from_secs(2);

/// Time after which targets that decline requests want them again, as they write it.
const RETRY_AFTER_TEXT: &str = "1.5";

/// The same as a time.
pub const RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Memory that an entry may use for all but bodies: six tenths of that of the smallest VM.
const MEMORY_MAX_KB: u64 = 67_000;

/// Interval at which entries that are starved are paused or resumed.
const STARVE_TICK: Duration = Duration::from_millis(20);

/// Of so many ticks, an entry that is starved runs in one.
const STARVE_TICKS: u64 = 4;

/// Time after the last fault for which callers go on.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Randomised test of many entry processes on a busy machine.
#[derive(FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "15")]
    seconds: u64,
    /// number of entries
    #[argh(option, default = "12")]
    entries: usize,
    /// milliseconds between two requests of a caller
    #[argh(option, default = "25")]
    interval_ms: u64,
    /// directory to which the logs of the entries of broken seeds are copied
    #[argh(option)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if let Err(error) = raise_descriptor_limit() {
        eprintln!("the limit of open files stays as it is: {error}");
    }
    let mut failed_seeds = 0;
    for seed in args.seed..args.seed + args.seeds {
        match run(seed, &args).await {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(failure) => {
                failed_seeds += 1;
                println!("seed {seed}: BROKEN: {failure}");
            }
        }
    }
    println!("{} seeds, {failed_seeds} broken", args.seeds);
    ExitCode::from(u8::from(failed_seeds > 0))
}

/// Raises the limit of open files of this process as far as the system allows it: it has both ends of the
/// connections of all callers, relays and targets.
fn raise_descriptor_limit() -> std::io::Result<()> {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: both calls access nothing but `limit`.
    let result = unsafe {
        libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit);
        limit.rlim_cur = limit.rlim_max;
        libc::setrlimit(libc::RLIMIT_NOFILE, &limit)
    };
    match result {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

async fn run(seed: u64, args: &Args) -> Result<String, String> {
    let mut scenario = Scenario::start(seed, args.entries)
        .await
        .map_err(|e| e.to_string())?;
    let observations = Observations::default();
    let interval = Duration::from_millis(args.interval_ms);
    let callers = callers::spawn(&scenario.fleet, seed, interval, &observations);
    let ends_at = Instant::now() + Duration::from_secs(args.seconds);
    while Instant::now() < ends_at {
        scenario.step();
        scenario.change_notices();
        let pause = scenario.rng.random_range(50..500);
        scenario.run_for(Duration::from_millis(pause)).await;
    }
    scenario.end_faults();
    scenario.run_for(SETTLE_TIME).await;
    scenario.wait_restarted().await;
    for caller in callers {
        caller.abort();
    }
    let result = checks::check(&scenario, &observations.take());
    if let (Err(_), Some(dir)) = (&result, &args.logs) {
        scenario.copy_logs(dir, seed).map_err(|e| e.to_string())?;
    }
    result
}

/// Returns the timeout of the route of a request.
pub fn route_timeout(kind: Kind) -> Duration {
    match kind {
        Kind::Read | Kind::Write | Kind::Added(_) | Kind::Endless => ROUTE_TIMEOUT,
        Kind::Order => ORDER_TIMEOUT,
        Kind::Download => DOWNLOAD_TIMEOUT,
    }
}

/// What disturbs an entry, for the time-bounded checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// It was killed, starved, or started.
    Unplanned,
    /// It got SIGTERM.
    Stop,
}

/// A running fleet and what was done to it.
pub struct Scenario {
    /// Store, targets and entries.
    pub fleet: Fleet,
    /// Disturbances of each entry, in the order of their times.
    pub disturbed: Vec<Vec<(Disturbance, Instant)>>,
    /// When the store had taken each version of the bundle, starting with version 1.
    pub written_at: Vec<Instant>,
    /// What went wrong with processes.
    pub process_failures: Vec<String>,
    _raw_targets: RawTargets,
    relays: Vec<Relay>,
    rng: StdRng,
    /// Draws what targets say of themselves. The draws of `rng`, and so the faults of a seed, do not depend on
    /// it.
    notice_rng: StdRng,
    /// When each target, in the order of the fleet, registered as another process. Its stand-in goes on
    /// running.
    pub target_restarts: Vec<Vec<Instant>>,
    /// When the relay of each target got its last fault, and when that ended, for each of its faults.
    pub relay_faults: Vec<Vec<(Instant, Option<Instant>)>>,
    services: Vec<ServiceSpec>,
    /// Until when each entry is starved.
    starved_until: Vec<Option<Instant>>,
    /// When each entry that is to exit was signalled, and by which signal.
    stopping: Vec<Option<(i32, Instant)>>,
    ticks: u64,
}

impl Scenario {
    async fn start(seed: u64, entry_count: usize) -> std::io::Result<Self> {
        let service = ServiceSpec {
            targets_per_zone: 3,
            service_time: Duration::from_millis(15),
            response_bytes: 2000,
            ..ServiceSpec::small("lanes")
        };
        let binary = Fleet::entry_binary_of_example();
        let services = vec![
            service,
            long_work::orders(),
            long_work::downloads(),
            long_work::endless(),
        ];
        let mut fleet = Fleet::start(&binary, &services, 0).await?;
        let raw_targets = RawTargets::start(&fleet, seed).await?;
        let mut relays = Vec::new();
        let is_relayed = |service: &str| service == services[0].name;
        let relayed = fleet.targets.iter_mut();
        for target in relayed.filter(|target| is_relayed(&target.registration.service)) {
            let relay = Relay::start(target.standin.addr()).await?;
            target.registration.addr = relay.addr();
            fleet.store.put_target(&target.registration);
            relays.push(relay);
        }
        fleet
            .store
            .put_bundle(&bundle_with_added_routes(1, &services));
        for i in 0..entry_count {
            let (zone, _) = ZONES[i % ZONES.len()];
            fleet.add_entry(&format!("entry-{i}"), zone, fleet.store.addr())?;
        }
        fleet.wait_ready(Duration::from_secs(60)).await?;
        let now = Instant::now();
        let target_restarts = vec![Vec::new(); relays.len()];
        Ok(Self {
            fleet,
            disturbed: vec![Vec::new(); entry_count],
            written_at: vec![now],
            process_failures: Vec::new(),
            relay_faults: vec![Vec::new(); relays.len()],
            _raw_targets: raw_targets,
            relays,
            rng: StdRng::seed_from_u64(seed),
            notice_rng: StdRng::seed_from_u64(!seed),
            target_restarts,
            services,
            starved_until: vec![None; entry_count],
            stopping: vec![None; entry_count],
            ticks: 0,
        })
    }

    /// Takes a random step.
    fn step(&mut self) {
        let entry = self.rng.random_range(0..self.stopping.len());
        match self.rng.random_range(0..10) {
            0..4 => {
                let faults = [
                    NetworkFault::Stall,
                    NetworkFault::StallMidway,
                    NetworkFault::StallFromClient,
                    NetworkFault::LateCopies,
                    NetworkFault::Reset,
                    NetworkFault::Delay(Duration::from_millis(300)),
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                for _ in 0..self.rng.random_range(1..=self.relays.len() / 2) {
                    let relay = self.rng.random_range(0..self.relays.len());
                    self.relays[relay].set_fault(fault);
                    self.relay_faults[relay].push((Instant::now(), None));
                }
            }
            4 => self.end_relay_faults(),
            // A series of stops, which overlaps with earlier ones.
            5 => {
                for _ in 0..self.rng.random_range(1..4) {
                    let entry = self.rng.random_range(0..self.stopping.len());
                    self.stop(entry, libc::SIGTERM);
                }
            }
            6 => {
                let length = Duration::from_millis(self.rng.random_range(300..3000));
                self.starved_until[entry] = Some(Instant::now() + length);
                self.disturb(entry, Disturbance::Unplanned);
            }
            7 if self.rng.random_bool(0.3) => self.stop(entry, libc::SIGKILL),
            7 if self.fleet.entries[entry].handles_signal(libc::SIGHUP) => {
                self.fleet.entries[entry].signal(libc::SIGHUP);
            }
            7 => {}
            _ => {
                let version = self.written_at.len() as u64 + 1;
                let bundle = bundle_with_added_routes(version, &self.services);
                self.fleet.store.put_bundle(&bundle);
                self.written_at.push(Instant::now());
            }
        }
    }

    /// Makes a target say that it leaves, or that it wants no requests for a while, or ends that.
    fn change_notices(&mut self) {
        let target = self.notice_rng.random_range(0..self.relays.len());
        match self.notice_rng.random_range(0..6) {
            0 => self.fleet.targets[target].standin.set_leaving(true),
            // Only another process under the same id stops leaving.
            1 => {
                let target_state = &mut self.fleet.targets[target];
                target_state.standin.set_leaving(false);
                let started = &mut target_state.registration.started_unix_ms;
                *started = started.map(|at| at + 1000);
                self.fleet.store.put_target(&target_state.registration);
                self.target_restarts[target].push(Instant::now());
            }
            2 => self.fleet.targets[target]
                .standin
                .set_retry_after(&[RETRY_AFTER_TEXT]),
            3 => {
                for target in &self.fleet.targets {
                    target.standin.set_retry_after(&[]);
                }
            }
            _ => {}
        }
    }

    fn disturb(&mut self, entry: usize, disturbance: Disturbance) {
        self.disturbed[entry].push((disturbance, Instant::now()));
    }

    fn stop(&mut self, entry: usize, signal: i32) {
        if self.stopping[entry].is_some() {
            return;
        }
        let disturbance = match signal {
            libc::SIGTERM => Disturbance::Stop,
            _ => Disturbance::Unplanned,
        };
        self.disturb(entry, disturbance);
        self.fleet.entries[entry].signal(signal);
        self.stopping[entry] = Some((signal, Instant::now()));
    }

    /// Lets time pass, in which starved entries are paused and resumed and those that have exited are
    /// restarted.
    async fn run_for(&mut self, duration: Duration) {
        let ends_at = Instant::now() + duration;
        while Instant::now() < ends_at {
            self.ticks += 1;
            for entry in 0..self.stopping.len() {
                self.starve(entry);
                self.check_memory(entry);
                self.restart_if_exited(entry);
            }
            tokio::time::sleep(STARVE_TICK).await;
        }
    }

    /// Guards against bytes of a target that fill the memory of an entry.
    fn check_memory(&mut self, entry: usize) {
        let peak_kb = self.fleet.entries[entry].peak_memory_kb();
        if let Some(peak_kb) = peak_kb.filter(|peak_kb| *peak_kb > MEMORY_MAX_KB) {
            self.process_failures
                .push(format!("entry {entry} had {peak_kb} KB of memory"));
        }
    }

    fn starve(&mut self, entry: usize) {
        let Some(until) = self.starved_until[entry] else {
            return;
        };
        let is_over = Instant::now() >= until;
        let signal = match is_over || self.ticks.is_multiple_of(STARVE_TICKS) {
            true => libc::SIGCONT,
            false => libc::SIGSTOP,
        };
        self.fleet.entries[entry].signal(signal);
        if is_over {
            self.starved_until[entry] = None;
            self.disturb(entry, Disturbance::Unplanned);
        }
    }

    fn restart_if_exited(&mut self, entry: usize) {
        if self.fleet.entries[entry].has_exited() {
            if self.stopping[entry].is_none() {
                self.process_failures
                    .push(format!("entry {entry} ended by itself"));
            }
            self.starved_until[entry] = None;
            self.stopping[entry] = None;
            if let Err(error) = self.fleet.entries[entry].restart() {
                self.process_failures
                    .push(format!("entry {entry} does not start: {error}"));
            }
            self.disturb(entry, Disturbance::Unplanned);
            return;
        }
        let Some((libc::SIGTERM, at)) = self.stopping[entry] else {
            return;
        };
        if at.elapsed() < GRACE {
            return;
        }
        if self.starved_until[entry].is_none() && at.elapsed() < GRACE + REAP_SLACK {
            self.process_failures
                .push(format!("entry {entry} did not exit in its grace period"));
        }
        self.stopping[entry] = Some((libc::SIGKILL, at));
        self.fleet.entries[entry].signal(libc::SIGKILL);
    }

    fn end_relay_faults(&mut self) {
        let now = Instant::now();
        for (relay, faults) in self.relays.iter().zip(&mut self.relay_faults) {
            relay.set_fault(NetworkFault::None);
            for (_, ended_at) in faults.iter_mut().filter(|(_, ended_at)| ended_at.is_none()) {
                *ended_at = Some(now);
            }
        }
    }

    fn end_faults(&mut self) {
        self.end_relay_faults();
        for until in self.starved_until.iter_mut().flatten() {
            *until = Instant::now();
        }
    }

    async fn wait_restarted(&mut self) {
        let deadline = Instant::now() + GRACE + REAP_SLACK;
        while self.stopping.iter().any(Option::is_some) && Instant::now() < deadline {
            self.run_for(STARVE_TICK).await;
        }
    }

    fn copy_logs(&self, dir: &std::path::Path, seed: u64) -> std::io::Result<()> {
        std::fs::create_dir_all(dir)?;
        for (i, entry) in self.fleet.entries.iter().enumerate() {
            std::fs::copy(&entry.log_path, dir.join(format!("{seed}-entry-{i}.log")))?;
        }
        Ok(())
    }
}

/// Returns a bundle in which each version adds the route `/added/<version>/`.
fn bundle_with_added_routes(version: u64, services: &[ServiceSpec]) -> RawBundle {
    let mut bundle = bundle(version, services);
    let read = bundle.routes[0].clone();
    let added = (1..=version).map(|added| RawRoute {
        name: format!("added-{added}"),
        path_prefix: format!("/added/{added}/"),
        ..read.clone()
    });
    bundle.routes.extend(added);
    let (orders, downloads) = (long_work::orders().name, long_work::downloads().name);
    for route in &mut bundle.routes {
        let service = route.destinations[0].service.as_str();
        let timeout = match service {
            _ if service == orders => ORDER_TIMEOUT,
            _ if service == downloads => DOWNLOAD_TIMEOUT,
            _ => ROUTE_TIMEOUT,
        };
        route.timeout_ms = timeout.as_millis() as u64;
    }
    bundle
}
