//! Selection of the source that an entry follows.
//!
//! An entry follows a source: it receives the changes of the store from it. The source is the store
//! itself or another entry.
//!
//! Every call to the store is billed, so the number of calls may grow with the number of zones but
//! not with the number of entries. Entries therefore form a distribution tree: the highest-ranked
//! entry of a region follows the store, the highest-ranked entry of each other zone follows that
//! entry, and the other registered entries follow the highest-ranked one of their zone. Leaf entries,
//! which are not registered (see `membership`), are spread over the registered entries of their zone.
//! Ranks are derived from the registrations, so no election is needed.
//!
//! A source that does not respond, closes the connection or has stale data is not used again until
//! its backoff has passed. At most two higher-ranked entries are tried in a search before the store,
//! so changes are delayed by at most two timeouts until the store is tried. A leaf entry first tries
//! registered entries of other zones for a while.
//!
//! Load pattern: the store rejects every call for seconds. If each of hundreds of leaf entries called
//! it as often as the registered ones, an outage would multiply the calls. Once the store responds
//! again, a leaf entry finds a fresh source among the registered entries.
//!
//! There are no cycles: while the store is reachable a registered entry only follows higher-ranked
//! entries, a leaf entry has no followers, and an entry rejects a source whose data came through
//! itself.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};
use rand::Rng;
use rand::seq::SliceRandom as _;

use crate::model::{Entry, EntryName};
use crate::rendezvous::rendezvous_key;
use crate::view::View;
use crate::{Map, Timestamp};

/// Backoff after an entry was unavailable as a source.
const PEER_BACKOFF: Duration = Duration::from_secs(4);

/// Backoff after the data of an entry became stale. It is shorter because often the store stopped
/// responding for a while, and the entry has caught up since.
const STALE_PEER_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum age of a source's data, as a share of the deadline for applying changes. Older data is
/// stale, and its source is not followed.
const AGE_MAX_SHARE: f64 = 0.7;

/// The same for a source in the same zone as this entry. It is greater, so that the highest-ranked
/// entry of a zone switches to the store before the others do; otherwise all entries would call a
/// store that has stopped responding for a while.
const AGE_MAX_SHARE_SAME_ZONE: f64 = 0.85;

/// Maximum time for which a source may have been searching for a source, as a share of the same
/// deadline.
const SEARCHING_MAX_SHARE: f64 = 0.06;

/// The same for a source in the same zone as this entry. It is greater for the same reason as
/// [`AGE_MAX_SHARE_SAME_ZONE`].
const SEARCHING_MAX_SHARE_SAME_ZONE: f64 = 0.15;

/// Backoff after a failure of the store. It doubles with each further failure for a leaf entry that
/// knows registered entries, up to [`LEAF_STORE_BACKOFF_MAX`].
const STORE_BACKOFF: Duration = Duration::from_millis(700);

/// Longest backoff of a leaf entry after failures of the store.
const LEAF_STORE_BACKOFF_MAX: Duration = Duration::from_secs(8);

/// Share of the deadline for applying changes for which a leaf entry searches among registered entries
/// before it tries the store.
const LEAF_STORE_DELAY_SHARE: f64 = 0.4;

/// The same for an entry without data, which serves no requests until it has found a source: the time
/// in which other entries that start at the same time get theirs.
const LEAF_STORE_DELAY_AT_START: Duration = Duration::from_millis(400);

/// Backoff after an entry was unavailable as a source to one without data. Both may have just started.
const STARTING_PEER_BACKOFF: Duration = Duration::from_millis(150);

/// Number of higher-ranked entries that are tried in one search before the store.
const HIGHER_RANKED_TRIES_MAX: u32 = 2;

/// Time after a failure from which on another one starts a new search. Longer than a try takes.
const SEARCH_GAP: Duration = Duration::from_secs(2);

/// What an entry follows. A source that failed is in backoff: it is not used again until its backoff
/// has passed.
#[value]
#[derive(Eq, Hash)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry.
    Peer(EntryName),
    /// An entry listed in the settings, for starting while the store is unavailable. It is used
    /// while the store and all known entries are in backoff.
    Seed(SocketAddr),
}

/// Why a source is no longer followed.
#[copy_value]
pub enum SourceFailure {
    /// It did not respond, closed the connection or cannot be reached.
    Unavailable,
    /// The same, for an entry that has no data yet. It does not count as a try.
    UnavailableAtStart,
    /// Its data is stale or came through this entry, or it has been searching for a source for
    /// too long.
    Stale,
}

