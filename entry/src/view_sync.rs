//! Keeps the view up to date by following the store or another entry.
//! `lacewingmoor_control::source` defines the ranks of entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::model::{Era, Record, Revision};
use lacewingmoor_control::replica::Update;
use lacewingmoor_control::source::{Search, Source, SourceFailure, SourceSelector};
use lacewingmoor_control::view::Effect;
use lacewingmoor_platform::registry::{self, ALL_KEYS_PREFIX, ENTRIES_PREFIX};
use lacewingmoor_platform::store::{self, Consistency};
use quick_error::quick_error;
use rand::RngExt as _;
use slog::{info, warn};

use crate::shared_state::SharedState;
use crate::store_client::{Client, Error as StoreError, LISTING_BYTES_MAX, Reply};
use crate::{bundle_rejection, peer, peer_protocol, rollout};

/// Time that a watch waits for changes, as a share of the deadline for applying changes. A store
/// that stops responding is noticed after this time and the response timeout, which leaves time to
/// receive a change from another source.
const WATCH_WAIT_SHARE: f64 = 0.3;

/// Pause after a watch that returned changes, as a share of the deadline for applying changes, so
/// that a series of changes takes few billed calls.
const BATCH_PAUSE_SHARE: f64 = 0.12;

/// Pause after the first listing of all keys, so that entries of other zones that start at the same
/// time have registered before this one selects the entry to follow.
const START_PAUSE: Duration = Duration::from_millis(600);

/// Shortest pause before the next source is tried. The pause is up to twice as long at random, so
/// that entries do not call at the same time.
const SWITCH_PAUSE_MIN: Duration = Duration::from_millis(20);

/// Pause before the next source is tried, as a share of the time spent searching so far.
const SWITCH_PAUSE_SHARE: f64 = 0.1;

/// Longest pause before the next source is tried, without the random part.
const SWITCH_PAUSE_MAX: Duration = Duration::from_millis(250);

/// Time without confirmation by the store after which registrations may have expired during the
/// outage.
const OUTAGE_MIN: Duration = Duration::from_millis(2500);

/// Interval at which an entry that follows the store checks for a higher-ranked entry to follow
/// instead.
const RANK_CHECK_INTERVAL: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a source is no longer followed.
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
        /// A higher-ranked entry can be followed instead of the store.
        HigherRankedAvailable {
            display("a higher-ranked entry is available as source")
        }
        /// The entry selected as source is no longer registered.
        NotRegistered {
            display("entry is no longer registered")
        }
    }
}

/// Follows the selected source, and selects another whenever it fails, for as long as the process
/// runs.
pub async fn run(shared: Rc<SharedState>) {
    let mut selector = SourceSelector::default();
    let mut register_at = match discover(&shared).await {
        Discovery::NoSource => shared.now(),
        Discovery::Sources | Discovery::Failed => shared.now() + shared.registration_delay,
    };
    loop {
        let Some(source) = select_source(&shared, &mut selector) else {
            tokio::time::sleep(SWITCH_PAUSE_MAX).await;
            continue;
        };
        info!(
            shared.log, "source";
            "source" => ?source, "revision" => %shared.replica.borrow().revision(),
            "age_ms" => shared.view_age().as_millis() as u64,
        );
        let error = match &source {
            Source::Store => follow_store(&shared, &mut selector, register_at).await,
            Source::Peer(name) => follow_peer(&shared, &selector, name).await,
            Source::Seed(addr) => follow_seed(&shared, *addr).await,
        };
        register_at = shared.now() + shared.registration_delay;
        let failure = match &error {
            Error::HigherRankedAvailable => continue,
            Error::Peer(peer_protocol::Error::Stale(_) | peer_protocol::Error::Circular) => {
                SourceFailure::Stale
            }
            _ if shared.has_data() => SourceFailure::Unavailable,
            _ => SourceFailure::UnavailableAtStart,
        };
        warn!(shared.log, "source_lost"; "source" => ?source, "cause" => %error);
        shared.record_source_loss();
        selector.record_failure(shared.now(), &source, failure);
        let pause = switch_pause(shared.searching());
        let factor = 1.0 + shared.rng.borrow_mut().random::<f64>();
        tokio::time::sleep(pause.mul_f64(factor)).await;
    }
}

