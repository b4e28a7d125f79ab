//! Entries as the VM list shows them.

use std::time::Duration;

use lacewingmoor_bundle::{NodeId, node_id};

use crate::{PeerAddr, Vm, VmRole};

/// Entries of a region that watch the store.
const WATCHERS: usize = 2;

/// Entries of one region as the VM list shows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roster {
    /// Entries that are not leaving, sorted by id. This one is included if it is in the region,
    /// even before the list shows it.
    pub nodes: Vec<NodeId>,
    /// Hash over `nodes`, to compare rosters of two entries.
    pub hash: u64,
    /// Time since which the roster is as it is.
    pub since: Duration,
}

/// What follows from one VM list.
#[derive(Default)]
pub(super) struct View {
    /// Entries to talk to, leaving ones included, sorted by id.
    pub peers: Vec<PeerAddr>,
    /// Whether this entry watches the store.
    pub watches: bool,
    rosters: Vec<(String, Roster)>,
}

impl View {
    /// Reads a list; `None` if it shows no entries.
    pub fn new(
        now: Duration,
        vms: &[Vm],
        own: NodeId,
        region: &str,
        before: &Self,
    ) -> Option<Self> {
        let entries = || vms.iter().filter(|vm| vm.role == VmRole::Entry);
        entries().next()?;
        let mut peers: Vec<PeerAddr> = entries()
            .map(|vm| PeerAddr {
                node: node_id(&vm.name),
                addr: vm.addr,
            })
            .filter(|peer| peer.node != own)
            .collect();
        peers.sort_unstable_by_key(|peer| peer.node);
        peers.dedup_by_key(|peer| peer.node);
        let mut names: Vec<&str> = entries().map(|vm| vm.region.as_str()).collect();
        names.push(region);
        names.sort_unstable();
        names.dedup();
        let listed = entries().any(|vm| node_id(&vm.name) == own);
        let mut rosters = Vec::with_capacity(names.len());
        for name in names {
            let here = entries().filter(|vm| vm.region == name && !vm.leaving);
            let mut nodes: Vec<NodeId> = here.map(|vm| node_id(&vm.name)).collect();
            if name == region && !listed {
                nodes.push(own);
            }
            let roster = Roster::new(now, nodes, before.roster(name));
            rosters.push((name.to_owned(), roster));
        }
        let mut view = Self {
            peers,
            watches: false,
            rosters,
        };
        view.watches = view.roster(region).is_some_and(|r| r.watches(own));
        Some(view)
    }

    /// Returns the roster of a region by name.
    pub fn roster(&self, region: &str) -> Option<&Roster> {
        let found = self.rosters.iter().find(|(name, _)| name == region);
        found.map(|(_, roster)| roster)
    }
}

impl Roster {
    fn new(now: Duration, mut nodes: Vec<NodeId>, before: Option<&Self>) -> Self {
        nodes.sort_unstable();
        nodes.dedup();
        let hash = nodes.iter().fold(0, |hash, node| mix(hash ^ mix(*node)));
        let since = before.filter(|b| b.nodes == nodes).map_or(now, |b| b.since);
        Self { nodes, hash, since }
    }

    /// True if the node is ranked among those that watch the store.
    fn watches(&self, node: NodeId) -> bool {
        const KEY: u64 = 0x7761_7463_685f_6b76;
        let own = rendezvous(KEY, node);
        let before = self.nodes.iter().filter(|n| rendezvous(KEY, **n) > own);
        self.nodes.binary_search(&node).is_ok() && before.count() < WATCHERS
    }
}

/// Returns the weight of a node for a key; the node with the highest weight is ranked first.
///
/// The weight is part of the protocol between entries: all of them must rank alike.
pub fn rendezvous(key: u64, node: NodeId) -> u64 {
    mix(key ^ mix(node))
}

/// Mixes the bits of a number so that each one depends on all others (the finaliser of splitmix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
