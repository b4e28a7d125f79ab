//! Guards against followers that miss changes or restore removed keys.

mod common;

use common::{in_era, rev};
use lacewingmoor_control::model::{Era, Record, Revision};
use lacewingmoor_control::replica::{Replica, Update};
use rstest::rstest;

fn record(key: &str, revision: u64, value: Option<&str>) -> Record {
    Record {
        key: key.into(),
        revision: rev(revision),
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn update(revision: u64, is_snapshot: bool, records: Vec<Record>) -> Update {
    Update {
        revision: rev(revision),
        is_snapshot,
        records,
    }
}

#[test]
fn duplicate_and_older_records_are_not_reported_as_new() {
    let mut replica = Replica::default();
    let first = vec![record("a", 5, Some("new"))];
    assert_eq!(replica.apply(update(5, false, first.clone())).len(), 1);
    assert!(replica.apply(update(5, false, first)).is_empty());
    let older = vec![record("a", 4, Some("old"))];
    assert!(replica.apply(update(4, false, older)).is_empty());
    assert_eq!(replica.revision(), rev(5));
}

#[test]
fn snapshot_removes_missing_keys_unless_they_are_newer() {
    let mut replica = Replica::default();
    let known = vec![
        record("a", 1, Some("")),
        record("b", 2, Some("")),
        record("c", 9, Some("")),
    ];
    replica.apply(update(9, false, known));
    let changed = replica.apply(update(8, true, vec![record("a", 1, Some(""))]));
    assert_eq!(changed, vec![record("b", 8, None)]);
}

#[test]
fn follower_gets_every_change_since_its_revision_including_removals() {
    let mut replica = Replica::default();
    replica.apply(update(
        2,
        false,
        vec![record("a", 1, Some("")), record("b", 2, Some(""))],
    ));
    replica.apply(update(
        4,
        false,
        vec![record("a", 3, None), record("c", 4, Some(""))],
    ));
    let since = replica.update_since(rev(2));
    assert_eq!(
        since,
        update(
            4,
            false,
            vec![record("a", 3, None), record("c", 4, Some(""))]
        )
    );
}

#[test]
fn follower_that_missed_dropped_tombstones_gets_a_snapshot() {
    let mut source = Replica::default();
    let keys: Vec<String> = (0..3000).map(|i| format!("k{i}")).collect();
    let written = keys.iter().enumerate();
    let written = written
        .map(|(i, k)| record(k, i as u64 + 1, Some("")))
        .collect();
    source.apply(update(3000, false, written));
    let mut follower = Replica::default();
    follower.apply(source.update_since(Revision::default()));
    let removed = keys[1..].iter().enumerate();
    let removed = removed
        .map(|(i, k)| record(k, 3001 + i as u64, None))
        .collect();
    source.apply(update(6000, false, removed));
    let since = source.update_since(follower.revision());
    assert!(since.is_snapshot);
    follower.apply(since);
    let left = follower.update_since(Revision::default());
    let left: Vec<&str> = left
        .records
        .iter()
        .filter(|r| r.value.is_some())
        .map(|r| r.key.as_str())
        .collect();
    assert_eq!(left, ["k0"]);
}

/// Keys with the revision of each, in the order of the keys.
fn keys(replica: &Replica) -> Vec<(String, Revision)> {
    let all = replica.update_since(Revision::default()).records;
    let present = all.into_iter().filter(|record| record.value.is_some());
    let mut keys: Vec<_> = present.map(|r| (r.key, r.revision)).collect();
    keys.sort();
    keys
}

fn in_second_era(number: u64, is_snapshot: bool, records: &[(&str, u64)]) -> Update {
    let records = records.iter().map(|(key, number)| Record {
        revision: in_era(2, *number),
        ..record(key, 0, Some("second"))
    });
    Update {
        revision: in_era(2, number),
        is_snapshot,
        records: records.collect(),
    }
}

/// The store was restored and gives out revisions again: those of the new era must count as newer.
#[test]
fn records_of_a_later_era_replace_those_with_greater_numbers() {
    let mut replica = Replica::default();
    let lost = [record("a", 5, Some("")), record("b", 68, Some(""))];
    replica.apply(update(68, false, lost.to_vec()));
    let changed = replica.apply(in_second_era(40, true, &[("a", 5), ("c", 40)]));
    assert_eq!(changed.len(), 3, "a and c are written, b is removed");
    let expected = [("a".into(), in_era(2, 5)), ("c".into(), in_era(2, 40))];
    assert_eq!(keys(&replica), expected);
    replica.apply(in_second_era(41, false, &[("a", 41)]));
    assert_eq!(replica.revision(), in_era(2, 41));
}

/// A source that has not noticed the restore sends what was lost.
#[test]
fn late_updates_of_an_earlier_era_are_ignored() {
    let mut replica = Replica::default();
    replica.apply(update(68, false, vec![record("a", 68, Some(""))]));
    replica.apply(in_second_era(40, true, &[("a", 5)]));
    let late = vec![record("a", 70, Some("late")), record("lost", 71, Some(""))];
    assert!(replica.apply(update(71, false, late.clone())).is_empty());
    assert!(replica.apply(update(71, true, late)).is_empty());
    assert_eq!(keys(&replica), [("a".into(), in_era(2, 5))]);
    assert_eq!(replica.revision(), in_era(2, 40));
}

/// The follower knows a key that its source has never seen and that was lost in the restore.
#[test]
fn follower_of_an_earlier_era_drops_what_its_source_does_not_know() {
    let mut source = Replica::default();
    source.apply(update(66, false, vec![record("a", 5, Some(""))]));
    let mut follower = Replica::default();
    follower.apply(source.update_since(follower.revision()));
    follower.apply(update(68, false, vec![record("lost", 68, Some(""))]));
    source.apply(in_second_era(40, true, &[("a", 5)]));
    let snapshot = source.update_since(follower.revision());
    assert!(snapshot.is_snapshot);
    follower.apply(snapshot);
    assert_eq!(keys(&follower), keys(&source));
    assert_eq!(follower.revision(), source.revision());
    assert!(!source.update_since(follower.revision()).is_snapshot);
}

#[test]
fn restores_in_a_row_end_with_the_last_one() {
    let mut replica = Replica::default();
    replica.apply(update(68, false, vec![record("a", 68, Some(""))]));
    replica.apply(in_second_era(40, true, &[("b", 40)]));
    let third = Update {
        revision: in_era(3, 30),
        is_snapshot: true,
        records: vec![Record {
            revision: in_era(3, 30),
            ..record("c", 0, Some(""))
        }],
    };
    replica.apply(third);
    replica.apply(in_second_era(90, false, &[("b", 90)]));
    assert_eq!(keys(&replica), [("c".into(), in_era(3, 30))]);
}

/// The source started after a key was removed that its follower still has.
#[rstest]
#[case::era_is_named(1)]
#[case::era_is_not_named(0)]
fn follower_of_a_source_that_has_just_started_drops_what_was_removed_before(#[case] era: Era) {
    let revision = |number| Revision { era, number };
    let written = |key: &str, number| Record {
        revision: revision(number),
        ..record(key, 0, Some(""))
    };
    let mut follower = Replica::default();
    follower.apply(Update {
        revision: revision(3),
        is_snapshot: false,
        records: vec![written("kept", 2), written("removed", 3)],
    });
    let mut source = Replica::default();
    source.apply(Update {
        revision: revision(9),
        is_snapshot: false,
        records: vec![written("kept", 2), written("new", 9)],
    });
    follower.apply(source.update_since(follower.revision()));
    assert_eq!(keys(&follower), keys(&source));
}
