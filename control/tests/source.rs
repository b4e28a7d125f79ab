//! Guards against a number of store calls that grows with the number of entries, and against
//! entries that keep following a source with stale data or follow each other in a cycle.

mod common;

use std::time::Duration;

use common::{entry, entry_registered, ms};
use lacewingmoor_control::model::Entry;
use lacewingmoor_control::source::{Search, Source, SourceFailure, SourceHealth, SourceSelector};
use lacewingmoor_control::view::View;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;

const SEED: ([u8; 4], u16) = ([127, 0, 0, 9], 7000);

fn all_entries() -> Vec<Entry> {
    vec![
        entry("n1", "north-a", "north", 20),
        entry("n2", "north-a", "north", 20),
        entry("n3", "north-a", "north", 10),
        entry("n4", "north-b", "north", 10),
        entry("n5", "north-b", "north", 10),
        entry("s1", "south-a", "south", 50),
        entry("s2", "south-a", "south", 50),
    ]
}

fn view() -> View {
    let mut view = View::default();
    for (i, entry) in all_entries().into_iter().enumerate() {
        view.apply(ms(0), entry_registered(entry, i as u64 + 1));
    }
    view
}

fn own(name: &str) -> Entry {
    let mut all_entries = all_entries().into_iter();
    all_entries
        .find(|entry| &*entry.name == name)
        .expect("an entry has the name")
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Returns the state of a search that has lasted for `duration`.
fn search(duration: Duration) -> Search<'static> {
    Search {
        duration,
        has_data: true,
        apply_deadline: ms(2000),
        seeds: &[],
    }
}

/// Selects a source after a search that was long enough for a leaf entry to try the store.
fn select(
    selector: &mut SourceSelector,
    now: Duration,
    view: &View,
    own: &Entry,
) -> Option<Source> {
    selector.select(now, view, own, &search(ms(2000)), &mut rng())
}

fn peer(name: &str) -> Source {
    Source::Peer(name.into())
}

struct Case {
    own: &'static str,
    failed: Vec<Source>,
    selected: Source,
}

#[rstest]
#[case::highest_ranked_of_region(Case { own: "n1", failed: vec![], selected: Source::Store })]
#[case::highest_ranked_of_other_region(Case { own: "s1", failed: vec![], selected: Source::Store })]
#[case::follows_in_zone(Case { own: "n3", failed: vec![], selected: peer("n1") })]
#[case::highest_ranked_of_zone(Case { own: "n4", failed: vec![], selected: peer("n1") })]
#[case::lower_ranked_of_zone(Case { own: "n5", failed: vec![], selected: peer("n4") })]
#[case::first_failed(Case { own: "n3", failed: vec![peer("n1")], selected: peer("n2") })]
#[case::two_failed(Case { own: "n3", failed: vec![peer("n1"), peer("n2")], selected: Source::Store })]
#[case::store_unavailable(Case { own: "n1", failed: vec![Source::Store, peer("n4")], selected: peer("n5") })]
#[case::other_region_unavailable(Case {
    own: "s1",
    failed: vec![Source::Store, peer("n1"), peer("n2"), peer("n3"), peer("n4"), peer("n5")],
    selected: peer("s2"),
})]
fn source_is_selected_by_rank_and_past_failures(#[case] case: Case) {
    let mut selector = SourceSelector::default();
    for source in &case.failed {
        selector.record_failure(ms(0), source, SourceFailure::Unavailable);
    }
    let selected = select(&mut selector, ms(100), &view(), &own(case.own));
    assert_eq!(selected, Some(case.selected));
}

#[test]
fn one_entry_per_region_follows_the_store() {
    let mut view = View::default();
    for i in 0..300 {
        let zone = format!("zone-{}", i % 6);
        let region = format!("region-{}", i % 3);
        view.apply(
            ms(0),
            entry_registered(entry(&format!("n{i}"), &zone, &region, 10), i + 1),
        );
    }
    let mut selector = SourceSelector::default();
    let entries: Vec<Entry> = view.entries().map(|entry| (**entry).clone()).collect();
    let following_store = entries
        .iter()
        .filter(|entry| select(&mut selector, ms(0), &view, entry) == Some(Source::Store));
    assert_eq!(following_store.count(), 3);
}

/// Load pattern: hundreds of leaf entries. One that all of them followed would send each change to all
/// of them over the link of one small VM.
#[test]
fn leaf_entries_are_spread_over_the_strongest_registered_entries_of_their_zone() {
    let (view, mut selector) = (view(), SourceSelector::default());
    let mut counts = [0; 2];
    for i in 0..100 {
        let leaf = entry(&format!("leaf-{i}"), "north-a", "north", 90);
        match select(&mut selector, ms(0), &view, &leaf) {
            Some(source) if source == peer("n1") => counts[0] += 1,
            Some(source) if source == peer("n2") => counts[1] += 1,
            source => panic!("{source:?} is selected"),
        }
    }
    assert!(counts.iter().all(|count| *count > 30), "{counts:?}");
}

