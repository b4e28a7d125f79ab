//! From whom an entry learns what is in the store.
//!
//! Every call of the store is paid for, so calls must grow with zones and not with entries. The
//! first entry of a region by rank follows the store; the first of each zone follows that entry,
//! and the others follow the first of their zone. Ranks come from the registrations, so nothing is
//! elected. A source that is silent, that breaks off or that has lost the store itself is left
//! alone for a while; the store is next in line, so that news is late by one time-out at most.
//! Entries only follow entries of better rank while the store is reachable, and an entry that
//! tells of knowledge that came from this one is refused, so entries never feed each other.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_derive::value;

use crate::facts::{Node, NodeName};
use crate::view::View;
use crate::{Map, Now};

/// Time for which an entry that failed as a source is left alone.
const PEER_COOLDOWN: Duration = Duration::from_secs(4);

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

/// Sources that failed lately.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    cooldown_until: Map<Source, Now>,
}

impl Sources {
    /// Notes that a source failed.
    pub fn failed(&mut self, now: Now, source: &Source) {
        let cooldown = match source {
            Source::Store => STORE_COOLDOWN,
            Source::Peer(_) | Source::Seed(_) => PEER_COOLDOWN,
        };
        self.cooldown_until.insert(source.clone(), now + cooldown);
    }

    /// Chooses the source to follow next, for the entry `own`.
    pub fn choose(&mut self, now: Now, view: &View, own: &Node, seeds: &[SocketAddr]) -> Source {
        self.cooldown_until.retain(|_, until| *until > now);
        self.better(view, own)
            .or_else(|| self.usable(Source::Store))
            .or_else(|| self.any_peer(view, own))
            .or_else(|| self.any_seed(own, seeds))
            .unwrap_or(Source::Store)
    }

    /// Returns an entry of better rank to follow, if there is one.
    pub fn better(&self, view: &View, own: &Node) -> Option<Source> {
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
            .find_map(|node| self.usable(Source::Peer(node.name.clone())))
    }

    fn any_peer(&self, view: &View, own: &Node) -> Option<Source> {
        let mut nodes = ranked(view);
        nodes.sort_by_key(|node| (node.region != own.region, node.zone != own.zone));
        nodes
            .iter()
            .filter(|node| node.name != own.name)
            .find_map(|node| self.usable(Source::Peer(node.name.clone())))
    }

    fn any_seed(&self, own: &Node, seeds: &[SocketAddr]) -> Option<Source> {
        seeds
            .iter()
            .filter(|addr| **addr != own.addr)
            .find_map(|addr| self.usable(Source::Seed(*addr)))
    }

    fn usable(&self, source: Source) -> Option<Source> {
        (!self.cooldown_until.contains_key(&source)).then_some(source)
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
