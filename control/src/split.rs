//! Division of a route's requests among its destinations.
//!
//! Load pattern: routes split by weight. Smooth weighted round robin keeps each share within one
//! request of its weight at every moment, which independent random choices do not.

use lacewingmoor_bundle::{Destination, ServiceId};

/// State of one route's division.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credits: Vec<i64>,
}

impl Splitter {
    /// Chooses the destination of the next request. A change of the number of destinations starts
    /// the division anew.
    pub fn next(&mut self, destinations: &[Destination]) -> Option<ServiceId> {
        if self.credits.len() != destinations.len() {
            self.credits = vec![0; destinations.len()];
        }
        let mut total = 0;
        let mut best: Option<usize> = None;
        for (i, destination) in destinations.iter().enumerate() {
            let weight = i64::from(destination.weight);
            if weight == 0 {
                continue;
            }
            total += weight;
            self.credits[i] += weight;
            if best.is_none_or(|b| self.credits[i] > self.credits[b]) {
                best = Some(i);
            }
        }
        let best = best?;
        self.credits[best] -= total;
        Some(destinations[best].service)
    }
}
