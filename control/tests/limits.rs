//! Guards against retries and probes above the limits for all entries together, against splits that
//! differ from their weights, and against a shutdown whose phases come too early or too late.

mod common;

use common::ms;
use lacewingmoor_bundle::{Destination, WEIGHT_MAX};
use lacewingmoor_control::budget::{
    ProbeBudget, RetryBudget, RetryLimits, RetryReason, WarmupLimiter,
};
use lacewingmoor_control::shutdown::{Phase, Shutdown};
use lacewingmoor_control::split::WeightedRoundRobin;
use rstest::rstest;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra: 64.0,
    window: std::time::Duration::from_secs(10),
};

struct RetryCase {
    /// Number of entries: 18 is today's size, 128 the number that the load balancer is designed
    /// for.
    entries: usize,
    requests_per_s: u64,
}

#[rstest]
#[case::one_entry(RetryCase { entries: 1, requests_per_s: 50 })]
#[case::eighteen_entries(RetryCase { entries: 18, requests_per_s: 10 })]
#[case::many_entries(RetryCase { entries: 128, requests_per_s: 7 })]
#[case::idle_entries(RetryCase { entries: 18, requests_per_s: 0 })]
fn retries_of_all_entries_stay_below_the_limit_in_every_window(#[case] case: RetryCase) {
    let mut budgets = vec![RetryBudget::default(); case.entries];
    let mut retries = Vec::new();
    let step_ms = 50;
    for at in (0..30_000).step_by(step_ms as usize) {
        for (i, budget) in budgets.iter_mut().enumerate() {
            let due = (at + i as u64 * 7) * case.requests_per_s / 1000;
            let before = (at + i as u64 * 7).saturating_sub(step_ms) * case.requests_per_s / 1000;
            for _ in before..due {
                budget.record_request(ms(at), &LIMITS);
            }
            // Every entry retries as often as its budget allows.
            while budget.try_take(ms(at), &LIMITS, case.entries, RetryReason::Failure) {
                retries.push(at);
            }
        }
    }
    let total_per_s = case.requests_per_s * case.entries as u64;
    for start in (0..20_000).step_by(250) {
        let count = retries
            .iter()
            .filter(|at| (start..start + 10_000).contains(*at))
            .count();
        let allowed = LIMITS.ratio * (total_per_s * 10) as f64 + LIMITS.extra;
        assert!(count as f64 <= allowed, "{count} of {allowed} from {start}");
    }
}

#[test]
fn hedges_leave_budget_for_failures() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(ms(0), &LIMITS);
    }
    let hedges = (0..1000)
        .filter(|_| budget.try_take(ms(1), &LIMITS, 4, RetryReason::Hedge))
        .count();
    assert!(hedges > 0);
    assert!(budget.try_take(ms(1), &LIMITS, 4, RetryReason::Failure));
}

#[test]
fn target_warming_up_gets_its_rate_and_no_burst() {
    let mut limiter = WarmupLimiter::default();
    let sent = (0..1000)
        .filter(|at| limiter.try_take(ms(*at), 5.0))
        .count();
    assert_eq!(sent, 5);
    assert!(
        !WarmupLimiter::default().try_take(ms(0), 0.0),
        "no request at rate 0"
    );
}

#[test]
fn unused_probes_accumulate_for_five_seconds_only() {
    let mut probes = ProbeBudget::default();
    assert_eq!(probes.take_for_request(ms(0), 10.0, 1), 0);
    let burst: usize = (0..1000)
        .map(|_| probes.take_for_request(ms(60_000), 10.0, 1))
        .sum();
    assert_eq!(burst, 50);
    let later: usize = (0..1000)
        .map(|i| probes.take_for_request(ms(60_000 + i), 10.0, 1))
        .sum();
    assert!((9..=10).contains(&later), "{later} in a second");
}

