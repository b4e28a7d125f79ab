//! Fleets for the comparison.

use std::path::PathBuf;
use std::time::Duration;

use lacewingmoor_standin::harness::{BundleSpec, EntryOptions, Fleet};
use lacewingmoor_standin::load::{Driver, Kind, Plan, Report};
use lacewingmoor_standin::target::Settings;

use crate::{Args, Result};

const LIMIT: Duration = Duration::from_secs(30);

/// Zones of the fleet.
pub const ZONES: [&str; 2] = ["oberland-a", "oberland-b"];

/// A policy with or without hedges.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Value of the setting `policy`.
    pub policy: String,
    /// Whether requests are hedged.
    pub hedges: bool,
}

impl Variant {
    /// Reads `policy` or `policy+hedges`.
    pub fn parse(text: &str) -> Self {
        let policy = text.trim_end_matches("+hedges");
        Self {
            policy: policy.into(),
            hedges: policy != text,
        }
    }

    /// Returns the name for tables.
    pub fn name(&self) -> String {
        let hedges = if self.hedges { " + hedges" } else { "" };
        format!("{}{hedges}", self.policy)
    }
}

/// Returns requests a second that use a share of the capacity of all targets.
pub fn rate(args: &Args, percent: f64) -> f64 {
    capacity(args) * percent / 100.0
}

/// Returns the requests a second that all targets can serve.
fn capacity(args: &Args) -> f64 {
    let slots = BundleSpec::two_zones().services[0].slots;
    args.targets as f64 * f64::from(slots) * 1000.0 / args.service_ms
}

/// Starts a fleet of one service whose entries are ready.
pub async fn start(args: &Args, variant: &Variant, stalls: bool) -> Result<Fleet> {
    let mut bundle = BundleSpec::two_zones();
    bundle.services.retain(|s| s.name == "lanes");
    bundle.routes.retain(|r| r.name != "archive");
    for route in &mut bundle.routes {
        route.service = "lanes".into();
    }
    bundle.routes[0].hedge = variant.hedges;
    let mut fleet = Fleet::start(bundle).await?;
    let settings = Settings {
        service_ms: args.service_ms,
        distribution: args.distribution,
        stall_every_ms: if stalls { args.stall_every_ms } else { 0 },
        seed: args.seed,
        record: false,
        ..Settings::default()
    };
    let options = |number| EntryOptions {
        policy: variant.policy.clone(),
        decisions: false,
        seed: args.seed + number as u64,
        log: Some(PathBuf::from("/dev/null")),
        ..EntryOptions::default()
    };
    let targets = (args.targets, &settings);
    fleet
        .populate("lanes", &ZONES, targets, (args.entries, options), LIMIT)
        .await?;
    Ok(fleet)
}

/// Returns a plan for the fleet with seeds that are the same for every policy.
pub fn plan(args: &Args, rate: f64, seconds: u64, id_prefix: &str) -> Plan {
    Plan {
        seed: args.seed,
        id_prefix: id_prefix.into(),
        open_max: 20_000,
        ..Plan::new(
            rate,
            Duration::from_secs(seconds),
            Kind::get("lookup", "/lanes/1"),
        )
    }
}

/// Brings the fleet to a steady state under load.
pub async fn warm_up(args: &Args, fleet: &Fleet, driver: &Driver, rate: f64) -> Report {
    let plan = plan(args, rate, args.warmup, "warmup");
    let report = driver.run(plan, fleet.front()).await;
    for target in &fleet.targets {
        target.target.reset_counts();
    }
    report
}