struct LeafCase {
    zone: &'static str,
    region: &'static str,
    failed: Vec<Source>,
    selected: Source,
}

#[rstest]
#[case::own_zone_first(LeafCase { zone: "north-b", region: "north", failed: vec![peer("n4")], selected: peer("n5") })]
#[case::two_tries(LeafCase { zone: "north-b", region: "north", failed: vec![peer("n4"), peer("n5")], selected: Source::Store })]
#[case::no_registered_entry_in_region(LeafCase { zone: "west-a", region: "west", failed: vec![], selected: Source::Store })]
fn leaf_entry_tries_two_registered_entries_and_then_the_store(#[case] case: LeafCase) {
    let mut selector = SourceSelector::default();
    for source in &case.failed {
        selector.record_failure(ms(0), source, SourceFailure::Unavailable);
    }
    let leaf = entry("leaf", case.zone, case.region, 10);
    let selected = select(&mut selector, ms(100), &view(), &leaf);
    assert_eq!(selected, Some(case.selected));
}

/// Load pattern: the store rejects every call for 8 s. Each of hundreds of leaf entries called it about
/// once a second.
#[test]
fn leaf_entries_seldom_call_a_store_that_rejects_every_call() {
    let view = view();
    let store_calls = |entry: &Entry| {
        let (mut selector, mut rng) = (SourceSelector::default(), rng());
        let mut calls = 0;
        for at in (100..8000).step_by(100) {
            let search = search(ms(at));
            let Some(source) = selector.select(ms(at), &view, entry, &search, &mut rng) else {
                continue;
            };
            calls += u32::from(source == Source::Store);
            selector.record_failure(ms(at), &source, SourceFailure::Stale);
        }
        calls
    };
    let leaf = store_calls(&entry("leaf", "north-b", "north", 10));
    assert!((1..=4).contains(&leaf), "{leaf} calls by a leaf entry");
    let registered = store_calls(&own("n1"));
    assert!(
        (8..=12).contains(&registered),
        "{registered} calls by a registered entry"
    );
}

/// Guards against a leaf entry that stays without changes because the sources that it knows are cut off
/// from the store.
#[test]
fn leaf_entry_tries_other_zones_and_then_the_store_within_the_apply_deadline() {
    let view = view();
    let leaf = entry("leaf", "north-b", "north", 10);
    let mut selector = SourceSelector::default();
    for name in ["n4", "n5"] {
        selector.record_failure(ms(0), &peer(name), SourceFailure::Stale);
    }
    let first = selector.select(ms(100), &view, &leaf, &search(ms(100)), &mut rng());
    assert!(matches!(first, Some(Source::Peer(_))), "{first:?}");
    let later = selector.select(ms(900), &view, &leaf, &search(ms(900)), &mut rng());
    assert_eq!(later, Some(Source::Store));
}

/// Load pattern: all processes restart. The sources of a leaf entry refuse connections for some
/// milliseconds, and a leaf entry that gave them up for seconds served no requests until it tried the
/// store.
#[test]
fn leaf_entry_without_data_tries_its_sources_again_soon_and_then_the_store() {
    let view = view();
    let leaf = entry("leaf", "north-b", "north", 10);
    let mut selector = SourceSelector::default();
    let mut selected = Vec::new();
    for at in (0..=450).step_by(50) {
        let search = Search {
            has_data: false,
            ..search(ms(at))
        };
        let source = selector.select(ms(at), &view, &leaf, &search, &mut rng());
        if let Some(source) = source {
            selector.record_failure(ms(at), &source, SourceFailure::UnavailableAtStart);
            selected.push(source);
        }
    }
    let tries = selected.iter().filter(|source| **source == peer("n4"));
    assert!(tries.count() >= 3, "{selected:?}");
    assert!(selected.contains(&Source::Store), "{selected:?}");
}

/// The registrations of two dead entries stay for a while; a third entry that has registered since
/// was not tried.
#[test]
fn entry_that_registers_after_others_failed_is_used() {
    let mut view = view();
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &peer("n4"), SourceFailure::Unavailable);
    selector.record_failure(ms(300), &peer("n5"), SourceFailure::Unavailable);
    let leaf = entry("leaf", "north-b", "north", 10);
    let selected = select(&mut selector, ms(600), &view, &leaf);
    assert_eq!(selected, Some(Source::Store));
    view.apply(
        ms(900),
        entry_registered(entry("n6", "north-b", "north", 5), 99),
    );
    assert_eq!(
        selector.higher_ranked(ms(1000), &view, &leaf),
        Some(peer("n6"))
    );
}

/// A leaf entry that followed an entry of another zone after two failures left it at once for one of its
/// own zone, which was then not selected, thousands of times a second.
#[rstest]
#[case::short_search(ms(100))]
#[case::long_search(ms(2000))]
fn source_that_a_leaf_entry_leaves_for_another_is_not_selected_again(#[case] duration: Duration) {
    let view = view();
    let leaf = entry("leaf", "north-b", "north", 10);
    let mut selector = SourceSelector::default();
    for name in ["n4", "n5"] {
        selector.record_failure(ms(0), &peer(name), SourceFailure::Stale);
    }
    for at in (0..10_000).step_by(100) {
        let search = search(duration);
        let selected = selector.select(ms(at), &view, &leaf, &search, &mut rng());
        if let Some(Source::Peer(name)) = selected {
            let source = view.entry(&name).expect("the source is registered");
            let leaves = selector.should_leave(ms(at), &view, &leaf, source);
            assert!(!leaves, "{name} is selected at {at} ms and left at once");
        }
    }
}

