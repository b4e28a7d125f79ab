//! The way of a request after it was sent: answer, end of attempts, hedge, retry, deadline.

use std::time::Duration;

use lacewingmoor_bundle::TargetId;

use crate::flow::cancel_open;
use crate::request::{Open, Stage};
use crate::select::Choice;
use crate::{Attempt, Effect, LoadReport, Outcome, Reason, RequestId, State, Timer};

/// Time after which a hedge that could not be started is tried again.
const HEDGE_AGAIN: Duration = Duration::from_millis(2);

impl State {
    pub(crate) fn head(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: Attempt,
        status: u16,
        report: Option<&LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(open) = request.open.iter_mut().find(|o| o.attempt == attempt) else {
            return;
        };
        if open.head {
            return;
        }
        open.head = true;
        let (target, sent) = (open.target, open.sent);
        let service = request.rules.service;
        let first = request.stage == Stage::Running;
        if first {
            request.stage = Stage::Answered(attempt);
            cancel_open(id, request, Some(attempt), out);
        }
        self.fleet.services[service]
            .latency
            .add(now.saturating_sub(sent));
        self.target_answered(now, target, sent, status < 500, report, out);
    }

    pub(crate) fn ended(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: Attempt,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(at) = request.open.iter().position(|o| o.attempt == attempt) else {
            return;
        };
        let open = request.open.swap_remove(at);
        let unsent = matches!(outcome, Outcome::NotSent | Outcome::Shed | Outcome::Expired);
        if !unsent {
            request.exposed += 1;
        }
        if outcome != Outcome::Expired {
            request.tried.push(open.target);
        }
        let service = request.rules.service;
        self.free(now, &open, outcome, out);
        self.after_end(now, id, attempt, outcome, out);
        self.pump(now, service, out);
    }

    /// Gives back the slot of an attempt and takes what its end tells about the target.
    fn free(&mut self, now: Duration, open: &Open, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(open.target) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        let (service, shrunk) = (target.service, target.credit.shrunk(now, target.in_flight));
        if !open.head {
            target.latency.settled(now);
        }
        let observation = match outcome {
            Outcome::NotSent if open.sent >= target.since => target.refused(now),
            Outcome::Shed => target.shed(now),
            Outcome::Broken | Outcome::Cut if open.sent >= target.since => {
                target.bad_answer(now, true)
            }
            _ => None,
        };
        self.fleet.services[service].dirty |= shrunk;
        self.saw(now, open.target, observation, out);
    }

    /// Starts a second attempt of a request whose first one takes longer than most. While requests
    /// wait, or no slot or token is free, it is put off: the first attempt may stay slow for long.
    pub(crate) fn hedge(&mut self, now: Duration, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let due = request.stage == Stage::Running && request.open.len() == 1;
        if !due || !request.may_send(self.faults.resend_unsafe) || !self.members.fresh(now) {
            return;
        }
        let service = request.rules.service;
        let state = &self.fleet.services[service];
        if state.queue.is_empty()
            && state.hedges.any()
            && let Some(request) = self.requests.remove(&id)
        {
            let choice = self.choose(now, &request);
            self.requests.insert(id, request);
            if let Choice::Target(index, _) = choice
                && self.fleet.services[service].hedges.spend()
            {
                return self.dispatch(now, id, index, "hedge", out);
            }
        }
        self.timer(now + HEDGE_AGAIN, Timer::Hedge(id));
    }

    /// Decides what happens to a request after one of its attempts ended.
    fn after_end(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: Attempt,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let over = match request.stage {
            Stage::Over => true,
            Stage::Answered(winner) => winner == attempt,
            Stage::Queued(_) => false,
            Stage::Running => matches!(outcome, Outcome::Complete | Outcome::Cut),
        };
        if over {
            request.stage = Stage::Over;
            cancel_open(id, request, None, out);
            if request.open.is_empty() {
                self.requests.remove(&id);
            }
            return;
        }
        if request.stage != Stage::Running {
            return;
        }
        let reason = match outcome {
            Outcome::NotSent => Reason::ConnectFailed,
            Outcome::Shed => Reason::Shed,
            Outcome::Expired => Reason::Deadline,
            _ => Reason::Broken,
        };
        request.failure = Some(reason);
        if request.open.is_empty() {
            self.retry(now, id, outcome, reason, out);
        }
    }

    /// Starts another attempt if the rules and the budget allow it, else refuses the request.
    fn retry(
        &mut self,
        now: Duration,
        id: RequestId,
        outcome: Outcome,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may = request.may_send(self.faults.resend_unsafe)
            && now < request.deadline
            && self.members.fresh(now);
        let retries = &mut self.fleet.services[request.rules.service].retries;
        // An attempt that was not carried out has cost nothing and needs no token.
        if may && (outcome == Outcome::Expired || retries.spend()) {
            self.place(now, id, "retry", out);
        } else {
            self.give_up(now, id, reason, out);
        }
    }

    pub(crate) fn caller_gone(&mut self, now: Duration, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let service = request.rules.service;
        let stage = request.stage;
        request.stage = Stage::Over;
        cancel_open(id, request, None, out);
        if request.open.is_empty() {
            self.requests.remove(&id);
        }
        if let Stage::Queued(place) = stage {
            self.fleet.services[service].queue.remove(place, false);
            self.fleet.services[service].queue_changed(now);
        }
        self.pump(now, service, out);
    }

    /// Acts on the deadline of a request; an answer that has begun is not cut off.
    pub(crate) fn deadline_passed(&mut self, now: Duration, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.stage {
            Stage::Queued(_) => self.give_up(now, id, Reason::Deadline, out),
            Stage::Running => {
                for open in request.open.clone() {
                    let target = self.fleet.get_mut(open.target);
                    let observation = target
                        .filter(|t| open.sent >= t.since)
                        .and_then(|t| t.bad_answer(now, true));
                    self.saw(now, open.target, observation, out);
                }
                self.give_up(now, id, Reason::Timeout, out);
            }
            Stage::Answered(_) | Stage::Over => {}
        }
    }

    /// Refuses a queued request whose deadline leaves no time for an answer.
    pub(crate) fn queued_too_long(&mut self, now: Duration, id: RequestId, out: &mut Vec<Effect>) {
        let queued = self.requests.get(&id).map(|r| r.stage);
        if let Some(Stage::Queued(_)) = queued {
            self.give_up(now, id, Reason::Deadline, out);
        }
    }

    /// Takes an answer of a target, whatever became of the request.
    fn target_answered(
        &mut self,
        now: Duration,
        id: TargetId,
        sent: Duration,
        success: bool,
        report: Option<&LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.fleet.get_mut(id) else {
            return;
        };
        target.latency.settled(now);
        let observation = target.answered(now, sent, success, report);
        self.saw(now, id, observation, out);
    }
}
