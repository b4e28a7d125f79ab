//! Admission of requests: send now, probe further targets, or queue.
//!
//! Load pattern: a burst above the capacity of the targets. Work slows down on a target that is
//! nearly full, so targets serve fewer requests with every slot in use than with the last slots
//! free. A request in the queue of a target is bound to that target, and a target that is full may
//! reset the connection, after which a request that may run only once is lost. So a request is only
//! sent to a target that works at full speed. Otherwise it is queued in the entry, where it can go
//! to whichever target has capacity first.

use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};

use crate::Timestamp;
use crate::fairness::VirtualTime;
use crate::selection::{Estimate, Scope};
use crate::shutdown::SendWindow;

/// Share of the caller's remaining time after which a request may be retried that got no target in
/// time, or that targets rejected while others are queued. Callers honour a retry-after of up to a
/// third of that time.
const RETRY_AFTER_SHARE: f64 = 0.2;

/// Time after which a request may be retried that targets rejected while no other request is queued, or
/// that only other entries may send: a few round trips.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Requests that must be ahead in the queue before a request is refused for its expected wait.
const REFUSAL_AHEAD_MIN: usize = 3;

/// Weight of the newest gap in the mean gap between dequeues.
const GAP_SMOOTHING: f64 = 0.1;

/// Rounds of probes before a request is queued.
const ROUNDS_MAX: u32 = 3;

/// Returns the scope of a round of probes for a new request, counted from 1.
///
/// Load pattern: half of the targets are full or in a slow episode at any moment, so one in eight
/// requests finds no preferred target in its first round. Other targets of the own region are probed
/// next: a probe and a request to another region take several times as long, and most of them open a
/// connection.
pub fn scope_of_round(round: u32) -> Scope {
    match round < ROUNDS_MAX {
        true => Scope::Region,
        false => Scope::AllRegions,
    }
}

/// Priority of a request. That of the workspace goes before that of the route.
#[copy_value]
#[derive(Default)]
pub struct Priority {
    /// Priority of the workspace, 0 if the request has none; 0 is the most urgent.
    pub workspace: u64,
    /// Priority of the route; 0 is the most urgent.
    pub route: u64,
}

impl Priority {
    /// Returns the priority of a request without a workspace.
    pub fn of_route(route: u64) -> Self {
        Self {
            workspace: 0,
            route,
        }
    }
}

/// A request that needs a target.
#[value]
pub struct PendingRequest {
    /// Time by which the response must arrive to meet the latency objective.
    pub soft_deadline: Timestamp,
    /// Time at which the caller or the timeout of the route ends the request.
    pub hard_deadline: Timestamp,
    /// Priority of the request.
    pub priority: Priority,
    /// True if responses are large, so that sending them between regions costs more than a slow
    /// target.
    pub large_response: bool,
}

/// Times at which the limits that targets name allow this entry another send, in order.
#[value]
#[derive(Default)]
pub struct SendTimes {
    /// Of a request that can be on time.
    pub on_time: Vec<Timestamp>,
    /// Of a late request.
    pub late: Vec<Timestamp>,
    /// When the first of the targets comes back that decline requests for longer.
    pub returns_at: Option<Timestamp>,
}

impl SendTimes {
    /// Records when a target comes back that declines requests until then.
    pub fn record_return(&mut self, at: Timestamp) {
        let earliest = self.returns_at.map_or(at, |earliest| earliest.min(at));
        self.returns_at = Some(earliest);
    }
}

/// Position of a request among the queued requests of its service.
#[value]
pub struct QueuePosition {
    /// Queued requests before it in queue order.
    pub ahead: usize,
    /// All other queued requests.
    pub queued_count: usize,
    /// Requests that arrive per second.
    pub arrivals_per_s: f64,
}

/// What to do with a request after a round of probes.
#[value]
#[derive(Copy, Eq)]
pub enum AdmissionDecision {
    /// Send it to the target with the best estimate.
    Send,
    /// Probe further targets, in the scope of the next round.
    ProbeMore,
    /// Queue it until a target has capacity.
    Queue,
}

