//! Randomised fault test of entry processes.
//!
//!     soak --seed 1 --seeds 50 --seconds 12 --entries 6
//!
//! Relays delay, stall (both directions or one) or reset the entries' connections to the store.
//! Entries are stopped by SIGTERM, paused, killed, reloaded and restarted. Targets fail in every
//! way of their stand-in and report themselves unhealthy at random, and some name limits on their
//! rate. The store delays, rejects or drops calls, hangs, loses responses, drops its history, and is
//! restored from older copies of its contents, after which operators and targets write again what was
//! lost. New bundles are written, and zones are taken out of service and returned to service. Half of the
//! callers keep their connections for as long as these stay open.
//!
//! Checks for each seed that
//!
//! - a run-once request runs at most once, and only in its home region;
//! - a success response is signed, complete and belongs to its request;
//! - a response with status 503 means that a run-once request was not run, and has `Retry-After`;
//! - targets are not probed above the limit;
//! - targets get no more than the limit that they name from entries that were told, apart from those that
//!   were stopped, paused or killed shortly before;
//! - no entry panics, or exits without having been stopped by SIGTERM or killed;
//! - all entries recover after the last fault.
//!
//! Exits with 1 if a check fails, and prints the seed.

use std::collections::{HashMap, HashSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use argh::FromArgs;
use bytes::Bytes;
use http::{Method, StatusCode};
use lacewingmoor_standin::caller::{CallerRequest, KeptConnection, RequestResult, send_request};
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec, ZONES, bundle};
use lacewingmoor_standin::relay::{NetworkFault, Relay};
use lacewingmoor_standin::store::StoreCopy;
use lacewingmoor_standin::target::LimitScope;
use lacewingmoor_standin::{store, target};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Home region of the route for requests that may run only once.
const HOME_REGION: &str = "north";

/// Probes per second that a target may receive from all entries together, as in their settings.
const PROBES_PER_S: u64 = 60;

/// Seconds of probes at the allowed rate that entries may have saved up, in each of their
/// processes.
const PROBE_SLACK_S: u64 = 10;

/// Number of log lines that are printed for an entry that did not recover.
const LOG_TAIL_LINES: usize = 25;

/// Interval at which a caller sends requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// Limit that the limited target names, in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Length of the windows in which requests to the limited target are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after the first response to an entry that names the limit from which on the entry must keep to
/// it.
const LIMIT_GRACE: Duration = Duration::from_millis(500);

/// Time after the limit was first named from which on it is checked, and after a fault of an entry until
/// which its requests are not counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Share of the steps in which the store is also copied or restored.
const COPY_OR_RESTORE_SHARE: f64 = 0.2;

/// Copies of the store's contents that are kept to restore it from.
const STORE_COPIES_MAX: usize = 4;

