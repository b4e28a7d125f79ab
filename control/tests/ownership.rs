//! Votes and grants, with peers whose messages are written by hand.

mod common;

use std::time::Duration;

use common::*;
use lacewingmoor_bundle::{NodeId, TargetId, node_id, target_id};
use lacewingmoor_control::*;
use rstest::rstest;

fn t1() -> TargetId {
    target_id("pool", "t1")
}

fn peer(entry: &mut Entry, name: &str, incarnation: u64, message: Message) -> Vec<Effect> {
    entry.apply(Event::Peer {
        from: node_id(name),
        incarnation,
        message,
    })
}

fn sent(effects: &[Effect]) -> impl Iterator<Item = (NodeId, &Message)> {
    effects.iter().filter_map(|e| match e {
        Effect::Send { to, message } => Some((*to, message)),
        _ => None,
    })
}

/// Starts an entry in a roster with `e2` and `e3`; returns it with the hash of the roster.
fn voter() -> (Entry, u64) {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    entry.apply(Event::VmList(vm_list(&["e1", "e2", "e3"], &[])));
    let effects = entry.pass(ms(1400));
    assert!(sent(&effects).all(|(_, m)| !matches!(m, Message::Claim { .. })));
    (entry, roster_hash(&["e1", "e2", "e3"]))
}

/// Returns the hash of the roster of these entries, as a claim carries it.
fn roster_hash(names: &[&str]) -> u64 {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    entry.apply(Event::VmList(vm_list(names, &[])));
    let effects = entry.pass(ms(3000));
    let hash = sent(&effects).find_map(|(_, message)| match message {
        Message::Claim { roster, .. } => Some(*roster),
        _ => None,
    });
    hash.expect("an entry that hears no peer claims its target")
}

/// Guards against a region whose targets have no owner for seconds whenever a VM is replaced, and
/// against a change of roster that lets another claimant in early.
#[test]
fn a_new_roster_renews_promises_only() {
    let (mut entry, hash) = voter();
    entry.now += ms(2000);
    assert!(votes(&mut entry, "e2", 1, hash));
    entry.apply(Event::VmList(vm_list(&["e1", "e2", "e4"], &[])));
    let hash = roster_hash(&["e1", "e2", "e4"]);
    entry.now += ms(500);
    assert!(!votes(&mut entry, "e4", 1, hash), "promised to e2");
    assert!(votes(&mut entry, "e2", 1, hash), "renewal");
    assert!(!votes(&mut entry, "e2", 2, hash), "e2 has restarted");
    entry.apply(Event::VmList(vm_list(&["e1", "e2", "e3"], &[])));
    entry.now += ms(1499);
    assert!(votes(&mut entry, "e2", 1, roster_hash(&["e1", "e2", "e3"])));
    entry.apply(Event::VmList(vm_list(&["e1", "e2", "e4"], &[])));
    entry.now += ms(1499);
    entry.apply(Event::VmList(vm_list(&["e1", "e2", "e3"], &[])));
    entry.now += ms(2);
    let hash = roster_hash(&["e1", "e2", "e3"]);
    assert!(!votes(&mut entry, "e2", 1, hash), "the promise has ended");
}

fn votes(entry: &mut Entry, name: &str, incarnation: u64, roster: u64) -> bool {
    let claim = Message::Claim {
        sent: ms(77),
        roster,
        targets: vec![t1()],
    };
    let effects = peer(entry, name, incarnation, claim);
    sent(&effects).any(|(to, message)| {
        let granted = Message::Vote {
            claim_sent: ms(77),
            granted: vec![t1()],
        };
        to == node_id(name) && *message == granted
    })
}

struct Claims {
    guards: &'static str,
    /// Time before the claims; the voter has run for 1.4 s before.
    wait: Duration,
    wrong_roster: bool,
    /// Claimant, incarnation, time since the claim before and whether it gets the vote.
    claims: &'static [(&'static str, u64, u64, bool)],
}

#[rstest]
#[case(Claims { guards: "a process votes that may have voted before it restarted",
    wait: ms(10), wrong_roster: false, claims: &[("e2", 1, 0, false)] })]
#[case(Claims { guards: "entries with different rosters elect two owners",
    wait: ms(2000), wrong_roster: true, claims: &[("e2", 1, 0, false)] })]
#[case(Claims { guards: "a claimant outside the roster is elected",
    wait: ms(2000), wrong_roster: false, claims: &[("e9", 1, 0, false)] })]
#[case(Claims { guards: "one voter elects two owners",
    wait: ms(2000), wrong_roster: false,
    claims: &[("e2", 1, 0, true), ("e3", 1, 1400, false), ("e2", 1, 50, true),
        ("e3", 1, 1400, false), ("e3", 1, 200, true)] })]
#[case(Claims { guards: "a restarted owner takes over from itself too early",
    wait: ms(2000), wrong_roster: false,
    claims: &[("e2", 1, 0, true), ("e2", 2, 1000, false), ("e2", 2, 600, true)] })]
fn votes_for_one_claimant(#[case] case: Claims) {
    let (mut entry, hash) = voter();
    // The entry's own claims would take its vote; heartbeats keep it from ranking first alone.
    entry.now += case.wait;
    let roster = if case.wrong_roster { hash + 1 } else { hash };
    for (name, incarnation, after, expected) in case.claims {
        entry.now += ms(*after);
        let voted = votes(&mut entry, name, *incarnation, roster);
        assert_eq!(voted, *expected, "{name}: guards: {}", case.guards);
    }
}

fn item(in_use: u32, wanted: u32, spare: u32, held: u32) -> DemandItem {
    DemandItem {
        target: t1(),
        in_use,
        wanted,
        spare,
        held,
        answered: 0,
    }
}

