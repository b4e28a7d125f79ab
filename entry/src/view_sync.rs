//! Keeps the view up to date from the store or from another entry.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::model::{Record, Revision};
use lacewingmoor_control::replica::Update;
use lacewingmoor_control::source::{Source, SourceFailure, SourceSelector};
use lacewingmoor_control::view::Effect;
use lacewingmoor_platform::registry::{self, ALL_KEYS_PREFIX, ENTRIES_PREFIX};
use lacewingmoor_platform::store::{self, Consistency};
use quick_error::quick_error;
use rand::RngExt as _;
use slog::{info, warn};

use crate::shared_state::SharedState;
use crate::store::{Client, Error as StoreError};
use crate::{peer, peer_protocol};

/// Part of the time within which changes must be in force that one watch waits. A store that fell
/// silent is noticed after this and the time-out of the answer, so that there is still time to
/// learn of a change from another source.
const WATCH_WAIT_SHARE: f64 = 0.3;

/// Pause after a watch that brought changes, as a part of the time within which changes must be in
/// force, so that a series of changes costs few calls.
const BATCH_PAUSE_SHARE: f64 = 0.12;

/// Pause after the first listing of a process, so that entries that start together have registered
/// before they choose whom to follow.
const START_PAUSE: Duration = Duration::from_millis(600);

/// Pause before the next source is tried; up to twice as long at random, so that entries do not
/// call at once.
const SWITCH_PAUSE: Duration = Duration::from_millis(20);

/// The same, as a part of the time for which no source was good.
const SWITCH_PAUSE_SHARE: f64 = 0.1;

/// Longest pause before the next source is tried.
const SWITCH_PAUSE_MAX: Duration = Duration::from_millis(250);

/// Time without confirmation after which registrations may have lapsed with the store.
const OUTAGE_MIN: Duration = Duration::from_millis(2500);