struct LeaveCase {
    own: Entry,
    source: &'static str,
    leaves: bool,
}

#[rstest]
#[case::leaf_in_own_zone(LeaveCase { own: entry("leaf", "north-b", "north", 10), source: "n5", leaves: false })]
#[case::leaf_in_other_zone(LeaveCase { own: entry("leaf", "north-b", "north", 10), source: "n1", leaves: true })]
#[case::leaf_of_a_zone_without_registered_entries(LeaveCase { own: entry("leaf", "north-c", "north", 10), source: "n1", leaves: false })]
#[case::registered_since_and_ranks_higher(LeaveCase { own: own("n1"), source: "n2", leaves: true })]
#[case::registered_since_and_ranks_lower(LeaveCase { own: own("n5"), source: "n4", leaves: false })]
fn leaf_entry_returns_to_its_zone_and_a_registered_one_to_the_order_of_ranks(
    #[case] case: LeaveCase,
) {
    let (view, selector) = (view(), SourceSelector::default());
    let source = own(case.source);
    assert_eq!(
        selector.should_leave(ms(0), &view, &case.own, &source),
        case.leaves
    );
}

#[test]
fn entry_without_known_peers_uses_a_seed_while_the_store_is_unavailable() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &Source::Store, SourceFailure::Unavailable);
    let search = Search {
        seeds: &[SEED.into()],
        ..search(ms(10))
    };
    let selected = selector.select(ms(10), &View::default(), &own("n1"), &search, &mut rng());
    assert_eq!(selected, Some(Source::Seed(SEED.into())));
}

#[test]
fn failed_source_is_retried_after_its_backoff() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &peer("n1"), SourceFailure::Unavailable);
    assert_eq!(
        select(&mut selector, ms(100), &view(), &own("n2")),
        Some(Source::Store)
    );
    assert_eq!(
        select(&mut selector, ms(60_000), &view(), &own("n2")),
        Some(peer("n1"))
    );
}

/// Entries that had switched to the store in an outage never switched back to another entry.
#[test]
fn entry_that_follows_the_store_returns_to_another_entry_after_its_backoff() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &peer("n1"), SourceFailure::Stale);
    selector.record_failure(ms(0), &peer("n2"), SourceFailure::Stale);
    let (view, own) = (view(), own("n3"));
    let selected = select(&mut selector, ms(100), &view, &own);
    assert_eq!(selected, Some(Source::Store));
    assert_eq!(selector.higher_ranked(ms(500), &view, &own), None);
    assert_eq!(
        selector.higher_ranked(ms(5000), &view, &own),
        Some(peer("n1"))
    );
}

struct HealthCase {
    age_ms: u64,
    searching_ms: u64,
    same_zone: bool,
    usable: bool,
}

#[rstest]
#[case::fresh(HealthCase { age_ms: 900, searching_ms: 0, same_zone: false, usable: true })]
#[case::stale(HealthCase { age_ms: 1500, searching_ms: 0, same_zone: false, usable: false })]
#[case::same_zone_while_store_does_not_respond(HealthCase { age_ms: 1500, searching_ms: 0, same_zone: true, usable: true })]
#[case::same_zone_older_than_the_apply_deadline(HealthCase { age_ms: 2000, searching_ms: 0, same_zone: true, usable: false })]
#[case::searching_too_long(HealthCase { age_ms: 100, searching_ms: 200, same_zone: false, usable: false })]
#[case::searching_briefly(HealthCase { age_ms: 100, searching_ms: 60, same_zone: false, usable: true })]
#[case::same_zone_searching_briefly(HealthCase { age_ms: 100, searching_ms: 200, same_zone: true, usable: true })]
#[case::same_zone_searching_too_long(HealthCase { age_ms: 100, searching_ms: 400, same_zone: true, usable: false })]
fn stale_sources_are_left_in_time_and_those_of_the_own_zone_last(#[case] case: HealthCase) {
    let health = SourceHealth {
        age: ms(case.age_ms),
        searching: ms(case.searching_ms),
    };
    assert_eq!(health.is_usable(ms(2000), case.same_zone), case.usable);
}

#[test]
fn stale_source_is_retried_sooner_than_an_unavailable_one() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &peer("n1"), SourceFailure::Stale);
    assert_eq!(
        select(&mut selector, ms(1500), &view(), &own("n2")),
        Some(peer("n1"))
    );
    selector.record_failure(ms(1500), &peer("n1"), SourceFailure::Unavailable);
    assert_eq!(
        select(&mut selector, ms(3000), &view(), &own("n2")),
        Some(Source::Store)
    );
}
