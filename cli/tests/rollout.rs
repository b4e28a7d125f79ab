//! Rollouts against the store stand-in, with lost answers and races, and waiting for nodes.

mod common;

use common::{Fault, Operator, entry, faulty, manifest_of, run};
use lacewingmoor_bundle::MANIFEST_KEY;
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::Store;
use rstest::rstest;
use serde_json::{Value, json};

/// Versions that the cases use: version 5 is rolled out while version 3 is accepted.
enum Other {
    Lower,
    Same,
    Greater,
}

struct Race {
    faults: fn(Vec<u8>) -> Vec<Fault>,
    other: Other,
    exit: i32,
    /// `accepted` of the report, or the version that won.
    reports: Value,
    /// True if our version is in the store at the end.
    ours_stored: bool,
    /// Exit code of the same command without faults.
    again: i32,
}

/// Guards against a lost write that is taken for another operator's or the other way round, against
/// overwriting another operator's version, and against a wrong claim about the outcome.
#[rstest]
#[case::no_fault(Race {
    faults: |_| vec![],
    other: Other::Same, exit: 0, reports: json!("written"), ours_stored: true, again: 0,
})]
#[case::answer_lost(Race {
    faults: |_| vec![Fault::CutAfter],
    other: Other::Same, exit: 0, reports: json!("read_back"), ours_stored: true, again: 0,
})]
#[case::request_lost(Race {
    faults: |_| vec![Fault::CutBefore],
    other: Other::Same, exit: 0, reports: json!("written"), ours_stored: true, again: 0,
})]
#[case::request_then_answer_lost(Race {
    faults: |_| vec![Fault::CutBefore, Fault::CutAfter],
    other: Other::Same, exit: 0, reports: json!("read_back"), ours_stored: true, again: 0,
})]
#[case::race_with_same_version(Race {
    faults: |v| vec![Fault::OtherFirst(v)],
    other: Other::Same, exit: 3, reports: json!(5), ours_stored: false, again: 3,
})]
#[case::race_with_lower_version(Race {
    faults: |v| vec![Fault::OtherFirst(v)],
    other: Other::Lower, exit: 3, reports: json!(4), ours_stored: false, again: 0,
})]
#[case::race_with_greater_version(Race {
    faults: |v| vec![Fault::OtherFirst(v)],
    other: Other::Greater, exit: 3, reports: json!(6), ours_stored: false, again: 3,
})]
#[case::race_and_store_away(Race {
    faults: |v| vec![Fault::OtherFirstThenDown(v)],
    other: Other::Same, exit: 3, reports: Value::Null, ours_stored: false, again: 3,
})]
#[case::race_and_answer_lost(Race {
    faults: |v| vec![Fault::OtherFirstCutAfter(v)],
    other: Other::Same, exit: 3, reports: json!(5), ours_stored: false, again: 3,
})]
#[case::request_lost_then_race(Race {
    faults: |v| vec![Fault::CutBefore, Fault::OtherFirst(v)],
    other: Other::Same, exit: 3, reports: json!(5), ours_stored: false, again: 3,
})]
#[case::answer_lost_and_replaced(Race {
    faults: |v| vec![Fault::CutAfterThenOther(v)],
    other: Other::Greater, exit: 4, reports: Value::Null, ours_stored: false, again: 3,
})]
#[case::answer_lost_and_store_away(Race {
    faults: |_| vec![Fault::CutAfterAndDown],
    other: Other::Same, exit: 4, reports: Value::Null, ours_stored: true, again: 0,
})]
#[case::every_request_lost(Race {
    faults: |_| vec![Fault::CutBefore; 5],
    other: Other::Same, exit: 4, reports: Value::Null, ours_stored: false, again: 0,
})]
#[tokio::test(flavor = "multi_thread")]
async fn every_outcome_of_the_write_is_told_apart(#[case] case: Race) {
    let store = Store::start(ANY_PORT).await.expect("a port");
    let direct = store.addr().to_string();
    let operator = Operator::new().await;
    let before = operator.sign(3, 200).await;
    assert_eq!(run(&["rollout", &before, "--store", &direct]).await.code, 0);
    let other = match case.other {
        Other::Lower => operator.sign(4, 300).await,
        Other::Same => operator.sign(5, 300).await,
        Other::Greater => operator.sign(6, 300).await,
    };
    let ours = operator.sign(5, 200).await;
    let proxy = faulty(store.addr(), (case.faults)(manifest_of(&other))).await;
    let proxy = proxy.addr().to_string();

    let result = run(&["rollout", &ours, "--store", &proxy, "--json"]).await;
    let report = result.json();
    assert_eq!(result.code, case.exit, "{report}");
    match case.exit {
        0 => assert_eq!(report["accepted"], case.reports),
        _ => assert_eq!(report["winner"]["version"], case.reports),
    }
    let (_, stored) = store.value(MANIFEST_KEY).expect("a manifest");
    assert_eq!(stored[..] == manifest_of(&ours)[..], case.ours_stored);

    // The same command again finds out what happened and never replaces an equal or greater
    // version.
    let again = run(&["rollout", &ours, "--store", &direct, "--json"]).await;
    assert_eq!(again.code, case.again, "{}", again.out);
    let (_, stored) = store.value(MANIFEST_KEY).expect("a manifest");
    assert_eq!(stored[..] == manifest_of(&ours)[..], case.again == 0);
}

