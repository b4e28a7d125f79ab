//! Guards against changes that do not take effect after the store was restored from an older copy, with
//! real processes. The store then gives out revisions again.

mod common;

use std::time::{Duration, Instant};

use common::{expect_response, fleet, lanes, read, until};
use http::StatusCode;
use lacewingmoor_platform::registry::ENTRIES_PREFIX;
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, bundle, get};
use rstest::rstest;
use serde_json::Value;

/// Returns the status page of an entry.
async fn status(entry: &EntryProcess) -> Value {
    let page = get(entry.metrics_addr, "/status").await;
    let text = page.map(|(_, text)| text).unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

async fn wait_for_version(fleet: &Fleet, version: u64) {
    until(&format!("version {version} is active"), async || {
        for entry in &fleet.entries {
            if status(entry).await["bundle_version"] != version {
                return false;
            }
        }
        true
    })
    .await;
}

/// Writes many revisions, so that those after a restore stay below them.
fn raise_revision(fleet: &Fleet) {
    for _ in 0..50 {
        for target in &fleet.targets {
            fleet.store.put_target(&target.registration);
        }
    }
}

#[rstest]
#[case::era_is_named(true)]
#[case::era_is_not_named(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_after_a_restore_of_the_store_take_effect_on_every_entry(#[case] names_era: bool) {
    let fleet = fleet(&lanes(), 8).await;
    fleet.store.set_names_era(names_era);
    let copy = fleet.store.copy();
    raise_revision(&fleet);
    fleet.store.put_bundle(&bundle(2, &[lanes()]));
    wait_for_version(&fleet, 2).await;
    fleet.store.restore(&copy);
    fleet.store.put_bundle(&bundle(3, &[lanes()]));
    wait_for_version(&fleet, 3).await;
    if !names_era {
        // A second restore gives version 4 the revision of version 3, which only the era tells apart.
        return;
    }
    fleet.store.restore(&copy);
    fleet.store.put_bundle(&bundle(4, &[lanes()]));
    wait_for_version(&fleet, 4).await;
}

/// Time after a restore for which entries certainly keep to what the restored store contradicts. They do for
/// 2 s from when they see it; the rest is for requests under way.
const HELD_FOR: Duration = Duration::from_millis(1500);

/// Sends a request to every entry.
async fn send_round(fleet: &Fleet, prefix: &str, round: usize) {
    for (i, entry) in fleet.entries.iter().enumerate() {
        let got = expect_response(entry, &read(&format!("{prefix}-{round}-{i}"))).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// The copy shows a target that has left since, and a zone in service that was taken out since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_withdrawn_before_a_restore_of_the_store_is_not_in_use_again() {
    let fleet = fleet(&lanes(), 8).await;
    let copy = fleet.store.copy();
    raise_revision(&fleet);
    let left = &fleet.targets[0];
    fleet.store.remove_target(&left.registration.id);
    fleet.store.set_zone_out_of_service("south-a", true);
    fleet.store.put_bundle(&bundle(2, &[lanes()]));
    wait_for_version(&fleet, 2).await;
    let in_south_a = |fleet: &Fleet| -> usize {
        let targets = fleet.targets.iter();
        let in_zone = targets.filter(|target| &*target.registration.zone == "south-a");
        in_zone.map(|target| target.standin.runs().len()).sum()
    };
    let before = (left.standin.runs().len(), in_south_a(&fleet));
    let restored_at = Instant::now();
    fleet.store.restore(&copy);
    // Shows that the entries have seen the restored store.
    fleet.store.put_bundle(&bundle(3, &[lanes()]));
    wait_for_version(&fleet, 3).await;
    let mut rounds = 0;
    while restored_at.elapsed() < HELD_FOR {
        send_round(&fleet, "before", rounds).await;
        rounds += 1;
    }
    assert!(
        rounds > 0,
        "no request was sent while the entries hold back"
    );
    fleet.store.set_zone_out_of_service("south-a", true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for round in 0..20 {
        send_round(&fleet, "after", round).await;
    }
    assert_eq!((left.standin.runs().len(), in_south_a(&fleet)), before);
}

/// A restored store has lost registrations and leases; entries must not share budgets among too few.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_register_again_after_a_restore_of_the_store() {
    let fleet = fleet(&lanes(), 8).await;
    let registered = || fleet.store.keys(ENTRIES_PREFIX);
    until("two entries of each zone are registered", async || {
        registered().len() == 8
    })
    .await;
    let expected = registered();
    let mut copy = fleet.store.copy();
    copy.drop_leased(ENTRIES_PREFIX);
    raise_revision(&fleet);
    fleet.store.restore(&copy);
    until("all are registered again", async || {
        registered() == expected
    })
    .await;
    for entry in &fleet.entries {
        let members = &status(entry).await["members"];
        assert!(
            members.as_u64().is_some_and(|count| count >= 8),
            "{members}"
        );
    }
}
