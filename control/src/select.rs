//! Choice of a target for a request.

use std::time::Duration;

use rand::RngExt as _;

use crate::request::Request;
use crate::target::Target;
use crate::{Policy, State};

/// Whether a target can take a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// The target with this index, for the reason given.
    Target(usize, &'static str),
    /// Targets are allowed but none has a free slot for this entry.
    Busy,
    /// No target may take the request.
    Nowhere,
}

impl State {
    /// Chooses a target for a request.
    pub(crate) fn choose(&mut self, _now: Duration, request: &Request) -> Choice {
        match self.setup.policy {
            Policy::Random => self.choose_random(request, 1),
            Policy::TwoChoices => self.choose_random(request, 2),
            Policy::StaticShare => self.choose_static(request),
            Policy::Credits => self.choose_static(request),
        }
    }

    /// True if rules allow the target and the request was not turned down by it before.
    pub(crate) fn allowed(target: &Target, request: &Request) -> bool {
        target.open()
            && request.rules.home.has(target.region)
            && !request.tried.contains(&target.id)
            && !request.open.iter().any(|o| o.target == target.id)
    }

    /// Returns the allowed targets of a service, those of this entry's region if there are any.
    fn candidates(&self, request: &Request) -> Vec<usize> {
        let range = self.fleet.services[request.rules.service].targets.clone();
        let allowed: Vec<usize> = range
            .filter(|i| Self::allowed(&self.fleet.targets[*i], request))
            .collect();
        let near: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|i| Some(self.fleet.targets[*i].region) == self.region)
            .collect();
        if near.is_empty() { allowed } else { near }
    }

    fn choose_random(&mut self, request: &Request, draws: usize) -> Choice {
        let candidates = self.candidates(request);
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        let mut best = candidates[self.rng.random_range(0..candidates.len())];
        for _ in 1..draws {
            let other = candidates[self.rng.random_range(0..candidates.len())];
            if self.fleet.targets[other].in_flight < self.fleet.targets[best].in_flight {
                best = other;
            }
        }
        let reason = if draws == 1 { "random" } else { "two_choices" };
        Choice::Target(best, reason)
    }

    fn choose_static(&mut self, request: &Request) -> Choice {
        let candidates = self.candidates(request);
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        let entries = self.fleet.entries_of(&self.setup.region);
        let offset = self.rng.random_range(0..candidates.len());
        let (after, before) = candidates.split_at(offset);
        let free = before
            .iter()
            .chain(after)
            .copied()
            .map(|i| (self.fleet.targets[i].in_flight, i))
            .filter(|(busy, i)| *busy < (self.fleet.targets[*i].slots / entries).max(1))
            .min_by_key(|(busy, _)| *busy);
        match free {
            Some((_, i)) => Choice::Target(i, "static_share"),
            None => Choice::Busy,
        }
    }
}
