//! Guards against acting on stale, invalid or expired records.

mod common;

use std::rc::Rc;

use common::{bundle, entry, entry_registered, in_era, ms, registered, removed, rev, target};
use lacewingmoor_bundle::ValidationError;
use lacewingmoor_control::model::{Change, RecordKey, RecordValue, RejectedBundle, Target};
use lacewingmoor_control::view::{Effect, LAPSED_RETENTION, TargetChange, View};
use rstest::rstest;

fn bundle_change(version: u64, revision: u64) -> Change {
    Change {
        key: RecordKey::Bundle,
        revision: rev(revision),
        value: Some(RecordValue::Bundle(bundle(version, &[]))),
    }
}

struct BundleCase {
    changes: &'static [(u64, u64)],
    active: u64,
}

#[rstest]
#[case::newer_replaces(BundleCase { changes: &[(3, 10), (7, 11)], active: 7 })]
#[case::older_version_at_later_revision(BundleCase { changes: &[(7, 10), (3, 11)], active: 7 })]
#[case::older_revision_is_delayed(BundleCase { changes: &[(7, 11), (3, 10)], active: 7 })]
#[case::same_twice(BundleCase { changes: &[(7, 11), (7, 11)], active: 7 })]
fn bundle_version_never_decreases(#[case] case: BundleCase) {
    let mut view = View::default();
    for (version, revision) in case.changes {
        view.apply(ms(0), bundle_change(*version, *revision));
    }
    assert_eq!(view.bundle().map(|b| b.version), Some(case.active));
}

fn rejected() -> Rc<RejectedBundle> {
    let error = ValidationError::new("version", "is wrong");
    Rc::new(RejectedBundle {
        version: None,
        errors: vec![error],
    })
}

struct KeptCase {
    value: Option<RecordValue>,
    effect: Effect,
}

#[rstest]
#[case::invalid(KeptCase {
    value: Some(RecordValue::Invalid("cut short".into())),
    effect: Effect::Invalid("cut short".into()),
})]
#[case::rejected(KeptCase {
    value: Some(RecordValue::RejectedBundle(rejected())),
    effect: Effect::BundleRejected { rejected: rejected(), kept: Some(3) },
})]
#[case::removed(KeptCase { value: None, effect: Effect::None })]
fn active_bundle_is_kept_when_an_invalid_one_arrives_or_the_key_is_removed(#[case] case: KeptCase) {
    let mut view = View::default();
    view.apply(ms(0), bundle_change(3, 10));
    let change = Change {
        key: RecordKey::Bundle,
        revision: rev(11),
        value: case.value,
    };
    assert_eq!(view.apply(ms(0), change), case.effect);
    assert_eq!(view.bundle().map(|b| b.version), Some(3));
}

/// Operators would take a bundle for rejected that a newer one has replaced.
#[test]
fn newer_bundle_ends_the_rejection() {
    let mut view = View::default();
    view.apply(ms(0), bundle_change(3, 10));
    let change = Change {
        key: RecordKey::Bundle,
        revision: rev(11),
        value: Some(RecordValue::RejectedBundle(rejected())),
    };
    view.apply(ms(0), change);
    assert_eq!(view.rejected_bundle(), Some(&*rejected()));
    view.apply(ms(0), bundle_change(5, 12));
    assert_eq!(view.rejected_bundle(), None);
}

#[test]
fn older_registration_does_not_restore_a_removed_target() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    view.apply(ms(0), removed("t", 12));
    let delayed = view.apply(ms(0), registered(target("t", "north-a", "north"), 11));
    assert_eq!(delayed, Effect::None);
    assert!(view.target("t").is_none());
    assert!(view.service_targets("lanes").is_empty());
}

#[test]
fn target_with_invalid_registration_is_dropped() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    view.apply(ms(0), registered(target("u", "north-a", "north"), 11));
    let broken = Change {
        key: RecordKey::Target("t".into()),
        revision: rev(12),
        value: Some(RecordValue::Invalid("no address".into())),
    };
    assert!(matches!(view.apply(ms(0), broken), Effect::Invalid(_)));
    assert!(view.target("t").is_none());
    assert!(view.target("u").is_some(), "the other targets are kept");
}

