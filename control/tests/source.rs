//! Guards against a number of store calls that grows with the number of entries, and against
//! entries that keep following a source with stale data or follow each other in a cycle.

mod common;

use common::{entry, entry_registered, ms};
use lacewingmoor_control::model::Entry;
use lacewingmoor_control::source::{Source, SourceFailure, SourceHealth, SourceSelector};
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
    let selected = selector.select(ms(100), &view(), &own(case.own), &[SEED.into()], &mut rng());
    assert_eq!(selected, case.selected);
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
        .filter(|entry| selector.select(ms(0), &view, entry, &[], &mut rng()) == Source::Store);
    assert_eq!(following_store.count(), 3);
}

#[test]
fn entry_without_known_peers_uses_a_seed_while_the_store_is_unavailable() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &Source::Store, SourceFailure::Unavailable);
    let selected = selector.select(
        ms(10),
        &View::default(),
        &own("n1"),
        &[SEED.into()],
        &mut rng(),
    );
    assert_eq!(selected, Source::Seed(SEED.into()));
}

#[test]
fn failed_source_is_retried_after_its_backoff() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &peer("n1"), SourceFailure::Unavailable);
    assert_eq!(
        selector.select(ms(100), &view(), &own("n2"), &[], &mut rng()),
        Source::Store
    );
    assert_eq!(
        selector.select(ms(60_000), &view(), &own("n2"), &[], &mut rng()),
        peer("n1")
    );
}

/// Entries that had switched to the store in an outage never switched back to another entry.
#[test]
fn entry_that_follows_the_store_returns_to_another_entry_after_its_backoff() {
    let mut selector = SourceSelector::default();
    selector.record_failure(ms(0), &peer("n1"), SourceFailure::Stale);
    selector.record_failure(ms(0), &peer("n2"), SourceFailure::Stale);
    let (view, own) = (view(), own("n3"));
    let selected = selector.select(ms(100), &view, &own, &[], &mut rng());
    assert_eq!(selected, Source::Store);
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
        selector.select(ms(1500), &view(), &own("n2"), &[], &mut rng()),
        peer("n1")
    );
    selector.record_failure(ms(1500), &peer("n1"), SourceFailure::Unavailable);
    assert_eq!(
        selector.select(ms(3000), &view(), &own("n2"), &[], &mut rng()),
        Source::Store
    );
}
