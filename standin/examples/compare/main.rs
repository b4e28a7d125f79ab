//! Compares policies of target selection with real processes, and measures what happens when a
//! zone leaves, targets are slow, or targets restart cold.

mod chart;
mod policies;
mod scenarios;
mod setup;

use std::error::Error;
use std::path::PathBuf;

use argh::FromArgs;
use lacewingmoor_standin::target::Distribution;

/// Result of a part of the program.
pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Compares policies of target selection with real processes.
#[derive(FromArgs)]
pub struct Args {
    /// what to run: policies, zone, overload or cold (default: policies)
    #[argh(option, default = "\"policies\".into()")]
    scenario: String,
    /// policies to run, separated by commas; `+hedges` after a policy turns hedges on
    #[argh(
        option,
        default = "\"random,two_choices,static_share,credits,credits+hedges\".into()"
    )]
    policies: String,
    /// loads in percent of the capacity of all targets, separated by commas
    #[argh(option, default = "\"60,75,85\".into()")]
    loads: String,
    /// number of entries
    #[argh(option, default = "16")]
    entries: usize,
    /// number of targets, half of them in each of two zones
    #[argh(option, default = "20")]
    targets: usize,
    /// mean service time in milliseconds
    #[argh(option, default = "10.0")]
    service_ms: f64,
    /// distribution of service times: constant, erlang or exponential (default: exponential)
    #[argh(option, default = "Distribution::Exponential")]
    distribution: Distribution,
    /// mean time between stalls of a target in milliseconds
    #[argh(option, default = "4000")]
    stall_every_ms: u64,
    /// seconds that are measured in each run
    #[argh(option, default = "8")]
    seconds: u64,
    /// seconds of load before each measurement
    #[argh(option, default = "3")]
    warmup: u64,
    /// time in milliseconds that a restarted target is down, in the scenario cold
    #[argh(option, default = "1000")]
    down_ms: u64,
    /// rounds over all policies and loads
    #[argh(option, default = "2")]
    rounds: u64,
    /// seed of service times, stalls and load
    #[argh(option, default = "1")]
    seed: u64,
    /// directory to write compare.md and compare.svg to
    #[argh(option)]
    write: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    match args.scenario.as_str() {
        "policies" => policies::run(&args).await,
        "zone" => scenarios::zone(&args).await,
        "overload" => scenarios::overload(&args).await,
        "cold" => scenarios::cold(&args).await,
        other => Err(format!("no scenario {other}").into()),
    }
}