#[test]
fn restart_under_the_same_id_differs_from_an_update() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    let mut update = target("t", "north-a", "north");
    update.slots = 6;
    let effect = view.apply(ms(0), registered(update, 11));
    assert_eq!(effect, Effect::Target("t".into(), TargetChange::Updated));
    let mut restarted = target("t", "north-a", "north");
    restarted.started_unix_ms = Some(2);
    let effect = view.apply(ms(0), registered(restarted, 12));
    assert_eq!(effect, Effect::Target("t".into(), TargetChange::Restarted));
}

#[test]
fn target_that_changes_its_service_is_removed_from_the_old_one() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    let mut moved = target("t", "north-a", "north");
    moved.service = "plans".into();
    view.apply(ms(0), registered(moved, 11));
    assert!(view.service_targets("lanes").is_empty());
    assert_eq!(view.service_targets("plans").len(), 1);
}

#[test]
fn removal_without_an_outage_takes_effect_immediately() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("t", "north-a", "north"), 10));
    view.apply(ms(10_000), removed("t", 11));
    assert!(view.target("t").is_none());
}

#[test]
fn lapsed_target_is_kept_for_the_retention_time_only() {
    let mut view = View::default();
    view.apply(ms(0), registered(target("back", "north-a", "north"), 10));
    view.apply(ms(0), registered(target("gone", "north-a", "north"), 11));
    view.store_recovered(ms(5000));
    view.apply(ms(5010), removed("back", 12));
    view.apply(ms(5010), removed("gone", 13));
    assert!(view.target("back").is_some() && view.target("gone").is_some());
    view.apply(ms(6000), registered(target("back", "north-a", "north"), 14));
    view.apply_due(ms(5000) + LAPSED_RETENTION);
    assert!(view.target("back").is_some(), "it registered again");
    assert!(
        view.target("gone").is_none(),
        "its retention time has ended"
    );
}

#[test]
fn draining_target_is_not_retained_after_an_outage() {
    let mut view = View::default();
    let mut draining = target("t", "north-a", "north");
    draining.draining = true;
    view.apply(ms(0), registered(draining, 10));
    view.store_recovered(ms(5000));
    view.apply(ms(5010), removed("t", 11));
    assert!(view.target("t").is_none());
}

#[test]
fn zone_leaves_and_returns_to_service() {
    let mut view = View::default();
    let change = |revision, value| Change {
        key: RecordKey::ZoneOutOfService("north-a".into()),
        revision: rev(revision),
        value,
    };
    view.apply(ms(0), change(10, Some(RecordValue::ZoneOutOfService)));
    assert!(view.is_zone_out_of_service("north-a"));
    view.apply(ms(0), change(11, None));
    assert!(!view.is_zone_out_of_service("north-a"));
    view.apply(ms(0), change(10, Some(RecordValue::ZoneOutOfService)));
    assert!(
        !view.is_zone_out_of_service("north-a"),
        "a delayed duplicate has no effect"
    );
}

/// Soak seeds 706 and 709: entries that started while the store did not respond each probed targets
/// at the rate that all entries share.
#[test]
fn many_entries_are_assumed_while_their_registrations_are_overdue() {
    let mut view = View::default();
    view.apply(
        ms(0),
        entry_registered(entry("n1", "north-a", "north", 10), 1),
    );
    assert_eq!(
        (view.entry_count(), view.entry_count_in_zone("north-a")),
        (1, 1)
    );
    view.mark_entries_overdue();
    assert_eq!(
        (view.entry_count(), view.entry_count_in_zone("north-a")),
        (512, 64)
    );
    view.mark_entries_read();
    assert_eq!(
        (view.entry_count(), view.entry_count_in_zone("north-a")),
        (1, 1)
    );
    view.mark_entries_overdue();
    view.apply(
        ms(0),
        entry_registered(entry("n2", "north-b", "north", 10), 2),
    );
    assert_eq!(
        (view.entry_count(), view.entry_count_in_zone("north-a")),
        (2, 1)
    );
}

/// Soak seed 2: six entries started together, and knew of two or three of them while requests arrived.
#[test]
fn several_entries_are_assumed_for_each_registration_while_a_new_fleet_registers() {
    let mut view = View::default();
    view.apply(
        ms(0),
        entry_registered(entry("n1", "north-a", "north", 10), 1),
    );
    view.mark_entries_read();
    view.set_entries_unsettled(true);
    assert_eq!(
        (view.entry_count(), view.entry_count_in_zone("north-a")),
        (4, 4)
    );
    view.set_entries_unsettled(false);
    assert_eq!(view.entry_count(), 1);
}

