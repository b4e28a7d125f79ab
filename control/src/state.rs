//! The reducer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Map, NodeId, RegionId, TargetId, ZoneId};
use lacewingmoor_derive::{raw, tag, value};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::fleet::Fleet;
use crate::request::{Request, Rules, Stage};
use crate::{
    Attempt, Decision, DecisionKind, Effect, Event, Membership, Message, RequestId, Sight, Vm,
};

/// How a target is chosen. All but `Credits` are baselines for measurements.
#[raw]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Any eligible target.
    Random,
    /// The better of two random targets by requests in flight from this entry.
    TwoChoices,
    /// Each entry alone, with the slots divided by the live entries.
    StaticShare,
    /// Slots granted by the owner of each target.
    #[default]
    Credits,
}

/// What the reducer is built with.
#[value]
pub struct Setup {
    /// Name of this entry.
    pub name: String,
    /// Zone name of this entry.
    pub zone: String,
    /// Region name of this entry.
    pub region: String,
    /// Start of this process; differs after a restart.
    pub incarnation: u64,
    /// Choice of targets.
    pub policy: Policy,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What is due at a time.
#[tag]
pub(crate) enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// The last time at which a queued request could still be answered in time.
    Queued(RequestId),
}

/// State of one entry.
pub struct State {
    pub(crate) setup: Setup,
    pub(crate) node: NodeId,
    pub(crate) members: Membership,
    pub(crate) region: Option<RegionId>,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: Map<RequestId, Request>,
    pub(crate) rng: StdRng,
    timers: BinaryHeap<Reverse<(Duration, Timer)>>,
    pub(crate) now: Duration,
    pub(crate) draining: bool,
    members_ready: bool,
    ready: bool,
}

impl State {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(setup: Setup) -> Self {
        let node = lacewingmoor_bundle::node_id(&setup.name);
        Self {
            node,
            members: Membership::new(&setup, node),
            region: None,
            zone: None,
            fleet: Fleet::default(),
            requests: Map::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            timers: BinaryHeap::new(),
            now: Duration::ZERO,
            draining: false,
            members_ready: false,
            ready: false,
            setup,
        }
    }

