//! Zones in which the search for the target of a request probes: translates the state of the entry for
//! the decisions in `lacewingmoor_control::locality`.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::admission::scope_of_round;
use lacewingmoor_control::locality::{Place, Reason, Surroundings, Trip};
use lacewingmoor_control::model::{Target, TargetId, ZoneName};
use lacewingmoor_control::selection::{Estimate, Scope};
use lacewingmoor_control::view::View;
use rand::rngs::StdRng;

use crate::shared_state::SharedState;
use crate::target_search::{Candidate, PROBES_PER_ROUND, TargetProber, TargetSearch};

/// Targets of a round of probes.
pub(crate) struct Selected {
    /// Targets to probe.
    pub(crate) targets: Vec<Rc<Target>>,
    /// Why targets of their zone are probed.
    pub(crate) reason: Reason,
}

impl TargetSearch<'_> {
    /// Returns what leaving the zone costs the request; `None` if no zone weights are set.
    pub fn trip(&self, shared: &SharedState) -> Option<Trip> {
        let weights = shared.reloadable().bounds.zones.clone()?;
        let services = shared.services.borrow();
        let state = services.get(&self.service.name);
        let service_time = state.map_or(self.route().objective, |s| s.service_time.get());
        let response_bytes = state.map_or(0.0, |s| s.response_bytes);
        let on_time_until = self.pending.soft_deadline.saturating_sub(service_time);
        Some(Trip {
            weights,
            service_time,
            queue_wait: shared.queue.expected_wait(&self.service.name),
            bytes: self.body_bytes as f64 + response_bytes,
            slack: on_time_until.saturating_sub(shared.now()),
        })
    }
}

impl TargetProber<'_> {
    /// Returns what going to the zone of a candidate costs besides time.
    pub(crate) fn cost(&self, candidate: &Candidate) -> Duration {
        let place = place(self.shared, &candidate.target);
        self.trip
            .as_ref()
            .map_or(Duration::ZERO, |trip| trip.cost(place))
    }

    /// Returns the estimate of a candidate for this request, without the slot that targets of other
    /// zones may keep free.
    pub(crate) fn usable_estimate(&self, candidate: &Candidate) -> Estimate {
        if self.trip.is_none() {
            return candidate.estimate.clone();
        }
        let view = self.shared.view.borrow();
        let (target, estimate) = (&candidate.target, &candidate.estimate);
        self.selector()
            .usable_estimate(&view, self.bundle, target, estimate)
    }

    /// Selects the targets of a round of probes of a new request, of which the rounds before found
    /// `best`.
    pub(crate) fn select_round(&self, round: u32, best: Option<&Estimate>) -> Selected {
        let zone = self.trip.as_ref().and_then(|trip| {
            self.draw_zone(|around, now, rng| match round {
                1 => {
                    let mut services = self.shared.services.borrow_mut();
                    let state = services.get_mut(&self.service.name)?;
                    state.leave_shares.first_zone(now, trip, around, rng)
                }
                _ => around.next_zone(trip, round, trip.loss(best), rng),
            })
        });
        match zone {
            Some((zone, reason)) => Selected {
                targets: self.select_in_zone(&zone, PROBES_PER_ROUND),
                reason,
            },
            // Targets of last resort have no zone to choose.
            None => Selected {
                targets: self.select_targets(scope_of_round(round), PROBES_PER_ROUND),
                reason: Reason::Scope,
            },
        }
    }

    /// Selects targets for a request that has been queued for `waited`.
    pub(crate) fn select_for_queue(&self, waited: Duration, count: usize) -> Vec<Rc<Target>> {
        let zone = self.trip.as_ref().and_then(|trip| {
            self.draw_zone(|around, _, rng| around.next_zone(trip, u32::MAX, waited, rng))
        });
        match zone {
            Some((zone, _)) => self.select_in_zone(&zone, count),
            None => self.select_targets(Scope::AllRegions, count),
        }
    }

    fn draw_zone(
        &self,
        draw: impl FnOnce(&Surroundings<'_>, Timestamp, &mut StdRng) -> Option<(ZoneName, Reason)>,
    ) -> Option<(ZoneName, Reason)> {
        let shared = self.shared;
        let now = shared.now();
        let view = shared.view.borrow();
        let zones = self
            .selector()
            .zones(now, &view, &shared.target_stats.borrow());
        let limits = &shared.reloadable().retry;
        let requests_per_s = {
            let mut services = shared.services.borrow_mut();
            let state = services.get_mut(&self.service.name);
            state.map_or(0.0, |state| state.retry_budget.requests_per_s(now, limits))
        };
        let around = Surroundings {
            zones: &zones,
            view: &view,
            requests_per_s,
        };
        draw(&around, now, &mut shared.rng.borrow_mut())
    }

    fn select_in_zone(&self, zone: &ZoneName, count: usize) -> Vec<Rc<Target>> {
        let shared = self.shared;
        let view = shared.view.borrow();
        let target_stats = shared.target_stats.borrow();
        let mut rng = shared.rng.borrow_mut();
        let selector = self.selector();
        let ids =
            selector.select_in_zone(shared.now(), &view, &target_stats, zone, count, &mut *rng);
        targets_of(&view, &ids)
    }
}

/// Returns where a target is, seen from this entry.
pub fn place(shared: &SharedState, target: &Target) -> Place {
    shared.locality.place(&target.zone, &target.region)
}

pub(crate) fn targets_of(view: &View, ids: &[TargetId]) -> Vec<Rc<Target>> {
    let registered = ids.iter().filter_map(|id| view.target(id));
    registered.map(|r| r.target.clone()).collect()
}
