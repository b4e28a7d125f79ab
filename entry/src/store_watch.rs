//! Reads and watch of the store's manifest key.

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::MANIFEST_KEY;
use rand::RngExt as _;
use rand::rngs::StdRng;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::bundle_sync::BundleSync;
use crate::store::{Error, Stored};

/// Longest wait of a watch. An unchanged answer confirms the bundle, so it must be well below
/// `FRESH_MAX` less the time that heartbeats take to spread it.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Time after which an unanswered call, beyond the wait of a watch, is reported as failed. All
/// entries of the store's region must notice an outage while the last confirmation still holds.
pub const SLOW_AFTER: Duration = Duration::from_millis(400);

/// First pause after a failed call; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);

const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Reads the manifest key once.
pub async fn read(sync: &Arc<BundleSync>) {
    call(sync, None).await;
}

/// Watches the manifest key until the task is aborted.
pub async fn watch(sync: &Arc<BundleSync>, mut rng: StdRng) {
    let mut known = None;
    let mut pause = PAUSE_MIN;
    loop {
        // Without `known`, the first call after a failure is a plain read, in case the store lost
        // revisions.
        known = call(sync, known.take()).await;
        if known.is_some() {
            pause = PAUSE_MIN;
        } else {
            sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }
}

/// Makes a call and returns what the key holds, or `None` if there is no answer in time. A late
/// answer is still taken, so that a slow store delays new versions but does not hide them.
async fn call(sync: &Arc<BundleSync>, known: Option<Stored>) -> Option<Stored> {
    let wait = known.as_ref().map_or(Duration::ZERO, |_| WATCH_WAIT);
    let (answered, in_time) = oneshot::channel();
    let task_sync = sync.clone();
    let task = tokio::spawn(async move {
        let sync = task_sync;
        let (stored, as_of) = match ask(&sync, known).await {
            Ok(answer) => answer,
            Err(error) => {
                sync.store_failed(&error);
                return None;
            }
        };
        // The receiver is gone after `SLOW_AFTER`.
        let _ = answered.send(());
        sync.take_stored(stored.value.as_ref(), as_of).await;
        Some(stored)
    });
    if timeout(wait + SLOW_AFTER, in_time).await.is_err() {
        sync.store_slow();
        return None;
    }
    task.await.ok().flatten()
}

/// Returns what the key holds and up to when this is known. An unchanged value is returned again,
/// because parts of it may have been missing before.
async fn ask(sync: &BundleSync, known: Option<Stored>) -> Result<(Stored, Duration), Error> {
    let (store, events) = (sync.store(), sync.events());
    let asked = events.now();
    let Some(known) = known else {
        return Ok((store.get(MANIFEST_KEY).await?, asked));
    };
    let changed = store.watch(MANIFEST_KEY, known.revision, WATCH_WAIT);
    match changed.await? {
        Some(stored) => Ok((stored, asked)),
        None if events.now() < asked + WATCH_WAIT => {
            // A store that waits less than asked must not be called in a tight loop.
            sleep(PAUSE_MIN).await;
            Ok((known, asked))
        }
        None => Ok((known, asked + WATCH_WAIT)),
    }
}
