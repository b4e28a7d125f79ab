//! What answers, reports, lists and bundles make of a target.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::*;
use lacewingmoor_bundle::{TargetId, target_id};
use lacewingmoor_control::*;
use rstest::rstest;

fn t1() -> TargetId {
    target_id("pool", "t1")
}

fn report(state: TargetState, start: u64) -> LoadReport {
    LoadReport {
        state,
        in_flight: 0,
        queue: 0,
        start,
    }
}

fn probed(entry: &mut Entry, state: TargetState, start: u64) {
    entry.apply(Event::Probed {
        target: t1(),
        report: Some(report(state, start)),
    });
}

fn status(entry: &Entry) -> (TargetState, u32) {
    let status = entry.state.status();
    (status.targets[0].state, status.targets[0].cap)
}

/// Starts an entry that owns its only target `t1`, which is warm.
fn owner_of_warm() -> Entry {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    probed(&mut entry, TargetState::Warm, 1);
    entry.pass(ms(3500));
    assert!(entry.state.status().targets[0].owned);
    entry
}

/// Sends requests that all end in the same way, one after the other.
fn serve(entry: &mut Entry, ids: std::ops::Range<RequestId>, took: Duration, outcome: Outcome) {
    for id in ids {
        entry.arrive(id, "POST", "/book");
        entry.pass(took);
        if outcome == Outcome::Complete {
            entry.head(id, 1);
        }
        entry.ended(id, 1, outcome);
    }
}

struct Change {
    guards: &'static str,
    change: fn(&mut Entry),
    expected: (TargetState, u32),
}

#[rstest]
#[case(Change { guards: "a restarted target gets full load",
    change: |e| probed(e, TargetState::Warm, 2), expected: (TargetState::Cold, 1) })]
#[case(Change { guards: "a target that says it is cold gets full load",
    change: |e| probed(e, TargetState::Cold, 1), expected: (TargetState::Cold, 1) })]
#[case(Change { guards: "a report turns a draining target away for ever",
    change: |e| { probed(e, TargetState::Draining, 1); probed(e, TargetState::Warm, 1); },
    expected: (TargetState::Warm, 6) })]
#[case(Change { guards: "a target that drains gets new work",
    change: |e| probed(e, TargetState::Draining, 1), expected: (TargetState::Draining, 0) })]
#[case(Change { guards: "a target that refuses connections keeps its slots",
    change: |e| serve(e, 1..2, MS, Outcome::NotSent), expected: (TargetState::Cold, 0) })]
#[case(Change { guards: "a target that sheds keeps its slots",
    change: |e| serve(e, 1..2, MS, Outcome::Shed), expected: (TargetState::Shedding, 2) })]
#[case(Change { guards: "a shed target never recovers",
    change: |e| { serve(e, 1..2, MS, Outcome::Shed); e.pass(ms(1500)); },
    expected: (TargetState::Warm, 4) })]
#[case(Change { guards: "a target that has collapsed without notice keeps its slots",
    change: |e| {
        serve(e, 1..20, ms(10), Outcome::Complete);
        serve(e, 20..25, ms(500), Outcome::Broken);
    }, expected: (TargetState::Cold, 1) })]
#[case(Change { guards: "one failure among good answers makes a target cold",
    change: |e| {
        serve(e, 1..20, ms(10), Outcome::Complete);
        serve(e, 20..22, ms(500), Outcome::Broken);
    }, expected: (TargetState::Warm, 6) })]
#[case(Change { guards: "a leaving target gets new work",
    change: |e| { e.apply(Event::VmList(vm_list(&["e1"], &["t1"]))); },
    expected: (TargetState::Leaving, 0) })]
#[case(Change { guards: "a target in a zone that is out gets new work",
    change: |e| zone(e, 2, false), expected: (TargetState::Out, 0) })]
#[case(Change { guards: "a zone that returns gets full load at once",
    change: |e| { zone(e, 2, false); e.pass(ms(100)); zone(e, 3, true); },
    expected: (TargetState::Cold, 1) })]
fn a_warm_target_changes(#[case] case: Change) {
    let mut entry = owner_of_warm();
    assert_eq!(status(&entry), (TargetState::Warm, 6));
    (case.change)(&mut entry);
    assert_eq!(status(&entry), case.expected, "guards: {}", case.guards);
}

fn zone(entry: &mut Entry, version: u64, in_service: bool) {
    let mut next = bundle(version, &[("t1", 0)]);
    next.zones[0].in_service = in_service;
    entry.apply(Event::Bundle(Arc::new(next)));
}