/// Part of the status of a source that decides whether it is usable.
#[value]
#[derive(Copy, Eq)]
pub struct SourceHealth {
    /// Time since the store last confirmed its data.
    pub age: Duration,
    /// Time for which it, or the source that it follows, has been searching for a source.
    pub searching: Duration,
}

impl SourceHealth {
    /// Returns true if the source is fresh enough for changes to be applied within
    /// `apply_deadline`. `same_zone` means that the source is in the same zone as this entry.
    pub fn is_usable(&self, apply_deadline: Duration, same_zone: bool) -> bool {
        let (age_share, searching_share) = match same_zone {
            true => (AGE_MAX_SHARE_SAME_ZONE, SEARCHING_MAX_SHARE_SAME_ZONE),
            false => (AGE_MAX_SHARE, SEARCHING_MAX_SHARE),
        };
        self.age <= apply_deadline.mul_f64(age_share)
            && self.searching <= apply_deadline.mul_f64(searching_share)
    }
}

/// Selects a source and keeps the backoff of those that failed.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    backoff_until: Map<Source, Timestamp>,
    /// Entries that failed in the current search.
    failed_tries: u32,
    last_failure_at: Timestamp,
    /// Failures of the store since it last responded.
    store_failures: u32,
    last_store_failure_at: Timestamp,
}

/// State of a search for a source.
#[value]
pub struct Search<'a> {
    /// Time since the source was lost.
    pub duration: Duration,
    /// True if the entry has received data since its process started.
    pub has_data: bool,
    /// Maximum time until a change takes effect.
    pub apply_deadline: Duration,
    /// Peer addresses of entries to follow if no other source is available.
    pub seeds: &'a [SocketAddr],
}

impl SourceSelector {
    /// Records a response of the store.
    pub fn record_store_response(&mut self) {
        self.store_failures = 0;
    }

    /// Starts the backoff of a source.
    pub fn record_failure(&mut self, now: Timestamp, source: &Source, failure: SourceFailure) {
        let backoff = match (source, failure) {
            (Source::Store, _) => {
                self.store_failures += 1;
                self.last_store_failure_at = now;
                STORE_BACKOFF
            }
            (_, SourceFailure::Unavailable) => PEER_BACKOFF,
            (_, SourceFailure::UnavailableAtStart) => STARTING_PEER_BACKOFF,
            (_, SourceFailure::Stale) => STALE_PEER_BACKOFF,
        };
        self.backoff_until.insert(source.clone(), now + backoff);
        if now > self.last_failure_at + SEARCH_GAP {
            self.failed_tries = 0;
        }
        self.last_failure_at = now;
        let is_try = *source != Source::Store && failure != SourceFailure::UnavailableAtStart;
        self.failed_tries += u32::from(is_try);
    }

    /// Selects the source that the entry `own` follows next; `None` if every source is in backoff.
    pub fn select(
        &mut self,
        now: Timestamp,
        view: &View,
        own: &Entry,
        search: &Search<'_>,
        rng: &mut impl Rng,
    ) -> Option<Source> {
        self.backoff_until.retain(|_, until| *until > now);
        let is_start_delay_over = !search.has_data && search.duration >= LEAF_STORE_DELAY_AT_START;
        let higher_ranked = match self.has_tries_left(now) && !is_start_delay_over {
            true => self.higher_ranked(now, view, own),
            false => None,
        };
        let is_leaf = !is_registered(view, own) && view.entries().next().is_some();
        let store_delay = match search.has_data {
            true => search.apply_deadline.mul_f64(LEAF_STORE_DELAY_SHARE),
            false => LEAF_STORE_DELAY_AT_START,
        };
        let peers_first = is_leaf && search.duration < store_delay;
        let mut any_peer = || self.any_peer(now, view, own, rng);
        higher_ranked
            .or_else(|| peers_first.then(&mut any_peer).flatten())
            .or_else(|| self.store(now, is_leaf))
            .or_else(any_peer)
            .or_else(|| self.any_seed(now, own, search.seeds))
    }

    /// Returns true if another higher-ranked entry may be tried before the store.
    fn has_tries_left(&self, now: Timestamp) -> bool {
        let is_new_search = now > self.last_failure_at + SEARCH_GAP;
        is_new_search || self.failed_tries < HIGHER_RANKED_TRIES_MAX
    }

