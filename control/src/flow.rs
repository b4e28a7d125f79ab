//! The way of a request up to an attempt: arrival, queue, dispatch, refusal.

use std::time::Duration;

use crate::request::{Open, Request, Rules, Stage};
use crate::select::Choice;
use crate::{
    Arrival, Attempt, DecisionKind, Dispatch, Effect, Fate, GRANT_TTL, Policy, Reason, Refusal,
    RequestId, State, Timer,
};

/// Queued requests that are looked at in one pass over a queue whose head cannot be served.
const SCAN_MAX: usize = 32;

/// Time that a caller is asked to wait before it tries again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl State {
    pub(crate) fn arrived(&mut self, now: Duration, arrival: Arrival, out: &mut Vec<Effect>) {
        let id = arrival.request;
        let Some(bundle) = self.bundle().cloned() else {
            return self.turn_down(id, Reason::NoBundle, out);
        };
        let rules = Rules::find(
            &bundle,
            self.region,
            &arrival.method,
            &arrival.path,
            arrival.tenant.as_deref(),
        );
        let rules = match rules {
            Ok(rules) => rules,
            Err(reason) => return self.turn_down(id, reason, out),
        };
        if !self.members.fresh(now) {
            return self.turn_down(id, Reason::Isolated, out);
        }
        if arrival.body_bytes.is_some_and(|b| b > rules.body_bytes_max) {
            return self.turn_down(id, Reason::BodyTooLarge, out);
        }
        let limit = bundle.routes[rules.route].deadline;
        let deadline = now + arrival.deadline.map_or(limit, |d| d.min(limit));
        let service = &mut self.fleet.services[rules.service];
        service.retries.earn(bundle.limits.retry_percent);
        service.hedges.earn(bundle.limits.hedge_percent);
        service.arrived_at = now;
        self.timer(deadline, Timer::Deadline(id));
        let request = Request::new(now, deadline, arrival, rules);
        if let Some(earlier) = self.requests.insert(id, request) {
            self.violation("request_id_unique", format!("request {id}"), out);
            self.requests.insert(id, earlier);
            return;
        }
        self.place(now, id, "arrived", out);
    }

    /// Sends a request to a target, or queues it, or refuses it.
    pub(crate) fn place(
        &mut self,
        now: Duration,
        id: RequestId,
        cause: &'static str,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let service = request.rules.service;
        // Requests that wait go first, so that a newcomer does not take the slot they wait for.
        let waits = !self.fleet.services[service].queue.is_empty() && request.attempts == 0;
        let choice = if waits {
            Choice::Busy
        } else {
            self.choose(now, &request)
        };
        self.requests.insert(id, request);
        match choice {
            Choice::Target(index, reason) => {
                let reason = if cause == "arrived" { reason } else { cause };
                self.dispatch(now, id, index, reason, out);
            }
            Choice::Busy => {
                self.enqueue(now, id, out);
                self.pump(now, service, out);
            }
            Choice::Nowhere => self.give_up(now, id, Reason::NoTarget, out),
        }
    }

    fn enqueue(&mut self, now: Duration, id: RequestId, out: &mut Vec<Effect>) {
        let queue_max = self.bundle().map_or(0, |b| b.limits.queue_max);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let patience = self.overflow_patience(request.rules.service);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let rules = &request.rules;
        let service = &mut self.fleet.services[rules.service];
        let left = request.deadline.saturating_sub(now).as_secs_f64();
        let wait = service.drain_interval * service.queue.len() as f64;
        if !service.queue.is_empty() && wait + service.latency.mean().as_secs_f64() > left {
            return self.give_up(now, id, Reason::Deadline, out);
        }
        let patience = patience.saturating_sub(now.saturating_sub(request.arrived));
        let place = service
            .queue
            .push(id, rules.tenant, rules.share, rules.weight);
        request.stage = Stage::Queued(place);
        let spare = service
            .latency
            .mean()
            .min(request.deadline.saturating_sub(now) / 2);
        let last_call = request.deadline.saturating_sub(spare);
        service.queue_changed(now);
        let full = service.queue.len() > queue_max;
        let loser = service.queue.last();
        self.timer(last_call, Timer::Queued(id));
        if self.setup.policy == Policy::Credits {
            self.timer(now + patience, Timer::Overflow(id));
        }
        if full && let Some((_, loser)) = loser {
            self.give_up(now, loser, Reason::QueueFull, out);
            if loser == id {
                return;
            }
        }
        self.decide(
            DecisionKind::Queue,
            Some(id),
            None,
            None,
            "no_free_slot",
            out,
        );
    }

    /// Serves the queue of a service as far as slots are free.
    pub(crate) fn pump(&mut self, now: Duration, service: usize, out: &mut Vec<Effect>) {
        if !self.members.fresh(now) {
            return self.refuse_queued(now, service, Reason::Isolated, out);
        }
        let mut from = (0, 0);
        let mut scanned = 0;
        while let Some(place) = self.fleet.services[service].queue.next(from) {
            from = (place.0, place.1 + 1);
            let Some(request) = self.requests.remove(&place.1) else {
                self.fleet.services[service].queue.remove(place, false);
                continue;
            };
            let choice = self.choose(now, &request);
            self.requests.insert(place.1, request);
            match choice {
                Choice::Target(index, reason) => {
                    self.fleet.services[service].drained(now, place);
                    self.dispatch(now, place.1, index, reason, out);
                }
                Choice::Nowhere => self.give_up(now, place.1, Reason::NoTarget, out),
                Choice::Busy => scanned += 1,
            }
            if scanned >= SCAN_MAX {
                return;
            }
        }
    }

    fn refuse_queued(
        &mut self,
        now: Duration,
        service: usize,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        while let Some((_, id)) = self.fleet.services[service].queue.last() {
            self.give_up(now, id, reason, out);
        }
    }

    /// Returns the connections that this entry may have open to a target.
    fn connections_max(&self, index: usize) -> u32 {
        let service = self.fleet.targets[index].service;
        let all = self
            .bundle()
            .map_or(1, |b| b.services[service].connections_max);
        (all / self.fleet.entries_all()).max(1)
    }

    /// Returns the time after which an attempt that is decided now may not be sent any more.
    fn not_after(&self, now: Duration, index: usize) -> Duration {
        let target = &self.fleet.targets[index];
        match self.setup.policy {
            Policy::Credits if target.in_flight < target.credit.slots(now) => {
                target.credit.expires()
            }
            // Without a credit the entry still must not act long after it decided.
            _ => now + GRANT_TTL,
        }
    }

    /// Sends an attempt of a request to the target with this index.
    pub(crate) fn dispatch(
        &mut self,
        now: Duration,
        id: RequestId,
        index: usize,
        reason: &'static str,
        out: &mut Vec<Effect>,
    ) {
        if !self.check_dispatch(now, id, index, out) {
            return self.give_up(now, id, Reason::NoTarget, out);
        }
        let connections_max = self.connections_max(index);
        let not_after = self.not_after(now, index);
        let target = &mut self.fleet.targets[index];
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        request.stage = Stage::Running;
        request.open.push(Open {
            attempt: request.attempts,
            target: target.id,
            sent: now,
            head: false,
            cancelled: false,
        });
        target.in_flight += 1;
        target.latency.sent(now);
        let dispatch = Dispatch {
            request: id,
            attempt: request.attempts,
            target: target.id,
            addr: target.addr,
            not_after: not_after.min(request.deadline),
            deadline: request.deadline,
            body_bytes_max: request.rules.body_bytes_max,
            connections_max,
        };
        let attempt = Some(dispatch.attempt);
        let hedge = request.rules.hedge && request.attempts == 1 && request.arrival.replayable;
        let service = request.rules.service;
        if hedge
            && self.setup.policy == Policy::Credits
            && let Some(after) = self.fleet.services[service].latency.get()
        {
            self.timer(now + after, Timer::Hedge(id));
        }
        self.decide(
            DecisionKind::Dispatch,
            Some(id),
            attempt,
            Some(index),
            reason,
            out,
        );
        out.push(Effect::Dispatch(dispatch));
    }

    /// Refuses a request that is known; its open attempts are cancelled.
    pub(crate) fn give_up(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if matches!(request.stage, Stage::Over | Stage::Answered(_)) {
            return self.violation("ended_twice", format!("request {id} {reason:?}"), out);
        }
        if let Stage::Queued(place) = request.stage {
            let service = request.rules.service;
            self.fleet.services[service].queue.remove(place, false);
            self.fleet.services[service].queue_changed(now);
        }
        let ran = request.exposed > 0 || !request.open.is_empty();
        // The failure of an earlier attempt says more than that no other target was left.
        let reason = match (reason, request.failure) {
            (Reason::NoTarget, Some(failure)) => failure,
            (reason, _) => reason,
        };
        request.stage = Stage::Over;
        cancel_open(id, request, None, out);
        if request.open.is_empty() {
            self.requests.remove(&id);
        }
        let fate = if ran { Fate::Unknown } else { Fate::NotRun };
        self.refuse(id, fate, reason, out);
    }

    fn turn_down(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Effect>) {
        self.refuse(id, Fate::NotRun, reason, out);
    }

    fn refuse(&mut self, id: RequestId, fate: Fate, reason: Reason, out: &mut Vec<Effect>) {
        let busy = matches!(
            reason,
            Reason::NoBundle
                | Reason::QueueFull
                | Reason::Deadline
                | Reason::NoTarget
                | Reason::Isolated
                | Reason::Shed
        );
        let name = reason_name(reason);
        self.decide(DecisionKind::Refuse, Some(id), None, None, name, out);
        out.push(Effect::Refuse(Refusal {
            request: id,
            fate,
            reason,
            retry_after: (busy && fate == Fate::NotRun).then_some(RETRY_AFTER),
        }));
    }
}

/// Cancels the open attempts of a request except one.
pub(crate) fn cancel_open(
    id: RequestId,
    request: &mut Request,
    except: Option<Attempt>,
    out: &mut Vec<Effect>,
) {
    let others = request.open.iter_mut();
    for open in others.filter(|o| !o.cancelled && Some(o.attempt) != except) {
        open.cancelled = true;
        out.push(Effect::Cancel {
            request: id,
            attempt: open.attempt,
        });
    }
}

/// Returns the name of a reason for the decision log.
pub(crate) fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::NoBundle => "no_bundle",
        Reason::NoRoute => "no_route",
        Reason::UnknownTenant => "unknown_tenant",
        Reason::WrongRegion => "wrong_region",
        Reason::BodyTooLarge => "body_too_large",
        Reason::QueueFull => "queue_full",
        Reason::Deadline => "deadline",
        Reason::NoTarget => "no_target",
        Reason::Isolated => "isolated",
        Reason::Stopping => "stopping",
        Reason::ConnectFailed => "connect_failed",
        Reason::Shed => "shed",
        Reason::Broken => "broken",
        Reason::Timeout => "timeout",
    }
}
