//! Measures the latency that one entry adds to a request.
//!
//! The same client sends requests to a target directly and through an entry, interleaved request
//! by request, so that both see the same conditions.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use lacewingmoor_standin::harness::{BundleSpec, EntryOptions, Fleet};
use lacewingmoor_standin::load::{Driver, Kind, Outcome, Plan, Quantiles, Report};
use lacewingmoor_standin::target::{Distribution, Settings};

/// Latency that may be added at the 99th percentile, in milliseconds.
const GOAL_MS: f64 = 0.96;

/// Measures the latency that one entry adds to a request.
#[derive(FromArgs)]
struct Args {
    /// requests a second through the entry; as many go to the target directly
    #[argh(option, default = "2000.0")]
    rate: f64,
    /// seconds that are measured
    #[argh(option, default = "10")]
    seconds: u64,
    /// seconds of load before the measurement
    #[argh(option, default = "3")]
    warmup: u64,
    /// service time of the target in milliseconds
    #[argh(option, default = "0.0")]
    service_ms: f64,
    /// file for the log of the entry, with decisions (default: /dev/null)
    #[argh(option, default = "PathBuf::from(\"/dev/null\")")]
    log: PathBuf,
    /// seed of send times
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let mut fleet = start(&args).await?;
    let driver = Driver::new();
    let plan = |seconds, id_prefix: &str| Plan {
        rate: 2.0 * args.rate,
        duration: Duration::from_secs(seconds),
        kinds: vec![
            Kind {
                addr: Some(fleet.targets[0].target.addr()),
                ..Kind::get("direct", "/lanes/1")
            },
            Kind::get("entry", "/lanes/1"),
        ],
        seed: args.seed,
        id_prefix: id_prefix.into(),
        ..Plan::new(1.0, Duration::ZERO, Kind::get("", "/"))
    };
    let front = fleet.front();
    driver.run(plan(args.warmup, "w"), front.clone()).await;
    let measured = plan(args.seconds, "m");
    let before = processor_time(&mut fleet)?;
    let report = driver.run(measured, front).await;
    let used = processor_time(&mut fleet)?.saturating_sub(before);
    print(&args, &report, used);
    Ok(())
}

async fn start(args: &Args) -> Result<Fleet, Box<dyn Error>> {
    let limit = Duration::from_secs(30);
    let mut bundle = BundleSpec::two_zones();
    bundle.services.retain(|s| s.name == "lanes");
    bundle.routes.retain(|r| r.name == "lanes");
    bundle.services[0].slots = 64;
    bundle.services[0].cold_slots = 64;
    let mut fleet = Fleet::start(bundle).await?;
    let settings = Settings {
        service_ms: args.service_ms,
        distribution: Distribution::Constant,
        queue_max: 10_000,
        record: false,
        ..Settings::default()
    };
    fleet
        .add_targets("lanes", "oberland-a", 1, &settings)
        .await?;
    fleet.rollout().await?;
    let options = EntryOptions {
        log: Some(args.log.clone()),
        ..EntryOptions::default()
    };
    fleet.add_entry("entry-1", "oberland-a", &options)?;
    fleet.wait_ready(1, limit).await?;
    Ok(fleet)
}

fn processor_time(fleet: &mut Fleet) -> Result<Duration, Box<dyn Error>> {
    let process = fleet.entries[0].process().ok_or("the entry has ended")?;
    Ok(process.processor_time()?)
}

fn print(args: &Args, report: &Report, used: Duration) {
    let quantiles = |kind| {
        let answered = report.samples.iter().filter(|s| s.kind == kind);
        let answered = answered.filter(|s| s.outcome == Outcome::Answered);
        Quantiles::of(answered.map(|s| s.latency))
    };
    let (direct, entry) = (quantiles(0), quantiles(1));
    println!(
        "{} requests/s each way for {} s, decisions logged to {}",
        args.rate,
        args.seconds,
        args.log.display()
    );
    println!("              p50 ms    p99 ms  p99.9 ms  answered");
    for (name, q) in [("direct", direct), ("entry", entry)] {
        println!(
            "{name:<10}{:>10.3}{:>10.3}{:>10.3}{:>10}",
            q.p50, q.p99, q.p999, q.count
        );
    }
    println!(
        "{:<10}{:>10.3}{:>10.3}{:>10.3}",
        "added",
        entry.p50 - direct.p50,
        entry.p99 - direct.p99,
        entry.p999 - direct.p999
    );
    println!("goal: at most {GOAL_MS} ms added at p99");
    let sent = report.samples.iter().filter(|s| s.kind == 1).count();
    println!(
        "processor time of the entry: {:.1} us a request",
        used.as_secs_f64() * 1e6 / sent.max(1) as f64
    );
    for (outcome, count) in report.outcomes() {
        println!("{count:>10}  {outcome}");
    }
}
