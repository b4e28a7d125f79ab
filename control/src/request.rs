//! A request from its arrival to its end, and the rules that apply to it.

use std::time::Duration;

use lacewingmoor_bundle::{Bundle, RegionId, RouteId, TargetId, TenantId};

use crate::queue::Place;
use crate::{Arrival, Attempt, Reason};

/// Set of regions as a bit mask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Regions(u64);

impl Regions {
    /// Returns the regions allowed by a list; `None` allows all.
    fn of(list: Option<&Vec<RegionId>>) -> Self {
        match list {
            None => Self(u64::MAX),
            Some(list) => Self(
                list.iter()
                    .filter(|r| **r < 64)
                    .fold(0, |mask, r| mask | 1 << r),
            ),
        }
    }

    /// True if the region is in the set. Regions beyond the mask are in no restricted set.
    pub fn has(self, region: RegionId) -> bool {
        if region < 64 {
            self.0 & (1 << region) != 0
        } else {
            self.0 == u64::MAX
        }
    }
}

/// Rules of a request under one bundle.
#[derive(Clone, Debug)]
pub(crate) struct Rules {
    pub route: RouteId,
    pub service: usize,
    pub tenant: Option<TenantId>,
    pub share: u32,
    pub weight: u32,
    pub idempotent: bool,
    pub hedge: bool,
    pub home: Regions,
    pub body_bytes_max: u64,
    /// True if the bundle in force has no rules for the request any more.
    pub orphaned: bool,
}

impl Rules {
    /// Finds the rules for a method, path and tenant at an entry of region `here`.
    pub fn find(
        bundle: &Bundle,
        here: Option<RegionId>,
        method: &str,
        path: &str,
        tenant: Option<&str>,
    ) -> Result<Self, Reason> {
        let id = bundle.route(method, path).ok_or(Reason::NoRoute)?;
        let tenant = match tenant {
            None => None,
            Some(name) => Some(bundle.tenant(name).ok_or(Reason::UnknownTenant)?),
        };
        let rules = Self::new(bundle, id, tenant);
        let restricted = rules.home != Regions::of(None);
        if restricted && !here.is_some_and(|r| rules.home.has(r)) {
            return Err(Reason::WrongRegion);
        }
        Ok(rules)
    }

    fn new(bundle: &Bundle, id: RouteId, tenant: Option<TenantId>) -> Self {
        let route = &bundle.routes[id];
        let owner = tenant.map(|t| &bundle.tenants[t]);
        let by_route = Regions::of(route.home_regions.as_ref());
        let by_tenant = Regions::of(owner.and_then(|t| t.home_regions.as_ref()));
        Self {
            route: id,
            service: route.service,
            tenant,
            share: owner.map_or(1, |t| t.share),
            weight: route.weight,
            idempotent: route.idempotent,
            hedge: route.hedge && route.idempotent,
            home: Regions(by_route.0 & by_tenant.0),
            body_bytes_max: route.body_bytes_max,
            orphaned: false,
        }
    }

    /// Marks a request that the bundle in force has no rules for; `service` has no targets.
    pub fn orphan(&mut self, service: usize) {
        self.orphaned = true;
        self.route = RouteId::MAX;
        self.service = service;
    }
}

/// An attempt that occupies a target.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub attempt: Attempt,
    pub target: TargetId,
    pub sent: Duration,
    pub head: bool,
    pub cancelled: bool,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// In the queue of its service.
    Queued(Place),
    /// At least one attempt is open and none has answered.
    Running,
    /// The attempt has answered; its answer is passed on.
    Answered(Attempt),
    /// The caller has its answer or is gone; open attempts are being cancelled.
    Over,
}

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub arrival: Arrival,
    pub rules: Rules,
    pub arrived: Duration,
    pub deadline: Duration,
    pub stage: Stage,
    pub open: Vec<Open>,
    pub attempts: Attempt,
    /// Attempts that ended after bytes of the request may have reached a target.
    pub exposed: u32,
    /// Targets that did not run the request when asked.
    pub tried: Vec<TargetId>,
    /// Why the last attempt failed.
    pub failure: Option<Reason>,
}

impl Request {
    /// Creates a request that has just arrived.
    pub fn new(now: Duration, deadline: Duration, arrival: Arrival, rules: Rules) -> Self {
        Self {
            arrival,
            rules,
            arrived: now,
            deadline,
            stage: Stage::Running,
            open: Vec::new(),
            attempts: 0,
            exposed: 0,
            tried: Vec::new(),
            failure: None,
        }
    }

    /// True if another attempt may start with regard to what earlier ones may have done;
    /// `resend_unsafe` is the fault that leaves this out of account.
    pub fn may_send(&self, resend_unsafe: bool) -> bool {
        let again = self.attempts == 0 || self.arrival.replayable;
        let safe =
            resend_unsafe || self.rules.idempotent || (self.exposed == 0 && self.open.is_empty());
        again && safe && !self.rules.orphaned
    }
}
