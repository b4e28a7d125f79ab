//! Rules by which a bundle counts as the newest.

use std::time::Duration;

use lacewingmoor_bundle::{Digest, Version};

use super::peer::Peer;
use super::{FRESH_MAX, HELD_MAX, Membership};
use crate::Heartbeat;

impl Membership {
    /// Returns version and digest in force, 0 and zeros if there is none.
    pub(super) fn in_force(&self) -> (Version, Digest) {
        let bundle = self.bundle.as_ref();
        bundle.map_or((0, Digest::default()), |b| (b.version, b.digest))
    }

    /// Returns a time on the own clock at or before which a heartbeat was made. The echoed time of
    /// sending bounds it from below whatever delayed the heartbeat; without an echo it is unknown.
    pub(super) fn made_at(&self, now: Duration, heartbeat: &Heartbeat) -> Option<Duration> {
        let echo = heartbeat.echo.as_ref()?;
        let made = echo.sent.checked_add(echo.held)?;
        (echo.incarnation == self.incarnation && echo.held <= HELD_MAX && made <= now)
            .then_some(made)
    }

    /// Returns the time up to which a peer's word confirms the version in force. A peer with a
    /// lower version saw the store when no higher one was accepted, which confirms as well.
    pub(super) fn told(&self, peer: &Peer) -> Option<Duration> {
        let (version, digest) = self.in_force();
        let last = &peer.last;
        if last.version > version || (last.version == version && last.digest != digest) {
            return None;
        }
        peer.as_of?.checked_sub(last.fresh_age?)
    }

    pub(super) fn confirm(&mut self, now: Duration, at: Duration) {
        if self.confirmed.is_none_or(|confirmed| confirmed < at) {
            self.confirmed = Some(at);
            self.confirmed_news = now;
        }
    }

    /// Returns until when this entry is fresh as things stand, if it is fresh now.
    pub(super) fn fresh_until(&self, now: Duration) -> Option<Duration> {
        self.bundle.as_ref()?;
        let confirmed = self.confirmed.map(|at| at + FRESH_MAX);
        confirmed
            .filter(|until| now <= *until)
            .or_else(|| self.outage_until(now))
    }

    /// Rule (c): returns until when the word of the store's region shows a store outage.
    pub(super) fn outage_until(&self, now: Duration) -> Option<Duration> {
        let bundle = self.bundle.as_ref()?;
        let store_region = &bundle.regions[bundle.store_region].name;
        let mut until = None;
        for peer in self.peers.values() {
            let heard = now.saturating_sub(peer.received) <= FRESH_MAX;
            let here = peer.last.region == *store_region;
            if heard && (peer.last.version > bundle.version || (here && !peer.last.store_down)) {
                return None;
            }
            let as_of = peer.as_of.filter(|_| here && peer.last.store_down);
            until = until.max(as_of.map(|at| at + FRESH_MAX));
        }
        until.filter(|until| now <= *until)
    }
}