/// Interval at which an entry that follows the store looks for an entry to follow instead.
const BETTER_CHECK: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a source is not followed any more.
    #[derive(Debug)]
    pub enum Error {
        /// The store failed.
        Store(cause: StoreError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An entry failed as a source.
        Peer(cause: peer_protocol::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An entry of better rank can be followed.
        BetterSource {
            display("an entry of better rank can be followed")
        }
        /// The entry is not registered any more.
        NotRegistered {
            display("entry is not registered")
        }
    }
}

/// Follows one source after the other for as long as the process runs.
pub async fn run(shared: Rc<SharedState>) {
    let mut sources = SourceSelector::default();
    loop {
        let source = {
            let view = shared.view.borrow();
            let mut rng = shared.rng.borrow_mut();
            sources.select(
                shared.now(),
                &view,
                &shared.own_entry,
                &shared.settings.seeds,
                &mut *rng,
            )
        };
        info!(
            shared.log, "source";
            "source" => ?source, "revision" => shared.replica.borrow().revision(),
            "age_ms" => shared.view_age().as_millis() as u64,
        );
        let end = match &source {
            Source::Store => follow_store(&shared, &sources).await,
            Source::Peer(name) => follow_peer(&shared, name).await,
            Source::Seed(addr) => peer::follow(&shared, *addr, false).await.into(),
        };
        let failure = match &end {
            Error::BetterSource => continue,
            Error::Peer(peer_protocol::Error::Stale(_) | peer_protocol::Error::Circular) => {
                SourceFailure::Stale
            }
            _ => SourceFailure::Unavailable,
        };
        warn!(shared.log, "source_lost"; "source" => ?source, "cause" => %end);
        shared.record_source_loss();
        sources.record_failure(shared.now(), &source, failure);
        let pause = switch_pause(shared.searching());
        let factor = 1.0 + shared.rng.borrow_mut().random::<f64>();
        tokio::time::sleep(pause.mul_f64(factor)).await;
    }
}

/// Returns the pause before the next source is tried: short at first, because most often the next
/// one is good, and longer while the store is away for all.
fn switch_pause(searching: Duration) -> Duration {
    searching
        .mul_f64(SWITCH_PAUSE_SHARE)
        .clamp(SWITCH_PAUSE, SWITCH_PAUSE_MAX)
}

async fn follow_peer(shared: &Rc<SharedState>, name: &str) -> Error {
    let peer = shared.view.borrow().entry(name).cloned();
    match peer {
        Some(peer) => peer::follow(shared, peer.addr, peer.zone == shared.locality.zone)
            .await
            .into(),
        None => Error::NotRegistered,
    }
}

/// Returns true if there is an entry of better rank to follow.
fn is_better(shared: &SharedState, sources: &SourceSelector) -> bool {
    let view = shared.view.borrow();
    sources
        .higher_ranked(shared.now(), &view, &shared.own_entry)
        .is_some()
}

/// Follows the store until it fails.
async fn follow_store(shared: &Rc<SharedState>, sources: &SourceSelector) -> Error {
    let mut client = Client::new(shared);
    // The first watch only asks whether there is news, so that followers need not wait for it.
    let mut wait = Duration::ZERO;
    let mut starting = shared.replica.borrow().revision() == 0;
    let mut better_check_at = shared.now();
    loop {
        let revision = shared.replica.borrow().revision();
        let read = match revision {
            0 => list(shared, &mut client, ALL_KEYS_PREFIX, Consistency::Stale).await,
            _ => watch(shared, &mut client, revision, wait).await,
        };
        let (confirmed_at, update) = match read {
            Ok(read) => read,
            Err(StoreError::Response(store::Error::Compacted)) => {
                info!(shared.log, "store_history_gone"; "revision" => revision);
                match list(shared, &mut client, ALL_KEYS_PREFIX, Consistency::Latest).await {
                    Ok(read) => read,
                    Err(error) => return error.into(),
                }
            }
            Err(error) => return error.into(),
        };
        wait = shared.reloadable().apply_deadline.mul_f64(WATCH_WAIT_SHARE);
        let changed = !update.records.is_empty();
        shared.record_store_source(confirmed_at);
        apply_update(shared, update);
        if shared.now() >= better_check_at {
            better_check_at = shared.now() + BETTER_CHECK;
            if is_better(shared, sources) {
                return Error::BetterSource;
            }
        }
        if starting {
            starting = false;
            tokio::time::sleep(START_PAUSE).await;
            if let Err(error) = learn_entries(shared, &mut client).await {
                return error.into();
            }
            if is_better(shared, sources) {
                return Error::BetterSource;
            }
            better_check_at = shared.now();
        } else if changed {
            tokio::time::sleep(
                shared
                    .reloadable()
                    .apply_deadline
                    .mul_f64(BATCH_PAUSE_SHARE),
            )
            .await;
        }
    }
}

/// Learns which other entries have registered. Entries that start together know of each other by
/// this, at a tenth of the price of a watch.
async fn learn_entries(shared: &Rc<SharedState>, client: &mut Client) -> Result<(), StoreError> {
    let (_, entries) = list(shared, client, ENTRIES_PREFIX, Consistency::Stale).await?;
    // The listing says nothing of other keys.
    let revision = shared.replica.borrow().revision();
    apply_update(
        shared,
        Update {
            revision,
            ..entries
        },
    );
    shared.view.borrow_mut().mark_entries_read();
    Ok(())
}

/// Reads all keys with a prefix. Returns when the first page was asked for, and the records.
async fn list(
    shared: &Rc<SharedState>,
    client: &mut Client,
    prefix: &str,
    consistency: Consistency,
) -> Result<(Timestamp, Update), StoreError> {
    let asked_at = shared.now();
    let mut records = Vec::new();
    let mut revision = None;
    let mut after: Option<String> = None;
    loop {
        let request = store::list(&client.host(), prefix, after.as_deref(), consistency);
        let (status, body) = client.call("list", request, Duration::ZERO).await?;
        let page = store::decode_page(status, &body)?;
        let page_revision = match consistency {
            // Later pages may hold later changes; watching from the first page repeats them.
            Consistency::Latest => page.revision,
            // The page may be older than the revision that it names, but has every change up to
            // the newest that it shows.
            Consistency::Stale => newest(&page.records),
        };
        revision = Some(revision.map_or(page_revision, |r: Revision| r.min(page_revision)));
        after = page.records.last().map(|record| record.key.clone());
        records.extend(page.records);
        if !page.has_more {
            break;
        }
    }
    let update = Update {
        revision: revision.unwrap_or(0),
        is_snapshot: consistency == Consistency::Latest,
        records,
    };
    // Stale state may be seconds old, but the first watch follows within a second and brings the
    // rest. Entries that start together could not follow each other until then.
    Ok((asked_at, update))
}

fn newest(records: &[Record]) -> Revision {
    records.iter().map(|r| r.revision).max().unwrap_or(0)
}

/// Waits for changes. Returns when the answer came, and the changes.
async fn watch(
    shared: &Rc<SharedState>,
    client: &mut Client,
    after: Revision,
    wait: Duration,
) -> Result<(Timestamp, Update), StoreError> {
    let request = store::watch(&client.host(), ALL_KEYS_PREFIX, after, wait);
    let (status, body) = client.call("watch", request, wait).await?;
    let events = store::decode_events(status, &body)?;
    shared.view.borrow_mut().mark_entries_read();
    let update = Update {
        revision: events.revision,
        is_snapshot: false,
        records: events.records,
    };
    Ok((shared.now(), update))
}

/// Applies an update to replica and view, and passes it on to followers.
pub fn apply_update(shared: &Rc<SharedState>, update: Update) {
    let news = shared.replica.borrow_mut().apply(update);
    let now = shared.now();
    let effects: Vec<Effect> = {
        let mut view = shared.view.borrow_mut();
        news.iter()
            .filter_map(|record| registry::decode(record, &shared.settings.regions))
            .map(|change| view.apply(now, change))
            .collect()
    };
    apply_effects(shared, &effects);
    if !news.is_empty() {
        shared.notify_followers();
    }
}

/// Notes that what is known was confirmed at `confirmed_at`.
pub fn record_confirmation(shared: &SharedState, confirmed_at: Timestamp) {
    let before = shared.confirmed_at.get();
    if before.is_some_and(|before| confirmed_at <= before) {
        return;
    }
    shared.confirmed_at.set(Some(confirmed_at));
    // Each step from the store to the last follower would otherwise add an interval to the age.
    shared.notify_followers();
    // A process that has not been confirmed yet may know what lapsed before its start.
    let gap = confirmed_at - before.unwrap_or(Timestamp::ZERO);
    if gap > OUTAGE_MIN {
        info!(shared.log, "knowledge_regained"; "gap_ms" => gap.as_millis() as u64);
        shared.view.borrow_mut().store_recovered(shared.now());
    }
}

/// Logs what changed and passes on what it means for the observations of targets.
pub fn apply_effects(shared: &SharedState, effects: &[Effect]) {
    for effect in effects {
        match effect {
            Effect::None => {}
            Effect::BundleActivated(version) => {
                info!(shared.log, "bundle_in_force"; "version" => version);
            }
            Effect::BundleIgnored(version) => {
                warn!(shared.log, "bundle_ignored"; "version" => version);
            }
            Effect::Target(id, change) => {
                info!(shared.log, "target"; "target" => &**id, "change" => ?change);
                note_target(shared, id);
            }
            Effect::Zone(zone, out) => {
                info!(shared.log, "zone"; "zone" => &**zone, "out" => out);
            }
            Effect::Entry(name, present) => {
                info!(shared.log, "entry"; "entry" => &**name, "present" => present);
            }
            Effect::Invalid(why) => warn!(shared.log, "store_item_unusable"; "why" => why),
        }
    }
}

/// Takes the warm-up of a registration over into the observations.
fn note_target(shared: &SharedState, id: &Rc<str>) {
    let view = shared.view.borrow();
    match view.target(id) {
        Some(known) => {
            let now = shared.now();
            let left = known.target.warmup_left;
            shared.with_target_stats(id, |book| book.set_warmup(now, left));
        }
        None => {
            shared.target_stats.borrow_mut().remove(id);
        }
    }
}
