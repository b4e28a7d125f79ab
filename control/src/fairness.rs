//! Fair shares of a service's targets between workspaces while requests are queued.
//!
//! Load pattern: one to three workspaces send three to seven times their usual load. Without shares they
//! get targets in proportion to what they send, and the requests of all others wait behind theirs.
//!
//! The order is that of start-time fair queueing (Goyal, Vin, Cheng: Start-time Fair Queueing, SIGCOMM
//! 1996): a request has a start tag, the later of the virtual time and the finish tag of the previous
//! request of its workspace, and the smallest start tag is served first. Three things differ, for the
//! reasons in docs/design/workspaces.md: tags are given when a request is served, so that requests that
//! leave the queue take no share; the weight of a workspace is its usual rate at this entry; and requests
//! that get a target without being queued count too.

use std::time::Duration;

use lacewingmoor_bundle::WorkspaceName;

use crate::admission::{PendingRequest, Rank, Urgency};
use crate::selection::Estimate;
use crate::{Map, Timestamp};

/// Whose share a request takes: that of its workspace. Requests without a workspace share one.
pub type Flow = Option<WorkspaceName>;

/// Time in units of service that a flow of weight 1 gets; see [`COST_OF_WEIGHT_ONE`].
pub type VirtualTime = u64;

/// Virtual time that a request takes of a flow of weight 1.
const COST_OF_WEIGHT_ONE: f64 = 1e6;

/// Time constant of the usual rate of a flow. Long beside bursts of 3 to 7 s, which raise the usual rate
/// by a tenth of their excess.
const USUAL_RATE_TIME: Duration = Duration::from_secs(60);

/// Smallest weight, as a rate per second. Most workspaces send less than that to one entry; two requests
/// shortly after each other are no burst then.
const WEIGHT_MIN_PER_S: f64 = 1.0;

/// Time after the last queued request for which requests count towards the shares. A queue of a few
/// requests is often empty for a moment in the middle of a burst.
const CONTENTION_MEMORY: Duration = Duration::from_secs(1);

/// Number of requests by which a flow may be ahead of its share. Requests that overtake the queue may bring
/// it far ahead, and it would stay behind others for seconds after it is back to its usual load.
const DEBT_MAX: u64 = 8;

/// Number of requests by which a flow must be ahead of its share for its new requests to be queued.
const YIELD_AFTER: u64 = 1;

/// Time between two updates of the sum of all weights.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Rate below which a flow is forgotten, per second.
const FORGOTTEN_RATE_PER_S: f64 = 1e-4;

/// How a request got its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the queue.
    Queue,
    /// Without being queued.
    New,
}

/// Rate of a flow, averaged over [`USUAL_RATE_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct UsualRate {
    per_s: f64,
    updated_at: Timestamp,
}

impl UsualRate {
    fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.per_s * (-elapsed.as_secs_f64() / USUAL_RATE_TIME.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Timestamp) {
        self.per_s = self.at(now) + 1.0 / USUAL_RATE_TIME.as_secs_f64();
        self.updated_at = now;
    }

    fn weight(&self, now: Timestamp) -> f64 {
        self.at(now).max(WEIGHT_MIN_PER_S)
    }
}

/// Virtual time of the requests of one urgency.
#[derive(Clone, Debug, Default)]
struct Clock {
    now: VirtualTime,
    /// Finish tag of the last request of each flow.
    finish: Map<Flow, VirtualTime>,
}

impl Clock {
    fn start(&self, flow: &Flow) -> VirtualTime {
        let finish = self.finish.get(flow).copied().unwrap_or(0);
        finish.max(self.now)
    }
}

/// Shares of the flows of one service.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    clocks: Map<Urgency, Clock>,
    usual_rates: Map<Flow, UsualRate>,
    weight_sum: f64,
    refreshed_at: Option<Timestamp>,
    last_queued_at: Option<Timestamp>,
}

impl FairShares {
    /// Records that a request of the service arrived.
    pub fn record_arrival(&mut self, now: Timestamp, flow: &Flow) {
        match self.usual_rates.get_mut(flow) {
            Some(rate) => rate.record(now),
            None => {
                let mut rate = UsualRate::default();
                rate.record(now);
                self.usual_rates.insert(flow.clone(), rate);
                // Until the next update of the sum.
                self.weight_sum += WEIGHT_MIN_PER_S;
            }
        }
    }

    /// Records that requests are queued for the service.
    pub fn record_queued(&mut self, now: Timestamp) {
        if !self.is_contended(now) {
            self.clocks.clear();
        }
        self.last_queued_at = Some(now);
    }

