//! Guards against acting on old, broken or lapsed knowledge.

mod common;

use common::{bundle, ms, node, node_registered, registered, removed, target};
use lacewingmoor_control::facts::{Change, Fact, Subject};
use lacewingmoor_control::view::{Effect, LAPSE_GRACE, TargetChange, View};
use rstest::rstest;

fn bundle_change(version: u64, revision: u64) -> Change {
    Change {
        subject: Subject::Bundle,
        revision,
        fact: Some(Fact::Bundle(bundle(version, &[]))),
    }
}

struct BundleCase {
    changes: &'static [(u64, u64)],
    in_force: u64,
}

#[rstest]
#[case::newer_replaces(BundleCase { changes: &[(3, 10), (7, 11)], in_force: 7 })]
#[case::older_version_at_later_revision(BundleCase { changes: &[(7, 10), (3, 11)], in_force: 7 })]
#[case::older_revision_arrives_late(BundleCase { changes: &[(7, 11), (3, 10)], in_force: 7 })]
#[case::same_twice(BundleCase { changes: &[(7, 11), (7, 11)], in_force: 7 })]
fn bundle_version_never_goes_back(#[case] case: BundleCase) {
    let mut view = View::default();
    for (version, revision) in case.changes {
        view.apply(ms(0), bundle_change(*version, *revision));
    }
    assert_eq!(view.bundle().map(|b| b.version), Some(case.in_force));
}

struct KeptCase {
    fact: Option<Fact>,
    effect: Effect,
}

#[rstest]
#[case::unusable(KeptCase {
    fact: Some(Fact::Unusable("cut short".into())),
    effect: Effect::Unusable("cut short".into()),
})]
#[case::removed(KeptCase { fact: None, effect: Effect::None })]
fn bundle_in_force_stays_and_an_unusable_one_is_told(#[case] case: KeptCase) {
    let mut view = View::default();
    view.apply(ms(0), bundle_change(3, 10));
    let change = Change {
        subject: Subject::Bundle,
        revision: 11,
        fact: case.fact,
    };
    assert_eq!(view.apply(ms(0), change), case.effect);
    assert_eq!(view.bundle().map(|b| b.version), Some(3));
}

#[test]
fn older_registration_does_not_bring_a_target_back() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    view.apply(ms(0), removed("t", 12));
    let late = view.apply(ms(0), registered(target("t", "north-a", "north"), 11));
    assert_eq!(late, Effect::None);
    assert!(view.target("t").is_none());
    assert!(view.service("lanes").is_empty());
}

#[test]
fn unreadable_registration_names_no_target() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    view.apply(ms(0), registered(target("u", "north-a", "north"), 11));
    let broken = Change {
        subject: Subject::Target("t".into()),
        revision: 12,
        fact: Some(Fact::Unusable("no address".into())),
    };
    assert!(matches!(view.apply(ms(0), broken), Effect::Unusable(_)));
    assert!(view.target("t").is_none());
    assert!(view.target("u").is_some(), "the other targets hold");
}

#[test]
fn restart_under_the_same_id_is_told_from_an_update() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    let mut update = target("t", "north-a", "north");
    update.slots = 6;
    let effect = view.apply(ms(0), registered(update, 11));
    assert_eq!(effect, Effect::Target("t".into(), TargetChange::Updated));
    let mut restarted = target("t", "north-a", "north");
    restarted.born_unix_ms = Some(2);
    let effect = view.apply(ms(0), registered(restarted, 12));
    assert_eq!(effect, Effect::Target("t".into(), TargetChange::Restarted));
}

#[test]
fn target_that_moves_to_another_service_leaves_the_first() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    let mut moved = target("t", "north-a", "north");
    moved.service = "plans".into();
    view.apply(ms(0), registered(moved, 11));
    assert!(view.service("lanes").is_empty());
    assert_eq!(view.service("plans").len(), 1);
}

#[test]
fn removal_without_an_outage_takes_effect_at_once() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    view.apply(ms(10_000), removed("t", 11));
    assert!(view.target("t").is_none());
}

#[test]
fn registration_that_lapsed_with_the_store_is_kept_for_the_grace_only() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("back", "north-a", "north"), 10));
    view.apply(ms(0), registered(target("gone", "north-a", "north"), 11));
    view.store_returned(ms(5000));
    view.apply(ms(5010), removed("back", 12));
    view.apply(ms(5010), removed("gone", 13));
    assert!(view.target("back").is_some() && view.target("gone").is_some());
    view.apply(ms(6000), registered(target("back", "north-a", "north"), 14));
    view.expire(ms(5000) + LAPSE_GRACE);
    assert!(view.target("back").is_some(), "it registered again");
    assert!(view.target("gone").is_none(), "it is taken as gone");
}

#[test]
fn draining_target_is_not_kept_after_an_outage() {
    let mut view = View::default();
    let mut draining = target("t", "north-a", "north");
    draining.draining = true;
    view.apply(ms(0), registered(draining, 10));
    view.store_returned(ms(5000));
    view.apply(ms(5010), removed("t", 11));
    assert!(view.target("t").is_none());
}

#[test]
fn zone_goes_out_and_comes_back() {
    let mut view = View::default();
    let change = |revision, fact| Change {
        subject: Subject::ZoneOut("north-a".into()),
        revision,
        fact,
    };
    view.apply(ms(0), change(10, Some(Fact::ZoneOut)));
    assert!(view.is_out("north-a"));
    view.apply(ms(0), change(11, None));
    assert!(!view.is_out("north-a"));
    view.apply(ms(0), change(10, Some(Fact::ZoneOut)));
    assert!(!view.is_out("north-a"), "a late repetition changes nothing");
}

/// Soak seeds 706 and 709: entries that started while the store was silent each asked targets as
/// often as all may together.
#[test]
fn entries_are_assumed_to_be_many_while_their_registrations_are_overdue() {
    let mut view = View::default();
    view.apply(
        ms(0),
        node_registered(node("n1", "north-a", "north", 10), 1),
    );
    assert_eq!((view.node_count(), view.nodes_in_zone("north-a")), (1, 1));
    view.entries_overdue();
    assert_eq!(
        (view.node_count(), view.nodes_in_zone("north-a")),
        (128, 20)
    );
    view.entries_read();
    assert_eq!((view.node_count(), view.nodes_in_zone("north-a")), (1, 1));
    view.entries_overdue();
    view.apply(
        ms(0),
        node_registered(node("n2", "north-b", "north", 10), 2),
    );
    assert_eq!((view.node_count(), view.nodes_in_zone("north-a")), (2, 1));
}