/// Time after the last fault within which every entry must be ready with the newest bundle.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Randomised fault test of entry processes.
#[derive(FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "10")]
    seconds: u64,
    /// number of entries
    #[argh(option, default = "6")]
    entries: usize,
    /// directory to which the logs of the entries of broken seeds are copied
    #[argh(option)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut failed_seeds = 0;
    for seed in args.seed..args.seed + args.seeds {
        let result = run(
            seed,
            Duration::from_secs(args.seconds),
            args.entries,
            args.logs.as_deref(),
        )
        .await;
        match result {
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

/// What the callers observed of one request.
#[derive(Clone, Debug)]
struct Observed {
    run_once: bool,
    results: Vec<RequestResult>,
}

type Observations = Arc<Mutex<HashMap<String, Observed>>>;

fn lock(observations: &Observations) -> std::sync::MutexGuard<'_, HashMap<String, Observed>> {
    observations
        .lock()
        .expect("no thread panics while it holds the lock")
}

async fn run(
    seed: u64,
    duration: Duration,
    entry_count: usize,
    logs_dir: Option<&Path>,
) -> Result<String, String> {
    let service = ServiceSpec {
        targets_per_zone: 2,
        service_time: Duration::from_millis(10),
        response_bytes: 2000,
        ..ServiceSpec::small("lanes")
    };
    let mut soak = Soak::start(seed, service, entry_count)
        .await
        .map_err(|e| e.to_string())?;
    let observations = Observations::default();
    let caller_addrs: Vec<_> = soak.fleet.entries.iter().map(|e| e.caller_addr).collect();
    let callers: Vec<_> = caller_addrs
        .into_iter()
        .enumerate()
        .map(|(i, addr)| {
            let observations = observations.clone();
            tokio::spawn(async move {
                match i % 2 {
                    0 => run_caller(seed, i, addr, observations).await,
                    _ => run_caller_with_kept_connection(seed, i, addr, observations).await,
                }
            })
        })
        .collect();
    let started = Instant::now();
    while started.elapsed() < duration {
        soak.inject_fault();
        let pause = soak.rng.random_range(50..600);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        soak.restart_entries();
    }
    soak.clear_faults();
    let recovered = soak.wait_recovered().await;
    for caller in callers {
        caller.abort();
    }
    let checked = check(&soak, &lock(&observations), started.elapsed(), recovered);
    if checked.is_err()
        && let Some(dir) = logs_dir
    {
        soak.copy_logs(dir, seed).map_err(|e| e.to_string())?;
    }
    checked?;
    let count = lock(&observations).len();
    Ok(format!("{count} requests, {} faults", soak.faults))
}

/// Checks what callers and targets observed, and the entries themselves.
fn check(
    soak: &Soak,
    observations: &HashMap<String, Observed>,
    duration: Duration,
    recovered: Result<(), String>,
) -> Result<(), String> {
    check_responses(observations, &soak.fleet)?;
    check_targets(observations, &soak.fleet, duration)?;
    check_limit(soak)?;
    if let Some(log) = soak.panic_line() {
        return Err(log);
    }
    recovered?;
    match soak.unexpected_exits.is_empty() {
        true => Ok(()),
        false => Err(format!(
            "entries {:?} exited unexpectedly",
            soak.unexpected_exits
        )),
    }
}

/// Checks the responses that callers received against the requests that targets ran. Guards against
/// repeated runs of run-once requests, invalid success responses, 503 responses to run-once requests
/// that ran, and 503 responses that lack `Retry-After`.
fn check_responses(observations: &HashMap<String, Observed>, fleet: &Fleet) -> Result<(), String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for target in &fleet.targets {
        for run in target.standin.runs() {
            *runs.entry(run.request_id).or_default() += 1;
        }
    }
    for (id, observed) in observations {
        let count = runs.get(id).copied().unwrap_or(0);
        if observed.run_once && count > 1 {
            return Err(format!(
                "request {id} may run only once but ran {count} times"
            ));
        }
        for result in &observed.results {
            let RequestResult::Response(response) = result else {
                continue;
            };
            if response.status == StatusCode::OK
                && (!response.signed || !response.id_matches || response.body_bytes != 2000)
            {
                return Err(format!(
                    "request {id} got a success response that is not valid for it: {response:?}"
                ));
            }
            let refused = response.status == StatusCode::SERVICE_UNAVAILABLE;
            if observed.run_once && refused && count > 0 {
                return Err(format!("request {id} was refused as not run but ran"));
            }
            if refused && response.retry_after.is_none() {
                return Err(format!(
                    "request {id} was refused without a Retry-After header"
                ));
            }
        }
    }
    Ok(())
}

