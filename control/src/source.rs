//! Selection of the source that an entry follows.
//!
//! An entry follows a source: it receives the changes of the store from it. The source is the store
//! itself or another entry.
//!
//! Every call to the store is billed, so the number of calls may grow with the number of zones but
//! not with the number of entries. Entries therefore form a distribution tree: the highest-ranked
//! entry of a region follows the store, the highest-ranked entry of each other zone follows that
//! entry, and the remaining entries follow the highest-ranked one of their zone. Ranks are derived
//! from the registrations, so no election is needed.
//!
//! A source that does not respond, closes the connection or has stale data is not used again until
//! its backoff has passed, except for the store, which is used if every source is in backoff. At
//! most two higher-ranked entries are tried before the store, so changes are delayed by at most two
//! timeouts until the store is tried.
//!
//! There are no cycles: while the store is reachable an entry only follows higher-ranked entries,
//! and it rejects a source whose data came through itself.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};
use rand::Rng;
use rand::seq::SliceRandom as _;

use crate::model::{Entry, EntryName};
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

/// Backoff after a failure of the store.
const STORE_BACKOFF: Duration = Duration::from_millis(700);

/// Number of higher-ranked entries that are tried before the store.
const HIGHER_RANKED_TRIES_MAX: usize = 2;

/// What an entry follows. A source that failed is in backoff: it is not used again until its backoff
/// has passed, except for the store, which is used if every source is in backoff.
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
}

impl SourceSelector {
    /// Starts the backoff of a source.
    pub fn record_failure(&mut self, now: Timestamp, source: &Source, failure: SourceFailure) {
        let backoff = match (source, failure) {
            (Source::Store, _) => STORE_BACKOFF,
            (_, SourceFailure::Unavailable) => PEER_BACKOFF,
            (_, SourceFailure::Stale) => STALE_PEER_BACKOFF,
        };
        self.backoff_until.insert(source.clone(), now + backoff);
    }

    /// Selects the source that the entry `own` follows next. The store is returned if every source
    /// is in backoff.
    pub fn select(
        &mut self,
        now: Timestamp,
        view: &View,
        own: &Entry,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Source {
        self.backoff_until.retain(|_, until| *until > now);
        self.higher_ranked(now, view, own)
            .or_else(|| self.unless_backing_off(now, Source::Store))
            .or_else(|| self.any_peer(now, view, own, rng))
            .or_else(|| self.any_seed(now, own, seeds))
            .unwrap_or(Source::Store)
    }

    /// Returns a higher-ranked entry to follow, if one is available: of the own zone if it has any,
    /// otherwise of the own region.
    pub fn higher_ranked(&self, now: Timestamp, view: &View, own: &Entry) -> Option<Source> {
        let higher_ranked: Vec<&Entry> = ranked(view)
            .into_iter()
            .take_while(|entry| rank(entry) < rank(own))
            .collect();
        let in_zone = higher_ranked.iter().filter(|entry| entry.zone == own.zone);
        let in_region = higher_ranked
            .iter()
            .filter(|entry| entry.region == own.region && entry.zone != own.zone);
        let candidates = match in_zone.clone().next() {
            Some(_) => in_zone.take(HIGHER_RANKED_TRIES_MAX).collect::<Vec<_>>(),
            None => in_region.take(HIGHER_RANKED_TRIES_MAX).collect(),
        };
        candidates
            .into_iter()
            .find_map(|entry| self.unless_backing_off(now, Source::Peer(entry.name.clone())))
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

/// Returns the sort key of an entry's rank; the smallest key is the highest rank.
fn rank(entry: &Entry) -> (Reverse<u32>, &EntryName) {
    (Reverse(entry.capacity), &entry.name)
}

/// Returns the entries, the highest-ranked first.
fn ranked(view: &View) -> Vec<&Entry> {
    let mut entries: Vec<&Entry> = view.entries().map(|entry| &**entry).collect();
    entries.sort_by(|a, b| rank(a).cmp(&rank(b)));
    entries
}
