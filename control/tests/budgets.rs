//! Retry and hedge budgets, and early refusal.

mod common;

use common::*;
use lacewingmoor_bundle::target_id;
use lacewingmoor_control::*;
use rstest::rstest;

/// Starts an entry that owns two warm targets and has seen enough answers of 10 ms.
fn served() -> Entry {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0), ("t2", 0)]));
    for name in ["t1", "t2"] {
        entry.apply(Event::Probed {
            target: target_id("pool", name),
            report: Some(LoadReport {
                state: TargetState::Warm,
                in_flight: 0,
                queue: 0,
                start: 1,
            }),
        });
    }
    entry.pass(ms(3500));
    for id in 1..=80 {
        entry.arrive(id, "POST", "/book");
        entry.pass(ms(10));
        entry.head(id, 1);
        entry.ended(id, 1, Outcome::Complete);
    }
    entry
}

struct Hedge {
    guards: &'static str,
    method: &'static str,
    path: &'static str,
    hedged: bool,
}

#[rstest]
#[case(Hedge { guards: "a stalled target holds a look-up for its whole deadline",
    method: "GET", path: "/find", hedged: true })]
#[case(Hedge { guards: "a booking is sent to two targets",
    method: "POST", path: "/book", hedged: false })]
fn hedges_slow_requests(#[case] case: Hedge) {
    let mut entry = served();
    let first = entry.arrive(100, case.method, case.path);
    let first = dispatches(&first)[0].target;
    let effects = entry.pass(ms(200));
    let hedges = dispatches(&effects);
    assert_eq!(
        hedges.len(),
        usize::from(case.hedged),
        "guards: {}",
        case.guards
    );
    if !case.hedged {
        return;
    }
    assert_ne!(hedges[0].target, first);
    let effects = entry.head(100, 2);
    let loser = Effect::Cancel {
        request: 100,
        attempt: 1,
    };
    assert!(effects.contains(&loser));
    assert!(
        entry
            .head(100, 1)
            .iter()
            .all(|e| !matches!(e, Effect::Cancel { .. }))
    );
    entry.ended(100, 2, Outcome::Complete);
    entry.ended(100, 1, Outcome::Cancelled);
    assert_eq!(entry.state.status().requests, 0);
}

/// Guards against hedges that double the load when every answer is slow.
#[test]
fn hedges_keep_to_the_budget() {
    let mut entry = served();
    let mut hedges = 0;
    for id in 100..140 {
        entry.arrive(id, "GET", "/find");
        hedges += dispatches(&entry.pass(ms(150))).len();
        for attempt in 1..=2 {
            entry.head(id, attempt);
            entry.ended(id, attempt, Outcome::Complete);
        }
    }
    // 120 requests earn 6 tokens at 5%, on top of 3 at the start.
    assert!((1..=9).contains(&hedges), "{hedges}");
}

/// Guards against a retry storm when every attempt fails.
#[test]
fn retries_keep_to_the_budget() {
    let mut entry = Entry::start(Policy::Random, bundle(1, &[("t1", 0), ("t2", 0)]));
    let mut retries = 0;
    for id in 1..=100 {
        entry.arrive(id, "GET", "/find");
        let effects = entry.ended(id, 1, Outcome::Broken);
        retries += dispatches(&effects).len();
        entry.ended(id, 2, Outcome::Broken);
    }
    // 100 requests earn 10 tokens, on top of 3 at the start.
    assert!((10..=13).contains(&retries), "{retries}");
}

/// Guards against requests that wait in vain: with a queue that drains too slowly, a newcomer is
/// told at once that it was not run.
#[test]
fn refuses_early_when_the_deadline_cannot_be_met() {
    let mut entry = Entry::start(Policy::StaticShare, bundle(1, &[("t1", 0)]));
    let mut next = 1;
    let mut running = Vec::new();
    for _ in 0..30 {
        while running.len() < 6 {
            entry.arrive(next, "POST", "/book");
            running.push(next);
            next += 1;
        }
        entry.pass(ms(700));
        let id = running.remove(0);
        entry.head(id, 1);
        entry.ended(id, 1, Outcome::Complete);
    }
    let mut reasons = Vec::new();
    for id in 1000..1006 {
        reasons.extend(refusal(&entry.arrive(id, "POST", "/book")));
    }
    let early = (Fate::NotRun, Reason::Deadline);
    assert!(reasons.contains(&early), "{reasons:?}");
}