/// Guards against a bundle that adds a target and thereby gives it full load: its own word that it
/// is idle and warm must not raise the cap.
#[test]
fn a_new_target_is_cold_whatever_it_says() {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t2", 0)]));
    entry.apply(Event::Bundle(Arc::new(bundle(2, &[("t1", 0), ("t2", 0)]))));
    probed(&mut entry, TargetState::Warm, 1);
    assert_eq!(status(&entry), (TargetState::Cold, 1));
}

/// Guards against a ramp by time alone, and against one that never ends.
#[test]
fn warming_takes_time_and_answers() {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    probed(&mut entry, TargetState::Cold, 1);
    entry.pass(ms(5000));
    assert_eq!(status(&entry), (TargetState::Cold, 1));
    serve(&mut entry, 1..7, ms(100), Outcome::Complete);
    let (state, cap) = status(&entry);
    assert_eq!(state, TargetState::Warming);
    assert!((2..4).contains(&cap), "{cap}");
    serve(&mut entry, 7..20, ms(100), Outcome::Complete);
    assert_eq!(status(&entry), (TargetState::Warm, 6));
}

struct Unowned {
    guards: &'static str,
    state: TargetState,
    dispatched: usize,
}

#[rstest]
#[case(Unowned { guards: "a cold target gets work that nobody counts",
    state: TargetState::Cold, dispatched: 0 })]
#[case(Unowned { guards: "warm targets stand idle, or are flooded, while no owner is known",
    state: TargetState::Warm, dispatched: 2 })]
fn without_an_owner(#[case] case: Unowned) {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    entry.apply(Event::VmList(vm_list(&["e1", "e2"], &[])));
    probed(&mut entry, case.state, 1);
    let sent = (1..=4)
        .map(|id| dispatches(&entry.arrive(id, "GET", "/find")).len())
        .sum::<usize>();
    assert_eq!(sent, case.dispatched, "guards: {}", case.guards);
}

/// Guards against more requests on a cold target than it bears, and against credits that outlive
/// their expiry in a paused process.
#[test]
fn a_cold_target_gets_its_cap_and_no_more() {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    probed(&mut entry, TargetState::Cold, 1);
    entry.pass(ms(3500));
    let mut sent = Vec::new();
    for id in 1..=3 {
        sent.extend(entry.arrive(id, "GET", "/find"));
        sent.extend(entry.pass(ms(10)));
    }
    let sent = dispatches(&sent);
    assert_eq!(sent.len(), 1);
    assert!(sent[0].not_after <= entry.now + GRANT_TTL);
    entry.head(1, 1);
    let next = entry.ended(1, 1, Outcome::Complete);
    assert_eq!(
        dispatches(&next).len(),
        1,
        "a freed slot goes to the queue at once"
    );
}

fn probes(effects: &[Effect]) -> usize {
    let probe = |e: &&Effect| matches!(e, Effect::Probe { .. });
    effects.iter().filter(probe).count()
}

/// Guards against a burst of probes by a new owner, and against probes beyond the budget: 5/1000
/// of 4 slots are 20 ms a second, a probe costs 6 ms.
#[test]
fn probes_keep_to_the_budget() {
    let mut entry = Entry::start(Policy::Credits, with_probe(bundle(1, &[("t1", 0)]), 5));
    let before = entry.pass(ms(1400));
    assert_eq!(probes(&before), 0, "no probe without ownership");
    let mut count = 0;
    for _ in 0..50 {
        let effects = entry.pass(ms(100));
        count += probes(&effects);
        if probes(&effects) > 0 {
            entry.apply(Event::Probed {
                target: t1(),
                report: None,
            });
        }
    }
    assert!((8..=17).contains(&count), "{count}");
}

/// Guards against probes of targets that report with their answers.
#[test]
fn reports_on_answers_take_the_place_of_probes() {
    let mut entry = Entry::start(Policy::Credits, with_probe(bundle(1, &[("t1", 0)]), 5));
    probed(&mut entry, TargetState::Warm, 1);
    entry.pass(ms(3500));
    probed(&mut entry, TargetState::Warm, 1);
    let mut count = 0;
    for id in 1..20 {
        entry.arrive(id, "GET", "/find");
        count += probes(&entry.pass(ms(100)));
        entry.apply(Event::Head {
            request: id,
            attempt: 1,
            status: 200,
            report: Some(report(TargetState::Warm, 1)),
        });
        entry.ended(id, 1, Outcome::Complete);
    }
    assert_eq!(count, 0);
}