    /// Returns the id of this entry.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the setup of this entry.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.members.bundle()
    }

    /// Returns the monotonic time at which `Event::Tick` is due, if any.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.members.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Applies an event at the monotonic time `now` and returns what is to be done.
    pub fn apply(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.now = now;
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival, &mut out),
            Event::Head {
                request,
                attempt,
                status,
                report,
            } => self.head(now, request, attempt, status, report.as_ref(), &mut out),
            Event::Ended {
                request,
                attempt,
                outcome,
            } => self.ended(now, request, attempt, outcome, &mut out),
            Event::CallerGone { request } => self.caller_gone(now, request, &mut out),
            other => {
                self.apply_control(now, other, &mut out);
                self.settle_ready(&mut out);
            }
        }
        self.run_timers(now, &mut out);
        out
    }

    fn apply_control(&mut self, now: Duration, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.members.tick(now, out),
            Event::Bundle(bundle) => self.take_bundle(now, bundle, out),
            Event::VmList(vms) => self.take_vm_list(now, &vms, out),
            Event::Peer {
                from,
                incarnation,
                message: Message::Heartbeat(heartbeat),
            } => self
                .members
                .take_heartbeat(now, from, incarnation, &heartbeat, out),
            Event::Peer { .. } => {}
            Event::PeerDown { node } => self.members.peer_down(now, node),
            Event::StoreReached {
                as_of,
                version,
                digest,
            } => self
                .members
                .store_reached(now, as_of, version, &digest, out),
            Event::StoreFailed => self.members.store_failed(now),
            Event::Probed { target, report } => {
                if let (Some(t), Some(report)) = (self.fleet.get_mut(target), report) {
                    let sight = t.reported(now, &report);
                    self.saw(now, target, sight, out);
                }
            }
            Event::Drain => {
                self.draining = true;
                self.members.drain(out);
            }
            Event::Arrived(_)
            | Event::Head { .. }
            | Event::Ended { .. }
            | Event::CallerGone { .. } => {}
        }
    }

    fn take_vm_list(&mut self, now: Duration, vms: &[Vm], out: &mut Vec<Effect>) {
        self.members.take_vm_list(now, vms, out);
        self.fleet.take_vm_list(now, vms);
        self.pump_all(now, out);
    }

    fn take_bundle(&mut self, now: Duration, bundle: Arc<Bundle>, out: &mut Vec<Effect>) {
        if !self.members.take_bundle(now, Arc::clone(&bundle), out) {
            return;
        }
        self.region = bundle.region(&self.setup.region);
        self.zone = bundle.zone(&self.setup.zone);
        self.fleet.load(now, &bundle);
        for target in &mut self.fleet.targets {
            target.in_flight = 0;
        }
        for request in self.requests.values() {
            for open in &request.open {
                if let Some(target) = self.fleet.get_mut(open.target) {
                    target.in_flight += 1;
                }
            }
        }
        self.decide(DecisionKind::Bundle, None, None, None, "in_force", out);
        self.apply_rules_anew(now, &bundle, out);
        self.pump_all(now, out);
    }

    /// Finds the rules of open requests again, because ids and rules may differ in a new bundle.
    fn apply_rules_anew(&mut self, now: Duration, new: &Bundle, out: &mut Vec<Effect>) {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for service in &mut self.fleet.services {
            service.queue = Default::default();
        }
        for id in ids {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let arrival = &request.arrival;
            let tenant = arrival.tenant.as_deref();
            let found = Rules::find(new, self.region, &arrival.method, &arrival.path, tenant);
            let queued = matches!(request.stage, Stage::Queued(_));
            let was_idempotent = request.rules.idempotent;
            match found {
                Ok(mut rules) => {
                    // What has been sent was sent under the stricter of both rules.
                    rules.idempotent &= was_idempotent || request.attempts == 0;
                    request.rules = rules;
                    if queued {
                        self.queue_again(id);
                    }
                }
                Err(reason) if queued => {
                    request.stage = Stage::Running;
                    self.give_up(now, id, reason, out);
                }
                Err(_) => request.rules.orphan(self.fleet.orphans()),
            }
        }
    }

    fn queue_again(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            let rules = &request.rules;
            let queue = &mut self.fleet.services[rules.service].queue;
            let place = queue.push(id, rules.tenant, rules.share, rules.weight);
            request.stage = Stage::Queued(place);
        }
    }

    /// Serves all queues, after something changed that is not about one service.
    pub(crate) fn pump_all(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for service in 0..self.fleet.services.len() {
            if !self.fleet.services[service].queue.is_empty() {
                self.pump(now, service, out);
            }
        }
    }

    pub(crate) fn timer(&mut self, at: Duration, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<Effect>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Deadline(id) => self.deadline_passed(now, id, out),
                Timer::Queued(id) => self.queued_too_long(now, id, out),
            }
        }
    }

    /// Acts on something seen at a target.
    pub(crate) fn saw(
        &mut self,
        _now: Duration,
        id: TargetId,
        sight: Option<Sight>,
        out: &mut Vec<Effect>,
    ) {
        let (Some(sight), Some(index)) = (sight, self.fleet.index(id)) else {
            return;
        };
        let reason = match sight {
            Sight::Refused => "refused",
            Sight::Shed => "shed",
            Sight::Restarted { .. } => "restarted",
            Sight::Draining => "draining",
            Sight::Collapsed => "collapsed",
        };
        self.decide(
            DecisionKind::TargetState,
            None,
            None,
            Some(index),
            reason,
            out,
        );
    }

    /// Publishes readiness when it changes: membership is ready and the own zone is in service.
    fn settle_ready(&mut self, out: &mut Vec<Effect>) {
        out.retain(|effect| {
            if let Effect::Ready(ready) = effect {
                self.members_ready = *ready;
            }
            !matches!(effect, Effect::Ready(_))
        });
        let zone_in = match (self.bundle(), self.zone) {
            (Some(bundle), Some(zone)) => bundle.zones[zone].in_service,
            _ => true,
        };
        let ready = self.members_ready && zone_in && !self.draining;
        if ready != self.ready {
            self.ready = ready;
            out.push(Effect::Ready(ready));
        }
    }

    /// Writes a line of the decision log.
    pub(crate) fn decide(
        &self,
        kind: DecisionKind,
        request: Option<RequestId>,
        attempt: Option<Attempt>,
        target: Option<usize>,
        reason: &'static str,
        out: &mut Vec<Effect>,
    ) {
        let bundle = self.bundle();
        let route = request
            .and_then(|id| self.requests.get(&id))
            .zip(bundle)
            .and_then(|(r, b)| b.routes.get(r.rules.route))
            .map(|r| r.name.clone());
        let target = target.map(|i| &self.fleet.targets[i]);
        out.push(Effect::Log(Decision {
            kind,
            request,
            attempt,
            route,
            target: target.map(|t| t.label.clone()),
            zone: target
                .zip(bundle)
                .map(|(t, b)| b.zones[t.zone].name.clone()),
            state: target.map(|t| t.state(self.now)),
            reason,
            version: bundle.map_or(0, |b| b.version),
        }));
    }
}
