//! Which entries exist, whether this entry's bundle is confirmed, and which version is in force.

mod due;
mod freshness;
mod peer;
mod roster;

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Digest, Map, NodeId, Version};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::{Decision, DecisionKind, Effect, Heartbeat, Setup, Vm};
use peer::{Fetch, Peer};
use roster::View;
pub use roster::{Roster, rendezvous};

/// Interval of heartbeats between peers.
pub const HEARTBEAT_MS: u64 = 500;

/// Age of a confirmation up to which an entry takes new work.
pub const FRESH_MAX: Duration = Duration::from_millis(2000);

/// Time since the last heartbeat of a peer after which it counts as gone; three heartbeats. A peer
/// of another region sends half as many and has twice the time.
pub const ALIVE_MAX: Duration = Duration::from_millis(3 * HEARTBEAT_MS);

/// Age of a store answer up to which the store counts as reachable. Older answers still deliver
/// versions and confirm the one in force, but the store is reported as down: confirmations by such
/// answers expire before the next one arrives, and rule (c) has to bridge the time between them.
const PROMPT_MAX: Duration = Duration::from_millis(550);

/// Time without a newer confirmation after which an entry reads the store itself.
pub const QUIET_MAX: Duration = Duration::from_millis(1000);

/// Age of a confirmation at which an entry reads the store itself. Rule (c) needs the word of every
/// entry of the store's region, so a read that times out must be known to peers before the
/// confirmation reaches `FRESH_MAX`. Without faults, confirmations get about 1.1 s old.
const READ_AGE: Duration = Duration::from_millis(1300);

/// Time over which reads of different entries are spread.
const READ_JITTER_MS: u64 = 100;

/// First and longest pause between two reads; doubled while reads fail, because the entries that
/// watch the store see its return.
const READ_PAUSE_MIN: Duration = Duration::from_millis(1000);
const READ_PAUSE_MAX: Duration = Duration::from_millis(4000);

/// Time after which heartbeats start without a result of the first store read. Before it, an entry
/// cannot say whether the store is down, and a wrong "not down" would end rule (c) at its peers.
const FIRST_READ_MAX: Duration = Duration::from_millis(2000);

/// Shortest time between two heartbeats, however much there is to tell.
const HEARTBEAT_GAP: Duration = Duration::from_millis(100);

/// Longest time that an echo may have been held; beyond it, the difference between the rates of
/// two clocks matters.
const HELD_MAX: Duration = Duration::from_secs(60);

/// Time since the last heartbeat after which an unlisted peer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Result of the last store call.
#[derive(Clone, Copy, PartialEq)]
enum StoreState {
    Unknown,
    Reached,
    Failed,
}

/// Knowledge about peers and about the bundle in force.
pub struct Membership {
    node: NodeId,
    incarnation: u64,
    zone: String,
    region: String,
    rng: StdRng,
    bundle: Option<Arc<Bundle>>,
    view: View,
    peers: Map<NodeId, Peer>,
    /// Latest time at which no version above the one in force was accepted.
    confirmed: Option<Duration>,
    /// When `confirmed` last advanced.
    confirmed_news: Duration,
    store: StoreState,
    /// Version and digest of the last conflict that was logged for the store.
    store_conflict: Option<(Version, Digest)>,
    started: Option<Duration>,
    watching: bool,
    read_last: Option<Duration>,
    read_pause: Duration,
    read_jitter: Duration,
    fetch: Fetch,
    heartbeat_at: Duration,
    heartbeat_last: Option<Duration>,
    /// True if the next heartbeat also goes to other regions. They get every second one: links
    /// between regions are billed by volume, and their rules need one heartbeat in 2 s.
    heartbeat_all: bool,
    draining: bool,
    ready: bool,
    fresh_reason: &'static str,
    wakeup: Option<Duration>,
}

impl Membership {
    /// Creates the knowledge of an entry that has just started.
    pub fn new(setup: &Setup, node: NodeId) -> Self {
        Self {
            node,
            incarnation: setup.incarnation,
            zone: setup.zone.clone(),
            region: setup.region.clone(),
            rng: StdRng::seed_from_u64(setup.seed ^ node),
            bundle: None,
            view: View::default(),
            peers: Map::default(),
            confirmed: None,
            confirmed_news: Duration::ZERO,
            store: StoreState::Unknown,
            store_conflict: None,
            started: None,
            watching: false,
            read_last: None,
            read_pause: READ_PAUSE_MIN,
            read_jitter: Duration::ZERO,
            fetch: Fetch::default(),
            heartbeat_at: Duration::ZERO,
            heartbeat_last: None,
            heartbeat_all: true,
            draining: false,
            ready: false,
            fresh_reason: ISOLATED,
            wakeup: Some(Duration::ZERO),
        }
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundle.as_ref()
    }

    /// Returns the roster of a region by name.
    pub fn roster(&self, region: &str) -> Option<&Roster> {
        self.view.roster(region)
    }

    /// True if a heartbeat of the peer arrived recently; true for this entry itself.
    pub fn alive(&self, now: Duration, node: NodeId) -> bool {
        let heard = |p: &Peer| {
            p.heard
                .is_some_and(|at| now.saturating_sub(at) <= ALIVE_MAX)
        };
        node == self.node || self.peers.get(&node).is_some_and(heard)
    }

    /// True while this entry may take new work: its bundle is confirmed as the newest.
    pub fn fresh(&self, now: Duration) -> bool {
        self.fresh_until(now).is_some()
    }

