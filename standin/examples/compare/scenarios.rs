//! What happens when a zone leaves, targets are slow, or targets restart cold.

use std::time::Duration;

use lacewingmoor_standin::harness::{Fleet, mix};
use lacewingmoor_standin::load::{Driver, Outcome, Plan, Report};
use tokio::time::{Instant, sleep, sleep_until};

use crate::setup::{Variant, ZONES, plan, rate, start, warm_up};
use crate::{Args, Result};

/// Length of the windows in which latency is looked at.
const WINDOW: Duration = Duration::from_millis(500);

/// Windows in a row that have to be within the limit for the latency to count as back.
const BACK_WINDOWS: u32 = 4;

/// Time from the acceptance of a bundle until a zone gets no new work.
const ZONE_GOAL: Duration = Duration::from_secs(3);

fn variant(args: &Args) -> Variant {
    let only = args.policies.split(',').next_back().unwrap_or("credits");
    Variant::parse(only)
}

/// Takes a zone out and back under a load that the other zone can carry.
pub async fn zone(args: &Args) -> Result<()> {
    let variant = variant(args);
    let mut fleet = start(args, &variant, false).await?;
    let driver = Driver::new();
    // Half of the targets remain; 70% of their capacity is offered.
    let rate = rate(args, 35.0);
    warm_up(args, &fleet, &driver, rate).await;
    let plan = Plan {
        kinds: mix().into_iter().filter(|k| k.name != "download").collect(),
        ..plan(args, rate, 24, "zone")
    };
    let running = tokio::spawn({
        let (driver, front) = (driver.clone(), fleet.front());
        async move { driver.run(plan, front).await }
    });
    let begin = Instant::now();
    sleep_until(begin + Duration::from_secs(6)).await;
    fleet.bundle.zones_out.insert(ZONES[1].into());
    fleet.rollout().await?;
    sleep(ZONE_GOAL).await;
    let at_goal = arrivals(&fleet, ZONES[1]);
    sleep_until(begin + Duration::from_secs(14)).await;
    let late = arrivals(&fleet, ZONES[1]) - at_goal;
    fleet.bundle.zones_out.clear();
    fleet.rollout().await?;
    let back_from = arrivals(&fleet, ZONES[1]);
    let report = running.await?;
    let back = arrivals(&fleet, ZONES[1]) - back_from;
    print!(
        "{}: a zone out after 6 s and back after 14 s\n{report}",
        variant.name()
    );
    let (answered, offered) = report.weights();
    println!(
        "weighted answered: {:.3}% (goal: 99.5%)",
        100.0 * answered as f64 / offered.max(1) as f64
    );
    println!("requests that arrived in the zone later than 3 s after acceptance: {late}");
    println!("requests that arrived in the zone after its return: {back}");
    println!(
        "requests beyond what a cold target bears: {}",
        cold_violations(&fleet)
    );
    timeline(&report);
    Ok(())
}

/// Slows a third of the targets down for a time, and looks when the latency is back.
pub async fn overload(args: &Args) -> Result<()> {
    let variant = variant(args);
    let fleet = start(args, &variant, false).await?;
    let driver = Driver::new();
    let rate = rate(args, 60.0);
    warm_up(args, &fleet, &driver, rate).await;
    let plan = plan(args, rate, 20, "overload");
    let running = tokio::spawn({
        let (driver, front) = (driver.clone(), fleet.front());
        async move { driver.run(plan, front).await }
    });
    let begin = Instant::now();
    let (slow, healed) = (Duration::from_secs(5), Duration::from_secs(10));
    sleep_until(begin + slow).await;
    set_slow(&fleet, 5.0);
    sleep_until(begin + healed).await;
    set_slow(&fleet, 1.0);
    let report = running.await?;
    print!(
        "{}: a third of the targets 5 times slower from 5 s to 10 s\n{report}",
        variant.name()
    );
    timeline(&report);
    let normal = report.quantiles_between(Duration::ZERO, slow).p99;
    match back_after(&report, healed, normal * 1.5) {
        Some(time) => println!(
            "p99 is back within 1.5 times its normal {normal:.1} ms {:.1} s after the end",
            time.as_secs_f64()
        ),
        None => println!("p99 is not back within 1.5 times its normal {normal:.1} ms"),
    }
    Ok(())
}

fn set_slow(fleet: &Fleet, factor: f64) {
    for target in fleet.targets.iter().step_by(3) {
        target.target.set_slow_factor(factor);
    }
}

/// Returns the time from `from` to the first window after which the latency stays within `limit`
/// for `BACK_WINDOWS`.
fn back_after(report: &Report, from: Duration, limit: f64) -> Option<Duration> {
    let mut good = 0;
    let mut at = from;
    while at + WINDOW <= report.duration {
        let within = report.quantiles_between(at, at + WINDOW).p99 <= limit;
        good = if within { good + 1 } else { 0 };
        at += WINDOW;
        if good == BACK_WINDOWS {
            return Some(at - WINDOW * BACK_WINDOWS - from);
        }
    }
    None
}

/// Restarts one target after another cold under load.
pub async fn cold(args: &Args) -> Result<()> {
    let variant = variant(args);
    let mut fleet = start(args, &variant, false).await?;
    let driver = Driver::new();
    let rate = rate(args, 50.0);
    warm_up(args, &fleet, &driver, rate).await;
    let plan = plan(args, rate, 20, "cold");
    let running = tokio::spawn({
        let (driver, front) = (driver.clone(), fleet.front());
        async move { driver.run(plan, front).await }
    });
    let begin = Instant::now();
    let restarts = fleet.targets.len().min(8);
    for (number, target) in fleet.targets.iter_mut().take(restarts).enumerate() {
        sleep_until(begin + Duration::from_secs(2 + 2 * number as u64)).await;
        target.target.kill().await;
        sleep(Duration::from_millis(args.down_ms)).await;
        target.target.restart().await?;
    }
    let report = running.await?;
    print!(
        "{}: {restarts} targets restarted cold, one every 2 s, each down for {} ms\n{report}",
        variant.name(),
        args.down_ms
    );
    println!(
        "requests beyond what a cold target bears: {} (goal: 0)",
        cold_violations(&fleet)
    );
    let broken = report.count(|o| matches!(o, Outcome::Broken(_)));
    println!("requests whose connection broke: {broken}");
    timeline(&report);
    Ok(())
}

fn arrivals(fleet: &Fleet, zone: &str) -> u64 {
    fleet
        .targets_in(zone)
        .map(|t| t.target.counts().arrived)
        .sum()
}

fn cold_violations(fleet: &Fleet) -> u64 {
    let counts = fleet.targets.iter().map(|t| t.target.counts());
    counts.map(|c| c.cold_violations).sum()
}

fn timeline(report: &Report) {
    println!("   from s  answered    p50 ms    p99 ms");
    let mut at = Duration::ZERO;
    while at < report.duration {
        let q = report.quantiles_between(at, at + 2 * WINDOW);
        println!(
            "{:>9.1}{:>10}{:>10.1}{:>10.1}",
            at.as_secs_f64(),
            q.count,
            q.p50,
            q.p99
        );
        at += 2 * WINDOW;
    }
}
