//! The reducer.

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, NodeId};
use lacewingmoor_derive::{raw, value};

use crate::{
    Arrival, Decision, DecisionKind, Dispatch, Effect, Event, Fate, Reason, Refusal, RequestId,
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

/// State of one entry.
pub struct State {
    setup: Setup,
    node: NodeId,
    bundle: Option<Arc<Bundle>>,
    next: usize,
}

impl State {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(setup: Setup) -> Self {
        let node = lacewingmoor_bundle::node_id(&setup.name);
        Self {
            setup,
            node,
            bundle: None,
            next: 0,
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
        self.bundle.as_ref()
    }

    /// Returns the monotonic time at which `Event::Tick` is due, if any.
    pub fn next_wakeup(&self) -> Option<Duration> {
        None
    }

    /// Applies an event at the monotonic time `now` and returns what is to be done.
    pub fn apply(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Bundle(bundle) => {
                let version = bundle.version;
                self.bundle = Some(bundle);
                vec![Effect::InForce { version }, Effect::Ready(true)]
            }
            Event::Arrived(arrival) => self.arrived(now, arrival),
            _ => Vec::new(),
        }
    }

    fn arrived(&mut self, now: Duration, arrival: Arrival) -> Vec<Effect> {
        let Some(bundle) = self.bundle.clone() else {
            return refuse(arrival.request, Reason::NoBundle);
        };
        let Some(route) = bundle.route(&arrival.method, &arrival.path) else {
            return refuse(arrival.request, Reason::NoRoute);
        };
        let route = &bundle.routes[route];
        let service = &bundle.services[route.service];
        let Some(target) = service
            .targets
            .get(self.next % service.targets.len().max(1))
        else {
            return refuse(arrival.request, Reason::NoTarget);
        };
        self.next += 1;
        let deadline = now + route.deadline;
        vec![
            Effect::Log(Decision {
                kind: DecisionKind::Dispatch,
                request: Some(arrival.request),
                attempt: Some(1),
                route: Some(route.name.clone()),
                target: Some(format!("{}/{}", service.name, target.name)),
                zone: Some(bundle.zones[target.zone].name.clone()),
                state: None,
                reason: "round_robin",
                version: bundle.version,
            }),
            Effect::Dispatch(Dispatch {
                request: arrival.request,
                attempt: 1,
                target: target.id,
                addr: target.addr,
                not_after: deadline,
                deadline,
                body_bytes_max: route.body_bytes_max,
                connections_max: service.connections_max,
            }),
        ]
    }
}

fn refuse(request: RequestId, reason: Reason) -> Vec<Effect> {
    vec![Effect::Refuse(Refusal {
        request,
        fate: Fate::NotRun,
        reason,
        retry_after: None,
    })]
}
