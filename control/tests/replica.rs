//! Guards against followers that miss changes or restore removed keys.

use lacewingmoor_control::model::Record;
use lacewingmoor_control::replica::{Replica, Update};

fn record(key: &str, revision: u64, value: Option<&str>) -> Record {
    Record {
        key: key.into(),
        revision,
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn update(revision: u64, is_snapshot: bool, records: Vec<Record>) -> Update {
    Update {
        revision,
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
    assert_eq!(replica.revision(), 5);
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
    let since = replica.update_since(2);
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
    follower.apply(source.update_since(0));
    let removed = keys[1..].iter().enumerate();
    let removed = removed
        .map(|(i, k)| record(k, 3001 + i as u64, None))
        .collect();
    source.apply(update(6000, false, removed));
    let since = source.update_since(follower.revision());
    assert!(since.is_snapshot);
    follower.apply(since);
    let left = follower.update_since(0);
    let left: Vec<&str> = left
        .records
        .iter()
        .filter(|r| r.value.is_some())
        .map(|r| r.key.as_str())
        .collect();
    assert_eq!(left, ["k0"]);
}
