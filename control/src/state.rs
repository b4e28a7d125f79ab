//! The reducer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Map, NodeId, RegionId, Set, ZoneId};
use lacewingmoor_derive::tag;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::budget::Rate;
use crate::exchange::Schedule;
use crate::fleet::Fleet;
use crate::owner::Ballots;
use crate::request::{Request, Stage};
use crate::{Effect, Event, Faults, GrantItem, Membership, Policy, RequestId, Setup};

/// What is due at a time.
#[tag]
pub(crate) enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// The last time at which a queued request could still be answered in time.
    Queued(RequestId),
    /// The time at which a second attempt of a request is worth while.
    Hedge(RequestId),
    /// A queued request may go to a warm target without a credit.
    Overflow(RequestId),
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
    pub(crate) faults: Faults,
    pub(crate) ballots: Ballots,
    /// Own claims that votes are accepted for: send time and roster hash.
    pub(crate) claims: Vec<(Duration, u64)>,
    /// Hash of the candidates that owners were ranked among last.
    pub(crate) ranked_for: Option<u64>,
    /// Entries that said that they are not ready.
    pub(crate) stopping: Set<NodeId>,
    /// Grants to be sent at the end of the event.
    pub(crate) grants: Vec<(NodeId, Duration, GrantItem)>,
    /// Budget of links between regions, in bytes.
    pub(crate) link: Rate,
    /// Entries of this region that share its targets.
    pub(crate) entries_here: u32,
    pub(crate) schedule: Schedule,
    timers: BinaryHeap<Reverse<(Duration, Timer)>>,
    pub(crate) now: Duration,
    pub(crate) draining: bool,
    members_ready: bool,
    ready: bool,
}

impl State {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(setup: Setup) -> Self {
        Self::with_faults(setup, Faults::default())
    }

    /// Creates a state with mechanisms turned off, for tests of the checks.
    pub fn with_faults(setup: Setup, faults: Faults) -> Self {
        let node = lacewingmoor_bundle::node_id(&setup.name);
        Self {
            node,
            members: Membership::new(&setup, node),
            region: None,
            zone: None,
            fleet: Fleet::default(),
            requests: Map::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            faults,
            ballots: Ballots::default(),
            claims: Vec::new(),
            ranked_for: None,
            stopping: Set::default(),
            grants: Vec::new(),
            link: Rate::empty(Duration::ZERO),
            entries_here: 1,
            schedule: Schedule::default(),
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
        let mut at = [timer, self.members.next_wakeup()]
            .into_iter()
            .flatten()
            .min();
        if self.uses_credits() {
            let due = self.schedule.due(self.is_dirty());
            at = Some(at.map_or(due, |at| at.min(due)));
        }
        at
    }

    /// True if ownership, credits and probes are in use.
    pub(crate) fn uses_credits(&self) -> bool {
        self.setup.policy == Policy::Credits && self.bundle().is_some()
    }

    pub(crate) fn is_dirty(&self) -> bool {
        self.fleet.services.iter().any(|s| s.dirty)
    }

    /// True while this entry is ready for new callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
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
        if self.uses_credits() {
            self.run_credits(now, &mut out);
        }
        out
    }

    fn apply_control(&mut self, now: Duration, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => {
                self.members.tick(now, out);
                self.pump_all(now, out);
            }
            Event::Bundle(bundle) => self.take_bundle(now, bundle, out),
            Event::VmList(vms) => self.take_vm_list(now, &vms, out),
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.take_message(now, (from, incarnation), message, out),
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
                self.probed(now, target, report.as_ref(), out);
            }
            Event::Drain => {
                self.draining = true;
                for service in &mut self.fleet.services {
                    service.dirty = true;
                }
                self.members.drain(out);
            }
            Event::Arrived(_)
            | Event::Head { .. }
            | Event::Ended { .. }
            | Event::CallerGone { .. } => {}
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

    /// Serves the queue again once a request has waited long enough to overflow.
    fn waited(&mut self, now: Duration, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Stage::Queued(_) = request.stage {
            self.pump(now, request.rules.service, out);
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
                Timer::Hedge(id) => self.hedge(now, id, out),
                Timer::Overflow(id) => self.waited(now, id, out),
            }
        }
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
}
