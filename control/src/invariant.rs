//! Invariants that the reducer checks on itself, also in release builds.

use std::time::Duration;

use crate::request::Stage;
use crate::{Effect, Policy, RequestId, State, Violation};

impl State {
    /// Reports a broken invariant.
    pub(crate) fn violation(&self, invariant: &'static str, detail: String, out: &mut Vec<Effect>) {
        out.push(Effect::Violation(Violation { invariant, detail }));
    }

    /// Checks at the last step before a dispatch that it is allowed.
    pub(crate) fn check_dispatch(
        &self,
        now: Duration,
        id: RequestId,
        index: usize,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let target = &self.fleet.targets[index];
        let broken = if !target.open() {
            "dispatch_to_closed_target"
        } else if !request.rules.home.has(target.region) {
            "dispatch_outside_home_regions"
        } else if !request.may_send(self.faults.resend_unsafe) {
            "dispatch_twice"
        } else if !self.within_credit(now, index) {
            "cold_target_without_credit"
        } else if request.stage == Stage::Over {
            "dispatch_after_end"
        } else {
            return true;
        };
        self.violation(broken, format!("request {id} target {}", target.label), out);
        false
    }

    /// True unless a target that is not warm would get more work than this entry has credits for.
    fn within_credit(&self, now: Duration, index: usize) -> bool {
        let target = &self.fleet.targets[index];
        self.setup.policy != Policy::Credits
            || target.is_warm(now)
            || target.in_flight < target.credit.slots(now)
            || self.faults.any()
    }
}
