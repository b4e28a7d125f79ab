//! Guards against repeats, questions and splits beyond what all entries together may use.

mod common;

use common::ms;
use lacewingmoor_bundle::Destination;
use lacewingmoor_control::budget::{ColdGate, ProbeBudget, Reason, RetryBudget, RetryLimits};
use lacewingmoor_control::shutdown::{Phase, Stop};
use lacewingmoor_control::split::Splitter;
use rstest::rstest;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra: 64.0,
    window: std::time::Duration::from_secs(10),
};

struct FleetCase {
    nodes: usize,
    requests_per_s: u64,
}

#[rstest]
#[case::small_fleet(FleetCase { nodes: 1, requests_per_s: 50 })]
#[case::today(FleetCase { nodes: 18, requests_per_s: 10 })]
#[case::grown(FleetCase { nodes: 128, requests_per_s: 7 })]
#[case::idle(FleetCase { nodes: 18, requests_per_s: 0 })]
fn repeats_of_all_entries_stay_below_the_limit_in_every_window(#[case] case: FleetCase) {
    let mut budgets = vec![RetryBudget::default(); case.nodes];
    let mut repeats = Vec::new();
    let step_ms = 50;
    for at in (0..30_000).step_by(step_ms as usize) {
        for (i, budget) in budgets.iter_mut().enumerate() {
            let due = (at + i as u64 * 7) * case.requests_per_s / 1000;
            let before = (at + i as u64 * 7).saturating_sub(step_ms) * case.requests_per_s / 1000;
            for _ in before..due {
                budget.request(ms(at), &LIMITS);
            }
            // Every entry repeats as often as it is let.
            while budget.repeat(ms(at), &LIMITS, case.nodes, Reason::Failure) {
                repeats.push(at);
            }
        }
    }
    let total_per_s = case.requests_per_s * case.nodes as u64;
    for start in (0..20_000).step_by(250) {
        let count = repeats
            .iter()
            .filter(|at| (start..start + 10_000).contains(*at))
            .count();
        let allowed = LIMITS.ratio * (total_per_s * 10) as f64 + LIMITS.extra;
        assert!(count as f64 <= allowed, "{count} of {allowed} from {start}");
    }
}

#[test]
fn hedges_leave_room_for_failures() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.request(ms(0), &LIMITS);
    }
    let hedges = (0..1000)
        .filter(|_| budget.repeat(ms(1), &LIMITS, 4, Reason::Hedge))
        .count();
    assert!(hedges > 0);
    assert!(budget.repeat(ms(1), &LIMITS, 4, Reason::Failure));
}

#[test]
fn cold_target_gets_its_rate_and_no_burst() {
    let mut gate = ColdGate::default();
    let sent = (0..1000).filter(|at| gate.take(ms(*at), 5.0)).count();
    assert_eq!(sent, 5);
    assert!(!ColdGate::default().take(ms(0), 0.0), "no rate, no request");
}

#[test]
fn questions_are_saved_up_for_seconds_only() {
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
fn search_leaves_questions_to_new_requests() {
    let mut probes = ProbeBudget::default();
    let searched = (0..1000)
        .filter(|_| probes.take_for_search(ms(60_000), 10.0, 2))
        .count();
    assert_eq!(searched, 23, "46 of the 50 that are saved up");
    assert_eq!(probes.take_for_request(ms(60_000), 10.0, 3), 3);
    assert_eq!(
        probes.take_for_request(ms(60_000), 10.0, 3),
        1,
        "what is left"
    );
    assert_eq!(probes.take_for_request(ms(60_000), 10.0, 3), 0);
}

fn destinations(weights: &[u32]) -> Vec<Destination> {
    let weights = weights.iter().enumerate();
    weights
        .map(|(service, weight)| Destination {
            service,
            weight: *weight,
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
    let mut split = Splitter::default();
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

#[test]
fn split_without_weight_leads_nowhere() {
    assert_eq!(Splitter::default().next(&destinations(&[0, 0])), None);
    assert_eq!(Splitter::default().next(&[]), None);
}

#[rstest]
#[case::before(None, 99_000, Phase::Running)]
#[case::just_signalled(Some(1000), 1000, Phase::Leaving)]
#[case::two_checks_missed(Some(1000), 3500, Phase::Leaving)]
#[case::finishing(Some(1000), 4000, Phase::Finishing)]
#[case::time_is_up(Some(1000), 6950, Phase::Ended)]
fn stop_goes_through_its_phases(
    #[case] signalled_ms: Option<u64>,
    #[case] now_ms: u64,
    #[case] phase: Phase,
) {
    let mut stop = Stop::default();
    if let Some(at) = signalled_ms {
        stop.begin(ms(at));
        stop.begin(ms(at + 500));
    }
    assert_eq!(stop.phase(ms(now_ms), ms(6000)), phase);
}
