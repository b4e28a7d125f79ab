//! Grants: how the owner of a target divides its slots among the entries.

use std::time::Duration;

use lacewingmoor_bundle::NodeId;

use crate::{DemandItem, Effect, GRANT_TTL, GrantItem, Message, State, rendezvous};

/// Time for which slots of an entry that fell silent count as in use on a target that is not
/// warm, because the requests it sent before may still run.
const SILENT_HOLD: Duration = Duration::from_secs(5);

/// An entry that uses or wants slots of a target.
#[derive(Clone, Debug)]
struct Grantee {
    node: NodeId,
    incarnation: u64,
    /// Send time of its last demand, on its clock.
    sent: Duration,
    wanted: u32,
    spare: u32,
    /// Slots told in the last grant.
    told: u32,
    /// Most slots that the entry can hold or have in use since its last demand.
    bound: u32,
    /// Time until which its credits may be in force, on the owner's clock.
    until: Duration,
    /// True if its last demand has not been answered.
    unanswered: bool,
    /// Order among entries with equal claims, different for each target.
    order: u64,
}

/// Books of the owner of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantLedger {
    grantees: Vec<Grantee>,
}

/// A grant to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub node: NodeId,
    pub demand_sent: Duration,
    pub slots: u32,
}

/// Terms of a division.
pub(crate) struct Division {
    pub cap: u32,
    /// True if slots of silent entries stay taken.
    pub strict: bool,
    /// True if only slots known to be free are granted.
    pub cautious: bool,
}

impl GrantLedger {
    /// Takes a demand; returns false if a later one of the same process came first.
    pub fn demand(
        &mut self,
        now: Duration,
        from: (NodeId, u64),
        sent: Duration,
        item: &DemandItem,
    ) -> bool {
        let known = self
            .grantees
            .iter()
            .position(|b| (b.node, b.incarnation) == from);
        let at = known.unwrap_or_else(|| {
            self.grantees.push(Grantee {
                node: from.0,
                incarnation: from.1,
                sent: Duration::ZERO,
                wanted: 0,
                spare: 0,
                told: 0,
                bound: 0,
                until: now,
                unanswered: false,
                order: rendezvous(item.target, from.0),
            });
            self.grantees.len() - 1
        });
        let grantee = &mut self.grantees[at];
        if sent < grantee.sent {
            return false;
        }
        // Grants that answer earlier demands are void at the entry once it has sent a new one.
        grantee.sent = sent;
        grantee.wanted = item.wanted;
        grantee.spare = item.spare;
        grantee.told = item.held;
        grantee.bound = item.held.max(item.in_use);
        grantee.until = now + GRANT_TTL;
        grantee.unanswered = true;
        true
    }

    /// Forgets entries whose grants have expired; those that may still use slots are kept longer.
    fn expire(&mut self, now: Duration, strict: bool) {
        let hold = if strict { SILENT_HOLD } else { Duration::ZERO };
        self.grantees
            .retain(|b| now < b.until || (b.bound > 0 && now < b.until + hold));
    }

    /// Returns the slots that entries hold or may have in use.
    pub fn outstanding(&self) -> u32 {
        self.grantees.iter().map(|b| b.bound).sum()
    }

    /// Returns the slots of unexpired grants.
    pub fn granted(&self, now: Duration) -> u32 {
        let live = self.grantees.iter().filter(|b| now < b.until);
        live.map(|b| b.told).sum()
    }

    /// Divides the cap anew; returns what has to be sent.
    pub fn divide(&mut self, now: Duration, division: &Division) -> Vec<Granted> {
        self.expire(now, division.strict);
        let live: Vec<usize> = (0..self.grantees.len())
            .filter(|i| now < self.grantees[*i].until)
            .collect();
        let silent: u32 = self
            .grantees
            .iter()
            .filter(|b| now >= b.until)
            .map(|b| b.bound)
            .sum();
        let shares = self.shares(&live, division.cap.saturating_sub(silent));
        let outstanding = self.outstanding();
        let mut free = division.cap.saturating_sub(outstanding);
        let excess = outstanding.saturating_sub(division.cap);
        let mut grants = Vec::new();
        for (i, share) in live.into_iter().zip(shares) {
            let grantee = &mut self.grantees[i];
            let mut slots = share;
            if division.cautious && share > grantee.bound {
                let raise = (share - grantee.bound).min(free);
                free -= raise;
                slots = grantee.bound + raise;
            }
            if division.cautious && excess > 0 {
                // A credit for a slot that is in use beyond the cap would keep it in use.
                slots = slots.min(grantee.told.max(grantee.bound.saturating_sub(excess)));
            }
            if slots == grantee.told && !grantee.unanswered {
                continue;
            }
            grantee.told = slots;
            grantee.bound = grantee.bound.max(slots);
            grantee.unanswered = false;
            grants.push(Granted {
                node: grantee.node,
                demand_sent: grantee.sent,
                slots,
            });
        }
        grants
    }