#[test]
fn queued_requests_leave_probes_to_new_requests() {
    let mut probes = ProbeBudget::default();
    let taken = (0..1000)
        .filter(|_| probes.try_take_for_queue(ms(60_000), 10.0, 2))
        .count();
    assert_eq!(taken, 23, "46 of the 50 that have accumulated");
    assert_eq!(probes.take_for_request(ms(60_000), 10.0, 3), 3);
    assert_eq!(probes.take_for_request(ms(60_000), 10.0, 3), 1, "the rest");
    assert_eq!(probes.take_for_request(ms(60_000), 10.0, 3), 0);
}

/// The interval at such a rate is longer than a `Duration`; computing it ended the process.
#[rstest]
#[case::smallest(f64::MIN_POSITIVE)]
#[case::years(1e-12)]
fn target_with_the_lowest_rate_gets_one_request(#[case] rate_per_s: f64) {
    let mut limiter = WarmupLimiter::default();
    assert!(limiter.try_take(ms(1000), rate_per_s));
    assert!(!limiter.try_take(ms(86_400_000), rate_per_s));
}

fn destinations(weights: &[u32]) -> Vec<Destination> {
    let weights = weights.iter().enumerate();
    weights
        .map(|(service, weight)| Destination {
            service,
            weight: u64::from(*weight),
        })
        .collect()
}

#[rstest]
#[case(&[90, 10])]
#[case(&[1, 1, 1])]
#[case(&[5, 0, 3])]
fn split_keeps_weights_at_every_moment(#[case] weights: &[u32]) {
    let destinations = destinations(weights);
    let total: u32 = weights.iter().sum();
    let mut split = WeightedRoundRobin::default();
    let mut counts = vec![0u32; weights.len()];
    for n in 1..=500u32 {
        counts[split.next(&destinations).expect("a weight is above 0")] += 1;
        for (count, weight) in counts.iter().zip(weights) {
            let due = f64::from(n) * f64::from(*weight) / f64::from(total);
            assert!(
                (f64::from(*count) - due).abs() <= 1.0,
                "{counts:?} after {n}"
            );
        }
    }
}

/// Weights that are summed in 32 bits, or as greater numbers than allowed, overflow.
#[test]
fn split_keeps_the_greatest_weights() {
    let weights = [WEIGHT_MAX, WEIGHT_MAX, 1];
    let destinations = weights.into_iter().enumerate();
    let destinations: Vec<Destination> = destinations
        .map(|(service, weight)| Destination { service, weight })
        .collect();
    let mut split = WeightedRoundRobin::default();
    let mut counts = [0; 3];
    for _ in 0..1000 {
        counts[split.next(&destinations).expect("a weight is above 0")] += 1;
    }
    assert_eq!(counts, [500, 500, 0]);
}

#[test]
fn split_without_weight_has_no_destination() {
    assert_eq!(
        WeightedRoundRobin::default().next(&destinations(&[0, 0])),
        None
    );
    assert_eq!(WeightedRoundRobin::default().next(&[]), None);
}

#[rstest]
#[case::before(None, 99_000, Phase::Running)]
#[case::just_signalled(Some(1000), 1000, Phase::Leaving)]
#[case::two_checks_missed(Some(1000), 3500, Phase::Leaving)]
#[case::finishing(Some(1000), 4000, Phase::Finishing)]
#[case::last_responses(Some(1000), 6500, Phase::Responding)]
#[case::grace_period_over(Some(1000), 6950, Phase::Ended)]
fn shutdown_goes_through_its_phases(
    #[case] signalled_ms: Option<u64>,
    #[case] now_ms: u64,
    #[case] phase: Phase,
) {
    let mut shutdown = Shutdown::default();
    if let Some(at) = signalled_ms {
        shutdown.begin(ms(at));
        shutdown.begin(ms(at + 500));
    }
    assert_eq!(shutdown.phase(ms(now_ms), ms(6000)), phase);
}