    /// Returns when `tick` is due.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.wakeup
    }

    /// Puts a fetched bundle in force unless its version is not above the current one.
    /// Returns true if it came into force.
    pub fn take_bundle(
        &mut self,
        now: Duration,
        bundle: Arc<Bundle>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let (version, digest) = self.in_force();
        if bundle.version <= version {
            if bundle.version == version && bundle.digest != digest {
                self.log(DecisionKind::Bundle, CONFLICT, out);
            }
            return false;
        }
        out.push(Effect::InForce {
            version: bundle.version,
        });
        self.bundle = Some(bundle);
        self.fetch = Fetch::default();
        self.heartbeat_soon(now);
        let told: Vec<Duration> = self.peers.values().filter_map(|p| self.told(p)).collect();
        told.into_iter().for_each(|at| self.confirm(now, at));
        self.settle(now, out);
        true
    }

    /// Takes the VM list; updates rosters, peers and watch roles. A list without entries is a fault
    /// of the list and is ignored.
    pub fn take_vm_list(&mut self, now: Duration, vms: &[Vm], out: &mut Vec<Effect>) {
        let Some(view) = View::new(now, vms, self.node, &self.region, &self.view) else {
            return;
        };
        if view.peers != self.view.peers {
            out.push(Effect::Peers(view.peers.clone()));
        }
        self.view = view;
        let listed = &self.view.peers;
        self.peers.retain(|node, peer| {
            listed.iter().any(|p| p.node == *node)
                || now.saturating_sub(peer.received) <= FORGET_AFTER
        });
        self.settle(now, out);
    }

    /// Takes a heartbeat of a peer.
    pub fn take_heartbeat(
        &mut self,
        now: Duration,
        from: NodeId,
        incarnation: u64,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        if from == self.node {
            return;
        }
        let as_of = self.made_at(now, heartbeat);
        let known = self.peers.get(&from);
        let known = known.filter(|p| p.incarnation == incarnation);
        if known.is_some_and(|p| p.last.sent > heartbeat.sent) {
            // Left over in the buffers of an older connection.
            return;
        }
        let mut peer = Peer::new(now, incarnation, as_of, heartbeat.clone(), known);
        let (version, digest) = self.in_force();
        let conflict = Some((heartbeat.version, heartbeat.digest));
        if heartbeat.version == version
            && heartbeat.digest != digest
            && version > 0
            && peer.conflict != conflict
        {
            peer.conflict = conflict;
            self.log(DecisionKind::Bundle, CONFLICT, out);
        }
        if let Some(at) = self.told(&peer) {
            self.confirm(now, at);
        }
        self.peers.insert(from, peer);
        self.settle(now, out);
    }

    /// Notes a lost connection to a peer.
    pub fn peer_down(&mut self, now: Duration, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.heard = None;
        }
        self.wakeup = Some(now);
    }

    /// Takes an answer of the store: at `as_of` it held this version, 0 for none.
    pub fn store_reached(
        &mut self,
        now: Duration,
        as_of: Duration,
        version: Version,
        digest: &Digest,
        out: &mut Vec<Effect>,
    ) {
        let as_of = as_of.min(now);
        if now - as_of > PROMPT_MAX {
            self.store_failed(now);
        } else {
            if self.store == StoreState::Failed {
                self.heartbeat_soon(now);
            }
            self.store = StoreState::Reached;
            self.read_pause = READ_PAUSE_MIN;
        }
        let (own_version, own_digest) = self.in_force();
        let conflict = version > 0 && version == own_version && *digest != own_digest;
        if conflict && self.store_conflict != Some((version, *digest)) {
            self.store_conflict = Some((version, *digest));
            self.log(DecisionKind::Bundle, CONFLICT, out);
        }
        if version <= own_version && !conflict {
            self.confirm(now, as_of);
        }
        self.settle(now, out);
    }

    /// Notes that a store call failed.
    pub fn store_failed(&mut self, now: Duration) {
        if self.store != StoreState::Failed {
            self.store = StoreState::Failed;
            self.heartbeat_soon(now);
        }
        self.wakeup = Some(now);
    }

    /// Sends heartbeats that are due and updates freshness, readiness and watch roles.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.settle(now, out);
    }

    /// Starts leaving: heartbeats say not ready, readiness goes off.
    pub fn drain(&mut self, out: &mut Vec<Effect>) {
        self.draining = true;
        self.heartbeat_at = Duration::ZERO;
        self.heartbeat_all = true;
        self.wakeup = Some(Duration::ZERO);
        if std::mem::take(&mut self.ready) {
            out.push(Effect::Ready(false));
        }
    }

    fn heartbeat_soon(&mut self, now: Duration) {
        let gap = self.heartbeat_last.map_or(now, |at| at + HEARTBEAT_GAP);
        self.heartbeat_at = self.heartbeat_at.min(gap.max(now));
        self.heartbeat_all = true;
    }

    fn log(&self, kind: DecisionKind, reason: &'static str, out: &mut Vec<Effect>) {
        out.push(Effect::Log(Decision {
            kind,
            request: None,
            attempt: None,
            route: None,
            target: None,
            zone: None,
            state: None,
            reason,
            version: self.in_force().0,
        }));
    }
}

/// Reason in the decision log: two bundles of one version.
const CONFLICT: &str = "bundle_conflict";

/// Reason in the decision log: nothing confirms the version in force.
const ISOLATED: &str = "isolated";