/// Sends a demand and returns the slots granted to each entry by the answer.
fn demand(entry: &mut Entry, name: &str, sent_ms: u64, item: DemandItem) -> Vec<(NodeId, u32)> {
    let message = Message::Demand {
        sent: ms(sent_ms),
        items: vec![item],
    };
    slots(&peer(entry, name, 1, message))
}

fn slots(effects: &[Effect]) -> Vec<(NodeId, u32)> {
    let grants = sent(effects).filter_map(|(to, message)| match message {
        Message::Grant { items, .. } => Some((to, items[0].slots)),
        _ => None,
    });
    grants.collect()
}

/// Starts an entry that alone votes in its region and owns the cold target `t1` with a cap of 1.
fn owner() -> Entry {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    entry.pass(ms(3500));
    assert!(entry.state.status().targets[0].owned);
    entry
}

struct Granting {
    guards: &'static str,
    /// Entry, its clock, its demand, and what is granted to whom in answer.
    steps: &'static [Step],
}

type Step = (
    &'static str,
    u64,
    (u32, u32, u32, u32),
    &'static [(&'static str, u32)],
);

#[rstest]
#[case(Granting { guards: "a slot is granted twice",
    steps: &[("e2", 10, (0, 1, 0, 0), &[("e2", 1)]), ("e3", 10, (0, 1, 0, 0), &[("e3", 0)])] })]
#[case(Granting { guards: "a slot is granted again before its holder has confirmed the return",
    steps: &[("e2", 10, (0, 0, 4, 0), &[("e2", 1)]),
        ("e3", 10, (0, 1, 0, 0), &[("e2", 0), ("e3", 0)]),
        ("e2", 20, (0, 0, 4, 0), &[("e2", 0), ("e3", 1)])] })]
#[case(Granting { guards: "a returned slot stands idle while another entry waits",
    steps: &[("e2", 10, (1, 1, 0, 1), &[("e2", 1)]), ("e3", 10, (0, 1, 0, 0), &[("e3", 0)]),
        ("e2", 20, (0, 0, 0, 0), &[("e2", 0), ("e3", 1)])] })]
#[case(Granting { guards: "a demand that was overtaken counts",
    steps: &[("e2", 20, (0, 1, 0, 0), &[("e2", 1)]), ("e2", 10, (0, 0, 0, 0), &[]),
        ("e3", 10, (0, 1, 0, 0), &[("e3", 0)])] })]
#[case(Granting { guards: "credits keep a cold target above its cap after a takeover",
    steps: &[("e2", 10, (1, 1, 0, 0), &[("e2", 1)]),
        ("e3", 10, (1, 9, 0, 0), &[("e2", 0), ("e3", 0)])] })]
fn grants_a_cold_slot_once(#[case] case: Granting) {
    let mut entry = owner();
    for (name, at, (in_use, wanted, spare, held), expected) in case.steps {
        let mut got = demand(&mut entry, name, *at, item(*in_use, *wanted, *spare, *held));
        got.sort_unstable();
        let mut expected: Vec<(NodeId, u32)> =
            expected.iter().map(|(n, s)| (node_id(n), *s)).collect();
        expected.sort_unstable();
        assert_eq!(got, expected, "{name} at {at}: guards: {}", case.guards);
    }
}

/// Guards against two loads on a cold target when an entry falls silent with work in flight.
#[test]
fn slots_of_a_silent_entry_stay_taken_for_a_while() {
    let mut entry = owner();
    assert_eq!(
        demand(&mut entry, "e2", 10, item(0, 1, 0, 0)),
        [(node_id("e2"), 1)]
    );
    entry.pass(ms(3000));
    assert_eq!(
        demand(&mut entry, "e3", 10, item(0, 1, 0, 0)),
        [(node_id("e3"), 0)]
    );
    entry.pass(ms(4000));
    assert_eq!(
        demand(&mut entry, "e3", 20, item(0, 1, 0, 0)),
        [(node_id("e3"), 1)]
    );
}

/// Guards against grants on top of those of an earlier owner.
#[test]
fn a_new_owner_waits_before_it_grants() {
    let mut entry = Entry::start(Policy::Credits, bundle(1, &[("t1", 0)]));
    while !entry.state.status().targets[0].owned {
        entry.pass(ms(50));
    }
    assert!(demand(&mut entry, "e2", 10, item(0, 1, 0, 0)).is_empty());
    let early = entry.pass(GRANT_TTL - ms(100));
    assert!(slots(&early).is_empty());
    assert!(
        !demand(&mut entry, "e2", 900, item(0, 1, 0, 0)).is_empty() || {
            let late = entry.pass(ms(200));
            slots(&late).contains(&(node_id("e2"), 1))
        }
    );
}

/// Guards against a frozen owner that goes on granting after its lease has ended.
#[test]
fn an_owner_whose_lease_ended_grants_nothing() {
    let mut entry = owner();
    entry.now += LEASE_TTL + ms(10);
    assert!(demand(&mut entry, "e2", 10, item(0, 1, 0, 0)).is_empty());
}

/// Guards against an entry that sees a cold target and keeps it to itself.
#[test]
fn tells_the_owner_what_it_saw() {
    let (mut entry, hash) = voter();
    entry.now += ms(1500);
    assert!(votes(&mut entry, "e2", 1, hash));
    let report = |start| LoadReport {
        state: TargetState::Warm,
        in_flight: 0,
        queue: 0,
        start,
    };
    let probed = |start| Event::Probed {
        target: t1(),
        report: Some(report(start)),
    };
    entry.apply(probed(1));
    let effects = entry.apply(probed(2));
    let told = Message::Observe {
        target: t1(),
        observation: Observation::Restarted { start: 2 },
    };
    assert!(sent(&effects).any(|(to, m)| to == node_id("e2") && *m == told));
}