/// Guards against a loser who is not told what the winner changed.
#[tokio::test(flavor = "multi_thread")]
async fn the_loser_sees_what_differs() {
    let store = Store::start(ANY_PORT).await.expect("a port");
    let addr = store.addr().to_string();
    let operator = Operator::new().await;
    let theirs = operator.sign(2, 300).await;
    let ours = operator.sign(2, 200).await;
    assert_eq!(run(&["rollout", &theirs, "--store", &addr]).await.code, 0);
    let result = run(&["rollout", &ours, "--store", &addr]).await;
    assert_eq!(result.code, 3);
    for part in [
        addr.as_str(),
        "version 2",
        "~ limits.queue_max: 300 -> 200",
        "sign version 3",
    ] {
        assert!(
            result.err.contains(part),
            "{part} is missing in {}",
            result.err
        );
    }
}

/// Guards against writing parts that the store has, and against accepting a version before its
/// parts are there.
#[tokio::test(flavor = "multi_thread")]
async fn only_missing_parts_are_written_and_a_dead_store_is_told() {
    let mut puts = 0;
    let store = Store::start(ANY_PORT).await.expect("a port");
    let addr = store.addr().to_string();
    let operator = Operator::new().await;
    for (version, queue_max, written) in [(1, 200, 4), (2, 201, 1), (3, 201, 0)] {
        let file = operator.sign(version, queue_max).await;
        let report = run(&["rollout", &file, "--store", &addr, "--json"])
            .await
            .json();
        assert_eq!(report["parts_written"], written);
        puts += written + 1;
        assert_eq!(store.counts().put, puts);
    }
    let file = operator.sign(4, 202).await;
    store.set_down(true);
    let result = run(&["rollout", &file, "--store", &addr]).await;
    assert_eq!(result.code, 5, "{}", result.err);
    assert!(result.err.contains(&addr), "{}", result.err);
}

/// Guards against a rollout of a bundle that the entries would refuse for its signature.
#[tokio::test(flavor = "multi_thread")]
async fn a_signature_of_an_unknown_key_is_refused_before_the_store_is_written() {
    let store = Store::start(ANY_PORT).await.expect("a port");
    let (operator, other) = (Operator::new().await, Operator::new().await);
    let file = operator.sign(1, 200).await;
    for (key, exit) in [(&other.public_key, 1), (&operator.public_key, 0)] {
        let config = format!("store: {}\noperator_keys: [\"{key}\"]\n", store.addr());
        let config = operator.write("config.yaml", &config);
        let result = run(&["rollout", &file, "--config", &config]).await;
        assert_eq!(result.code, exit, "{}", result.err);
        assert_eq!(store.value(MANIFEST_KEY).is_some(), exit == 0);
    }
}

/// Guards against reporting a version as in force where it is not.
#[rstest]
#[case::in_force(7, None, 0)]
#[case::replaced_by_a_greater_one(8, Some("ab"), 0)]
#[case::lower(6, None, 1)]
#[case::other_content(7, Some("ab"), 1)]
#[tokio::test(flavor = "multi_thread")]
async fn rollout_tells_which_nodes_lack_the_version(
    #[case] version: u64,
    #[case] digest: Option<&str>,
    #[case] exit: i32,
) {
    let store = Store::start(ANY_PORT).await.expect("a port");
    let addr = store.addr().to_string();
    let operator = Operator::new().await;
    let file = operator.sign(7, 200).await;
    let args = ["rollout", &file, "--store", &addr, "--json"];
    let ours = run(&args).await.json()["digest"].clone();
    let one = entry(status("entry-1", 7, ours.clone())).await;
    let two = entry(status("entry-2", version, digest.map_or(ours, Value::from))).await;
    let nodes = format!("{},{}", one.addr(), two.addr());
    let args = [
        "rollout",
        &file,
        "--store",
        &addr,
        "--nodes",
        &nodes,
        "--timeout-ms",
        "300",
    ];
    let result = run(&args).await;
    assert_eq!(result.code, exit, "{}", result.out);
    assert_eq!(
        result.out.contains("  entry-2"),
        exit == 1,
        "{}",
        result.out
    );
    assert!(!result.out.contains("  entry-1"), "{}", result.out);
}

fn status(node: &str, version: u64, digest: Value) -> Value {
    json!({ "node": node, "version": version, "digest": digest, "fresh": true })
}