    /// Returns the store unless it is in backoff.
    fn store(&self, now: Timestamp, is_leaf: bool) -> Option<Source> {
        let store = self.unless_backing_off(now, Source::Store)?;
        let doublings = self.store_failures.saturating_sub(1).min(16);
        let backoff = (STORE_BACKOFF * (1 << doublings)).min(LEAF_STORE_BACKOFF_MAX);
        let is_due = self.store_failures == 0 || now >= self.last_store_failure_at + backoff;
        (!is_leaf || is_due).then_some(store)
    }

    /// Returns a higher-ranked entry to follow, if one is available: of the own zone if it has any,
    /// otherwise of the own region. Every registered entry ranks higher than a leaf entry.
    pub fn higher_ranked(&self, now: Timestamp, view: &View, own: &Entry) -> Option<Source> {
        let mut candidates: Vec<&Entry> = match is_registered(view, own) {
            true => ranked(view)
                .into_iter()
                .take_while(|entry| rank(entry) < rank(own))
                .collect(),
            false => spread(view, own),
        };
        candidates.retain(|entry| entry.region == own.region);
        candidates.sort_by_key(|entry| entry.zone != own.zone);
        let only_own_zone = is_registered(view, own)
            && candidates
                .first()
                .is_some_and(|first| first.zone == own.zone);
        candidates
            .into_iter()
            .filter(|entry| !only_own_zone || entry.zone == own.zone)
            .find_map(|entry| self.unless_backing_off(now, Source::Peer(entry.name.clone())))
    }

    /// Returns true if the entry `own` should leave `source`, an entry that it has followed since it
    /// was a leaf entry, for another one: a leaf entry returns to its own zone, and an entry that has
    /// registered since no longer follows a lower-ranked one.
    pub fn should_leave(&self, now: Timestamp, view: &View, own: &Entry, source: &Entry) -> bool {
        if is_registered(view, own) {
            return rank(source) > rank(own);
        }
        let available = self.higher_ranked(now, view, own);
        source.zone != own.zone
            && self.has_tries_left(now)
            && available.is_some_and(|available| match available {
                Source::Peer(name) => view.entry(&name).is_some_and(|e| e.zone == own.zone),
                Source::Store | Source::Seed(_) => false,
            })
    }

    /// Returns any other entry, preferring other zones: entries of the own zone mostly depend on
    /// the same source as this one.
    fn any_peer(
        &self,
        now: Timestamp,
        view: &View,
        own: &Entry,
        rng: &mut impl Rng,
    ) -> Option<Source> {
        let mut entries: Vec<&Entry> = ranked(view);
        entries.retain(|entry| entry.name != own.name);
        entries.shuffle(rng);
        entries.sort_by_key(|entry| (entry.zone == own.zone, entry.region != own.region));
        entries
            .iter()
            .find_map(|entry| self.unless_backing_off(now, Source::Peer(entry.name.clone())))
    }

    fn any_seed(&self, now: Timestamp, own: &Entry, seeds: &[SocketAddr]) -> Option<Source> {
        seeds
            .iter()
            .filter(|addr| **addr != own.addr)
            .find_map(|addr| self.unless_backing_off(now, Source::Seed(*addr)))
    }

    fn unless_backing_off(&self, now: Timestamp, source: Source) -> Option<Source> {
        let until = self.backoff_until.get(&source);
        until.is_none_or(|until| *until <= now).then_some(source)
    }
}

/// Returns true if the entry is registered, according to the view.
pub fn is_registered(view: &View, entry: &Entry) -> bool {
    view.entry(&entry.name).is_some()
}

/// Returns the registered entries in the order in which the leaf entry `own` tries them: by capacity,
/// and in a different order for each leaf entry, so that each source gets a part of them.
fn spread<'a>(view: &'a View, own: &Entry) -> Vec<&'a Entry> {
    let mut entries = ranked(view);
    let key = |entry: &&Entry| {
        let key = rendezvous_key(&own.name, &entry.name);
        (Reverse(entry.capacity), key)
    };
    entries.sort_by_cached_key(key);
    entries
}

/// Returns the sort key of an entry's rank; the smallest key is the highest rank.
pub fn rank(entry: &Entry) -> (Reverse<u32>, &EntryName) {
    (Reverse(entry.capacity), &entry.name)
}

/// Returns the entries, the highest-ranked first.
pub fn ranked(view: &View) -> Vec<&Entry> {
    let mut entries: Vec<&Entry> = view.entries().map(|entry| &**entry).collect();
    entries.sort_by(|a, b| rank(a).cmp(&rank(b)));
    entries
}
