//! Probes: active reports of targets that tell nothing by themselves, within a budget.

use std::time::Duration;

use lacewingmoor_bundle::{Probe, TargetId};

use crate::budget::Rate;
use crate::{DecisionKind, Effect, LoadReport, REPORT_AGE_MAX, State};

/// Time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Failed probes in a row, without any answer in between, after which a target counts as down.
const FAILURES_MAX: u32 = 2;

/// Probing of one target by its owner.
#[derive(Clone, Debug)]
pub(crate) struct Probing {
    budget: Rate,
    open: Option<Duration>,
    failures: u32,
    /// Slot time spent since the ownership began, and when it began.
    spent: f64,
    since: Duration,
}

impl Default for Probing {
    fn default() -> Self {
        Self {
            budget: Rate::empty(Duration::ZERO),
            open: None,
            failures: 0,
            spent: 0.0,
            since: Duration::ZERO,
        }
    }
}

impl Probing {
    /// Starts an ownership with an empty budget: the owner before may just have spent its own.
    pub fn start(&mut self, now: Duration) {
        *self = Self {
            budget: Rate::empty(now),
            since: now,
            ..Self::default()
        };
    }

    /// Spends the cost of one probe if the budget of the target allows it.
    fn spend(&mut self, now: Duration, probe: &Probe, slots: u32, unlimited: bool) -> bool {
        if self.open.is_some_and(|until| now < until) {
            return false;
        }
        let rate = f64::from(slots) * f64::from(probe.budget_permille) / 1000.0;
        let cost = probe.cost.as_secs_f64();
        if !unlimited && !self.budget.spend(now, rate, cost, cost) {
            return false;
        }
        self.open = Some(now + PROBE_TIMEOUT * 2);
        self.spent += cost;
        true
    }

    /// True if the probes since the ownership began cost no more than their share of slot time.
    fn within(&self, now: Duration, probe: &Probe, slots: u32) -> bool {
        let earned = now.saturating_sub(self.since).as_secs_f64() * f64::from(slots);
        self.spent <= earned * f64::from(probe.budget_permille) / 1000.0 + 1e-6
    }
}

impl State {
    /// Probes a target that this entry owns if it needs it and the budget allows it.
    pub(crate) fn probe(&mut self, now: Duration, index: usize, out: &mut Vec<Effect>) {
        let Some(bundle) = self.bundle().cloned() else {
            return;
        };
        let target = &mut self.fleet.targets[index];
        let Some(spec) = &bundle.services[target.service].probe else {
            return;
        };
        let quiet = target
            .evidence
            .is_none_or(|at| now.saturating_sub(at) > REPORT_AGE_MAX);
        if !target.in_service || target.leaving || !(quiet || target.suspected()) {
            return;
        }
        if !target
            .probe
            .spend(now, spec, target.slots, self.faults.ignore_probe_budget)
        {
            return;
        }
        let within = target.probe.within(now, spec, target.slots);
        out.push(Effect::Probe {
            target: target.id,
            addr: target.addr,
            path: spec.path.clone(),
            timeout: PROBE_TIMEOUT,
        });
        if !within && !self.faults.any() {
            let detail = self.fleet.targets[index].label.clone();
            self.violation("probe_budget", detail, out);
        }
    }

    /// Takes the result of a probe.
    pub(crate) fn probed(
        &mut self,
        now: Duration,
        id: TargetId,
        report: Option<&LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(index) = self.fleet.index(id) else {
            return;
        };
        let target = &mut self.fleet.targets[index];
        target.probe.open = None;
        let observation = match report {
            Some(report) => {
                target.probe.failures = 0;
                target.reachable();
                target.reported(now, report)
            }
            None => {
                target.probe.failures += 1;
                let heard = target
                    .evidence
                    .is_some_and(|at| now.saturating_sub(at) <= REPORT_AGE_MAX);
                let down = target.probe.failures >= FAILURES_MAX && !heard;
                if down { target.refused(now) } else { None }
            }
        };
        let state = target.state(now);
        self.saw(now, id, observation, out);
        if self.fleet.targets[index].state(now) != state {
            self.decide(
                DecisionKind::TargetState,
                None,
                None,
                Some(index),
                "probe",
                out,
            );
        }
        self.redivide(now, index, out);
    }
}