impl PendingRequest {
    /// Decides what to do after `rounds` rounds of probes; `best` is `None` if there is no
    /// estimate.
    pub fn decide(
        &self,
        now: Timestamp,
        rounds: u32,
        best: Option<&Estimate>,
    ) -> AdmissionDecision {
        let last_round = rounds >= ROUNDS_MAX;
        match best {
            // A new request takes a preferred target at once, even if it is late. On other targets
            // it leaves the reserve free if it is late, as queued requests do.
            Some(best) if best.preferred && !self.must_leave(now, best) => AdmissionDecision::Send,
            Some(best) if self.may_send_to(now, best) && (last_round || self.large_response) => {
                let on_time = now + best.expected_latency <= self.soft_deadline;
                // After the soft deadline, the request takes any target that it may be sent to.
                let deadline_passed = now >= self.soft_deadline;
                if on_time || deadline_passed || last_round {
                    AdmissionDecision::Send
                } else {
                    AdmissionDecision::ProbeMore
                }
            }
            _ if last_round => AdmissionDecision::Queue,
            _ => AdmissionDecision::ProbeMore,
        }
    }

    /// Returns true if the target is reserved for requests that can be on time, and this one cannot.
    fn must_leave(&self, now: Timestamp, estimate: &Estimate) -> bool {
        let rank = self.rank(now, estimate.expected_latency);
        estimate.reserved && matches!(rank.urgency, Urgency::Late(_))
    }

    /// Brings the hard deadline forward, so that the request leaves the queue when a shutdown lets it be
    /// sent no more.
    pub fn limit_to_window(&mut self, window: SendWindow, service_time: Duration) {
        let limit = match window {
            SendWindow::Open => return,
            SendWindow::Until(at) => at + service_time,
            SendWindow::Closed => Timestamp::ZERO,
        };
        self.hard_deadline = self.hard_deadline.min(limit);
    }

    /// Returns when the request leaves the queue, because no target could respond in the remaining
    /// time.
    pub fn queue_deadline(&self, service_time: Duration) -> Timestamp {
        self.hard_deadline.saturating_sub(service_time)
    }

    /// Checks whether the request may queue behind `ahead` others, at the current dequeue rate.
    ///
    /// # Errors
    ///
    /// Returns the expected wait if the turn of the request would come too late; the caller may
    /// retry after that time.
    pub fn check_queue_wait(
        &self,
        now: Timestamp,
        ahead: usize,
        dequeue_rate: &DequeueRate,
        service_time: Duration,
    ) -> Result<(), Duration> {
        // A short queue is no measure of the dequeue rate, and some requests have to wait to
        // measure it.
        if ahead < REFUSAL_AHEAD_MIN {
            return Ok(());
        }
        let wait = dequeue_rate.expected_wait(ahead + 1);
        if now + wait <= self.queue_deadline(service_time) {
            return Ok(());
        }
        Err(wait)
    }

    /// Checks whether the request gets one of `send_times`, the only times at which targets may get
    /// requests, from its position in the queue.
    ///
    /// Load pattern: all targets of a service name limits that are below the load. What exceeds them is
    /// refused at once, so that the caller can try another entry, and requests that are late do not
    /// wait for sends that others take while they are still on time.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry: soon if other entries have all sends, when the
    /// first target comes back if all decline requests for longer than the request can wait.
    pub fn check_send_times(
        &self,
        now: Timestamp,
        send_times: &SendTimes,
        position: &QueuePosition,
        service_time: Duration,
        caller_deadline: Timestamp,
    ) -> Result<(), Duration> {
        let on_time = send_times.on_time.get(position.ahead);
        if on_time.is_some_and(|at| at.saturating_add(service_time) <= self.soft_deadline) {
            return Ok(());
        }
        // Requests that arrive later and can be on time come first.
        let sends_before_late = |at: Timestamp| {
            let elapsed_s = at.saturating_sub(now).as_secs_f64();
            position.queued_count as f64 + position.arrivals_per_s * elapsed_s
        };
        let mut late = send_times.late.iter().enumerate();
        let is_served = late.any(|(sends, at)| {
            at.saturating_add(service_time) <= self.hard_deadline
                && sends as f64 >= sends_before_late(*at)
        });
        if is_served {
            return Ok(());
        }
        Err(
            match (send_times.on_time.is_empty(), send_times.returns_at) {
                // Callers with less time left come back first.
                (true, Some(at)) => at.saturating_sub(now) + retry_after(now, caller_deadline),
                (true, None) => REJECTED_RETRY_AFTER,
                (false, _) => retry_after(now, caller_deadline),
            },
        )
    }

    /// Returns true if the request may be sent to the target of the estimate.
    ///
    /// Load pattern: a burst leaves a queue of late requests in every entry, and each entry knows
    /// only its own queue. If late requests took the last slots, requests at other entries that
    /// could still be on time would become late in turn, long after the burst.
    pub fn may_send_to(&self, now: Timestamp, estimate: &Estimate) -> bool {
        match self.rank(now, estimate.expected_latency).urgency {
            Urgency::OnTime(_) => estimate.has_capacity,
            Urgency::Late(_) => estimate.has_spare_capacity && !estimate.reserved,
        }
    }

