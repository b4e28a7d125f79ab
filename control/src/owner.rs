//! Ownership of targets: claims, votes and leases.

use std::time::Duration;

use lacewingmoor_bundle::{Map, NodeId, TargetId};
use rand::RngExt as _;

use crate::{DecisionKind, Effect, GRANT_TTL, LEASE_TTL, Message, Roster, State, rendezvous};

/// Interval between the claims that renew a lease.
pub(crate) const CLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// Time without success after which a claimant lets others try.
const CAMPAIGN_MAX: Duration = Duration::from_millis(3000);

/// Time after which an owner that is not ranked first hands a target over, one target at a time.
const HAND_OVER_AFTER: Duration = Duration::from_secs(30);

/// Claims that votes are accepted for.
const CLAIMS_KEPT: usize = 4;

/// Promise of a voter not to vote for another claimant.
#[derive(Clone, Debug)]
struct Promise {
    claimant: (NodeId, u64),
    until: Duration,
}

/// Votes that this entry has given.
#[derive(Debug, Default)]
pub(crate) struct Ballots {
    promises: Map<TargetId, Promise>,
}

impl Ballots {
    /// Gives a vote unless another claimant holds an unexpired promise.
    fn vote(&mut self, now: Duration, target: TargetId, claimant: (NodeId, u64)) -> bool {
        if let Some(p) = self.promises.get(&target)
            && p.claimant != claimant
            && now < p.until
        {
            return false;
        }
        let until = now + LEASE_TTL;
        self.promises.insert(target, Promise { claimant, until });
        true
    }

    /// True while this entry is bound to the claimant.
    fn bound_to(&self, now: Duration, target: TargetId, claimant: (NodeId, u64)) -> bool {
        let promise = self.promises.get(&target);
        promise.is_some_and(|p| p.claimant == claimant && now < p.until)
    }

    /// Returns the claimant that this entry voted for last and when the promise ends.
    pub fn promised(&self, target: TargetId) -> Option<(NodeId, Duration)> {
        let promise = self.promises.get(&target)?;
        Some((promise.claimant.0, promise.until))
    }
}

/// Ownership of one target as its claimant knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lease {
    roster: u64,
    votes: Vec<(NodeId, Duration)>,
    until: Duration,
    since: Duration,
    held: bool,
    campaign: Option<Duration>,
    pause: Duration,
}

impl Lease {
    /// True while more than two thirds of the roster's votes are unexpired.
    pub fn owned(&self, now: Duration) -> bool {
        now < self.until
    }

    /// True once after the ownership has ended.
    pub fn lost(&mut self, now: Duration) -> bool {
        let lost = self.held && !self.owned(now);
        self.held &= !lost;
        lost
    }

    /// True once the grants of any earlier owner have expired.
    pub fn may_grant(&self, now: Duration, wait: bool) -> bool {
        self.owned(now) && (!wait || now >= self.since + GRANT_TTL)
    }

    /// Counts a vote that lasts until `expiry`; returns true if it wins the ownership.
    fn count(&mut self, now: Duration, voter: NodeId, expiry: Duration, roster: &Roster) -> bool {
        if self.roster != roster.hash {
            self.roster = roster.hash;
            self.votes.clear();
        }
        match self.votes.iter_mut().find(|(n, _)| *n == voter) {
            Some((_, e)) => *e = expiry.max(*e),
            None => self.votes.push((voter, expiry)),
        }
        let needed = roster.nodes.len() * 2 / 3 + 1;
        if self.votes.len() < needed {
            return false;
        }
        // The quorum lasts as long as the vote that expires first among the longest ones needed.
        let mut expiries: Vec<Duration> = self.votes.iter().map(|(_, e)| *e).collect();
        let (_, quorum, _) = expiries.select_nth_unstable_by(needed - 1, |a, b| b.cmp(a));
        let quorum = *quorum;
        let won = !self.owned(now) && quorum > now;
        if won {
            self.since = now;
            self.held = true;
        }
        if quorum > self.until {
            self.until = quorum;
            self.campaign = None;
        }
        won
    }
}