/// Guards against a dead target that is never tried again, with and without a load endpoint.
#[rstest]
fn a_dead_target_is_found_to_be_back(#[values(true, false)] probing: bool) {
    let mut plain = bundle(1, &[("t1", 0)]);
    if probing {
        plain = with_probe(plain, 5);
    }
    let mut entry = Entry::start(Policy::Credits, plain);
    probed(&mut entry, TargetState::Warm, 1);
    entry.pass(ms(3500));
    serve(&mut entry, 1..2, MS, Outcome::NotSent);
    assert_eq!(status(&entry), (TargetState::Cold, 0));
    if probing {
        probed(&mut entry, TargetState::Cold, 2);
    } else {
        entry.pass(ms(300));
    }
    let effects = entry.arrive(9, "GET", "/find");
    let later = entry.pass(ms(50));
    assert_eq!(dispatches(&effects).len() + dispatches(&later).len(), 1);
}

/// Guards against a drained entry that goes on claiming targets.
#[test]
fn a_stopping_entry_gives_up_its_targets() {
    let mut entry = owner_of_warm();
    let effects = entry.apply(Event::Drain);
    assert!(effects.contains(&Effect::Ready(false)));
    let effects = entry.pass(LEASE_TTL + ms(100));
    assert!(!entry.state.status().targets[0].owned);
    let lost = |e: &&Effect| matches!(e, Effect::Log(d) if d.kind == DecisionKind::Owner);
    assert_eq!(effects.iter().filter(lost).count(), 1);
}

/// Guards against callers at an entry whose own zone is out, and against one that stays unready.
#[test]
fn readiness_follows_the_own_zone() {
    let ready = |effects: &[Effect]| {
        effects.iter().rev().find_map(|e| match e {
            Effect::Ready(ready) => Some(*ready),
            _ => None,
        })
    };
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 1)]));
    assert!(entry.state.status().ready);
    let mut out = bundle(2, &[("t1", 1)]);
    out.zones[0].in_service = false;
    let effects = entry.apply(Event::Bundle(Arc::new(out)));
    assert_eq!(ready(&effects), Some(false));
    let effects = entry.apply(Event::Bundle(Arc::new(bundle(3, &[("t1", 1)]))));
    assert_eq!(ready(&effects), Some(true));
}

/// Guards against queued requests that go to a zone taken out while they waited.
#[test]
fn queued_requests_follow_a_new_bundle() {
    let mut entry = owner_of_warm();
    let mut sent = 0;
    for id in 1..=10 {
        sent += dispatches(&entry.arrive(id, "GET", "/find")).len();
        sent += dispatches(&entry.pass(ms(5))).len();
    }
    assert_eq!(sent, 8, "six credits, and overflow up to twice the slots");
    let mut out = bundle(2, &[("t1", 0)]);
    out.zones[0].in_service = false;
    let effects = entry.apply(Event::Bundle(Arc::new(out)));
    assert!(dispatches(&effects).is_empty());
    let refused = effects.iter().filter(|e| matches!(e, Effect::Refuse(_)));
    assert_eq!(refused.count(), 2);
}

/// Guards against new work at an entry that cannot know whether its bundle is still in force.
#[test]
fn isolation_refuses_what_waits() {
    let mut entry = owner_of_warm();
    for id in 1..=7 {
        entry.arrive(id, "GET", "/find");
        entry.pass(MS);
    }
    entry.now += FRESH_MAX + ms(500);
    let effects = entry.apply(Event::Tick);
    assert!(dispatches(&effects).is_empty());
    let reason = refusal(&entry.arrive(20, "GET", "/find"));
    assert_eq!(reason, Some((Fate::NotRun, Reason::Isolated)));
}

struct Overflow {
    guards: &'static str,
    state: TargetState,
    /// Requests sent at once, after half the mean latency, and after a long wait.
    sent: [usize; 3],
}

/// The target has 4 slots, of which a cold one bears 1; a warm one is granted 2 on top. This is the
/// only entry, so that its share is 4.
#[rstest]
#[case(Overflow { guards: "requests that wait flood a cold target",
    state: TargetState::Cold, sent: [1, 1, 1] })]
#[case(Overflow { guards: "requests wait for credits for ever, or all go to one warm target",
    state: TargetState::Warm, sent: [6, 8, 10] })]
fn waiting_requests_overflow_within_bounds(#[case] case: Overflow) {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    probed(&mut entry, case.state, 1);
    entry.pass(ms(3500));
    let mut sent = 0;
    for id in 1..=40 {
        sent += dispatches(&entry.arrive(id, "GET", "/find")).len();
    }
    let mut got = [sent, 0, 0];
    sent += dispatches(&entry.pass(ms(90))).len();
    got[1] = sent;
    sent += dispatches(&entry.pass(ms(200))).len();
    got[2] = sent;
    assert_eq!(got, case.sent, "guards: {}", case.guards);
}
