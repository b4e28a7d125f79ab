//! The exchange with other entries: what is due, and what arrives.

use std::time::Duration;

use lacewingmoor_bundle::NodeId;

use crate::demand::FLUSH_INTERVAL;
use crate::owner::CLAIM_INTERVAL;
use crate::{DecisionKind, Effect, GRANT_TTL, Message, State};

/// Interval between looks at owned targets: caps that ramp, grants that expire, probes.
const OWNED_INTERVAL: Duration = Duration::from_millis(50);

/// When the next round of each kind is due.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    claim: Duration,
    renew: Duration,
    flush: Duration,
    owned: Duration,
}

impl Schedule {
    /// Returns when the next round is due; demands are flushed only while there are any.
    pub fn due(&self, dirty: bool) -> Duration {
        let due = self.claim.min(self.renew).min(self.owned);
        if dirty { due.min(self.flush) } else { due }
    }
}

impl State {
    /// Does what is due for ownership, credits and probes.
    pub(crate) fn run_credits(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if now >= self.schedule.claim {
            self.schedule.claim = now + CLAIM_INTERVAL;
            self.claim(now, out);
        }
        if now >= self.schedule.owned {
            self.schedule.owned = now + OWNED_INTERVAL;
            self.look_at_owned(now, out);
        }
        let renew = now >= self.schedule.renew;
        if renew {
            self.schedule.renew = now + GRANT_TTL / 2;
        }
        if renew || (now >= self.schedule.flush && self.is_dirty()) {
            self.schedule.flush = now + FLUSH_INTERVAL;
            // Time alone may make a waiting request eligible for a slower target.
            self.pump_all(now, out);
            self.send_demands(now, renew, out);
        }
        self.send_grants(now, out);
    }

    fn look_at_owned(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for index in 0..self.fleet.targets.len() {
            if self.fleet.targets[index].lease.lost(now) {
                self.decide(DecisionKind::Owner, None, None, Some(index), "lost", out);
            }
            if self.fleet.targets[index].lease.owned(now) {
                self.probe(now, index, out);
                self.redivide(now, index, out);
            }
        }
        self.pump_all(now, out);
    }

    /// Takes a message of an authenticated peer.
    pub(crate) fn take_message(
        &mut self,
        now: Duration,
        from: (NodeId, u64),
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        let node = from.0;
        match message {
            Message::Heartbeat(heartbeat) => {
                if heartbeat.ready {
                    self.stopping.remove(&node);
                } else {
                    self.stopping.insert(node);
                }
                self.members
                    .take_heartbeat(now, node, from.1, &heartbeat, out);
            }
            Message::Claim {
                sent,
                roster,
                targets,
            } => self.take_claim(now, from, sent, roster, &targets, out),
            Message::Vote {
                claim_sent,
                granted,
            } => self.take_vote(now, node, claim_sent, &granted, out),
            Message::Demand { sent, items } => self.take_demand(now, from, sent, &items, out),
            Message::Grant { demand_sent, items } => {
                self.take_grant(now, node, demand_sent, &items, out);
            }
            Message::Observe {
                target,
                observation,
            } => {
                if let Some(index) = self.fleet.index(target) {
                    self.fleet.targets[index].observed(now, &observation);
                    self.redivide(now, index, out);
                }
            }
        }
    }
}
