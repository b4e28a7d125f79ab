//! Guards against calls of the store that grow with the fleet, and against entries that stay with
//! a source that has lost the store or that feed each other.

mod common;

use common::{ms, node, node_registered};
use lacewingmoor_control::facts::Node;
use lacewingmoor_control::source::{Failure, Source, Sources, State};
use lacewingmoor_control::view::View;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;

const SEED: ([u8; 4], u16) = ([127, 0, 0, 9], 7000);

fn fleet() -> Vec<Node> {
    vec![
        node("n1", "north-a", "north", 20),
        node("n2", "north-a", "north", 20),
        node("n3", "north-a", "north", 10),
        node("n4", "north-b", "north", 10),
        node("n5", "north-b", "north", 10),
        node("s1", "south-a", "south", 50),
        node("s2", "south-a", "south", 50),
    ]
}

fn view() -> View {
    let mut view = View::default();
    for (i, node) in fleet().into_iter().enumerate() {
        view.apply(ms(0), node_registered(node, i as u64 + 1));
    }
    view
}

fn own(name: &str) -> Node {
    let mut fleet = fleet().into_iter();
    fleet
        .find(|n| &*n.name == name)
        .expect("the name is in the fleet")
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

fn peer(name: &str) -> Source {
    Source::Peer(name.into())
}

struct Case {
    own: &'static str,
    failed: Vec<Source>,
    chosen: Source,
}

#[rstest]
#[case::first_of_region(Case { own: "n1", failed: vec![], chosen: Source::Store })]
#[case::first_of_other_region(Case { own: "s1", failed: vec![], chosen: Source::Store })]
#[case::in_zone(Case { own: "n3", failed: vec![], chosen: peer("n1") })]
#[case::first_of_zone(Case { own: "n4", failed: vec![], chosen: peer("n1") })]
#[case::behind_first_of_zone(Case { own: "n5", failed: vec![], chosen: peer("n4") })]
#[case::first_failed(Case { own: "n3", failed: vec![peer("n1")], chosen: peer("n2") })]
#[case::two_failed(Case { own: "n3", failed: vec![peer("n1"), peer("n2")], chosen: Source::Store })]
#[case::turned_away(Case { own: "n1", failed: vec![Source::Store, peer("n4")], chosen: peer("n5") })]
#[case::region_away(Case {
    own: "s1",
    failed: vec![Source::Store, peer("n1"), peer("n2"), peer("n3"), peer("n4"), peer("n5")],
    chosen: peer("s2"),
})]
fn source_follows_rank_and_failures(#[case] case: Case) {
    let mut sources = Sources::default();
    for source in &case.failed {
        sources.failed(ms(0), source, Failure::Lost);
    }
    let chosen = sources.choose(ms(100), &view(), &own(case.own), &[SEED.into()], &mut rng());
    assert_eq!(chosen, case.chosen);
}

#[test]
fn entries_that_follow_the_store_do_not_grow_with_the_fleet() {
    let mut view = View::default();
    for i in 0..300 {
        let zone = format!("zone-{}", i % 6);
        let region = format!("region-{}", i % 3);
        view.apply(
            ms(0),
            node_registered(node(&format!("n{i}"), &zone, &region, 10), i + 1),
        );
    }
    let mut sources = Sources::default();
    let nodes: Vec<Node> = view.nodes().map(|n| (**n).clone()).collect();
    let follow = nodes
        .iter()
        .filter(|n| sources.choose(ms(0), &view, n, &[], &mut rng()) == Source::Store);
    assert_eq!(follow.count(), 3);
}

#[test]
fn entry_that_knows_nobody_starts_from_a_seed_while_the_store_is_away() {
    let mut sources = Sources::default();
    sources.failed(ms(0), &Source::Store, Failure::Lost);
    let chosen = sources.choose(
        ms(10),
        &View::default(),
        &own("n1"),
        &[SEED.into()],
        &mut rng(),
    );
    assert_eq!(chosen, Source::Seed(SEED.into()));
}

#[test]
fn failed_source_is_tried_again_later() {
    let mut sources = Sources::default();
    sources.failed(ms(0), &peer("n1"), Failure::Lost);
    assert_eq!(
        sources.choose(ms(100), &view(), &own("n2"), &[], &mut rng()),
        Source::Store
    );
    assert_eq!(
        sources.choose(ms(60_000), &view(), &own("n2"), &[], &mut rng()),
        peer("n1")
    );
}

/// Every entry that an outage had sent to the store stayed there for good.
#[test]
fn entry_that_follows_the_store_returns_to_a_source_that_failed() {
    let mut sources = Sources::default();
    sources.failed(ms(0), &peer("n1"), Failure::Old);
    sources.failed(ms(0), &peer("n2"), Failure::Old);
    let (view, own) = (view(), own("n3"));
    let chosen = sources.choose(ms(100), &view, &own, &[], &mut rng());
    assert_eq!(chosen, Source::Store);
    assert_eq!(sources.better(ms(500), &view, &own), None);
    assert_eq!(sources.better(ms(5000), &view, &own), Some(peer("n1")));
}

struct StateCase {
    age_ms: u64,
    searching_ms: u64,
    in_zone: bool,
    good: bool,
}

#[rstest]
#[case::fresh(StateCase { age_ms: 900, searching_ms: 0, in_zone: false, good: true })]
#[case::old(StateCase { age_ms: 1500, searching_ms: 0, in_zone: false, good: false })]
#[case::store_pauses_in_zone(StateCase { age_ms: 1500, searching_ms: 0, in_zone: true, good: true })]
#[case::older_than_a_change_may_be(StateCase { age_ms: 2000, searching_ms: 0, in_zone: true, good: false })]
#[case::turned_away(StateCase { age_ms: 100, searching_ms: 200, in_zone: false, good: false })]
#[case::switching(StateCase { age_ms: 100, searching_ms: 60, in_zone: false, good: true })]
#[case::first_of_zone_switches(StateCase { age_ms: 100, searching_ms: 200, in_zone: true, good: true })]
#[case::first_of_zone_finds_none(StateCase { age_ms: 100, searching_ms: 400, in_zone: true, good: false })]
fn source_is_left_in_time_level_by_level(#[case] case: StateCase) {
    let state = State {
        age: ms(case.age_ms),
        searching: ms(case.searching_ms),
    };
    assert_eq!(state.is_good(ms(2000), case.in_zone), case.good);
}

#[test]
fn source_whose_knowledge_was_old_is_tried_again_sooner() {
    let mut sources = Sources::default();
    sources.failed(ms(0), &peer("n1"), Failure::Old);
    assert_eq!(
        sources.choose(ms(1500), &view(), &own("n2"), &[], &mut rng()),
        peer("n1")
    );
    sources.failed(ms(1500), &peer("n1"), Failure::Lost);
    assert_eq!(
        sources.choose(ms(3000), &view(), &own("n2"), &[], &mut rng()),
        Source::Store
    );
}
