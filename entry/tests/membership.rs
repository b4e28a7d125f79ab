//! Tests of which entries register and follow each other, with real processes. They guard against
//! store calls that grow with the number of entries, and against entries that are left out or not
//! counted.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use http::StatusCode;
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, get};
use lacewingmoor_standin::store::StoreFault;

/// Returns a number from the status page of an entry.
async fn status_number(entry: &EntryProcess, key: &str) -> Option<u64> {
    let (_, text) = get(entry.metrics_addr, "/status").await?;
    let status: serde_json::Value = serde_json::from_str(&text).ok()?;
    status[key].as_u64()
}

/// Starts a fleet of one entry, and then `count` entries in its zone.
async fn fleet_in_one_zone(count: usize) -> Fleet {
    let mut fleet = fleet(&lanes(), 1).await;
    for i in 1..=count {
        fleet
            .add_entry(&format!("leaf-{i}"), "north-a", fleet.store.addr())
            .expect("the entry starts");
    }
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("entries are ready");
    fleet
}

/// Guards against a number of store calls that grows with the number of entries, and against shared
/// budgets that are used several times over because unregistered entries are not counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn few_entries_of_a_zone_register_and_every_entry_is_counted() {
    let fleet = fleet_in_one_zone(6).await;
    for entry in &fleet.entries {
        until("every entry counts all members", async || {
            status_number(entry, "members").await == Some(7)
                && status_number(entry, "entries_named").await == Some(7)
        })
        .await;
    }
    assert_eq!(fleet.store.keys("lacewingmoor/entries/").len(), 2);
    assert_eq!(fleet.store.created_lease_count(), 2);
}

/// Guards against leaf entries that are left out when all registered entries of their zone die, and
/// against all of them registering then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaf_entries_follow_the_store_and_then_one_of_them_after_their_sources_are_killed() {
    let mut fleet = fleet_in_one_zone(5).await;
    let registered = |fleet: &Fleet| fleet.store.keys("lacewingmoor/entries/");
    until("two entries are registered", async || {
        registered(&fleet).len() == 2
    })
    .await;
    let first_two = registered(&fleet);
    for entry in &mut fleet.entries {
        let name = entry.settings_path.file_stem().expect("a file name");
        let key = format!("lacewingmoor/entries/{}", name.to_string_lossy());
        if first_two.contains(&key) {
            entry.signal(libc::SIGKILL);
            entry.wait(EVENT_TIMEOUT);
        }
    }
    fleet.store.set_zone_out_of_service("south-a", true);
    let mut survivors = Vec::new();
    for entry in &mut fleet.entries {
        if !entry.has_exited() {
            survivors.push(entry.metrics_addr);
        }
    }
    assert_eq!(survivors.len(), 4);
    for addr in survivors {
        until("the entry takes the zone out of service", async || {
            let status = get(addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
        })
        .await;
    }
    until("another entry registers", async || {
        registered(&fleet).len() > 2
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(registered(&fleet).len() <= 4, "{:?}", registered(&fleet));
}

/// Load pattern: settings change, and the entries of a fleet reload them at different times. Nothing that
/// entries share may depend on all having the same settings.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_with_old_and_new_settings_serve_and_get_changes_side_by_side() {
    let fleet = fleet_in_one_zone(3).await;
    for entry in &fleet.entries[..2] {
        let settings = std::fs::read_to_string(&entry.settings_path).expect("the settings");
        let changed = settings
            .replace("\"apply_ms\":2000", "\"apply_ms\":900")
            .replace("\"extra\":64.0", "\"extra\":1.0")
            .replace("\"probes_per_s\":60.0", "\"probes_per_s\":6.0");
        assert_ne!(settings, changed);
        std::fs::write(&entry.settings_path, changed).expect("the settings can be written");
        entry.signal(libc::SIGHUP);
        until("the reload is applied", async || {
            entry.log_text().contains("changed=true")
        })
        .await;
    }
    fleet.store.set_zone_out_of_service("south-a", true);
    for entry in &fleet.entries {
        until("the entry takes the zone out of service", async || {
            let status = get(entry.metrics_addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
        })
        .await;
        let response = expect_response(entry, &read("r-1")).await;
        assert_eq!(response.status, StatusCode::OK);
        until("every entry is counted", async || {
            status_number(entry, "members").await == Some(4)
        })
        .await;
    }
}

/// Soak seed 2014: the store stopped responding when one entry had registered. The others followed it but
/// could not be named, so each of six counted one entry and used the whole probe budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_start_before_a_store_outage_count_each_other() {
    let fleet = fleet_in_one_zone(5).await;
    for entry in &fleet.entries {
        until("the registrations have been read", async || {
            let status = get(entry.metrics_addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"entries_read\":true"))
        })
        .await;
    }
    fleet.store.set_fault(StoreFault::Reset);
    // By then an entry of a new fleet assumes that registrations name all others.
    tokio::time::sleep(Duration::from_secs(6)).await;
    for entry in &fleet.entries {
        until("every entry is counted", async || {
            status_number(entry, "members").await >= Some(6)
        })
        .await;
    }
}
