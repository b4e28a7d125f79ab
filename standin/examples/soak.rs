//! Randomised faults against real processes, with the promises to callers checked meanwhile.
//!
//!     soak --seed 1 --seeds 50 --seconds 12
//!
//! Entries run as processes behind relays that delay, silence, cut one way or reset their
//! connections to the store; they are stopped, frozen, killed and started again; targets fail in
//! every way of the stand-in; the store pauses, refuses, loses answers and forgets its history;
//! bundles, zones and targets change. Exits with 1 if a promise was broken and prints the seed.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use argh::FromArgs;
use bytes::Bytes;
use http::{Method, StatusCode};
use lacewingmoor_standin::caller::{Call, End, call};
use lacewingmoor_standin::fleet::{Fleet, HOST, ServicePlan, ZONES, bundle};
use lacewingmoor_standin::relay::{Harm, Relay};
use lacewingmoor_standin::{store, target};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Entries of a run.
const ENTRIES: usize = 6;

/// Region to which requests that run once are bound in the example bundle.
const HOME: &str = "north";

/// Questions a second that the settings allow a target.
const PROBES_PER_S: u64 = 60;

/// Seconds of questions that entries may have saved up, in each of their processes.
const SAVED_UP_S: u64 = 10;

/// Log lines shown of an entry that did not recover.
const LINES_SHOWN: usize = 25;

/// Pause between requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);

/// Time after the last fault within which all must be served again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Randomised faults against real processes.
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
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        let faults = run(seed, Duration::from_secs(args.seconds)).await;
        match faults {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(fault) => {
                broken += 1;
                println!("seed {seed}: BROKEN: {fault}");
            }
        }
    }
    println!("{} seeds, {broken} broken", args.seeds);
    ExitCode::from(u8::from(broken > 0))
}

/// What callers saw of one request.
#[derive(Clone, Debug)]
struct Seen {
    once: bool,
    ends: Vec<End>,
}

type Record = Arc<Mutex<HashMap<String, Seen>>>;

fn lock(record: &Record) -> std::sync::MutexGuard<'_, HashMap<String, Seen>> {
    record.lock().expect("no holder of the lock panics")
}

async fn run(seed: u64, length: Duration) -> Result<String, String> {
    let plan = ServicePlan {
        per_zone: 2,
        work: Duration::from_millis(10),
        answer_bytes: 2000,
        ..ServicePlan::small("lanes")
    };
    let mut world = World::start(seed, plan).await.map_err(|e| e.to_string())?;
    let record = Record::default();
    let entries: Vec<_> = world.fleet.entries.iter().map(|e| e.callers).collect();
    let callers: Vec<_> = entries
        .into_iter()
        .enumerate()
        .map(|(i, addr)| {
            let record = record.clone();
            tokio::spawn(async move { keep_calling(seed, i, addr, record).await })
        })
        .collect();
    let started = Instant::now();
    while started.elapsed() < length {
        world.fault();
        let pause = world.rng.random_range(50..600);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        world.revive();
    }
    world.heal();
    let recovered = world.recovered().await;
    for caller in callers {
        caller.abort();
    }
    let panicked = world.panicked();
    check(&lock(&record), &world.fleet)?;
    check_targets(&lock(&record), &world.fleet, started.elapsed())?;
    if let Some(log) = panicked {
        return Err(log);
    }
    recovered?;
    if !world.ended.is_empty() {
        return Err(format!("entries {:?} ended by themselves", world.ended));
    }
    let count = lock(&record).len();
    Ok(format!("{count} requests, {} faults", world.faults))
}

/// Checks what callers and targets saw against each other.
fn check(record: &HashMap<String, Seen>, fleet: &Fleet) -> Result<(), String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for target in &fleet.targets {
        for run in target.standin.runs() {
            *runs.entry(run.request_id).or_default() += 1;
        }
    }
    for (id, seen) in record {
        let count = runs.get(id).copied().unwrap_or(0);
        if seen.once && count > 1 {
            return Err(format!("{id} may run once and ran {count} times"));
        }
        for end in &seen.ends {
            let End::Answer(answer) = end else {
                continue;
            };
            if answer.status == StatusCode::OK
                && (!answer.signed || !answer.own_id || answer.body_bytes != 2000)
            {
                return Err(format!(
                    "{id} got a success that is not its own: {answer:?}"
                ));
            }
            let refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
            if seen.once && refused && count > 0 {
                return Err(format!("{id} was refused as not run and ran"));
            }
            if refused && answer.retry_after.is_none() {
                return Err(format!("{id} was refused without a time to come back"));
            }
        }
    }
    Ok(())
}

