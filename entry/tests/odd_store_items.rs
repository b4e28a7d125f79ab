//! Guards against entries that end, or stop following the store, because of items that another writer has
//! left among those that they read.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use lacewingmoor_platform::registry::{ENTRIES_PREFIX, EVACUATE_PREFIX, SERVERS_PREFIX};
use lacewingmoor_standin::fleet;
use rstest::rstest;

/// Length of a value that is close to the longest that the store takes, after its encoding.
const LONG_VALUE_BYTES: usize = 700_000;

fn nested(opening: &str, depth: usize) -> Vec<u8> {
    opening.repeat(depth).into_bytes()
}

fn registration(fields: &str) -> Vec<u8> {
    let rest = r#""service":"lanes","zone":"north-a","version":"v1","state":"ready""#;
    format!("{{{rest},{fields}}}").into_bytes()
}

/// Values that name no target, entry or zone.
fn odd_values() -> Vec<Vec<u8>> {
    vec![
        nested("[", 20_000),
        nested("{\"a\":", 20_000),
        registration(r#""address":"127.0.0.1:70000","slots":4,"warmupLeftMs":0,"sequence":1"#),
        registration(r#""address":"127.0.0.1:80","slots":99999999999,"warmupLeftMs":0"#),
        registration(r#""address":"127.0.0.1:80","slots":4,"warmupLeftMs":1e308,"sequence":1"#),
        registration(r#""address":"127.0.0.1:80","slots":4,"warmupLeftMs":0,"born":1e400"#),
        registration(r#""address":"127.0.0.1:80","slots":-4,"warmupLeftMs":-1"#),
        registration(r#""address":"nowhere","slots":4,"warmupLeftMs":0"#),
        vec![0xff, 0xfe, 0x00, 0x80],
        Vec::new(),
    ]
}

struct Case {
    values: fn() -> Vec<Vec<u8>>,
    prefixes: &'static [&'static str],
}

const ALL_PREFIXES: &[&str] = &[SERVERS_PREFIX, ENTRIES_PREFIX, EVACUATE_PREFIX, "other/"];

fn long_values() -> Vec<Vec<u8>> {
    vec![vec![b'['; LONG_VALUE_BYTES]; 8]
}

/// All values are written in quick succession, so that one watch returns them together. Entries hear of later changes, also those that follow another entry and those that start beside them.
#[rstest]
#[case::malformed(Case { values: odd_values, prefixes: ALL_PREFIXES })]
#[case::long_registrations(Case { values: long_values, prefixes: &[SERVERS_PREFIX] })]
#[case::long_entries(Case { values: long_values, prefixes: &[ENTRIES_PREFIX] })]
#[case::long_zones(Case { values: long_values, prefixes: &[EVACUATE_PREFIX] })]
#[case::long_without_use(Case { values: long_values, prefixes: &["other/"] })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_items_keep_no_change_from_any_entry(#[case] case: Case) {
    let mut fleet = fleet(&lanes(), 3).await;
    for prefix in case.prefixes {
        for (i, value) in (case.values)().into_iter().enumerate() {
            fleet.store.put(&format!("{prefix}odd-{i}"), value);
        }
    }
    fleet
        .store
        .put_bundle(&fleet::bundle(2, std::slice::from_ref(&lanes())));
    for entry in &fleet.entries {
        until("the bundle is active", async || {
            let log = entry.log_text();
            log.contains("event=bundle_in_force version=2")
        })
        .await;
    }
    fleet.entries[0].signal(libc::SIGKILL);
    assert!(!fleet.entries[0].wait(EVENT_TIMEOUT), "the entry is killed");
    fleet.entries[0].restart().expect("the entry starts");
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("entries are ready");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (i, entry) in fleet.entries.iter_mut().enumerate() {
        let response = expect_response(entry, &read(&format!("r-{i}"))).await;
        assert_eq!(response.status.as_u16(), 200, "{}", entry.log_text());
        assert!(!entry.has_exited());
        assert!(!entry.log_text().contains("panicked"));
    }
}