fn select_source(shared: &SharedState, selector: &mut SourceSelector) -> Option<Source> {
    let search = Search {
        duration: shared.searching(),
        has_data: shared.has_data(),
        apply_deadline: shared.reloadable().apply_deadline,
        seeds: &shared.settings.seeds,
    };
    let view = shared.view.borrow();
    let mut rng = shared.rng.borrow_mut();
    selector.select(shared.now(), &view, &shared.own_entry, &search, &mut *rng)
}

/// Returns the pause before the next source is tried: short at first, because the next one is
/// usually usable, and longer while the store is unavailable to all entries.
fn switch_pause(searching: Duration) -> Duration {
    searching
        .mul_f64(SWITCH_PAUSE_SHARE)
        .clamp(SWITCH_PAUSE_MIN, SWITCH_PAUSE_MAX)
}

/// What an entry that has just started knows of others.
enum Discovery {
    /// Its zone has registered entries.
    Sources,
    /// Its zone has no registered entry, even after the registration delay.
    NoSource,
    /// The store did not respond.
    Failed,
}

/// Reads the registrations of entries after a start. If the zone has none, reads them again after
/// the registration delay, because another entry of the zone may register first.
///
/// Load pattern: all entries of a fleet start at the same time. Each that listed all keys and
/// registered would take five calls; one that finds an entry to follow takes two stale reads. An
/// entry that finds itself registered lists all keys: others follow it, and would have to wait until
/// its own source has data.
async fn discover(shared: &Rc<SharedState>) -> Discovery {
    let mut client = Client::new(shared);
    for delay in [Duration::ZERO, shared.registration_delay] {
        tokio::time::sleep(delay).await;
        if let Err(error) = read_entries(shared, &mut client).await {
            warn!(shared.log, "discovery_failed"; "cause" => %error);
            return Discovery::Failed;
        }
        let is_counted = shared.view.borrow().counts_entry(&shared.own_entry.name);
        shared.view.borrow_mut().set_entries_unsettled(!is_counted);
        if shared.is_registered() {
            shared.request_registration();
            if let Err(error) = read_all_keys(shared, &mut client).await {
                warn!(shared.log, "discovery_failed"; "cause" => %error);
            }
            return Discovery::Sources;
        }
        let view = shared.view.borrow();
        if view
            .entries()
            .any(|entry| entry.zone == shared.locality.zone)
        {
            return Discovery::Sources;
        }
    }
    Discovery::NoSource
}

async fn read_all_keys(shared: &Rc<SharedState>, client: &mut Client) -> Result<(), StoreError> {
    let (confirmed_at, update) = list(shared, client, ALL_KEYS_PREFIX, Consistency::Stale).await?;
    apply_update(shared, update);
    record_confirmation(shared, confirmed_at);
    Ok(())
}

async fn follow_peer(shared: &Rc<SharedState>, selector: &SourceSelector, name: &str) -> Error {
    let Some(peer) = shared.view.borrow().entry(name).cloned() else {
        return Error::NotRegistered;
    };
    let was_leaf = !shared.is_registered();
    let should_leave = || {
        let view = shared.view.borrow();
        was_leaf && selector.should_leave(shared.now(), &view, &shared.own_entry, &peer)
    };
    let same_zone = peer.zone == shared.locality.zone;
    match peer::follow(shared, peer.addr, same_zone, should_leave).await {
        Ok(()) => Error::HigherRankedAvailable,
        Err(error) => error.into(),
    }
}

/// Follows a seed until it fails. Its zone is unknown, so the limits for other zones apply.
async fn follow_seed(shared: &Rc<SharedState>, addr: SocketAddr) -> Error {
    match peer::follow(shared, addr, false, || false).await {
        Ok(()) => Error::HigherRankedAvailable,
        Err(error) => error.into(),
    }
}

/// Returns true if there is a higher-ranked entry to follow.
fn has_higher_ranked(shared: &SharedState, selector: &SourceSelector) -> bool {
    let view = shared.view.borrow();
    selector
        .higher_ranked(shared.now(), &view, &shared.own_entry)
        .is_some()
}

