//! What is due at a time: heartbeats, store reads, fetches, readiness.

use std::time::Duration;

use rand::RngExt as _;

use super::peer::{Fetch, Peer};
use super::{
    FIRST_READ_MAX, FRESH_MAX, HEARTBEAT_MS, ISOLATED, Membership, QUIET_MAX, READ_AGE,
    READ_JITTER_MS, READ_PAUSE_MAX, StoreState,
};
use crate::{DecisionKind, Effect, Heartbeat, Message};

impl Membership {
    /// Does everything that is due and notes when something is due next.
    pub(super) fn settle(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let started = *self.started.get_or_insert(now);
        self.settle_watch(out);
        self.settle_read(now, out);
        self.settle_fetch(now, out);
        self.settle_fresh(now, out);
        let may_tell = self.store != StoreState::Unknown || now >= started + FIRST_READ_MAX;
        if may_tell && now >= self.heartbeat_at {
            self.send_heartbeats(now, out);
        }
        let heartbeat = match may_tell {
            true => self.heartbeat_at,
            false => started + FIRST_READ_MAX,
        };
        let fresh_until = self
            .fresh_until(now)
            .map(|at| at + Duration::from_millis(1));
        let due = [self.read_due(), self.fetch.due(), fresh_until];
        self.wakeup = due.into_iter().flatten().chain([heartbeat]).min();
    }

    fn settle_watch(&mut self, out: &mut Vec<Effect>) {
        if self.watching != self.view.watches {
            self.watching = self.view.watches;
            out.push(Effect::WatchStore(self.watching));
        }
    }

    /// Reads the store when no newer confirmation arrives.
    fn settle_read(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.read_due().is_none_or(|due| now < due) {
            return;
        }
        if self.store == StoreState::Failed {
            self.read_pause = (self.read_pause * 2).min(READ_PAUSE_MAX);
        }
        self.read_last = Some(now);
        self.read_jitter = Duration::from_millis(self.rng.random_range(0..READ_JITTER_MS));
        out.push(Effect::ReadStore);
    }

    /// Returns when the next read is due. Entries that watch the store need no reads.
    fn read_due(&self) -> Option<Duration> {
        if self.watching {
            return None;
        }
        let Some(last) = self.read_last else {
            return Some(Duration::ZERO);
        };
        let next = last + self.read_pause;
        let aged = self.confirmed.map_or(Duration::ZERO, |confirmed| {
            (self.confirmed_news + QUIET_MAX).min(confirmed + READ_AGE)
        });
        Some(next.max(aged) + self.read_jitter)
    }

    /// Fetches a newer version from a peer that has it; from another peer or the store after a
    /// failure.
    fn settle_fetch(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let (version, _) = self.in_force();
        let heard = |p: &Peer| now.saturating_sub(p.received) <= FRESH_MAX;
        let mut sources: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, p)| p.last.version > version && heard(p))
            .map(|(node, p)| (p.last.version, p.last.region == self.region, *node))
            .collect();
        sources.sort_unstable();
        if sources.is_empty() {
            self.fetch = Fetch::default();
        } else if self.fetch.due().is_none_or(|due| now >= due) {
            out.push(self.fetch.next(now, &sources, &mut self.rng));
        }
    }

    /// Publishes changes of freshness and readiness.
    fn settle_fresh(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let confirmed = self.confirmed.is_some_and(|at| now <= at + FRESH_MAX);
        let reason = match self.fresh(now) {
            true if confirmed => "confirmed",
            true => "store_outage",
            false => ISOLATED,
        };
        if reason != self.fresh_reason {
            self.fresh_reason = reason;
            self.log(DecisionKind::Freshness, reason, out);
        }
        let ready = reason != ISOLATED && !self.draining;
        if ready != self.ready {
            self.ready = ready;
            out.push(Effect::Ready(ready));
        }
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.heartbeat_last = Some(now);
        let interval = Duration::from_millis(HEARTBEAT_MS);
        self.heartbeat_at = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
        let (version, digest) = self.in_force();
        let all = std::mem::replace(&mut self.heartbeat_all, false);
        self.heartbeat_all = !all;
        let near = self.view.roster(&self.region);
        for listed in &self.view.peers {
            if !all && near.is_none_or(|r| r.nodes.binary_search(&listed.node).is_err()) {
                continue;
            }
            let heartbeat = Heartbeat {
                sent: now,
                echo: self.peers.get(&listed.node).map(|p| p.echo(now)),
                zone: self.zone.clone(),
                region: self.region.clone(),
                ready: self.ready,
                version,
                digest,
                fresh_age: self.confirmed.map(|at| now.saturating_sub(at)),
                store_down: self.store == StoreState::Failed,
            };
            out.push(Effect::Send {
                to: listed.node,
                message: Message::Heartbeat(heartbeat),
            });
        }
    }
}
