//! The decision log, and what is seen at targets.

use std::time::Duration;

use lacewingmoor_bundle::TargetId;

use crate::{Attempt, Decision, DecisionKind, Effect, Message, Observation, RequestId, State};

impl State {
    /// Acts on something seen at a target.
    pub(crate) fn saw(
        &mut self,
        now: Duration,
        id: TargetId,
        observation: Option<Observation>,
        out: &mut Vec<Effect>,
    ) {
        let (Some(observation), Some(index)) = (observation, self.fleet.index(id)) else {
            return;
        };
        let reason = match observation {
            Observation::Refused => "refused",
            Observation::Shed => "shed",
            Observation::Restarted { .. } => "restarted",
            Observation::Draining => "draining",
            Observation::Collapsed => "collapsed",
        };
        self.decide(
            DecisionKind::TargetState,
            None,
            None,
            Some(index),
            reason,
            out,
        );
        if !self.uses_credits() {
            return;
        }
        if self.fleet.targets[index].lease.owned(now) {
            self.redivide(now, index, out);
            return;
        }
        self.fleet.targets[index].unconfirmed = Some(observation.clone());
        if let Some(owner) = self.owner_of(now, index) {
            out.push(Effect::Send {
                to: owner,
                message: Message::Observe {
                    target: id,
                    observation,
                },
            });
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
