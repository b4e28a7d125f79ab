//! Shows lacewingmoor at work on loopback: stand-ins of the platform, four entries in two zones,
//! a rollout by the command line, load, and a zone that leaves and comes back.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

use lacewingmoor_standin::harness::{BundleSpec, EntryOptions, Fleet, mix};
use lacewingmoor_standin::load::{Driver, Kind, Outcome, Plan, Report};
use lacewingmoor_standin::target::Settings;

const LIMIT: Duration = Duration::from_secs(15);
const RATE: f64 = 300.0;

/// Time of load in each phase.
const PHASE: Duration = Duration::from_secs(4);

/// Time that a zone has to be left by new work.
const ZONE_OUT: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    tokio::select! {
        result = demo() => result,
        _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        () = tokio::time::sleep(Duration::from_secs(55)) => Err("the demo took too long".into()),
    }
}

async fn demo() -> Result<(), Box<dyn Error>> {
    let mut fleet = start().await?;
    let mut phases = Vec::new();
    phases.push(("both zones", load(&fleet, "both", PHASE).await));

    step("An operator takes oberland-b out of service");
    fleet.bundle.zones_out.insert("oberland-b".into());
    rollout(&mut fleet).await?;
    phases.push(("leaving", load(&fleet, "leaving", ZONE_OUT).await));
    phases.push(("oberland-b out", load(&fleet, "out", PHASE).await));

    step("The operator brings oberland-b back");
    fleet.bundle.zones_out.clear();
    rollout(&mut fleet).await?;
    phases.push(("oberland-b back", load(&fleet, "back", PHASE).await));

    decisions(&fleet);
    summary(&fleet, &phases);
    stop(&mut fleet).await
}

async fn start() -> Result<Fleet, Box<dyn Error>> {
    step("Starting store, VM list, 12 targets and 4 entries");
    let mut fleet = Fleet::start(BundleSpec::two_zones()).await?;
    let settings = Settings {
        service_ms: 5.0,
        cold: true,
        ..Settings::default()
    };
    for service in ["lanes", "bookings", "archive"] {
        for zone in ["oberland-a", "oberland-b"] {
            fleet.add_targets(service, zone, 2, &settings).await?;
        }
    }
    for (number, zone) in ["oberland-a", "oberland-b"]
        .iter()
        .cycle()
        .take(4)
        .enumerate()
    {
        let options = EntryOptions {
            seed: number as u64 + 1,
            ..EntryOptions::default()
        };
        fleet.add_entry(&format!("entry-{}", number + 1), zone, &options)?;
    }
    rollout(&mut fleet).await?;
    fleet.wait_ready(4, LIMIT).await?;
    println!("4 entries are ready");
    one_answer(&fleet).await?;
    Ok(fleet)
}

async fn rollout(fleet: &mut Fleet) -> Result<(), Box<dyn Error>> {
    let begin = tokio::time::Instant::now();
    let (version, text) = fleet.rollout_and_wait().await?;
    println!("$ lacewingmoor sign ... && lacewingmoor rollout ...");
    println!("{}", text.trim_end());
    println!(
        "version {version} was signed, accepted and in force everywhere after {} ms",
        begin.elapsed().as_millis()
    );
    Ok(())
}

/// Shows one answer as a caller sees it.
async fn one_answer(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let url = format!("http://{}/lanes/7?echo=headers", fleet.entries[0].listen());
    println!("GET {url}");
    let request = reqwest::Client::new().get(url);
    let answer = request.header("request-id", "demo-1").send().await?;
    println!("{:?} {}", answer.version(), answer.status());
    for (name, value) in answer.headers() {
        println!("  {name}: {}", value.to_str().unwrap_or("?"));
    }
    println!("the target was sent:");
    for line in answer.text().await?.lines() {
        println!("  {line}");
    }
    Ok(())
}

async fn load(fleet: &Fleet, id_prefix: &str, duration: Duration) -> Report {
    let plan = Plan {
        kinds: mix(),
        id_prefix: id_prefix.into(),
        ..Plan::new(RATE, duration, Kind::get("", "/"))
    };
    let before = arrivals(fleet);
    let report = Driver::new().run(plan, fleet.front()).await;
    print!("{report}");
    for (zone, count) in arrivals(fleet) {
        let new = count - before.get(&zone).copied().unwrap_or(0);
        println!("  {new:>8}  arrived at targets in {zone}");
    }
    report
}

fn arrivals(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut zones = BTreeMap::new();
    for target in &fleet.targets {
        *zones.entry(target.zone.clone()).or_insert(0) += target.target.counts().arrived;
    }
    zones
}

/// Shows some lines of the decision log, one of each kind first.
fn decisions(fleet: &Fleet) {
    step("Some lines of the log of entry-1");
    let log = fleet.entries[0].log();
    let lines: Vec<&str> = log.lines().collect();
    let spread = lines.len().div_ceil(12).max(1);
    for line in lines.iter().step_by(spread) {
        println!("{line}");
    }
}

fn summary(fleet: &Fleet, phases: &[(&str, Report)]) {
    step("Summary");
    println!("phase               offered  answered   weight answered   p50 ms    p99 ms");
    for (name, report) in phases {
        let q = report.quantiles();
        let (answered, offered) = report.weights();
        println!(
            "{name:<18}{:>9}{:>10}{:>17.2}%{:>9.2}{:>10.2}",
            report.offered(),
            report.answered(),
            100.0 * answered as f64 / offered.max(1) as f64,
            q.p50,
            q.p99
        );
    }
    let wrong: usize = phases
        .iter()
        .map(|(_, r)| r.count(|o| matches!(o, Outcome::Wrong(_))))
        .sum();
    let cold: u64 = fleet
        .targets
        .iter()
        .map(|t| t.target.counts().cold_violations)
        .sum();
    println!("answers to another request: {wrong}");
    println!("requests beyond what a cold target bears: {cold}");
    println!(
        "requests that ran more than once: {}",
        fleet.double_runs().len()
    );
}

async fn stop(fleet: &mut Fleet) -> Result<(), Box<dyn Error>> {
    step("Stopping the entries");
    for entry in &mut fleet.entries {
        if let Some(process) = entry.process() {
            process.terminate();
        }
    }
    for entry in &mut fleet.entries {
        let exit = entry.stop(LIMIT).await?;
        println!("{} ended: {exit:?}", entry.name);
    }
    Ok(())
}

fn step(text: &str) {
    println!("\n== {text}");
}