    /// Records that a request got a target.
    pub fn record_send(&mut self, now: Timestamp, urgency: Urgency, flow: &Flow, origin: Origin) {
        if !self.is_contended(now) {
            return;
        }
        self.refresh(now);
        let cost = self.cost(now, flow);
        // What each flow gets of one request if all flows send as usual.
        let share = (COST_OF_WEIGHT_ONE / self.weight_sum) as VirtualTime;
        let clock = self.clocks.entry(urgency).or_default();
        let start = clock.start(flow);
        clock.now += share;
        if origin == Origin::Queue {
            clock.now = clock.now.max(start);
        }
        let latest = clock.now + DEBT_MAX * cost;
        clock
            .finish
            .insert(flow.clone(), (start + cost).min(latest));
    }

    /// Returns the rank of a request of a flow for a target with `expected_latency`.
    pub fn rank(
        &self,
        now: Timestamp,
        pending: &PendingRequest,
        flow: &Flow,
        expected_latency: Duration,
    ) -> Rank {
        let rank = pending.rank(now, expected_latency);
        let clock = self.clocks.get(&rank.urgency);
        Rank {
            start: clock.map_or(0, |clock| clock.start(flow)),
            ..rank
        }
    }

    /// Returns the number of `queued` requests that are served before `own`, given by their ranks and
    /// flows. A flow's later requests are ranked one service after the other.
    pub fn count_ahead<'a>(
        &self,
        now: Timestamp,
        queued: impl Iterator<Item = (Rank, &'a Flow)>,
        own: (Rank, &Flow),
    ) -> usize {
        let (own_rank, own_flow) = own;
        let (mut more_urgent, mut own_ahead) = (0, 0);
        let mut others: Map<&Flow, (VirtualTime, u64)> = Map::default();
        for (rank, flow) in queued {
            if rank.urgency < own_rank.urgency {
                more_urgent += 1;
            } else if rank.urgency == own_rank.urgency && flow == own_flow {
                own_ahead += u64::from(rank.deadline <= own_rank.deadline);
            } else if rank.urgency == own_rank.urgency {
                others.entry(flow).or_insert((rank.start, 0)).1 += 1;
            }
        }
        let own_start = own_rank.start + own_ahead * self.cost(now, own_flow);
        let ahead_of = |(flow, (start, count)): (&Flow, (VirtualTime, u64))| {
            let Some(gap) = own_start.checked_sub(start) else {
                return 0;
            };
            (gap / self.cost(now, flow) + 1).min(count)
        };
        let others_ahead: u64 = others.into_iter().map(ahead_of).sum();
        more_urgent + (own_ahead + others_ahead) as usize
    }

    /// Returns true if a new request with this rank is queued although it has found a target, which it
    /// leaves to queued requests.
    ///
    /// Load pattern: new requests take preferred targets at once, so a flow with many new requests would
    /// get targets in proportion to what it sends, however far it is ahead of its share. It gives up that
    /// advantage while requests are queued, or were a moment ago, as requests at other entries
    /// may wait for the same targets. Requests of other flows keep it: a queued request has had its
    /// probes, and a new one that waits is one more that becomes late.
    pub fn must_yield(&self, now: Timestamp, rank: &Rank, flow: &Flow) -> bool {
        let clock = self.clocks.get(&rank.urgency);
        let ahead = clock.map_or(0, |clock| clock.start(flow) - clock.now);
        self.is_contended(now) && ahead >= YIELD_AFTER * self.cost(now, flow)
    }

    /// Returns the index of the queued request that a target is assigned to.
    pub fn select_for_target<'a>(
        &self,
        now: Timestamp,
        estimate: &Estimate,
        accepted: impl Iterator<Item = (usize, &'a PendingRequest, &'a Flow)>,
    ) -> Option<usize> {
        let expected = estimate.expected_latency;
        let ranked =
            accepted.map(|(i, pending, flow)| (self.rank(now, pending, flow, expected), i));
        ranked.min().map(|(_, i)| i)
    }

    fn is_contended(&self, now: Timestamp) -> bool {
        let queued_at = self.last_queued_at;
        queued_at.is_some_and(|at| now.saturating_sub(at) <= CONTENTION_MEMORY)
    }

    /// Returns the virtual time that a request of a flow takes.
    fn cost(&self, now: Timestamp, flow: &Flow) -> VirtualTime {
        let rate = self.usual_rates.get(flow).copied().unwrap_or_default();
        (COST_OF_WEIGHT_ONE / rate.weight(now)) as VirtualTime
    }

    fn refresh(&mut self, now: Timestamp) {
        let is_due = |at: Timestamp| now.saturating_sub(at) >= REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(|at| !is_due(at)) {
            return;
        }
        self.refreshed_at = Some(now);
        self.usual_rates
            .retain(|_, rate| rate.at(now) >= FORGOTTEN_RATE_PER_S);
        let weights = self.usual_rates.values().map(|rate| rate.weight(now));
        self.weight_sum = weights.sum::<f64>().max(WEIGHT_MIN_PER_S);
    }
}