/// Follows the store until it fails or a higher-ranked entry can be followed. Registers this entry at
/// `register_at`, so that others can follow it.
async fn follow_store(
    shared: &Rc<SharedState>,
    selector: &mut SourceSelector,
    register_at: Timestamp,
) -> Error {
    let mut client = Client::new(shared);
    // A watch in the first iteration only asks for pending changes and does not wait, so that
    // followers get these, and a confirmed view, without delay.
    let mut wait = Duration::ZERO;
    let mut is_starting = !shared.has_data();
    let mut rank_check_at = shared.now();
    loop {
        let revision = shared.replica.borrow().revision();
        let read = match shared.has_data() {
            false => list(shared, &mut client, ALL_KEYS_PREFIX, Consistency::Stale).await,
            true => watch(shared, &mut client, revision, wait).await,
        };
        let (confirmed_at, update) = match read {
            Ok(read) => read,
            // A listing comes in pages, the changes of a watch all together.
            Err(
                cause @ (StoreError::Response(store::Error::Compacted)
                | StoreError::OtherEra(..)
                | StoreError::TooLong),
            ) => {
                info!(shared.log, "store_history_gone"; "revision" => %revision, "cause" => %cause);
                match list(shared, &mut client, ALL_KEYS_PREFIX, Consistency::Latest).await {
                    Ok(read) => {
                        let listed = read.1.revision;
                        info!(shared.log, "store_listed"; "revision" => %listed, "known" => %revision);
                        read
                    }
                    Err(error) => return error.into(),
                }
            }
            Err(error) => return error.into(),
        };
        selector.record_store_response();
        wait = shared.reloadable().apply_deadline.mul_f64(WATCH_WAIT_SHARE);
        let changed = !update.records.is_empty();
        shared.record_store_source(confirmed_at);
        apply_update(shared, update);
        let registers = !shared.is_registered() && shared.now() >= register_at;
        if registers || shared.now() >= rank_check_at {
            rank_check_at = shared.now() + RANK_CHECK_INTERVAL;
            if has_higher_ranked(shared, selector) {
                return Error::HigherRankedAvailable;
            }
        }
        if registers {
            shared.request_registration();
        } else if !shared.is_registered() {
            // Otherwise leaf entries whose watches end at the same time would register together.
            wait = wait.min(register_at.saturating_sub(shared.now()));
        }
        if is_starting {
            is_starting = false;
            tokio::time::sleep(START_PAUSE).await;
            if let Err(error) = read_entries(shared, &mut client).await {
                return error.into();
            }
            shared.view.borrow_mut().mark_entries_read();
            if has_higher_ranked(shared, selector) {
                return Error::HigherRankedAvailable;
            }
            rank_check_at = shared.now();
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

/// Reads the registrations of entries, so that entries that start at the same time know of each
/// other. The read costs a tenth of a watch.
async fn read_entries(shared: &Rc<SharedState>, client: &mut Client) -> Result<(), StoreError> {
    let (_, entries) = list(shared, client, ENTRIES_PREFIX, Consistency::Stale).await?;
    // The listing has only the keys of entries, so the replica's revision does not advance.
    let revision = shared.replica.borrow().revision();
    apply_update(
        shared,
        Update {
            revision,
            ..entries
        },
    );
    Ok(())
}

/// Returns the era of the store's contents in a reply: the one that it names, or else the known one.
///
/// # Errors
///
/// Returns an error if the reply is older than what this entry knows.
fn reply_era(shared: &SharedState, reply: &Reply) -> Result<Era, StoreError> {
    let known = shared.era();
    match reply.era {
        Some(era) if era < known => Err(StoreError::OtherEra(era, known)),
        Some(era) => Ok(era),
        None => Ok(known),
    }
}

/// Reads all keys with a prefix. Returns the time at which the first page was requested, and the
/// records.
async fn list(
    shared: &Rc<SharedState>,
    client: &mut Client,
    prefix: &str,
    consistency: Consistency,
) -> Result<(Timestamp, Update), StoreError> {
    let (confirmed_at, update) = list_as(shared, client, prefix, consistency).await?;
    // Fault: after a restore of the store, a read that may be stale may show what was lost with it, with
    // revisions that the store gives out again.
    let is_ambiguous = consistency == Consistency::Stale && update.revision.era > store::FIRST_ERA;
    match is_ambiguous {
        true => list_as(shared, client, prefix, Consistency::Latest).await,
        false => Ok((confirmed_at, update)),
    }
}

async fn list_as(
    shared: &Rc<SharedState>,
    client: &mut Client,
    prefix: &str,
    consistency: Consistency,
) -> Result<(Timestamp, Update), StoreError> {
    let requested_at = shared.now();
    let known = shared.replica.borrow().revision();
    let mut first_era = None;
    let mut records = Vec::new();
    let mut record_bytes = 0;
    let mut revision = None;
    let mut after: Option<String> = None;
    loop {
        let request = store::list(&client.host(), prefix, after.as_deref(), consistency);
        let reply = client.call("list", request, Duration::ZERO).await?;
        let mut era = reply_era(shared, &reply)?;
        let mut page = store::decode_page(reply.status, &reply.body, era)?;
        if reply.era.is_none() && consistency == Consistency::Latest && page.revision < known {
            // Fault: a store that names no era is restored from an older copy.
            era += 1;
            page = store::decode_page(reply.status, &reply.body, era)?;
        }
        if *first_era.get_or_insert(era) != era {
            return Err(StoreError::OtherEra(era, known.era));
        }
        let page_revision = match consistency {
            // Later pages may include later changes; a watch from the revision of the first page
            // returns them again.
            Consistency::Latest => page.revision,
            // The page may be older than the revision that it names, but has every change up to
            // its newest record.
            Consistency::Stale => Revision {
                era,
                ..newest_revision(&page.records)
            },
        };
        log_unreadable(shared, &page.unreadable);
        revision = Some(revision.map_or(page_revision, |r: Revision| r.min(page_revision)));
        let last_key = page.records.last().map(|record| record.key.clone());
        if page.has_more && last_key <= after {
            return Err(StoreError::NoProgress);
        }
        after = last_key;
        let page_records = usable(shared, page.records);
        record_bytes += page_records.iter().map(length_of).sum::<usize>();
        if record_bytes > LISTING_BYTES_MAX {
            return Err(StoreError::ListingTooLong);
        }
        records.extend(page_records);
        if !page.has_more {
            break;
        }
    }
    let update = Update {
        revision: revision.unwrap_or_default(),
        is_snapshot: consistency == Consistency::Latest && prefix == ALL_KEYS_PREFIX,
        records,
    };
    // A stale listing may be seconds old, but counts as confirmed when it was requested: the first
    // watch follows within a second and returns the later changes. Otherwise entries that start at
    // the same time could not follow each other until then: the age of a view counts as unbounded
    // before its first confirmation, and followers reject a source with such an age as stale.
    Ok((requested_at, update))
}

fn length_of(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}

fn newest_revision(records: &[Record]) -> Revision {
    records.iter().map(|r| r.revision).max().unwrap_or_default()
}

/// Removes from records what no entry uses, and keys.
pub fn usable(shared: &SharedState, records: Vec<Record>) -> Vec<Record> {
    let usable = records.into_iter().filter_map(|record| {
        let length = record.value.as_ref().map_or(0, Vec::len);
        if length > registry::REGISTRATION_BYTES_MAX && !registry::is_bundle(&record) {
            let key = record.key.as_str();
            warn!(shared.log, "store_value_too_long"; "key" => key, "bytes" => length);
        }
        registry::without_unused(record)
    });
    usable.collect()
}

fn log_unreadable(shared: &SharedState, items: &[String]) {
    for item in items {
        warn!(shared.log, "store_item_unusable"; "why" => item);
    }
}

/// Waits for changes. Returns the time at which the response arrived, and the changes.
async fn watch(
    shared: &Rc<SharedState>,
    client: &mut Client,
    after: Revision,
    wait: Duration,
) -> Result<(Timestamp, Update), StoreError> {
    let request = store::watch(&client.host(), ALL_KEYS_PREFIX, after, wait);
    let reply = client.call("watch", request, wait).await?;
    let era = reply_era(shared, &reply)?;
    if era != after.era {
        return Err(StoreError::OtherEra(era, after.era));
    }
    let events = store::decode_events(reply.status, &reply.body, era)?;
    log_unreadable(shared, &events.unreadable);
    // A watch covers all keys, so after it the registrations of entries are known.
    shared.view.borrow_mut().mark_entries_read();
    let update = Update {
        revision: events.revision,
        is_snapshot: false,
        records: usable(shared, events.records),
    };
    Ok((shared.now(), update))
}

/// Applies an update to the replica and the view, and notifies of the change.
pub fn apply_update(shared: &Rc<SharedState>, update: Update) {
    let era = shared.era();
    let changed = shared.replica.borrow_mut().apply(update);
    if shared.era() > era && era > 0 {
        let revision = shared.replica.borrow().revision();
        warn!(shared.log, "store_restored"; "revision" => %revision, "changed" => changed.len());
    }
    let now = shared.now();
    let effects: Vec<Effect> = {
        let mut view = shared.view.borrow_mut();
        changed
            .iter()
            .filter_map(|record| registry::decode(record, &shared.settings.regions))
            .map(|change| view.apply(now, change))
            .collect()
    };
    apply_effects(shared, &effects);
    let moves_service =
        |effect: &Effect| matches!(effect, Effect::RolloutOrder(..) | Effect::RolloutStage(..));
    if effects.iter().any(moves_service) {
        // No request may be sent by the rules of the earlier state, or without any after a restart.
        rollout::update(shared);
    }
    if !changed.is_empty() {
        shared.notify_change();
    }
}

/// Records that the store confirmed the view at `confirmed_at`.
pub fn record_confirmation(shared: &SharedState, confirmed_at: Timestamp) {
    let previous = shared.confirmed_at.get();
    if previous.is_some_and(|previous| confirmed_at <= previous) {
        return;
    }
    shared.confirmed_at.set(Some(confirmed_at));
    // Otherwise each entry between the store and the last follower would add a status interval
    // to the age.
    shared.notify_change();
    // Until the first confirmation the view may have registrations that expired before the process
    // started, so the gap is counted from the start.
    let gap = confirmed_at - previous.unwrap_or(Timestamp::ZERO);
    if gap > OUTAGE_MIN {
        info!(shared.log, "knowledge_regained"; "gap_ms" => gap.as_millis() as u64);
        shared.view.borrow_mut().store_recovered(shared.now());
    }
}

/// Logs effects of changes and updates the statistics of changed targets.
pub fn apply_effects(shared: &SharedState, effects: &[Effect]) {
    for effect in effects {
        match effect {
            Effect::None => {}
            Effect::BundleActivated(version) => {
                bundle_rejection::record_active(*version);
                info!(shared.log, "bundle_in_force"; "version" => version);
                let warnings = shared.bundle().map(|bundle| bundle.warnings.clone());
                for warning in warnings.unwrap_or_default() {
                    metrics::counter!("lacewingmoor_bundle_warnings_total").increment(1);
                    warn!(shared.log, "bundle_warning"; "why" => warning);
                }
            }
            Effect::BundleIgnored(version) => {
                warn!(shared.log, "bundle_ignored"; "version" => version);
            }
            Effect::BundleRejected { rejected, kept } => {
                bundle_rejection::record(&shared.log, rejected, *kept);
            }
            Effect::Target(id, change) => {
                info!(shared.log, "target"; "target" => &**id, "change" => ?change);
                update_target_stats(shared, id);
            }
            Effect::Zone(zone, out) => {
                info!(shared.log, "zone"; "zone" => &**zone, "out" => out);
            }
            Effect::Entry(name, present) => {
                info!(shared.log, "entry"; "entry" => &**name, "present" => present);
            }
            Effect::RolloutOrder(service, is_set) => {
                info!(shared.log, "rollout_order"; "service" => &**service, "present" => is_set);
            }
            Effect::RolloutStage(service, stage) => {
                info!(shared.log, "rollout_record"; "service" => &**service, "stage" => stage.name());
            }
            Effect::Invalid(cause) => warn!(shared.log, "store_item_unusable"; "why" => cause),
        }
    }
}

/// Sets the warm-up in a target's statistics from its registration, or drops what need not be kept of
/// them if the target is no longer registered.
fn update_target_stats(shared: &SharedState, id: &Rc<str>) {
    let view = shared.view.borrow();
    match view.target(id) {
        Some(registration) => {
            let now = shared.now();
            let remaining = registration.target.warmup_left;
            shared.with_target_stats(id, |stats| stats.record_registered_warmup(now, remaining));
        }
        None => {
            let now = shared.now();
            let mut target_stats = shared.target_stats.borrow_mut();
            if let Some(stats) = target_stats.get_mut(id)
                && !stats.reduce_to_kept(now)
            {
                target_stats.remove(id);
            }
        }
    }
}