/// Checks the requests and probes that targets received. Guards against runs of run-once requests
/// in other regions than their home region, and against too many probes of all targets together.
fn check_targets(
    observations: &HashMap<String, Observed>,
    fleet: &Fleet,
    duration: Duration,
) -> Result<(), String> {
    for target in &fleet.targets {
        let id = &target.registration.id;
        let is_run_once = |id: &String| {
            observations
                .get(id)
                .is_some_and(|observed| observed.run_once)
        };
        let runs = target.standin.runs();
        let run_once = runs.iter().find(|run| is_run_once(&run.request_id));
        if let Some(run) = run_once.filter(|_| &*target.registration.region != HOME_REGION) {
            return Err(format!(
                "request {} ran on {id} outside its home region",
                run.request_id
            ));
        }
    }
    // The probes of all targets are summed because entries share one probe budget per service: the
    // rate of one target times the number of targets.
    let probes: u64 = fleet.targets.iter().map(|t| t.standin.probe_count()).sum();
    let seconds = duration.as_secs() + PROBE_SLACK_S;
    let allowed = PROBES_PER_S * seconds * fleet.targets.len() as u64;
    if probes > allowed {
        return Err(format!(
            "targets were probed {probes} times, {allowed} allowed"
        ));
    }
    Ok(())
}

/// Checks the requests that the limited target received from entries that it had told its limit. Guards
/// against a sum over all entries that is above the limit.
fn check_limit(soak: &Soak) -> Result<(), String> {
    let target = &soak.fleet.targets[soak.limited_target];
    let entry_of = |id: &str| {
        let entry = id.split('-').nth(1).and_then(|part| part.parse().ok());
        entry.ok_or("request ids name the entry")
    };
    let mut told: HashMap<usize, Vec<Instant>> = HashMap::new();
    for (id, at) in target.standin.limit_told() {
        told.entry(entry_of(&id)?).or_default().push(at);
    }
    let mut first_told_at: Option<Instant> = None;
    let mut counted: Vec<Instant> = Vec::new();
    for run in target.standin.runs() {
        let at = run.arrived_at;
        let entry = entry_of(&run.request_id)?;
        let faults = soak.disturbed_at[entry]
            .iter()
            .filter(|fault| **fault <= at);
        let last_fault = faults.max().copied();
        if last_fault.is_some_and(|fault| at < fault + CONTACT_TIME) {
            continue;
        }
        // It may have been restarted and know nothing of what it was told before.
        let times = told.get(&entry).into_iter().flatten().copied();
        let since_fault = times.filter(|told| last_fault.is_none_or(|fault| *told > fault));
        let Some(told_at) = since_fault.min().filter(|told_at| *told_at <= at) else {
            continue;
        };
        first_told_at = Some(first_told_at.map_or(told_at, |first| first.min(told_at)));
        if at >= told_at + LIMIT_GRACE {
            counted.push(at);
        }
    }
    let Some(from) = first_told_at.map(|at| at + CONTACT_TIME) else {
        return Ok(());
    };
    let allowed = 1.5 * LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + 5.0;
    for (i, start) in counted.iter().enumerate().filter(|(_, at)| **at >= from) {
        let in_window = counted[i..]
            .iter()
            .take_while(|at| **at < *start + LIMIT_WINDOW);
        let count = in_window.count();
        if count as f64 > allowed {
            return Err(format!(
                "{} got {count} requests in {LIMIT_WINDOW:?}, {allowed} allowed",
                target.registration.id
            ));
        }
    }
    Ok(())
}

/// Returns the `i`th request of a caller, and whether it may run only once.
fn request(seed: u64, caller: usize, i: usize) -> (CallerRequest, bool) {
    let run_once = i.is_multiple_of(3);
    let (method, path, body) = match run_once {
        true => (Method::POST, "/lanes/write/1", Bytes::from_static(b"x")),
        false => (Method::GET, "/lanes/read/1", Bytes::new()),
    };
    let request = CallerRequest {
        id: format!("{seed}-{caller}-{i}"),
        method,
        host: HOST.into(),
        path: path.into(),
        body,
        timeout: Duration::from_secs(2),
        key: None,
    };
    (request, run_once)
}

fn record(observations: &Observations, id: String, run_once: bool, result: RequestResult) {
    let mut observations = lock(observations);
    let results = Vec::new();
    let observed = observations
        .entry(id)
        .or_insert(Observed { run_once, results });
    observed.results.push(result);
}

