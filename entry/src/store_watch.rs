//! Watch of the store's manifest key by long poll.

use std::time::Duration;

use lacewingmoor_bundle::MANIFEST_KEY;
use rand::RngExt as _;
use rand::rngs::StdRng;

use crate::bundle_sync::BundleSync;
use crate::store::{Error, Stored};

/// Longest wait of one call. An unchanged answer confirms the bundle, so it must be well below
/// `FRESH_MAX` less the time that heartbeats take to spread it.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);

/// First pause after a failed call; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);

const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Reads the manifest key once.
pub async fn read(sync: &BundleSync) {
    if let Err(error) = step(sync, None).await {
        sync.store_failed(&error);
    }
}

/// Watches the manifest key until the task is aborted.
pub async fn watch(sync: &BundleSync, mut rng: StdRng) {
    let mut known = None;
    let mut pause = PAUSE_MIN;
    loop {
        match step(sync, known.take()).await {
            Ok(stored) => {
                known = Some(stored);
                pause = PAUSE_MIN;
            }
            Err(error) => {
                sync.store_failed(&error);
                // Without `known`, the first call after an outage is a plain read, in case the
                // store lost revisions.
                tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

/// Makes one call and returns what the key holds. An unchanged value is taken again, because parts
/// of it may have been missing before.
async fn step(sync: &BundleSync, known: Option<Stored>) -> Result<Stored, Error> {
    let asked = sync.events().now();
    let (stored, as_of) = match known {
        None => (sync.store().get(MANIFEST_KEY).await?, asked),
        Some(known) => {
            let (store, revision) = (sync.store(), known.revision);
            match store.watch(MANIFEST_KEY, revision, WATCH_WAIT).await? {
                Some(stored) => (stored, asked),
                None if sync.events().now() < asked + WATCH_WAIT => {
                    // A store that waits less than asked must not be called in a tight loop.
                    tokio::time::sleep(PAUSE_MIN).await;
                    (known, asked)
                }
                None => (known, asked + WATCH_WAIT),
            }
        }
    };
    sync.take_stored(stored.value.as_ref(), as_of).await;
    Ok(stored)
}
