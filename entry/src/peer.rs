//! Links to peers: one h2 connection for each ordered pair, dialled by the sender.
//!
//! With a connection per direction, a cut in one direction or a frozen process leaves the other
//! direction as it is, and both sides need not agree on who dials.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use lacewingmoor_bundle::{Digest, Map, NodeId};
use lacewingmoor_control::{Message, PeerAddr};
use lacewingmoor_derive::wire;
use metrics::counter;
use quick_error::quick_error;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use slog::Logger;
use tokio::task::AbortHandle;

use crate::peer_auth::{FleetKey, Identity};
use crate::peer_dial::{self, Open};
use crate::peer_queue::{Pushed, Queue};

/// Time within which a connection must be authenticated.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a peer must deliver a manifest or part.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Path of the stream that carries messages.
pub const SESSION_PATH: &str = "/session";

/// Path of streams that fetch a manifest or part.
pub const FETCH_PATH: &str = "/fetch";

/// Asks a peer for something that it keeps.
#[wire]
pub enum Fetch {
    /// The signed manifest of its newest version.
    Manifest,
    /// A part.
    Part(Digest),
}

/// Answers a [`Fetch`]; `None` if the peer does not have it.
#[wire]
pub struct Fetched(pub Option<Vec<u8>>);

quick_error! {
    /// Why a fetch from a peer failed.
    #[derive(Debug)]
    pub enum FetchError {
        /// There is no session with the peer.
        NotConnected(peer: NodeId) {
            display("peer {peer:016x}: not connected")
        }
        /// The stream failed.
        Stream(peer: NodeId, cause: crate::peer_stream::Error) {
            display("peer {peer:016x}: {cause}")
        }
        /// The time allowed passed.
        Timeout(peer: NodeId) {
            display("peer {peer:016x}: timed out")
        }
    }
}

/// Who this entry is to its peers.
#[derive(Clone)]
pub struct Local {
    /// This entry.
    pub own: Identity,
    /// Secret of the fleet.
    pub fleet_key: FleetKey,
}

/// Links to all peers.
pub struct Links {
    local: Local,
    seed: u64,
    log: Logger,
    links: Mutex<Map<NodeId, Link>>,
}

struct Link {
    addr: SocketAddr,
    queue: Arc<Queue>,
    open: Arc<Mutex<Option<Open>>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    /// Creates the links of an entry that has no peers yet.
    pub fn new(local: Local, seed: u64, log: Logger) -> Self {
        Self {
            local,
            seed,
            log,
            links: Mutex::default(),
        }
    }

    /// Dials new peers and drops the links to peers that are no longer listed.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    pub fn set_peers(&self, peers: &[PeerAddr]) {
        let mut links = self.lock();
        links.retain(|node, link| {
            let listed = |p: &PeerAddr| p.node == *node && p.addr == link.addr;
            peers.iter().any(listed)
        });
        for peer in peers {
            if peer.node != self.local.own.node && !links.contains_key(&peer.node) {
                links.insert(peer.node, self.link(peer));
            }
        }
    }

    fn link(&self, peer: &PeerAddr) -> Link {
        let queue = Arc::new(Queue::default());
        let open = Arc::new(Mutex::new(None));
        let dialler = peer_dial::Dialler {
            local: self.local.clone(),
            peer: peer.clone(),
            queue: queue.clone(),
            open: open.clone(),
            log: self.log.clone(),
        };
        let rng = StdRng::seed_from_u64(self.seed ^ peer.node);
        Link {
            addr: peer.addr,
            queue,
            open,
            task: tokio::spawn(peer_dial::run(dialler, rng)).abort_handle(),
        }
    }

    /// Queues a message for a peer; never waits. Messages to unlisted peers are dropped.
    pub fn send(&self, to: NodeId, message: Message) {
        let kind = kind(&message);
        let pushed = self.lock().get(&to).map(|link| link.queue.push(message));
        let result = match pushed {
            Some(Pushed::Queued) => return,
            Some(Pushed::Replaced) => "replaced",
            Some(Pushed::Overflowed) => "overflow",
            None => "unlisted",
        };
        counter!("lacewingmoor_peer_dropped_total", "kind" => kind, "reason" => result)
            .increment(1);
    }

    /// Fetches the signed manifest of a peer's newest version.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not answer in time.
    pub async fn manifest(&self, peer: NodeId) -> Result<Option<Bytes>, FetchError> {
        self.fetch(peer, Fetch::Manifest).await
    }

    /// Fetches a part from a peer. The caller checks its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not answer in time.
    pub async fn part(&self, peer: NodeId, digest: Digest) -> Result<Option<Bytes>, FetchError> {
        self.fetch(peer, Fetch::Part(digest)).await
    }

    async fn fetch(&self, peer: NodeId, fetch: Fetch) -> Result<Option<Bytes>, FetchError> {
        let open = {
            let links = self.lock();
            let link = links.get(&peer);
            link.and_then(|l| l.open.lock().expect("no holder panics").clone())
        };
        let open = open.ok_or(FetchError::NotConnected(peer))?;
        match tokio::time::timeout(FETCH_TIMEOUT, open.fetch(&fetch)).await {
            Err(_) => Err(FetchError::Timeout(peer)),
            Ok(Err(cause)) => Err(FetchError::Stream(peer, cause)),
            Ok(Ok(fetched)) => Ok(fetched.0.map(Bytes::from)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<NodeId, Link>> {
        self.links.lock().expect("no holder of the lock panics")
    }
}

/// Returns the name under which a message is counted.
pub fn kind(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat(_) => "heartbeat",
        Message::Claim { .. } => "claim",
        Message::Vote { .. } => "vote",
        Message::Demand { .. } => "demand",
        Message::Grant { .. } => "grant",
        Message::Observe { .. } => "observe",
    }
}

/// Counts a frame by kind and direction.
pub fn count(direction: &'static str, kind: &'static str, bytes: usize) {
    counter!("lacewingmoor_peer_messages_total", "direction" => direction, "kind" => kind)
        .increment(1);
    counter!("lacewingmoor_peer_bytes_total", "direction" => direction, "kind" => kind)
        .increment(bytes as u64);
}
