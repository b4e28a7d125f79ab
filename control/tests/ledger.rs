//! Guards against followers that miss changes or resurrect removed keys.

use lacewingmoor_control::facts::Record;
use lacewingmoor_control::ledger::{Ledger, Update};

fn record(key: &str, revision: u64, value: Option<&str>) -> Record {
    Record {
        key: key.into(),
        revision,
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn update(revision: u64, whole: bool, records: Vec<Record>) -> Update {
    Update {
        revision,
        whole,
        records,
    }
}

#[test]
fn repeated_and_older_records_are_no_news() {
    let mut ledger = Ledger::default();
    let first = vec![record("a", 5, Some("new"))];
    assert_eq!(ledger.apply(update(5, false, first.clone())).len(), 1);
    assert!(ledger.apply(update(5, false, first)).is_empty());
    let older = vec![record("a", 4, Some("old"))];
    assert!(ledger.apply(update(4, false, older)).is_empty());
    assert_eq!(ledger.revision(), 5);
}

#[test]
fn whole_listing_removes_what_it_lacks_unless_that_is_newer() {
    let mut ledger = Ledger::default();
    let known = vec![
        record("a", 1, Some("")),
        record("b", 2, Some("")),
        record("c", 9, Some("")),
    ];
    ledger.apply(update(9, false, known));
    let news = ledger.apply(update(8, true, vec![record("a", 1, Some(""))]));
    assert_eq!(news, vec![record("b", 8, None)]);
}

#[test]
fn follower_gets_every_change_since_its_revision_with_removals() {
    let mut ledger = Ledger::default();
    ledger.apply(update(
        2,
        false,
        vec![record("a", 1, Some("")), record("b", 2, Some(""))],
    ));
    ledger.apply(update(
        4,
        false,
        vec![record("a", 3, None), record("c", 4, Some(""))],
    ));
    let since = ledger.since(2);
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
fn follower_behind_forgotten_removals_gets_everything() {
    let mut source = Ledger::default();
    let keys: Vec<String> = (0..3000).map(|i| format!("k{i}")).collect();
    let written = keys.iter().enumerate();
    let written = written
        .map(|(i, k)| record(k, i as u64 + 1, Some("")))
        .collect();
    source.apply(update(3000, false, written));
    let mut follower = Ledger::default();
    follower.apply(source.since(0));
    let removed = keys[1..].iter().enumerate();
    let removed = removed
        .map(|(i, k)| record(k, 3001 + i as u64, None))
        .collect();
    source.apply(update(6000, false, removed));
    let since = source.since(follower.revision());
    assert!(since.whole);
    follower.apply(since);
    let left = follower.since(0);
    let left: Vec<&str> = left
        .records
        .iter()
        .filter(|r| r.value.is_some())
        .map(|r| r.key.as_str())
        .collect();
    assert_eq!(left, ["k0"]);
}
