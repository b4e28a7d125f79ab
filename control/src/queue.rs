//! The local queue of a service, fair between tenants and kinds of requests.

use std::collections::BTreeMap;

use lacewingmoor_bundle::{Map, TenantId};

use crate::RequestId;

/// Virtual time that one request of share 1 and weight 1 costs.
const UNIT: u64 = 1 << 20;

/// Place of a request in the queue; lower places are served first.
pub(crate) type Place = (u64, RequestId);

/// Requests that wait, in order of virtual finish time: each flow advances by the reciprocal of
/// its share and weight, so that a flow with many requests does not delay the others.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Place, ()>,
    last: Map<(Option<TenantId>, u32), u64>,
    clock: u64,
}

impl Queue {
    /// Adds a request of a tenant with its share and the weight of its route.
    pub fn push(
        &mut self,
        request: RequestId,
        tenant: Option<TenantId>,
        share: u32,
        weight: u32,
    ) -> Place {
        let cost = UNIT / u64::from(share.max(1)) / u64::from(weight.max(1));
        let last = self.last.entry((tenant, weight)).or_insert(0);
        *last = self.clock.max(*last) + cost.max(1);
        let place = (*last, request);
        self.waiting.insert(place, ());
        place
    }

    /// Removes a request that is served or given up.
    pub fn remove(&mut self, place: Place, served: bool) {
        if self.waiting.remove(&place).is_some() && served {
            self.clock = self.clock.max(place.0);
        }
        if self.waiting.is_empty() {
            self.last.clear();
            self.clock = 0;
        }
    }

    /// Returns the first request at or after a place.
    pub fn next(&self, from: Place) -> Option<Place> {
        self.waiting.range(from..).next().map(|(place, ())| *place)
    }

    /// Returns the request that would be served last.
    pub fn last(&self) -> Option<Place> {
        self.waiting.last_key_value().map(|(place, ())| *place)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
