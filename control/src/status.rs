//! Views of the state for operators.

use std::time::Duration;

use lacewingmoor_bundle::{NodeId, Version, hex};
use serde::Serialize;

use crate::request::{Request, Rules};
use crate::select::Choice;
use crate::{Arrival, Reason, State, TargetState};

/// What an entry knows and does.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the entry.
    pub name: String,
    /// Id of the entry.
    pub node: NodeId,
    /// Bundle version in force, 0 if none.
    pub version: Version,
    /// Manifest digest of that version in hexadecimal.
    pub digest: String,
    /// True if the version is confirmed as the newest.
    pub fresh: bool,
    /// True while the entry is ready for new callers.
    pub ready: bool,
    /// Requests that are not over.
    pub requests: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Targets in the order of the bundle.
    pub targets: Vec<TargetStatus>,
}

/// What an entry knows of a target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetStatus {
    /// Name as `service/target`.
    pub target: String,
    /// Zone name.
    pub zone: String,
    /// State as this entry sees it.
    pub state: TargetState,
    /// Requests that all entries together may have running.
    pub cap: u32,
    /// Entry that is expected to own the target.
    pub owner: Option<NodeId>,
    /// True if this entry owns the target.
    pub owned: bool,
    /// Credits of this entry.
    pub credits: u32,
    /// Attempts of this entry that occupy the target.
    pub in_flight: u32,
    /// Slots that this entry has granted as the owner.
    pub granted: u32,
    /// Fast estimate of the answer latency in milliseconds.
    pub latency_ms: Option<f64>,
}

/// Where a request would go and why.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Route that matches.
    pub route: Option<String>,
    /// Refusal reason, if the request would be refused.
    pub refused: Option<&'static str>,
    /// Target that would be chosen now.
    pub target: Option<String>,
    /// Why it would be chosen, or why none is.
    pub reason: &'static str,
    /// Targets of the service and why each one may or may not take the request.
    pub targets: Vec<TargetVerdict>,
}

/// Whether a target may take a request.
#[derive(Clone, Debug, Serialize)]
pub struct TargetVerdict {
    /// Name as `service/target`.
    pub target: String,
    /// State as this entry sees it.
    pub state: TargetState,
    /// `free`, `no_credit`, `closed` or `outside_home_regions`.
    pub verdict: &'static str,
}

impl State {
    /// Returns what this entry knows and does, as of the last event.
    pub fn status(&self) -> Status {
        let now = self.now;
        let bundle = self.bundle();
        let targets = (0..self.fleet.targets.len()).map(|i| self.target_status(now, i));
        Status {
            name: self.setup.name.clone(),
            node: self.node,
            version: bundle.map_or(0, |b| b.version),
            digest: bundle.map_or_else(String::new, |b| hex(&b.digest)),
            fresh: self.members.fresh(now),
            ready: self.is_ready(),
            requests: self.requests.len(),
            queued: self.fleet.services.iter().map(|s| s.queue.len()).sum(),
            targets: targets.collect(),
        }
    }

    fn target_status(&self, now: Duration, index: usize) -> TargetStatus {
        let target = &self.fleet.targets[index];
        let zone = self.bundle().and_then(|b| b.zones.get(target.zone));
        TargetStatus {
            target: target.label.clone(),
            zone: zone.map_or_else(String::new, |z| z.name.clone()),
            state: target.state(now),
            cap: target.cap(now),
            owner: self.owner_of(now, index),
            owned: target.lease.owned(now),
            credits: target.credit.slots(now),
            in_flight: target.in_flight,
            granted: target.ledger.granted(now),
            latency_ms: target.latency.recent().map(|d| d.as_secs_f64() * 1e3),
        }
    }

    /// Explains where a request would go now. Random choices of the baselines are drawn anew.
    pub fn explain(&mut self, method: &str, path: &str, tenant: Option<&str>) -> Explanation {
        let mut explanation = Explanation {
            route: None,
            refused: None,
            target: None,
            reason: "refused",
            targets: Vec::new(),
        };
        let Some(bundle) = self.bundle().cloned() else {
            explanation.refused = Some(crate::flow::reason_name(Reason::NoBundle));
            return explanation;
        };
        let rules = match Rules::find(&bundle, self.region, method, path, tenant) {
            Ok(rules) => rules,
            Err(reason) => {
                explanation.refused = Some(crate::flow::reason_name(reason));
                return explanation;
            }
        };
        explanation.route = Some(bundle.routes[rules.route].name.clone());
        let arrival = Arrival {
            request: 0,
            method: method.into(),
            path: path.into(),
            tenant: tenant.map(Into::into),
            body_bytes: None,
            deadline: None,
            replayable: true,
        };
        let deadline = self.now + bundle.routes[rules.route].deadline;
        let request = Request::new(self.now, deadline, arrival, rules);
        self.explain_targets(&request, &mut explanation);
        if !self.members.fresh(self.now) {
            explanation.refused = Some(crate::flow::reason_name(Reason::Isolated));
            return explanation;
        }
        match self.choose(self.now, &request) {
            Choice::Target(index, reason) => {
                explanation.target = Some(self.fleet.targets[index].label.clone());
                explanation.reason = reason;
            }
            Choice::Busy => explanation.reason = "no_free_slot",
            Choice::Nowhere => {
                explanation.refused = Some(crate::flow::reason_name(Reason::NoTarget));
            }
        }
        explanation
    }

    fn explain_targets(&self, request: &Request, explanation: &mut Explanation) {
        let range = self.fleet.services[request.rules.service].targets.clone();
        explanation.targets = range
            .map(|i| {
                let target = &self.fleet.targets[i];
                let verdict = if !target.open() {
                    "closed"
                } else if !request.rules.home.has(target.region) {
                    "outside_home_regions"
                } else if self.slot(self.now, i).is_none() {
                    "no_credit"
                } else {
                    "free"
                };
                TargetVerdict {
                    target: target.label.clone(),
                    state: target.state(self.now),
                    verdict,
                }
            })
            .collect();
    }
}
