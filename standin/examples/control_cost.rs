//! Measures what control costs an entry as the fleet grows: bytes between peers, store calls,
//! processor time and memory, idle and under load, and the time until a rollout is in force.

use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use lacewingmoor_standin::harness::{BundleSpec, EntryOptions, Fleet};
use lacewingmoor_standin::load::{Driver, Kind, Plan};
use lacewingmoor_standin::target::Settings;

const LIMIT: Duration = Duration::from_secs(30);

const ZONES: [&str; 2] = ["oberland-a", "oberland-b"];

/// Measures the cost of control for one entry, on average over the fleet.
#[derive(FromArgs)]
struct Args {
    /// numbers of entries, separated by commas
    #[argh(option, default = "\"4,8,16\".into()")]
    entries: String,
    /// number of targets, half of them in each of two zones
    #[argh(option, default = "20")]
    targets: usize,
    /// requests a second of the whole fleet while under load
    #[argh(option, default = "4000.0")]
    rate: f64,
    /// seconds of each measurement
    #[argh(option, default = "8")]
    seconds: u64,
    /// rollouts that are timed
    #[argh(option, default = "10")]
    rollouts: usize,
}

/// Totals over all entries.
struct Totals {
    peer_bytes: f64,
    store_calls: f64,
    processor: Duration,
    at: Instant,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    println!(
        "| entries | state | peer bytes/s sent per entry | store calls/s of the fleet | \
         core per entry | resident memory per entry |"
    );
    println!("|---|---|---|---|---|---|");
    let mut in_force = Vec::new();
    for entries in args.entries.split(',') {
        let entries = entries.trim().parse()?;
        let mut fleet = start(&args, entries).await?;
        // Elections and the first fetches are over after a few seconds.
        tokio::time::sleep(Duration::from_secs(6)).await;
        measure(&args, &mut fleet, entries, 0.0).await?;
        measure(&args, &mut fleet, entries, args.rate).await?;
        in_force.push((entries, time_rollouts(&args, &mut fleet).await?));
    }
    println!("\n| entries | rollouts | median ms from signing to in force | slowest ms |");
    println!("|---|---|---|---|");
    for (entries, mut times) in in_force {
        times.sort();
        println!(
            "| {entries} | {} | {} | {} |",
            times.len(),
            times[times.len() / 2].as_millis(),
            times[times.len() - 1].as_millis()
        );
    }
    Ok(())
}

async fn start(args: &Args, entries: usize) -> Result<Fleet, Box<dyn Error>> {
    let mut bundle = BundleSpec::two_zones();
    bundle.services.retain(|s| s.name == "lanes");
    bundle.routes.retain(|r| r.name == "lanes");
    let mut fleet = Fleet::start(bundle).await?;
    let settings = Settings {
        service_ms: 10.0,
        record: false,
        ..Settings::default()
    };
    let options = |number| EntryOptions {
        decisions: false,
        seed: number as u64,
        log: Some(PathBuf::from("/dev/null")),
        ..EntryOptions::default()
    };
    let targets = (args.targets, &settings);
    fleet
        .populate("lanes", &ZONES, targets, (entries, options), LIMIT)
        .await?;
    Ok(fleet)
}

async fn measure(
    args: &Args,
    fleet: &mut Fleet,
    entries: usize,
    rate: f64,
) -> Result<(), Box<dyn Error>> {
    let time = Duration::from_secs(args.seconds);
    let before = totals(fleet).await?;
    if rate > 0.0 {
        let plan = Plan::new(rate, time, Kind::get("lookup", "/lanes/1"));
        Driver::new().run(plan, fleet.front()).await;
    } else {
        tokio::time::sleep(time).await;
    }
    let after = totals(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let each = entries as f64 * seconds;
    let state = if rate > 0.0 {
        format!("{rate} requests/s")
    } else {
        "idle".into()
    };
    println!(
        "| {entries} | {state} | {:.0} | {:.2} | {:.2}% | {} MiB |",
        (after.peer_bytes - before.peer_bytes) / each,
        (after.store_calls - before.store_calls) / seconds,
        (after.processor - before.processor).as_secs_f64() / each * 100.0,
        memory_mib(fleet)?
    );
    Ok(())
}

async fn totals(fleet: &mut Fleet) -> Result<Totals, Box<dyn Error>> {
    let mut totals = Totals {
        peer_bytes: 0.0,
        store_calls: 0.0,
        processor: Duration::ZERO,
        at: Instant::now(),
    };
    for entry in &mut fleet.entries {
        let (_, metrics) = entry.admin_get("/metrics").await?;
        totals.peer_bytes += sum(&metrics, "lacewingmoor_peer_bytes_total{direction=\"out\"");
        totals.store_calls += sum(&metrics, "lacewingmoor_store_calls_total");
        let process = entry.process().ok_or("an entry has ended")?;
        totals.processor += process.processor_time()?;
    }
    Ok(totals)
}

/// Adds up the samples of a metric whose name and labels begin with `prefix`.
fn sum(metrics: &str, prefix: &str) -> f64 {
    let samples = metrics.lines().filter(|line| line.starts_with(prefix));
    let values = samples.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}

/// Returns the largest resident memory of an entry in MiB.
fn memory_mib(fleet: &mut Fleet) -> Result<u64, Box<dyn Error>> {
    let mut largest = 0;
    for entry in &mut fleet.entries {
        let id = entry.process().ok_or("an entry has ended")?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        largest = largest.max(kib.unwrap_or(0));
    }
    Ok(largest / 1024)
}

/// Rolls out versions that take a zone out and back; returns the time of each, from signing until
/// every entry reports the version in force.
async fn time_rollouts(args: &Args, fleet: &mut Fleet) -> Result<Vec<Duration>, Box<dyn Error>> {
    let mut times = Vec::new();
    for number in 0..args.rollouts {
        if number % 2 == 0 {
            fleet.bundle.zones_out.insert(ZONES[1].into());
        } else {
            fleet.bundle.zones_out.clear();
        }
        let start = Instant::now();
        fleet.rollout_and_wait().await?;
        times.push(start.elapsed());
    }
    Ok(times)
}