/// An entry that may own targets.
struct Candidate {
    node: NodeId,
    zone: Option<usize>,
    region: Option<usize>,
}

impl State {
    /// Ranks the live entries for every target again and notes the expected owners.
    pub(crate) fn rank_owners(&mut self, now: Duration) {
        let Some(bundle) = self.bundle().cloned() else {
            return;
        };
        let candidates: Vec<Candidate> = self
            .fleet
            .entries
            .iter()
            .filter(|e| !e.leaving && self.may_own(now, e.node))
            .map(|e| Candidate {
                node: e.node,
                zone: bundle.zone(&e.zone),
                region: bundle.region(&e.region),
            })
            .filter(|c| c.zone.is_some_and(|z| bundle.zones[z].in_service))
            .collect();
        // Ranking is the dearest step of an idle entry, and the candidates seldom change.
        let key = candidates
            .iter()
            .fold(bundle.version, |key, c| rendezvous(key, c.node));
        if self.ranked_for.replace(key) == Some(key) {
            return;
        }
        for target in &mut self.fleet.targets {
            let ranked = candidates
                .iter()
                .filter(|c| c.region == Some(target.region))
                .map(|c| {
                    (
                        c.zone == Some(target.zone),
                        rendezvous(target.id, c.node),
                        c.node,
                    )
                });
            target.ranked = ranked.max().map(|(_, _, node)| node);
        }
    }

    /// True if an entry is alive and does not stop, as far as this entry knows.
    fn may_own(&self, now: Duration, node: NodeId) -> bool {
        if node == self.node {
            return !self.draining;
        }
        self.members.alive(now, node) && !self.stopping.contains(&node)
    }

    /// Returns the entry that is expected to own a target.
    pub(crate) fn owner_of(&self, now: Duration, index: usize) -> Option<NodeId> {
        let target = &self.fleet.targets[index];
        if target.lease.owned(now) {
            return Some(self.node);
        }
        match self.ballots.promised(target.id) {
            Some((node, until)) if now < until => Some(node),
            _ => target.ranked,
        }
    }

    /// Claims the targets that this entry owns or should own.
    pub(crate) fn claim(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.rank_owners(now);
        if now < LEASE_TTL {
            // Until it has heard its peers, an entry would rank itself first for every target.
            return;
        }
        let roster = match self.members.roster(&self.setup.region) {
            Some(roster) if roster.nodes.contains(&self.node) => roster.clone(),
            _ => return,
        };
        let mut targets = Vec::new();
        let mut handed_over = false;
        for index in 0..self.fleet.targets.len() {
            if self.wants(now, index, &mut handed_over) {
                targets.push(self.fleet.targets[index].id);
            }
        }
        if targets.is_empty() {
            return;
        }
        if self.claims.len() >= CLAIMS_KEPT {
            self.claims.remove(0);
        }
        self.claims.push((now, roster.hash));
        let own = self.votes_for(now, (self.node, self.setup.incarnation), &roster, &targets);
        for peer in roster.nodes.iter().filter(|n| **n != self.node) {
            out.push(Effect::Send {
                to: *peer,
                message: Message::Claim {
                    sent: now,
                    roster: roster.hash,
                    targets: targets.clone(),
                },
            });
        }
        self.take_vote(now, self.node, now, &own, out);
    }

