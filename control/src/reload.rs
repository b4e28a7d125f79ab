//! A new bundle or VM list: targets, rules and queues follow it at once.

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::Bundle;

use crate::request::{Rules, Stage};
use crate::{DecisionKind, Effect, RequestId, State, Vm};

impl State {
    /// Takes the platform's VM list.
    pub(crate) fn take_vm_list(&mut self, now: Duration, vms: &[Vm], out: &mut Vec<Effect>) {
        self.members.take_vm_list(now, vms, out);
        self.fleet.take_vm_list(now, vms);
        self.entries_here = self.fleet.entries_of(&self.setup.region);
        self.ranked_for = None;
        self.pump_all(now, out);
    }

    /// Puts a bundle in force if it is newer.
    pub(crate) fn take_bundle(
        &mut self,
        now: Duration,
        bundle: Arc<Bundle>,
        out: &mut Vec<Effect>,
    ) {
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
}
