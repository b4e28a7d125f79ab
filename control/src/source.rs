//! From whom an entry learns what is in the store.
//!
//! Every call of the store is paid for, so calls must grow with zones and not with entries. The
//! first entry of a region by rank follows the store; the first of each zone follows that entry,
//! and the others follow the first of their zone. Ranks come from the registrations, so nothing is
//! elected. A source that is silent, that breaks off or that has lost the store itself is left
//! alone for a while; the store is next in line, so that news is late by one time-out at most.
//! Entries only follow entries of better rank while the store is reachable, and an entry that
//! tells of knowledge that came through this one is refused, so entries never feed each other.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_derive::{tag, value};
use rand::Rng;
use rand::seq::SliceRandom as _;

use crate::facts::{Node, NodeName};
use crate::view::View;
use crate::{Map, Now};

/// Time for which an entry that failed as a source is left alone.
const PEER_COOLDOWN: Duration = Duration::from_secs(4);

/// Time for which an entry whose knowledge had become old is left alone. Often it was the store
/// that paused, and the entry has caught up since.
const OLD_COOLDOWN: Duration = Duration::from_secs(1);

/// Age of a source's knowledge, relative to the time within which changes must be in force, above
/// which it is not followed.
const AGE_MAX_SHARE: f64 = 0.7;

/// The same for a source in the own zone. The first entry of a zone turns to the store before the
/// others do, so that a store that pauses is not called by the whole fleet.
const AGE_MAX_SHARE_IN_ZONE: f64 = 0.85;

/// Time, relative to the same, that a source may look for a source itself before it is left.
const SEARCH_MAX_SHARE: f64 = 0.06;

/// The same for a source in the own zone.
const SEARCH_MAX_SHARE_IN_ZONE: f64 = 0.15;

/// Time for which the store is left alone after a failure.
const STORE_COOLDOWN: Duration = Duration::from_millis(700);

/// Entries of better rank that are tried before the store.
const BETTER_TRIED: usize = 2;

/// A source of records.
#[value]
#[derive(Eq, Hash)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry.
    Peer(NodeName),
    /// An entry named by the settings, for a start while the store is away.
    Seed(SocketAddr),
}

/// How a source failed.
#[tag]
pub enum Failure {
    /// It is silent, broke off or cannot be reached.
    Lost,
    /// It has lost the store itself.
    Old,
}

/// What a source tells of itself.
#[value]
#[derive(Copy, Eq)]
pub struct State {
    /// Time since the store confirmed what it knows.
    pub age: Duration,
    /// Time for which it, or the source that it follows, has been looking for a source.
    pub searching: Duration,
}

impl State {
    /// Returns true if the source is worth following, for changes that must be in force within
    /// `apply`. `in_zone` tells that it is of the own zone.
    pub fn is_good(&self, apply: Duration, in_zone: bool) -> bool {
        let (age_share, search_share) = match in_zone {
            true => (AGE_MAX_SHARE_IN_ZONE, SEARCH_MAX_SHARE_IN_ZONE),
            false => (AGE_MAX_SHARE, SEARCH_MAX_SHARE),
        };
        self.age <= apply.mul_f64(age_share) && self.searching <= apply.mul_f64(search_share)
    }
}

/// Sources that failed lately.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    cooldown_until: Map<Source, Now>,
}

impl Sources {
    /// Notes that a source failed, or that its knowledge became old.
    pub fn failed(&mut self, now: Now, source: &Source, failure: Failure) {
        let cooldown = match (source, failure) {
            (Source::Store, _) => STORE_COOLDOWN,
            (_, Failure::Lost) => PEER_COOLDOWN,
            (_, Failure::Old) => OLD_COOLDOWN,
        };
        self.cooldown_until.insert(source.clone(), now + cooldown);
    }

    /// Chooses the source to follow next, for the entry `own`.
    pub fn choose(
        &mut self,
        now: Now,
        view: &View,
        own: &Node,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Source {
        self.cooldown_until.retain(|_, until| *until > now);
        self.better(now, view, own)
            .or_else(|| self.usable(now, Source::Store))
            .or_else(|| self.any_peer(now, view, own, rng))
            .or_else(|| self.any_seed(now, own, seeds))
            .unwrap_or(Source::Store)
    }

    /// Returns an entry of better rank to follow, if there is one.
    pub fn better(&self, now: Now, view: &View, own: &Node) -> Option<Source> {
        let better: Vec<&Node> = ranked(view)
            .into_iter()
            .take_while(|node| rank(node) < rank(own))
            .collect();
        let in_zone = better.iter().filter(|node| node.zone == own.zone);
        let in_region = better
            .iter()
            .filter(|node| node.region == own.region && node.zone != own.zone);
        let first = match in_zone.clone().next() {
            Some(_) => in_zone.take(BETTER_TRIED).collect::<Vec<_>>(),
            None => in_region.take(BETTER_TRIED).collect(),
        };
        first
            .into_iter()
            .find_map(|node| self.usable(now, Source::Peer(node.name.clone())))
    }

    /// Returns any other entry, those of other zones first: those of the own zone mostly depend on
    /// the same source as this one.
    fn any_peer(&self, now: Now, view: &View, own: &Node, rng: &mut impl Rng) -> Option<Source> {
        let mut nodes: Vec<&Node> = ranked(view);
        nodes.retain(|node| node.name != own.name);
        nodes.shuffle(rng);
        nodes.sort_by_key(|node| (node.zone == own.zone, node.region != own.region));
        nodes
            .iter()
            .find_map(|node| self.usable(now, Source::Peer(node.name.clone())))
    }

    fn any_seed(&self, now: Now, own: &Node, seeds: &[SocketAddr]) -> Option<Source> {
        seeds
            .iter()
            .filter(|addr| **addr != own.addr)
            .find_map(|addr| self.usable(now, Source::Seed(*addr)))
    }

    fn usable(&self, now: Now, source: Source) -> Option<Source> {
        let until = self.cooldown_until.get(&source);
        until.is_none_or(|until| *until <= now).then_some(source)
    }
}

/// Returns the rank of an entry; less is better.
fn rank(node: &Node) -> (Reverse<u32>, &NodeName) {
    (Reverse(node.capacity), &node.name)
}

/// Returns the entries by rank.
fn ranked(view: &View) -> Vec<&Node> {
    let mut nodes: Vec<&Node> = view.nodes().map(|node| &**node).collect();
    nodes.sort_by(|a, b| rank(a).cmp(&rank(b)));
    nodes
}
