//! Bundles and mixes that tests and examples share.

use http::Method;

use super::{BundleSpec, Probe, Route, Service};
use crate::load::Kind;

impl BundleSpec {
    /// Creates a bundle of one region with two zones, `oberland-a` and `oberland-b`, and three
    /// services without targets: `lanes` (look-ups), `bookings` (not idempotent) and `archive`
    /// (downloads). Each has a route of the same name.
    pub fn two_zones() -> Self {
        let route = |name: &str, methods, idempotent, weight| Route {
            name: name.into(),
            service: name.into(),
            methods,
            idempotent,
            hedge: false,
            weight,
            deadline_ms: 5000,
            home_regions: None,
        };
        Self {
            store_region: "oberland".into(),
            regions: vec![(
                "oberland".into(),
                vec!["oberland-a".into(), "oberland-b".into()],
            )],
            services: ["lanes", "bookings", "archive"].map(Service::new).into(),
            routes: vec![
                route("lanes", "GET", true, 1),
                route("bookings", "POST", false, 5),
                route("archive", "GET", true, 2),
            ],
            queue_max: 500,
            hedge_percent: 5,
            ..Self::default()
        }
    }
}

impl Service {
    /// Creates a service with 4 slots, 1 of them when cold, that is probed within 2% of its slot
    /// time.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            slots: 4,
            cold_slots: 1,
            warmup_ms: 500,
            probe: Some(Probe {
                cost_ms: 6,
                budget_permille: 20,
            }),
            targets: Vec::new(),
        }
    }
}

/// Returns a mix of requests for [`BundleSpec::two_zones`]: mostly look-ups, some bookings, a few
/// downloads.
pub fn mix() -> Vec<Kind> {
    vec![
        Kind {
            share: 8.0,
            ..Kind::get("lookup", "/lanes/1")
        },
        Kind {
            method: Method::POST,
            share: 2.0,
            weight: 5,
            body_bytes: Some(200),
            ..Kind::get("booking", "/bookings")
        },
        Kind {
            share: 0.5,
            weight: 2,
            answer_bytes: Some(200_000),
            ..Kind::get("download", "/archive/plan")
        },
    ]
}