    /// Returns the time after which a caller may retry whose request was rejected by targets, with
    /// `queued_count` requests of the same service queued here.
    ///
    /// Load pattern: targets reject a part of the requests that they could serve, more than the
    /// retry budget makes up for. No request is queued then, so another target can serve the
    /// request at once; a caller that backed off as in a burst would be late.
    pub fn retry_after_rejection(
        &self,
        now: Timestamp,
        caller_deadline: Timestamp,
        queued_count: usize,
    ) -> Duration {
        match queued_count {
            0 => REJECTED_RETRY_AFTER,
            _ => retry_after(now, caller_deadline),
        }
    }

    /// Returns the rank of the request for a target with `expected_latency`, beside requests of the same
    /// workspace; [`crate::fairness::FairShares::rank`] returns it beside those of all.
    ///
    /// Requests that can still be on time come first, ordered by priority, by the share of their
    /// workspace and then by the least time left. Late requests get the remaining capacity, ordered by
    /// the priority and the share of their workspace and by the time at which they end. The priority of
    /// the route does not order them: a late request that is more urgent would be no less late.
    pub fn rank(&self, now: Timestamp, expected_latency: Duration) -> Rank {
        let (urgency, deadline) = match now + expected_latency <= self.soft_deadline {
            true => (Urgency::OnTime(self.priority), self.soft_deadline),
            false => (Urgency::Late(self.priority.workspace), self.hard_deadline),
        };
        Rank {
            urgency,
            start: 0,
            deadline,
        }
    }
}

/// Returns the time after which a caller may retry whose request got no target in time, or was rejected
/// by targets while others are queued. `caller_deadline` is when the caller times out, which may be
/// after the request's hard deadline.
pub fn retry_after(now: Timestamp, caller_deadline: Timestamp) -> Duration {
    caller_deadline
        .saturating_sub(now)
        .mul_f64(RETRY_AFTER_SHARE)
}

/// Whether a request can be on time, and its priority; the smallest is served first.
#[copy_value]
pub enum Urgency {
    /// Expected to meet the soft deadline.
    OnTime(Priority),
    /// Expected to miss the soft deadline; with the priority of the workspace.
    Late(u64),
}

/// Place of a request in queue order: the smallest is first and is served first. New requests are
/// also rated by it, see [`PendingRequest::may_send_to`].
#[copy_value]
pub struct Rank {
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Start tag of the next request of its workspace; 0 if it is compared with others of the same one.
    pub start: VirtualTime,
    /// Soft deadline, or hard deadline if it is late.
    pub deadline: Timestamp,
}

/// Returns the index of the queued request for which targets are probed in this turn.
///
/// Every second turn is for the first request in queue order, the other turns go to all requests in
/// turn. The first request may be one that no target may serve at the moment, such as one whose
/// home regions are out of service, and the requests behind it must not starve.
pub fn select_queued(ranks: &[Rank], turn: usize) -> Option<usize> {
    let first = (0..ranks.len()).min_by_key(|i| &ranks[*i])?;
    match turn % 2 {
        0 => Some(first),
        _ => Some(turn / 2 % ranks.len()),
    }
}

/// Rate at which queued requests get a target.
///
/// Load pattern: a queue that is longer than what can be served before its last request times out.
/// Requests at its end are refused at once instead of after their timeout, and the response says
/// when their turn would have come.
#[derive(Clone, Debug, Default)]
pub struct DequeueRate {
    mean_gap_s: Option<f64>,
    last_dequeue_at: Option<Timestamp>,
}

impl DequeueRate {
    /// Records that a queued request got a target; `remaining` others are still queued.
    pub fn record_dequeue(&mut self, now: Timestamp, remaining: usize) {
        if let Some(last_dequeue_at) = self.last_dequeue_at {
            let gap_s = now.saturating_sub(last_dequeue_at).as_secs_f64();
            let mean_s = self.mean_gap_s.unwrap_or(gap_s);
            self.mean_gap_s = Some(mean_s + (gap_s - mean_s) * GAP_SMOOTHING);
        }
        // With an empty queue, the time until the next dequeue is no measure of the targets.
        self.last_dequeue_at = (remaining > 0).then_some(now);
    }

    /// Returns the time until a request at `position` in the queue, counted from 1, gets a target.
    pub fn expected_wait(&self, position: usize) -> Duration {
        let gap_s = self.mean_gap_s.unwrap_or(0.0);
        Duration::from_secs_f64(gap_s * position as f64)
    }
}