    /// True if this entry should claim a target now.
    fn wants(&mut self, now: Duration, index: usize, handed_over: &mut bool) -> bool {
        let own_region = self.region;
        let target = &self.fleet.targets[index];
        if Some(target.region) != own_region || self.draining {
            return false;
        }
        if !target.in_service || target.leaving || now < target.lease.pause {
            return false;
        }
        let first = target.ranked == Some(self.node);
        if target.lease.owned(now) {
            let held = now.saturating_sub(target.lease.since);
            if first || *handed_over || held < HAND_OVER_AFTER {
                return true;
            }
            *handed_over = true;
            return false;
        }
        let silent = match self.ballots.promised(target.id) {
            Some((node, until)) if node != self.node => now.saturating_sub(until),
            _ => now.saturating_sub(target.lease.until),
        };
        // The first in rank may be out of reach of the voters; then anybody may try.
        if !first && silent < CAMPAIGN_MAX * 2 {
            return false;
        }
        let spread = self.rng.random_range(2..=4);
        let lease = &mut self.fleet.targets[index].lease;
        let campaign = *lease.campaign.get_or_insert(now);
        // Two claimants with part of the votes each would block one another for ever, and the
        // first in rank should be the one that wins.
        let longest = if first { CAMPAIGN_MAX } else { CLAIM_INTERVAL };
        if now.saturating_sub(campaign) > longest {
            let pause = LEASE_TTL * spread;
            lease.campaign = None;
            lease.pause = now + if first { pause } else { pause * 2 };
            return false;
        }
        true
    }

    /// Decides on the votes of this entry for a claimant.
    fn votes_for(
        &mut self,
        now: Duration,
        claimant: (NodeId, u64),
        roster: &Roster,
        targets: &[TargetId],
    ) -> Vec<TargetId> {
        if self.faults.skip_votes {
            return targets.to_vec();
        }
        if now < LEASE_TTL || !roster.nodes.contains(&claimant.0) {
            return Vec::new();
        }
        // Under a roster that has just changed, a vote for a new claimant could complete a second
        // quorum. Renewing a promise cannot, and keeps the owners while VMs are replaced.
        let settled = now.saturating_sub(roster.since) >= LEASE_TTL;
        let ballots = &mut self.ballots;
        targets
            .iter()
            .copied()
            .filter(|t| {
                (settled || ballots.bound_to(now, *t, claimant)) && ballots.vote(now, *t, claimant)
            })
            .collect()
    }

    /// Answers a claim.
    pub(crate) fn take_claim(
        &mut self,
        now: Duration,
        claimant: (NodeId, u64),
        sent: Duration,
        roster_hash: u64,
        targets: &[TargetId],
        out: &mut Vec<Effect>,
    ) {
        let roster = match self.members.roster(&self.setup.region) {
            Some(r) if r.hash == roster_hash && r.nodes.contains(&self.node) => r.clone(),
            _ => return,
        };
        let granted = self.votes_for(now, claimant, &roster, targets);
        if granted.is_empty() {
            return;
        }
        // What this entry has running must be known to the owner before it may grant.
        self.report_use(now, claimant.0, &granted, out);
        out.push(Effect::Send {
            to: claimant.0,
            message: Message::Vote {
                claim_sent: sent,
                granted,
            },
        });
    }

    /// Counts votes for an earlier claim of this entry.
    pub(crate) fn take_vote(
        &mut self,
        now: Duration,
        voter: NodeId,
        claim_sent: Duration,
        granted: &[TargetId],
        out: &mut Vec<Effect>,
    ) {
        let claim = self.claims.iter().find(|(sent, _)| *sent == claim_sent);
        let Some(hash) = claim.map(|(_, hash)| *hash) else {
            return;
        };
        let roster = match self.members.roster(&self.setup.region) {
            Some(r) if r.hash == hash && r.nodes.contains(&voter) => r.clone(),
            _ => return,
        };
        for id in granted {
            let Some(index) = self.fleet.index(*id) else {
                continue;
            };
            let mut won = false;
            let lease = &mut self.fleet.targets[index].lease;
            if self.faults.skip_votes {
                for node in &roster.nodes {
                    won |= lease.count(now, *node, claim_sent + LEASE_TTL, &roster);
                }
            } else {
                won = lease.count(now, voter, claim_sent + LEASE_TTL, &roster);
            }
            if won {
                self.won(now, index, out);
            }
        }
    }

    /// Starts the ownership of a target.
    fn won(&mut self, now: Duration, index: usize, out: &mut Vec<Effect>) {
        let target = &mut self.fleet.targets[index];
        target.probe.start(now);
        let service = target.service;
        self.fleet.services[service].dirty = true;
        self.decide(DecisionKind::Owner, None, None, Some(index), "won", out);
    }
}
