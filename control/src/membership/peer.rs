//! What is known about one peer, and the choice of the peer to fetch a bundle from.

use std::time::Duration;

use lacewingmoor_bundle::{Digest, NodeId, Version};
use rand::RngExt as _;
use rand::rngs::StdRng;

use crate::{Echo, Effect, Heartbeat};

/// Time after which a fetch that brought nothing is given up; doubled up to [`FETCH_PAUSE_MAX`].
const FETCH_PAUSE_MIN: Duration = Duration::from_millis(400);

const FETCH_PAUSE_MAX: Duration = Duration::from_millis(3200);

/// A peer that sent a heartbeat.
pub(super) struct Peer {
    /// Start of its process.
    pub incarnation: u64,
    /// When its last heartbeat arrived; `None` after its connection was lost.
    pub heard: Option<Duration>,
    /// When its last heartbeat arrived.
    pub received: Duration,
    /// Time at or before which its last heartbeat was made.
    pub as_of: Option<Duration>,
    /// Its last heartbeat.
    pub last: Heartbeat,
    /// Version and digest of the last conflict that was logged for it.
    pub conflict: Option<(Version, Digest)>,
}

impl Peer {
    /// Takes a heartbeat; `known` is the peer before it, if it is still the same process.
    pub fn new(
        now: Duration,
        incarnation: u64,
        as_of: Option<Duration>,
        last: Heartbeat,
        known: Option<&Self>,
    ) -> Self {
        Self {
            incarnation,
            heard: Some(now),
            received: now,
            as_of,
            last,
            conflict: known.and_then(|p| p.conflict),
        }
    }

    /// Returns the echo of its last heartbeat.
    pub fn echo(&self, now: Duration) -> Echo {
        Echo {
            sent: self.last.sent,
            incarnation: self.incarnation,
            held: now.saturating_sub(self.received),
        }
    }
}

/// Progress of fetching a newer version.
#[derive(Default)]
pub(super) struct Fetch {
    due: Option<Duration>,
    tried: Vec<NodeId>,
    attempts: u32,
}

impl Fetch {
    /// Returns when the last attempt is given up; `None` before the first one.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Chooses where to fetch from: the highest version, then the own region, at random among
    /// those not yet tried, and the store once all of them have failed.
    ///
    /// `sources` holds version, whether it is in the own region, and node; sorted.
    pub fn next(
        &mut self,
        now: Duration,
        sources: &[(Version, bool, NodeId)],
        rng: &mut StdRng,
    ) -> Effect {
        let pause = FETCH_PAUSE_MIN * (1 << self.attempts.min(3));
        let pause = pause
            .min(FETCH_PAUSE_MAX)
            .mul_f64(rng.random_range(0.75..1.25));
        self.due = Some(now + pause);
        self.attempts += 1;
        let untried = || sources.iter().filter(|s| !self.tried.contains(&s.2));
        let Some(&(version, near, _)) = untried().next_back() else {
            self.tried.clear();
            return Effect::ReadStore;
        };
        let best: Vec<_> = untried()
            .filter(|s| (s.0, s.1) == (version, near))
            .collect();
        let from = best[rng.random_range(0..best.len())].2;
        self.tried.push(from);
        Effect::FetchBundle { from, version }
    }
}