/// Checks that requests stayed in their home regions and that targets were not asked too often.
fn check_targets(
    record: &HashMap<String, Seen>,
    fleet: &Fleet,
    length: Duration,
) -> Result<(), String> {
    for target in &fleet.targets {
        let id = &target.registration.id;
        let is_bound = |id: &String| record.get(id).is_some_and(|seen| seen.once);
        let runs = target.standin.runs();
        let bound = runs.iter().find(|run| is_bound(&run.request_id));
        if let Some(run) = bound.filter(|_| &*target.registration.region != HOME) {
            return Err(format!("{} left its home region to {id}", run.request_id));
        }
    }
    let asked: u64 = fleet.targets.iter().map(|t| t.standin.probes()).sum();
    let seconds = length.as_secs() + SAVED_UP_S;
    let allowed = PROBES_PER_S * seconds * fleet.targets.len() as u64;
    if asked > allowed {
        return Err(format!(
            "targets were asked {asked} times, {allowed} allowed"
        ));
    }
    Ok(())
}

async fn keep_calling(seed: u64, caller: usize, addr: std::net::SocketAddr, record: Record) {
    for i in 0.. {
        let once = i % 3 == 0;
        let id = format!("{seed}-{caller}-{i}");
        let request = Call {
            id: id.clone(),
            method: if once { Method::POST } else { Method::GET },
            host: HOST.into(),
            path: if once {
                "/lanes/write/1"
            } else {
                "/lanes/read/1"
            }
            .into(),
            body: if once {
                Bytes::from_static(b"x")
            } else {
                Bytes::new()
            },
            deadline: Duration::from_secs(2),
        };
        let record = record.clone();
        tokio::spawn(async move {
            let end = call(addr, &request).await;
            let mut record = lock(&record);
            let ends = Vec::new();
            let seen = record.entry(id).or_insert(Seen { once, ends });
            seen.ends.push(end);
        });
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

struct World {
    fleet: Fleet,
    relays: Vec<Relay>,
    rng: StdRng,
    version: u64,
    plan: ServicePlan,
    /// Entries that were told to end or killed.
    down: Vec<usize>,
    /// Entries that ended by themselves.
    ended: Vec<usize>,
    faults: u64,
}

impl World {
    async fn start(seed: u64, plan: ServicePlan) -> std::io::Result<Self> {
        let mut fleet = Fleet::start(&entry_binary(), std::slice::from_ref(&plan), 0).await?;
        let mut relays = Vec::new();
        for i in 0..ENTRIES {
            let relay = Relay::start(fleet.store.addr()).await?;
            let (zone, _) = ZONES[i % ZONES.len()];
            fleet.add_entry(&format!("entry-{i}"), zone, relay.addr())?;
            relays.push(relay);
        }
        fleet.wait_ready(Duration::from_secs(30)).await?;
        Ok(Self {
            fleet,
            relays,
            rng: StdRng::seed_from_u64(seed),
            version: 1,
            plan,
            down: Vec::new(),
            ended: Vec::new(),
            faults: 0,
        })
    }

    fn fault(&mut self) {
        self.faults += 1;
        let entry = self.rng.random_range(0..ENTRIES);
        match self.rng.random_range(0..12) {
            0 => self.relays[entry].set(Harm::Silence),
            1 => self.relays[entry].set(Harm::OneWay),
            2 => self.relays[entry].set(Harm::Reset),
            3 => self.relays[entry].set(Harm::Delay(Duration::from_millis(150))),
            4 => self.relays.iter().for_each(|relay| relay.set(Harm::None)),
            5 => self.signal(entry, libc::SIGKILL),
            6 => self.signal(entry, libc::SIGTERM),
            7 if self.rng.random_bool(0.5) => self.fleet.entries[entry].signal(libc::SIGSTOP),
            // Before its first instruction a process can do nothing against the signal.
            7 if self.fleet.entries[entry].catches(libc::SIGHUP) => {
                self.fleet.entries[entry].signal(libc::SIGHUP);
            }
            7 => {}
            8 => self.harm_target(),
            9 => self.harm_store(),
            10 => {
                self.version += 1;
                let next = bundle(self.version, std::slice::from_ref(&self.plan));
                self.fleet.store.put_bundle(&next);
            }
            _ => {
                let (zone, _) = ZONES[self.rng.random_range(0..ZONES.len())];
                let out = self.rng.random_bool(0.5);
                self.fleet.store.set_zone_out(zone, out);
            }
        }
    }

    fn signal(&mut self, entry: usize, signal: i32) {
        if !self.down.contains(&entry) {
            self.fleet.entries[entry].signal(signal);
            self.down.push(entry);
        }
    }

    fn harm_target(&mut self) {
        let faults = [
            target::Fault::None,
            target::Fault::LosesAnswers,
            target::Fault::Sheds,
            target::Fault::Errors,
            target::Fault::Busy,
            target::Fault::Unsigned,
            target::Fault::OtherId,
            target::Fault::Hangs,
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        let target = self.rng.random_range(0..self.fleet.targets.len());
        let target = &self.fleet.targets[target];
        target.standin.set_fault(fault);
        target.standin.set_healthy(self.rng.random_bool(0.8));
    }

    fn harm_store(&mut self) {
        let faults = [
            store::Fault::None,
            store::Fault::Reset,
            store::Fault::Silent,
            store::Fault::Busy,
            store::Fault::LosesAnswers,
            store::Fault::Slow(Duration::from_millis(200)),
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.fleet.store.set_fault(fault);
        if self.rng.random_bool(0.3) {
            self.fleet.store.compact();
        }
    }

    /// Starts entries again that have ended, and wakes those that stand still.
    fn revive(&mut self) {
        for entry in 0..ENTRIES {
            if !self.down.contains(&entry) && self.fleet.entries[entry].has_ended() {
                self.ended.push(entry);
                self.down.push(entry);
            }
        }
        let down = std::mem::take(&mut self.down);
        for entry in down {
            let process = &mut self.fleet.entries[entry];
            process.signal(libc::SIGCONT);
            if process.has_ended() {
                // A failure to start shows as an entry that does not recover.
                let _ = process.restart();
            } else {
                self.down.push(entry);
            }
        }
        if self.rng.random_bool(0.5) {
            for entry in &self.fleet.entries {
                entry.signal(libc::SIGCONT);
            }
        }
    }

    fn heal(&mut self) {
        self.relays.iter().for_each(|relay| relay.set(Harm::None));
        self.fleet.store.set_fault(store::Fault::None);
        for (zone, _) in ZONES {
            self.fleet.store.set_zone_out(zone, false);
        }
        for target in &self.fleet.targets {
            target.standin.set_fault(target::Fault::None);
            target.standin.set_healthy(true);
        }
    }

    /// Waits until every entry serves again, with the newest bundle.
    async fn recovered(&mut self) -> Result<(), String> {
        let ends = Instant::now() + RECOVERY;
        loop {
            self.revive();
            let mut behind = Vec::new();
            for (i, entry) in self.fleet.entries.iter().enumerate() {
                entry.signal(libc::SIGCONT);
                let status = lacewingmoor_standin::fleet::get(entry.metrics, "/status").await;
                let newest = format!("\"bundle_version\":{}", self.version);
                let good = status.is_some_and(|(_, text)| {
                    text.contains(&newest) && text.contains("\"ready\":true")
                });
                if !good {
                    behind.push(i);
                }
            }
            if behind.is_empty() && self.down.is_empty() {
                return Ok(());
            }
            if Instant::now() > ends {
                return Err(self.describe(&behind).await);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Describes the entries that did not recover by their status and their last lines that are
    /// not about requests.
    async fn describe(&self, behind: &[usize]) -> String {
        let mut text = format!(
            "entries {behind:?} did not recover, newest version {}, down {:?}",
            self.version, self.down
        );
        for i in behind {
            let entry = &self.fleet.entries[*i];
            let status = lacewingmoor_standin::fleet::get(entry.metrics, "/status").await;
            text.push_str(&format!("\n{status:?}"));
            let log = entry.log_text();
            let lines = log.lines().filter(|line| !line.contains("request="));
            let mut tail: Vec<&str> = lines.collect();
            let tail = tail.split_off(tail.len().saturating_sub(LINES_SHOWN));
            text.push_str(&format!("\n{}", tail.join("\n")));
        }
        text
    }

    fn panicked(&self) -> Option<String> {
        let logs = self.fleet.entries.iter().map(|entry| entry.log_text());
        let mut lines = logs.filter_map(|log| {
            let line = log.lines().find(|line| line.contains("panicked"));
            line.map(ToOwned::to_owned)
        });
        lines.next()
    }
}

/// Finds the entry beside this program.
fn entry_binary() -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let dir = own.parent().and_then(Path::parent);
    dir.expect("examples are built into a directory")
        .join("lacewingmoord")
}
