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
use std::time::Duration;

use lacewingmoor_derive::value;

use crate::facts::{Node, NodeName};
use crate::place::Place;
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
            Source::Peer(_) => PEER_COOLDOWN,
        };
        self.cooldown_until.insert(source.clone(), now + cooldown);
    }

    /// Chooses the source to follow next, for the entry `own` at `here`.
    pub fn choose(&mut self, now: Now, view: &View, own: &str, here: &Place) -> Source {
        self.cooldown_until.retain(|_, until| *until > now);
        self.better(view, own, here)
            .or_else(|| self.usable(Source::Store))
            .or_else(|| self.any_peer(view, own, here))
            .unwrap_or(Source::Store)
    }

    /// Returns an entry of better rank to follow, if there is one.
    pub fn better(&self, view: &View, own: &str, here: &Place) -> Option<Source> {
        let ranked = ranked(view);
        let before = |same: &dyn Fn(&Node) -> bool| -> Vec<NodeName> {
            ranked
                .iter()
                .filter(|node| same(node) || &*node.name == own)
                .take_while(|node| &*node.name != own)
                .take(BETTER_TRIED)
                .map(|node| node.name.clone())
                .collect()
        };
        // Without an own registration in the view there is no rank to compare with.
        view.node(own)?;
        let zone = before(&|node| node.zone == here.zone);
        let region = match zone.is_empty() {
            true => before(&|node| node.region == here.region),
            false => Vec::new(),
        };
        zone.into_iter()
            .chain(region)
            .find_map(|name| self.usable(Source::Peer(name)))
    }

    fn any_peer(&self, view: &View, own: &str, here: &Place) -> Option<Source> {
        let mut nodes = ranked(view);
        nodes.sort_by_key(|node| (node.region != here.region, node.zone != here.zone));
        nodes
            .iter()
            .filter(|node| &*node.name != own)
            .find_map(|node| self.usable(Source::Peer(node.name.clone())))
    }

    fn usable(&self, source: Source) -> Option<Source> {
        (!self.cooldown_until.contains_key(&source)).then_some(source)
    }
}

/// Returns the entries by rank.
fn ranked(view: &View) -> Vec<&Node> {
    let mut nodes: Vec<&Node> = view.nodes().map(|node| &**node).collect();
    nodes.sort_by(|a, b| {
        let rank = |node: &Node| Reverse(node.capacity);
        rank(a).cmp(&rank(b)).then_with(|| a.name.cmp(&b.name))
    });
    nodes
}