/// Sends requests at a fixed interval, each on a connection of its own.
async fn run_caller(
    seed: u64,
    caller: usize,
    addr: std::net::SocketAddr,
    observations: Observations,
) {
    for i in 0.. {
        let (request, run_once) = request(seed, caller, i);
        let observations = observations.clone();
        tokio::spawn(async move {
            let result = send_request(addr, &request).await;
            record(&observations, request.id, run_once, result);
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Sends one request after the other on a connection, which is kept until it closes or a response asks to
/// close it.
async fn run_caller_with_kept_connection(
    seed: u64,
    caller: usize,
    addr: std::net::SocketAddr,
    observations: Observations,
) {
    let mut connection = None;
    for i in 0.. {
        if connection.is_none() {
            connection = KeptConnection::open(addr).await;
        }
        if let Some(open) = &mut connection {
            let (request, run_once) = request(seed, caller, i);
            let result = open.send(&request).await;
            let stays_open =
                matches!(&result, RequestResult::Response(response) if !response.closes_connection);
            record(&observations, request.id, run_once, result);
            if !stays_open {
                connection = None;
            }
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

struct Soak {
    fleet: Fleet,
    relays: Vec<Relay>,
    rng: StdRng,
    /// Draws copies and restores of the store and the limited target. The draws of `rng`, and so the faults
    /// of a seed, do not depend on it.
    store_rng: StdRng,
    version: u64,
    service: ServiceSpec,
    /// Entries that were stopped by SIGTERM or killed, or exited unexpectedly, and are not yet
    /// restarted.
    down: Vec<usize>,
    /// Entries that exited without being stopped by SIGTERM or killed.
    unexpected_exits: Vec<usize>,
    faults: u64,
    /// Index of the target that names a limit.
    limited_target: usize,
    /// Times at which each entry was stopped, paused, killed, resumed or restarted.
    disturbed_at: Vec<Vec<Instant>>,
    paused: HashSet<usize>,
    store_copies: Vec<StoreCopy>,
    zones_out: HashSet<&'static str>,
}

impl Soak {
    async fn start(seed: u64, service: ServiceSpec, entry_count: usize) -> std::io::Result<Self> {
        let mut fleet = Fleet::start(
            &Fleet::entry_binary_of_example(),
            std::slice::from_ref(&service),
            0,
        )
        .await?;
        let mut relays = Vec::new();
        for i in 0..entry_count {
            let relay = Relay::start(fleet.store.addr()).await?;
            let (zone, _) = ZONES[i % ZONES.len()];
            fleet.add_entry(&format!("entry-{i}"), zone, relay.addr())?;
            relays.push(relay);
        }
        fleet.wait_ready(Duration::from_secs(30)).await?;
        let rng = StdRng::seed_from_u64(seed);
        let mut store_rng = StdRng::seed_from_u64(!seed);
        let limited_target = store_rng.random_range(0..fleet.targets.len());
        let scope = match store_rng.random_bool(0.5) {
            true => LimitScope::AllResponses,
            false => LimitScope::Requests,
        };
        let limit = LIMIT_PER_S.to_string();
        let target = &fleet.targets[limited_target];
        target.standin.set_limit(Some((&limit, scope)));
        Ok(Self {
            fleet,
            relays,
            limited_target,
            disturbed_at: vec![Vec::new(); entry_count],
            paused: HashSet::new(),
            store_copies: Vec::new(),
            zones_out: HashSet::new(),
            rng,
            store_rng,
            version: 1,
            service,
            down: Vec::new(),
            unexpected_exits: Vec::new(),
            faults: 0,
        })
    }

    /// Takes a random step, which is counted as a fault. It may also clear the faults of the
    /// network, of a target or of the store, write a bundle, return a zone to service, or do nothing.
    fn inject_fault(&mut self) {
        self.faults += 1;
        let entry = self.rng.random_range(0..self.relays.len());
        match self.rng.random_range(0..12) {
            0 => self.relays[entry].set_fault(NetworkFault::Stall),
            1 => self.relays[entry].set_fault(NetworkFault::StallFromClient),
            2 => self.relays[entry].set_fault(NetworkFault::Reset),
            3 => self.relays[entry].set_fault(NetworkFault::Delay(Duration::from_millis(150))),
            4 => self
                .relays
                .iter()
                .for_each(|relay| relay.set_fault(NetworkFault::None)),
            5 => self.signal(entry, libc::SIGKILL),
            6 => self.signal(entry, libc::SIGTERM),
            7 if self.rng.random_bool(0.5) => {
                self.paused.insert(entry);
                self.disturbed_at[entry].push(Instant::now());
                self.fleet.entries[entry].signal(libc::SIGSTOP);
            }
            // SIGHUP kills a process that has not installed its handler yet.
            7 if self.fleet.entries[entry].handles_signal(libc::SIGHUP) => {
                self.fleet.entries[entry].signal(libc::SIGHUP);
            }
            7 => {}
            8 => self.inject_target_fault(),
            9 => self.inject_store_fault(),
            10 => {
                self.version += 1;
                let new_bundle = bundle(self.version, std::slice::from_ref(&self.service));
                self.fleet.store.put_bundle(&new_bundle);
            }
            _ => {
                let (zone, _) = ZONES[self.rng.random_range(0..ZONES.len())];
                match self.rng.random_bool(0.5) {
                    true => self.zones_out.insert(zone),
                    false => self.zones_out.remove(zone),
                };
                self.write_zone(zone);
            }
        }
        if self.store_rng.random_bool(COPY_OR_RESTORE_SHARE) {
            self.copy_or_restore_store();
        }
    }

    fn write_zone(&self, zone: &str) {
        let out = self.zones_out.contains(zone);
        self.fleet.store.set_zone_out_of_service(zone, out);
    }

    /// Keeps a copy of the store's contents, or restores the store from an earlier one. Operators and
    /// targets then write again what was lost.
    fn copy_or_restore_store(&mut self) {
        if self.store_copies.is_empty() || self.store_rng.random_bool(0.5) {
            self.store_copies.push(self.fleet.store.copy());
            if self.store_copies.len() > STORE_COPIES_MAX {
                self.store_copies.remove(0);
            }
            return;
        }
        let copy = self.store_rng.random_range(0..self.store_copies.len());
        self.fleet.store.restore(&self.store_copies[copy]);
        let bundle = bundle(self.version, std::slice::from_ref(&self.service));
        self.fleet.store.put_bundle(&bundle);
        for (zone, _) in ZONES {
            self.write_zone(zone);
        }
        for target in &self.fleet.targets {
            self.fleet.store.put_target(&target.registration);
        }
    }

    fn signal(&mut self, entry: usize, signal: i32) {
        self.disturbed_at[entry].push(Instant::now());
        if !self.down.contains(&entry) {
            self.fleet.entries[entry].signal(signal);
            self.down.push(entry);
        }
    }

    fn inject_target_fault(&mut self) {
        let faults = [
            target::TargetFault::None,
            target::TargetFault::LoseResponses,
            target::TargetFault::Reject,
            target::TargetFault::InternalError,
            target::TargetFault::Unavailable,
            target::TargetFault::Unsigned,
            target::TargetFault::WrongId,
            target::TargetFault::Hang,
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        let target = self.rng.random_range(0..self.fleet.targets.len());
        let target = &self.fleet.targets[target];
        target.standin.set_fault(fault);
        target.standin.set_healthy(self.rng.random_bool(0.8));
    }

    fn inject_store_fault(&mut self) {
        let faults = [
            store::StoreFault::None,
            store::StoreFault::Reset,
            store::StoreFault::Hang,
            store::StoreFault::TooManyRequests,
            store::StoreFault::LoseResponses,
            store::StoreFault::Delay(Duration::from_millis(200)),
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.fleet.store.set_fault(fault);
        if self.rng.random_bool(0.3) {
            self.fleet.store.compact();
        }
    }

    /// Records entries that exited unexpectedly, and restarts all that have exited. Resumes those
    /// that were sent SIGTERM, since a paused process does not handle it, and with a probability of
    /// one half all other paused ones at once.
    fn restart_entries(&mut self) {
        for entry in 0..self.relays.len() {
            if !self.down.contains(&entry) && self.fleet.entries[entry].has_exited() {
                self.unexpected_exits.push(entry);
                self.down.push(entry);
            }
        }
        let down = std::mem::take(&mut self.down);
        for entry in down {
            let process = &mut self.fleet.entries[entry];
            // One that exited unexpectedly has been reaped; its id may belong to another process.
            // SIGCONT only resumes a stopped process.
            process.signal(libc::SIGCONT);
            if process.has_exited() {
                // An entry that cannot be started is reported as not recovered.
                let _ = process.restart();
                self.disturbed_at[entry].push(Instant::now());
            } else {
                self.down.push(entry);
            }
        }
        if self.rng.random_bool(0.5) {
            self.resume_paused();
        }
    }

    fn resume_paused(&mut self) {
        for entry in self.paused.drain() {
            self.fleet.entries[entry].signal(libc::SIGCONT);
            self.disturbed_at[entry].push(Instant::now());
        }
    }

    fn clear_faults(&mut self) {
        self.relays
            .iter()
            .for_each(|relay| relay.set_fault(NetworkFault::None));
        self.fleet.store.set_fault(store::StoreFault::None);
        self.zones_out.clear();
        for (zone, _) in ZONES {
            self.write_zone(zone);
        }
        for target in &self.fleet.targets {
            target.standin.set_fault(target::TargetFault::None);
            target.standin.set_healthy(true);
        }
    }

    /// Waits until every entry is ready with the newest bundle.
    async fn wait_recovered(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        self.resume_paused();
        loop {
            self.restart_entries();
            let mut unrecovered = Vec::new();
            for (i, entry) in self.fleet.entries.iter().enumerate() {
                entry.signal(libc::SIGCONT);
                let status = lacewingmoor_standin::fleet::get(entry.metrics_addr, "/status").await;
                let newest = format!("\"bundle_version\":{}", self.version);
                let recovered = status.is_some_and(|(_, text)| {
                    text.contains(&newest) && text.contains("\"ready\":true")
                });
                if !recovered {
                    unrecovered.push(i);
                }
            }
            if unrecovered.is_empty() && self.down.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(self.describe(&unrecovered).await);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Describes the entries that did not recover by their status pages and the ends of their logs,
    /// without the lines about requests.
    async fn describe(&self, unrecovered: &[usize]) -> String {
        let mut text = format!(
            "entries {unrecovered:?} did not recover, newest version {}, down {:?}",
            self.version, self.down
        );
        for i in unrecovered {
            let entry = &self.fleet.entries[*i];
            let status = lacewingmoor_standin::fleet::get(entry.metrics_addr, "/status").await;
            text.push_str(&format!("\n{status:?}"));
            let log = entry.log_text();
            let lines = log.lines().filter(|line| !line.contains("request="));
            let mut tail: Vec<&str> = lines.collect();
            let tail = tail.split_off(tail.len().saturating_sub(LOG_TAIL_LINES));
            text.push_str(&format!("\n{}", tail.join("\n")));
        }
        text
    }

    fn copy_logs(&self, dir: &Path, seed: u64) -> std::io::Result<()> {
        std::fs::create_dir_all(dir)?;
        for (i, entry) in self.fleet.entries.iter().enumerate() {
            let path = dir.join(format!("{seed}-entry-{i}.log"));
            std::fs::copy(&entry.log_path, path)?;
        }
        Ok(())
    }

    fn panic_line(&self) -> Option<String> {
        let logs = self.fleet.entries.iter().map(|entry| entry.log_text());
        let mut lines = logs.filter_map(|log| {
            let line = log.lines().find(|line| line.contains("panicked"));
            line.map(ToOwned::to_owned)
        });
        lines.next()
    }
}
