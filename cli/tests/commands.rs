//! The other commands: output, JSON and exit codes.

mod common;

use common::{ISARBRUNN, Operator, entry, run};
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::Store;
use rstest::rstest;
use serde_json::json;

/// Guards against exit codes that differ from the documented ones.
#[rstest]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["apply"], 2)]
#[case::unknown_option(&["check", "x.yaml", "--force"], 2)]
#[case::missing_file(&["check", "does-not-exist.yaml"], 2)]
#[case::diff_of_three(&["diff", "a", "b", "c"], 2)]
#[case::rollout_without_store(&["rollout", "does-not-exist.json"], 2)]
#[case::malformed_address(&["status", "--nodes", "localhost"], 2)]
#[case::no_nodes(&["status"], 2)]
#[case::dead_node(&["status", "--nodes", "127.0.0.1:1"], 1)]
#[case::dead_node_explain(&["explain", "--node", "127.0.0.1:1", "--path", "/"], 1)]
#[case::dead_store(&["diff", "--store", "127.0.0.1:1", "x.yaml"], 5)]
#[case::help(&["--help"], 0)]
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes(#[case] args: &[&str], #[case] exit: i32) {
    let result = run(args).await;
    assert_eq!(result.code, exit, "{}{}", result.out, result.err);
    assert_eq!(
        result.err.is_empty(),
        result.code == 0 || !result.out.is_empty()
    );
}

/// Guards against faults that are not shown, in either form.
#[tokio::test(flavor = "multi_thread")]
async fn check_prints_all_faults() {
    let operator = Operator::new().await;
    let bad = ISARBRUNN.replace("cold_slots: 1", "cold_slots: 9");
    let file = operator.write("bad.yaml", &bad);
    let result = run(&["check", &file]).await;
    assert_eq!(result.code, 1);
    assert_eq!(
        result.err.matches("use 1 to 4 requests").count(),
        3,
        "{}",
        result.err
    );
    let result = run(&["check", &file, "--json"]).await;
    assert_eq!(result.code, 1);
    assert_eq!(result.json()["faults"][2]["path"], "services[2].cold_slots");
    let file = operator.write("good.yaml", ISARBRUNN);
    let report = run(&["check", &file, "--json"]).await.json();
    assert_eq!(report["targets"], 45);
    assert_eq!(report["warnings"], json!([]));
}

/// Guards against a key that is overwritten or readable by others.
#[cfg(unix)]
#[tokio::test(flavor = "multi_thread")]
async fn keygen_keeps_an_existing_key() {
    use std::os::unix::fs::PermissionsExt as _;
    let operator = Operator::new().await;
    let path = operator.path("key");
    let key = std::fs::read(&path).expect("a key");
    let result = run(&["keygen", "--out", common::text(&path)]).await;
    assert_eq!(result.code, 2, "{}", result.err);
    assert_eq!(std::fs::read(&path).expect("a key"), key);
    let mode = std::fs::metadata(&path)
        .expect("a key")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
}

/// Guards against comparing with anything but the accepted version.
#[tokio::test(flavor = "multi_thread")]
async fn diff_compares_with_files_and_with_the_store() {
    let store = Store::start(ANY_PORT).await.expect("a port");
    let addr = store.addr().to_string();
    let operator = Operator::new().await;
    let old = operator.write("old.yaml", ISARBRUNN);
    let signed = operator.sign(1, 200).await;
    assert_eq!(run(&["rollout", &signed, "--store", &addr]).await.code, 0);
    let new = operator.write(
        "new.yaml",
        &ISARBRUNN.replace("isartal-b, state: in", "isartal-b, state: out"),
    );
    let expected = "~ regions[isartal].zones[isartal-b].state: in -> out\n";
    assert_eq!(run(&["diff", &old, &new]).await.out, expected);
    assert_eq!(run(&["diff", "--store", &addr, &new]).await.out, expected);
    assert_eq!(
        run(&["diff", "--store", &addr, &old]).await.out,
        "no differences\n"
    );
}

/// Guards against a status that hides a node, a differing version or a target's state.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_nodes_and_targets() {
    let node = |name: &str, version: u64, state: &str| {
        json!({
            "node": name, "zone": "oberland-a", "region": "oberland", "version": version,
            "digest": "ab", "fresh": true, "ready": true, "new_field": 1,
            "targets": [{
                "target": "lanes/lane-01", "zone": "oberland-a", "state": state,
                "owned": state == "cold",
            }],
        })
    };
    let one = entry(node("entry-1", 4, "warm")).await;
    let two = entry(node("entry-2", 4, "cold")).await;
    let old = entry(node("entry-3", 3, "warm")).await;
    let nodes = format!("{},{}", one.addr(), two.addr());
    let same = run(&["status", "--nodes", &nodes]).await;
    assert_eq!(same.code, 0, "{}", same.out);
    for line in [
        "lanes/lane-01  oberland-a  cold   entry-2  entry-2",
        "lanes/lane-01  oberland-a  warm            entry-1",
    ] {
        assert!(same.out.contains(line), "{}", same.out);
    }
    let nodes = format!("{nodes},{}", old.addr());
    let mixed = run(&["status", "--nodes", &nodes]).await;
    assert_eq!(mixed.code, 1);
    assert!(mixed.out.contains("entry-3"), "{}", mixed.out);
}

/// Guards against a query that is not escaped.
#[tokio::test(flavor = "multi_thread")]
async fn explain_asks_for_method_path_and_tenant() {
    let answer = json!({ "route": "book", "targets": [{ "target": "t1", "state": "warm" }] });
    let server = entry(answer).await;
    let node = server.addr().to_string();
    let mut args = vec![
        "explain", "--node", &node, "--path", "/a b&c", "--method", "post",
    ];
    args.extend(["--tenant", "x=y"]);
    let result = run(&args).await;
    assert_eq!(result.code, 0, "{}", result.err);
    let asked = "asked: /explain?method=POST&path=%2Fa+b%26c&tenant=x%3Dy";
    for part in [asked, "route: book", "STATE  TARGET\nwarm   t1"] {
        assert!(result.out.contains(part), "{}", result.out);
    }
}

/// Guards against a panic instead of an exit code when the reader of the output has gone.
#[test]
fn a_closed_output_is_not_an_error() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let bundle = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../examples/isarbrunn.bundle.yaml"
    );
    let status = std::process::Command::new(env!("CARGO_BIN_EXE_lacewingmoor"))
        .args(["check", bundle])
        .stdout(writer)
        .status()
        .unwrap();
    assert_eq!(status.code(), Some(0));
}