    /// Divides `slots` in proportion to what is in use or waited for; what is left goes to
    /// entries that want slots in store.
    fn shares(&self, live: &[usize], mut slots: u32) -> Vec<u32> {
        let mut shares = vec![0; live.len()];
        let mut give = |slots: &mut u32, with_spare: bool| {
            while *slots > 0 {
                let next = live
                    .iter()
                    .zip(&shares)
                    .enumerate()
                    .filter_map(|(k, (i, share))| {
                        let b = &self.grantees[*i];
                        let want = b.wanted + if with_spare { b.spare } else { 0 };
                        // The largest quotient goes first; among equals, slots stay where they are.
                        let quotient = u64::from(want) * 1024 / u64::from(share + 1);
                        (*share < want).then_some((quotient, *share < b.told, b.order, k))
                    })
                    .max();
                let Some((.., k)) = next else {
                    break;
                };
                shares[k] += 1;
                *slots -= 1;
            }
        };
        give(&mut slots, false);
        give(&mut slots, true);
        shares
    }
}

impl State {
    /// Takes the demand of an entry for targets that this one owns.
    pub(crate) fn take_demand(
        &mut self,
        now: Duration,
        from: (NodeId, u64),
        sent: Duration,
        items: &[DemandItem],
        out: &mut Vec<Effect>,
    ) {
        let mut changed = Vec::with_capacity(items.len());
        for item in items {
            let Some(index) = self.fleet.index(item.target) else {
                continue;
            };
            let target = &mut self.fleet.targets[index];
            // Demands that come before the votes are complete count as well: they tell what is
            // in use.
            if target.ledger.demand(now, from, sent, item) && target.lease.owned(now) {
                if item.answered > 0 && from.0 != self.node {
                    target.confirm(now);
                }
                changed.push(index);
            }
        }
        for index in changed {
            self.redivide(now, index, out);
        }
    }

    /// Divides the slots of an owned target anew and notes the grants to be sent.
    pub(crate) fn redivide(&mut self, now: Duration, index: usize, out: &mut Vec<Effect>) {
        let wait = !self.faults.skip_takeover_wait;
        let target = &mut self.fleet.targets[index];
        if !target.lease.may_grant(now, wait) {
            return;
        }
        let strict = !target.is_warm(now);
        let cap = target.cap(now);
        let before = target.ledger.granted(now);
        let division = Division {
            cap,
            strict,
            cautious: !self.faults.ignore_outstanding,
        };
        let grants = target.ledger.divide(now, &division);
        target.divided_cap = cap;
        let after = target.ledger.granted(now);
        let state = target.state(now);
        let id = target.id;
        if after > cap && after > before && !self.faults.any() {
            let detail = format!("{} granted {after} cap {cap}", target.label);
            self.violation("granted_above_cap", detail, out);
        }
        for grant in grants {
            let item = GrantItem {
                target: id,
                slots: grant.slots,
                state,
            };
            self.grants.push((grant.node, grant.demand_sent, item));
        }
    }

    /// Sends the grants noted, one message for each demand that is answered.
    pub(crate) fn send_grants(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let mut grants = std::mem::take(&mut self.grants);
        grants.sort_by_key(|(node, sent, _)| (*node, *sent));
        for chunk in grants.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
            let (to, demand_sent) = (chunk[0].0, chunk[0].1);
            let items: Vec<GrantItem> = chunk.iter().map(|(_, _, item)| item.clone()).collect();
            if to == self.node {
                self.take_grant(now, to, demand_sent, &items, out);
                continue;
            }
            let message = Message::Grant { demand_sent, items };
            out.push(Effect::Send { to, message });
        }
        grants.clear();
        // The buffer is kept unless taking own grants has led to new ones.
        if self.grants.is_empty() {
            self.grants = grants;
        }
    }
}
