//! Guards against changes that do not take effect after the store was restored from an older copy, with
//! real processes. The store then gives out revisions again.

mod common;

use common::{fleet, lanes, until};
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
    // A second restore, to the same copy.
    fleet.store.restore(&copy);
    fleet.store.put_bundle(&bundle(4, &[lanes()]));
    wait_for_version(&fleet, 4).await;
}
