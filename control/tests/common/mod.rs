//! Shared parts of the tests: a small bundle and an entry that is driven by hand.
#![allow(dead_code)]

pub mod sim;

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{
    Bundle, Limits, Probe, Region, Route, Service, Target, Tenant, Zone, target_id,
};
use lacewingmoor_control::*;

pub const MS: Duration = Duration::from_millis(1);

/// Returns milliseconds as a duration.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Builds a bundle with two regions, three zones (`a`, `b` in the first) and one service.
pub fn bundle(version: u64, targets: &[(&str, usize)]) -> Bundle {
    let target = |(i, (name, zone)): (usize, &(&str, usize))| Target {
        id: target_id("pool", name),
        name: (*name).into(),
        addr: ([127, 0, 0, 1], 9000 + i as u16).into(),
        zone: *zone,
        region: zone / 2,
    };
    let zone = |(name, region): (&str, usize)| Zone {
        name: name.into(),
        region,
        in_service: true,
    };
    Bundle {
        version,
        digest: [version as u8; 32],
        store_region: 0,
        regions: ["north", "south"]
            .map(|name| Region { name: name.into() })
            .into(),
        zones: [("a", 0), ("b", 0), ("c", 1)].map(zone).into(),
        services: vec![Service {
            name: "pool".into(),
            slots: 4,
            cold_slots: 1,
            warmup: ms(1000),
            connections_max: 64,
            probe: None,
            targets: targets.iter().enumerate().map(target).collect(),
        }],
        routes: vec![
            route("find", "GET", "/find", true, None),
            route("book", "POST", "/book", false, None),
            route("home", "GET", "/home", true, Some(vec![0])),
            route("away", "GET", "/away", true, Some(vec![1])),
        ],
        tenants: ["club", "noisy"]
            .map(|name| Tenant {
                name: name.into(),
                share: 1,
                home_regions: None,
            })
            .into(),
        limits: Limits {
            tenant_header: "tenant".into(),
            head_bytes_max: 8192,
            queue_max: 4,
            retry_percent: 10,
            hedge_percent: 5,
            interregion_mbit_s: 100,
        },
    }
}

/// Adds probing with the given budget.
pub fn with_probe(mut bundle: Bundle, budget_permille: u32) -> Bundle {
    bundle.services[0].probe = Some(Probe {
        path: "/load".into(),
        cost: ms(6),
        budget_permille,
    });
    bundle
}

fn route(
    name: &str,
    method: &str,
    path: &str,
    idempotent: bool,
    home: Option<Vec<usize>>,
) -> Route {
    Route {
        name: name.into(),
        service: 0,
        methods: vec![method.into()],
        path_prefix: path.into(),
        idempotent,
        hedge: idempotent,
        weight: 1,
        deadline: ms(2000),
        body_bytes_max: 1000,
        home_regions: home,
    }
}

/// Builds the setup of the entry `name` in zone `a`.
pub fn setup(name: &str, policy: Policy) -> Setup {
    Setup {
        name: name.into(),
        zone: "a".into(),
        region: "north".into(),
        incarnation: 1,
        policy,
        seed: 7,
    }
}

/// Builds a VM list with entries of zone `a`.
pub fn vm_list(entries: &[&str], leaving_targets: &[&str]) -> Vec<Vm> {
    let vm = |name: &str, role, leaving| Vm {
        name: name.into(),
        role,
        zone: "a".into(),
        region: "north".into(),
        addr: ([127, 0, 0, 1], 7000).into(),
        leaving,
    };
    let entries = entries.iter().map(|e| vm(e, VmRole::Entry, false));
    let targets = leaving_targets
        .iter()
        .map(|t| vm(&format!("pool/{t}"), VmRole::Target, true));
    entries.chain(targets).collect()
}

/// An entry whose events are given by hand.
pub struct Entry {
    pub state: State,
    pub now: Duration,
}

impl Entry {
    /// Starts an entry with a bundle; its freshness is confirmed by a store answer.
    pub fn start(policy: Policy, bundle: Bundle) -> Self {
        let mut entry = Self {
            state: State::new(setup("e1", policy)),
            now: ms(10),
        };
        entry.apply(Event::VmList(vm_list(&["e1"], &[])));
        entry.apply(Event::Bundle(Arc::new(bundle)));
        entry.store_reached();
        entry
    }

    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.state.apply(self.now, event);
        for effect in &effects {
            assert!(!matches!(effect, Effect::Violation(_)), "{effect:?}");
        }
        effects
    }

    pub fn arrive(&mut self, request: RequestId, method: &str, path: &str) -> Vec<Effect> {
        self.arrive_as(request, method, path, None)
    }

    pub fn arrive_as(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        tenant: Option<&str>,
    ) -> Vec<Effect> {
        self.apply(Event::Arrived(Arrival {
            request,
            method: method.into(),
            path: path.into(),
            tenant: tenant.map(Into::into),
            body_bytes: Some(0),
            deadline: None,
            replayable: true,
        }))
    }

    pub fn head(&mut self, request: RequestId, attempt: Attempt) -> Vec<Effect> {
        self.apply(Event::Head {
            request,
            attempt,
            status: 200,
            report: None,
        })
    }

    pub fn ended(&mut self, request: RequestId, attempt: Attempt, outcome: Outcome) -> Vec<Effect> {
        self.apply(Event::Ended {
            request,
            attempt,
            outcome,
        })
    }

    /// Delivers an answer of the store that confirms the bundle in force.
    pub fn store_reached(&mut self) -> Vec<Effect> {
        let (version, digest) = self
            .state
            .bundle()
            .map_or((0, [0; 32]), |b| (b.version, b.digest));
        self.apply(Event::StoreReached {
            as_of: self.now,
            version,
            digest,
        })
    }

    /// Lets time pass and delivers the timers that become due.
    pub fn pass(&mut self, time: Duration) -> Vec<Effect> {
        let end = self.now + time;
        let mut effects = Vec::new();
        while let Some(at) = self.state.next_wakeup().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            effects.extend(self.apply(Event::Tick));
            self.now += MS;
        }
        self.now = self.now.max(end);
        effects.extend(self.store_reached());
        effects
    }
}

/// Returns the dispatches among effects.
pub fn dispatches(effects: &[Effect]) -> Vec<&Dispatch> {
    effects
        .iter()
        .filter_map(|e| match e {
            Effect::Dispatch(d) => Some(d),
            _ => None,
        })
        .collect()
}

/// Returns the refusal among effects.
pub fn refusal(effects: &[Effect]) -> Option<(Fate, Reason)> {
    effects.iter().find_map(|e| match e {
        Effect::Refuse(r) => Some((r.fate, r.reason)),
        _ => None,
    })
}