/// Returns a change in the second era, which begins with a restore of the store.
fn in_second_era(change: Change) -> Change {
    Change {
        revision: in_era(2, change.revision.number),
        ..change
    }
}

fn zone_change(number: u64, out: bool) -> Change {
    Change {
        key: RecordKey::ZoneOutOfService("north-a".into()),
        revision: rev(number),
        value: out.then_some(RecordValue::ZoneOutOfService),
    }
}

fn with_sequence(sequence: u64, draining: bool) -> Target {
    Target {
        sequence: Some(sequence),
        draining,
        ..target("t", "north-a", "north")
    }
}

#[test]
fn bundle_of_a_restored_store_is_not_replaced_by_an_older_one() {
    let mut view = View::default();
    view.apply(ms(0), bundle_change(7, 60));
    view.apply(ms(0), bundle_change(10, 68));
    let restored = in_second_era(bundle_change(7, 60));
    assert_eq!(view.apply(ms(9), restored), Effect::BundleIgnored(7));
    let newer = in_second_era(bundle_change(12, 61));
    assert_eq!(view.apply(ms(10), newer), Effect::BundleActivated(12));
}

struct RestoredTargetCase {
    /// Registration in the first era; `None` if it was removed after it had sequence 5.
    before: Option<(u64, bool)>,
    /// Registration in the restored store.
    restored: (u64, bool),
    /// Whether the target is in the view afterwards, and draining.
    expected: Option<bool>,
}

/// The copy shows targets as they were before they began to drain, or left.
#[rstest]
#[case::began_to_drain(RestoredTargetCase { before: Some((5, true)), restored: (4, false), expected: Some(true) })]
#[case::left(RestoredTargetCase { before: None, restored: (4, false), expected: None })]
#[case::left_unchanged_since_the_copy(RestoredTargetCase { before: None, restored: (5, false), expected: None })]
#[case::registered_again_after_it_left(RestoredTargetCase { before: None, restored: (6, false), expected: Some(false) })]
#[case::began_to_drain_after_the_restore(RestoredTargetCase { before: Some((5, false)), restored: (6, true), expected: Some(true) })]
fn targets_of_a_restored_store_are_not_older_than_before(#[case] case: RestoredTargetCase) {
    let mut view = View::default();
    let (sequence, draining) = case.before.unwrap_or((5, false));
    view.apply(ms(0), registered(with_sequence(sequence, draining), 60));
    if case.before.is_none() {
        view.apply(ms(0), removed("t", 68));
    }
    let (sequence, draining) = case.restored;
    let restored = registered(with_sequence(sequence, draining), 55);
    view.apply(ms(9), in_second_era(restored));
    let draining = view
        .target("t")
        .map(|registered| registered.target.draining);
    assert_eq!(draining, case.expected);
    // What the target writes in the new era counts, whatever its number.
    let next = registered(with_sequence(9, false), 56);
    view.apply(ms(10), in_second_era(next));
    assert!(
        view.target("t")
            .is_some_and(|registered| !registered.target.draining)
    );
}

#[test]
fn target_lost_in_a_restore_is_kept_until_it_had_time_to_register_again() {
    let mut view = View::default();
    view.apply(ms(0), registered(with_sequence(5, false), 60));
    view.apply(ms(9), in_second_era(removed("t", 40)));
    assert!(view.target("t").is_some(), "it may register again");
    let mut again = View::default();
    again.apply(ms(0), registered(with_sequence(5, false), 60));
    again.apply(ms(9), in_second_era(removed("t", 40)));
    again.apply(
        ms(500),
        in_second_era(registered(with_sequence(8, false), 41)),
    );
    for view in [&mut view, &mut again] {
        view.apply_due(ms(9) + LAPSED_RETENTION);
    }
    assert!(view.target("t").is_none());
    assert!(again.target("t").is_some());
}

struct RestoredZoneCase {
    out_before: bool,
    out_in_copy: bool,
    /// What operators write again, in the new era, if they do.
    written_again: Option<bool>,
    out_at_first: bool,
    out_later: bool,
}

