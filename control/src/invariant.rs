//! Invariants that the reducer checks on itself, also in release builds.

use std::time::Duration;

use crate::request::Stage;
use crate::{Effect, RequestId, State, Violation};

impl State {
    /// Reports a broken invariant.
    pub(crate) fn violation(&self, invariant: &'static str, detail: String, out: &mut Vec<Effect>) {
        out.push(Effect::Violation(Violation { invariant, detail }));
    }

    /// Checks at the last step before a dispatch that it is allowed.
    pub(crate) fn check_dispatch(
        &self,
        _now: Duration,
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
        } else if !request.may_send() {
            "dispatch_twice"
        } else if request.stage == Stage::Over {
            "dispatch_after_end"
        } else {
            return true;
        };
        self.violation(broken, format!("request {id} target {}", target.label), out);
        false
    }
}
