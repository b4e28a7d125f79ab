//! Tail latency by policy and load.

use std::fmt::Write as _;
use std::fs;
use std::time::Duration;

use lacewingmoor_standin::load::{Driver, Quantiles, Report};

use crate::setup::{Variant, plan, rate, start, warm_up};
use crate::{Args, Result, chart};

const BASELINE: &str = "two_choices";

/// Results of one variant at one load, over all rounds.
pub struct Cell {
    /// The variant.
    pub variant: Variant,
    /// Load in percent.
    pub load: f64,
    /// Latency of all answered requests of all rounds.
    pub all: Quantiles,
    rounds: Vec<Round>,
}

struct Round {
    report: Report,
    most: usize,
    probes_per_target_s: f64,
    service_times: Vec<Duration>,
}

/// Runs every variant at every load, in interleaved rounds.
pub async fn run(args: &Args) -> Result<()> {
    let variants: Vec<Variant> = args.policies.split(',').map(Variant::parse).collect();
    let loads: Vec<f64> = args
        .loads
        .split(',')
        .map(str::parse)
        .collect::<std::result::Result<_, _>>()?;
    let mut cells = Vec::new();
    for &load in &loads {
        cells.extend(variants.iter().map(|variant| Cell {
            variant: variant.clone(),
            load,
            all: Quantiles::default(),
            rounds: Vec::new(),
        }));
    }
    for round in 1..=args.rounds {
        for cell in &mut cells {
            let result = measure(args, &cell.variant, cell.load).await?;
            let q = result.report.quantiles();
            eprintln!(
                "round {round}: {} at {}%: p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
                cell.variant.name(),
                cell.load,
                q.p50,
                q.p99,
                q.p999
            );
            cell.rounds.push(result);
        }
    }
    for cell in &mut cells {
        let reports = cell.rounds.iter().map(|r| &r.report);
        cell.all = Quantiles::of(reports.flat_map(|r| r.answered_latencies()));
    }
    let table = table(args, &cells)?;
    print!("{table}");
    if let Some(dir) = &args.write {
        fs::write(dir.join("compare.md"), &table)?;
        fs::write(dir.join("compare.svg"), chart::svg(&cells)?)?;
    }
    Ok(())
}

async fn measure(args: &Args, variant: &Variant, load: f64) -> Result<Round> {
    let fleet = start(args, variant, true).await?;
    let driver = Driver::new();
    let rate = rate(args, load);
    warm_up(args, &fleet, &driver, rate).await;
    for target in &fleet.targets {
        target.target.restart_stalls();
    }
    let begin = tokio::time::Instant::now();
    let plan = plan(args, rate, args.seconds, "measured");
    let report = driver.run(plan, fleet.front()).await;
    let took = begin.elapsed().as_secs_f64();
    let counts = fleet.targets.iter().map(|t| t.target.counts());
    let probes: u64 = counts.clone().map(|c| c.probes).sum();
    Ok(Round {
        report,
        service_times: fleet
            .targets
            .iter()
            .flat_map(|t| t.target.service_times())
            .collect(),
        most: counts.map(|c| c.most).max().unwrap_or(0),
        probes_per_target_s: probes as f64 / took / args.targets as f64,
    })
}

fn table(args: &Args, cells: &[Cell]) -> std::result::Result<String, std::fmt::Error> {
    let mut text = format!(
        "{} entries, {} targets in 2 zones, mean service time {} ms ({:?}), stalls of 200 ms at \
         a third of the speed every {} ms on average, {} rounds of {} s, seed {}. Latency in ms, \
         of answered requests. The service p99 leaves out all waiting. Goals for the p99 ratio to \
         {BASELINE} at 75%: at most 0.65 without hedges, at most 0.5 with hedges.\n\n",
        args.entries,
        args.targets,
        args.service_ms,
        args.distribution,
        args.stall_every_ms,
        args.rounds,
        args.seconds,
        args.seed
    );
    text += "| load | policy | p50 | p99 (rounds) | p99.9 | service p99 | p99 ratio | not answered | most \
             at a target | probes per target and s |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for cell in cells {
        let baseline = cells
            .iter()
            .find(|c| c.load == cell.load && c.variant == Variant::parse(BASELINE));
        let ratio = baseline.map_or("-".into(), |b| format!("{:.2}", cell.all.p99 / b.all.p99));
        writeln!(
            text,
            "| {}% | {} | {:.1} | {:.1} ({}) | {:.1} | {:.1} | {ratio} | {:.3}% | {} | {:.2} |",
            cell.load,
            cell.variant.name(),
            cell.all.p50,
            cell.all.p99,
            cell.p99_of_rounds(),
            cell.all.p999,
            cell.service_p99(),
            cell.not_answered_percent(),
            cell.rounds.iter().map(|r| r.most).max().unwrap_or(0),
            mean(cell.rounds.iter().map(|r| r.probes_per_target_s)),
        )?;
    }
    Ok(text)
}

impl Cell {
    fn p99_of_rounds(&self) -> String {
        let values = self.rounds.iter().map(|r| {
            let q = r.report.quantiles_between(Duration::ZERO, Duration::MAX);
            format!("{:.1}", q.p99)
        });
        values.collect::<Vec<_>>().join(", ")
    }

    fn service_p99(&self) -> f64 {
        let times = self.rounds.iter().flat_map(|r| &r.service_times);
        Quantiles::of(times.copied()).p99
    }

    fn not_answered_percent(&self) -> f64 {
        let offered: usize = self.rounds.iter().map(|r| r.report.offered()).sum();
        let answered: usize = self.rounds.iter().map(|r| r.report.answered()).sum();
        100.0 * (offered - answered) as f64 / offered.max(1) as f64
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1);
    values.sum::<f64>() / count as f64
}
