//! Split of a route's requests among its destinations.
//!
//! Load pattern: routes split by weight. With up to three destinations, smooth weighted round robin
//! keeps the number of requests of each within one request of its share at every moment, which
//! independent random choices do not. With four or more the difference can be slightly greater,
//! such as 1.01 with weights 5, 90, 2, 90.

use lacewingmoor_bundle::{Destination, ServiceId};

/// Smooth weighted round robin over the destinations of one route.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    current_weights: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Chooses the destination of the next request. A change of the number of destinations resets
    /// the weights.
    pub fn next(&mut self, destinations: &[Destination]) -> Option<ServiceId> {
        if self.current_weights.len() != destinations.len() {
            self.current_weights = vec![0; destinations.len()];
        }
        let mut total = 0;
        let mut best: Option<usize> = None;
        for (i, destination) in destinations.iter().enumerate() {
            // At most `WEIGHT_MAX`, so that sums do not overflow.
            let weight = destination.weight as i64;
            if weight == 0 {
                continue;
            }
            total += weight;
            self.current_weights[i] += weight;
            if best.is_none_or(|b| self.current_weights[i] > self.current_weights[b]) {
                best = Some(i);
            }
        }
        let best = best?;
        self.current_weights[best] -= total;
        Some(destinations[best].service)
    }
}