#[rstest]
#[case::lost(RestoredZoneCase { out_before: true, out_in_copy: false, written_again: Some(true), out_at_first: true, out_later: true })]
#[case::lost_for_good(RestoredZoneCase { out_before: true, out_in_copy: false, written_again: None, out_at_first: true, out_later: false })]
#[case::back_in_the_copy(RestoredZoneCase { out_before: false, out_in_copy: true, written_again: Some(false), out_at_first: false, out_later: false })]
#[case::back_for_good(RestoredZoneCase { out_before: false, out_in_copy: true, written_again: None, out_at_first: false, out_later: true })]
fn zones_of_a_restored_store_change_only_after_operators_had_time_to_write_again(
    #[case] case: RestoredZoneCase,
) {
    let mut view = View::default();
    view.apply(ms(0), zone_change(50, true));
    if !case.out_before {
        view.apply(ms(0), zone_change(60, false));
    }
    view.apply(ms(9), in_second_era(zone_change(40, case.out_in_copy)));
    assert_eq!(view.is_zone_out_of_service("north-a"), case.out_at_first);
    if let Some(out) = case.written_again {
        view.apply(ms(900), in_second_era(zone_change(45, out)));
    }
    view.apply_due(ms(1000));
    assert_eq!(view.is_zone_out_of_service("north-a"), case.out_at_first);
    view.apply_due(ms(60_000));
    assert_eq!(view.is_zone_out_of_service("north-a"), case.out_later);
}

/// Entries that share budgets must not be forgotten while they register again.
#[test]
fn entry_lost_in_a_restore_counts_until_it_had_time_to_register_again() {
    let mut view = View::default();
    view.apply(
        ms(0),
        entry_registered(entry("n1", "north-a", "north", 10), 60),
    );
    view.apply(
        ms(0),
        entry_registered(entry("n2", "north-a", "north", 10), 61),
    );
    let lost = |name: &str, era, number| Change {
        key: RecordKey::Entry(name.into()),
        revision: in_era(era, number),
        value: None,
    };
    view.apply(ms(9), lost("n1", 2, 40));
    view.apply(ms(9), lost("n2", 2, 40));
    view.apply(
        ms(1500),
        in_second_era(entry_registered(entry("n1", "north-a", "north", 10), 41)),
    );
    view.apply_due(ms(5000));
    assert_eq!(view.entry_count(), 2);
    // A second restore begins the time anew.
    view.apply(ms(6000), lost("n1", 3, 30));
    view.apply(ms(6000), lost("n2", 3, 30));
    view.apply_due(ms(14_000));
    assert_eq!(view.entry_count(), 2);
    view.apply_due(ms(60_000));
    assert!(view.entry("n1").is_none() && view.entry("n2").is_none());
}

struct LateWriteCase {
    /// Sequence and drain state of the registrations, in the order in which the store executes them.
    writes: &'static [(u64, bool)],
    /// Whether the key is removed before the last one.
    removed: bool,
    /// Drain state of the target afterwards; `None` if it is not registered.
    draining: Option<bool>,
}

/// The store executes a write seconds late, when the target has written again.
#[rstest]
#[case::of_a_draining_target(LateWriteCase { writes: &[(5, false), (7, true), (6, false)], removed: false, draining: Some(true) })]
#[case::of_a_removed_target(LateWriteCase { writes: &[(5, false), (7, true), (6, false)], removed: true, draining: None })]
#[case::in_order(LateWriteCase { writes: &[(5, true), (6, false)], removed: false, draining: Some(false) })]
#[case::after_a_removal(LateWriteCase { writes: &[(5, false), (6, false)], removed: true, draining: Some(false) })]
fn registration_that_the_store_writes_late_changes_nothing(#[case] case: LateWriteCase) {
    let mut view = View::default();
    let (last, earlier) = case.writes.split_last().expect("there are writes");
    let mut revision = 60;
    for (sequence, draining) in earlier {
        view.apply(
            ms(0),
            registered(with_sequence(*sequence, *draining), revision),
        );
        revision += 1;
    }
    if case.removed {
        view.apply(ms(0), removed("t", revision));
        revision += 1;
    }
    view.apply(ms(0), registered(with_sequence(last.0, last.1), revision));
    let state = view
        .target("t")
        .map(|registered| registered.target.draining);
    assert_eq!(state, case.draining);
    // The revision has been seen all the same: the next write in order takes effect.
    view.apply(ms(0), registered(with_sequence(9, false), revision + 1));
    assert!(
        view.target("t")
            .is_some_and(|registered| !registered.target.draining)
    );
}
