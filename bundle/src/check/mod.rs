//! Checks a raw bundle and builds the checked one. All faults are collected.

mod form;
mod rules;
mod text;

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::raw::{RawBundle, RawProbe, RawRoute, RawService, RawTarget, RawTenant, ZoneState};
use crate::{
    Bundle, Error, Fault, Limits, Probe, Region, RegionId, Route, Service, Target, Tenant, Version,
    Zone, target_id,
};

/// Greatest version that every JSON reader handles exactly. 0 stands for "no bundle in force".
const VERSION_MAX: Version = (1 << 53) - 1;

const SLOTS: RangeInclusive<u64> = 1..=10_000;
const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
const WARMUP_MS: RangeInclusive<u64> = 0..=3_600_000;
const PROBE_COST_MS: RangeInclusive<u64> = 1..=10_000;
const PERMILLE: RangeInclusive<u64> = 1..=1000;
const WEIGHT: RangeInclusive<u64> = 1..=10_000;
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
const BODY_BYTES: RangeInclusive<u64> = 0..=1 << 40;
const HEAD_BYTES: RangeInclusive<u64> = 1024..=1 << 20;
const QUEUE: RangeInclusive<u64> = 0..=1_000_000;
const PERCENT: RangeInclusive<u64> = 0..=100;
const MBIT_S: RangeInclusive<u64> = 0..=1_000_000;

impl Bundle {
    /// Reads and checks a bundle document.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every fault found.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        Self::try_from(RawBundle::from_yaml(text)?)
    }
}

impl TryFrom<RawBundle> for Bundle {
    type Error = Error;

    fn try_from(raw: RawBundle) -> Result<Self, Error> {
        let mut check = Check::default();
        let bundle = check.bundle(&raw);
        if check.faults.is_empty() {
            Ok(bundle)
        } else {
            Err(Error::Invalid(check.faults))
        }
    }
}

impl Fault {
    fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
            line: None,
            column: None,
        }
    }
}

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
    regions: Vec<Region>,
    zones: Vec<Zone>,
}

impl Check {
    fn fault(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault::new(path, message));
    }

    /// Notes the fault of a rule, if it found one.
    fn rule(&mut self, path: impl Into<String>, result: Result<(), String>) {
        if let Err(message) = result {
            self.fault(path, message);
        }
    }

    /// Narrows a number within its range; otherwise notes a fault and goes on with the least one.
    fn number<T: TryFrom<u64> + Default>(
        &mut self,
        path: impl Into<String>,
        value: u64,
        range: &RangeInclusive<u64>,
        unit: &str,
    ) -> T {
        let (min, max) = (*range.start(), *range.end());
        if !range.contains(&value) {
            let message = format!("{value} is out of range; use {min} to {max} {unit}");
            self.fault(path, message);
            return T::try_from(min).unwrap_or_default();
        }
        T::try_from(value).unwrap_or_default()
    }

    fn not_empty<T>(&mut self, path: impl Into<String>, items: &[T], what: &str) {
        if items.is_empty() {
            self.fault(path, format!("is empty; name at least one {what}"));
        }
    }

    fn bundle(&mut self, raw: &RawBundle) -> Bundle {
        let version = self.number("version", raw.version, &(1..=VERSION_MAX), "as version");
        self.places(raw);
        let store_region = self.region("store_region".into(), &raw.store_region);
        self.not_empty("services", &raw.services, "service");
        let mut services = Vec::with_capacity(raw.services.len());
        for (i, service) in raw.services.iter().enumerate() {
            services.push(self.service(&format!("services[{i}]"), service));
        }
        self.not_empty("routes", &raw.routes, "route");
        let mut routes = Vec::with_capacity(raw.routes.len());
        for (i, route) in raw.routes.iter().enumerate() {
            routes.push(self.route(&format!("routes[{i}]"), route, &services));
        }
        let mut tenants = Vec::with_capacity(raw.tenants.len());
        for (i, tenant) in raw.tenants.iter().enumerate() {
            tenants.push(self.tenant(&format!("tenants[{i}]"), tenant));
        }
        let mut bundle = Bundle {
            version,
            digest: [0; 32],
            store_region,
            regions: self.regions.clone(),
            zones: self.zones.clone(),
            services,
            routes,
            tenants,
            limits: self.limits(raw),
        };
        self.no_duplicates(raw, &bundle);
        if self.faults.is_empty() {
            self.home_regions_have_targets(&bundle);
        }
        bundle.digest = self.fits_the_store(raw);
        // The order that assembling from parts gives.
        bundle.routes.sort_by_key(|r| r.service);
        bundle
    }

    fn places(&mut self, raw: &RawBundle) {
        self.not_empty("regions", &raw.regions, "region");
        for (i, region) in raw.regions.iter().enumerate() {
            let at = format!("regions[{i}]");
            self.rule(format!("{at}.name"), text::name(&region.name));
            self.not_empty(format!("{at}.zones"), &region.zones, "zone");
            self.regions.push(Region {
                name: region.name.clone(),
            });
            for (j, zone) in region.zones.iter().enumerate() {
                self.rule(format!("{at}.zones[{j}].name"), text::name(&zone.name));
                self.zones.push(Zone {
                    name: zone.name.clone(),
                    region: i,
                    in_service: zone.state == ZoneState::In,
                });
            }
        }
        if !self.zones.is_empty() && self.zones.iter().all(|z| !z.in_service) {
            self.fault("regions", "every zone is out; keep at least one zone in");
        }
    }

    fn region(&mut self, path: String, name: &str) -> RegionId {
        match self.regions.iter().position(|r| r.name == name) {
            Some(id) => id,
            None => {
                let known: Vec<&str> = self.regions.iter().map(|r| r.name.as_str()).collect();
                let message = format!("no region is named {name:?}; {}", one_of(&known));
                self.fault(path, message);
                0
            }
        }
    }

    fn home_regions(&mut self, at: &str, names: Option<&Vec<String>>) -> Option<Vec<RegionId>> {
        let names = names?;
        if names.is_empty() {
            let message = "is empty; name a region, or leave the field out to allow every region";
            self.fault(format!("{at}.home_regions"), message);
        }
        let mut ids = Vec::with_capacity(names.len());
        for (i, name) in names.iter().enumerate() {
            let path = format!("{at}.home_regions[{i}]");
            ids.push(self.region(path, name));
        }
        let paths = names.iter().enumerate();
        self.unique(
            "region",
            paths.map(|(i, name)| (name, format!("{at}.home_regions[{i}]"))),
        );
        Some(ids)
    }

    fn service(&mut self, at: &str, raw: &RawService) -> Service {
        self.rule(format!("{at}.name"), text::name(&raw.name));
        let slots = self.number(format!("{at}.slots"), raw.slots, &SLOTS, "requests");
        // With no slot while cold a target could never prove that it is warm.
        let cold_slots = self.number(
            format!("{at}.cold_slots"),
            raw.cold_slots,
            &(1..=u64::from(slots)),
            "requests, not more than slots",
        );
        let connections_max = self.number(
            format!("{at}.connections_max"),
            raw.connections_max,
            &CONNECTIONS,
            "connections",
        );
        if connections_max < slots {
            let message = format!("{connections_max} is less than slots; use at least {slots}");
            self.fault(format!("{at}.connections_max"), message);
        }
        let warmup_ms = self.number(format!("{at}.warmup_ms"), raw.warmup_ms, &WARMUP_MS, "ms");
        let probe = raw
            .probe
            .as_ref()
            .map(|p| self.probe(&format!("{at}.probe"), p));
        self.not_empty(format!("{at}.targets"), &raw.targets, "target");
        let mut targets = Vec::with_capacity(raw.targets.len());
        for (i, target) in raw.targets.iter().enumerate() {
            targets.push(self.target(&format!("{at}.targets[{i}]"), target, &raw.name));
        }
        Service {
            name: raw.name.clone(),
            slots,
            cold_slots,
            warmup: Duration::from_millis(warmup_ms),
            connections_max,
            probe,
            targets,
        }
    }

    fn probe(&mut self, at: &str, raw: &RawProbe) -> Probe {
        self.rule(format!("{at}.path"), text::path(&raw.path));
        let cost_ms = self.number(format!("{at}.cost_ms"), raw.cost_ms, &PROBE_COST_MS, "ms");
        Probe {
            path: raw.path.clone(),
            cost: Duration::from_millis(cost_ms),
            budget_permille: self.number(
                format!("{at}.budget_permille"),
                raw.budget_permille,
                &PERMILLE,
                "thousandths; leave probe out to send none",
            ),
        }
    }

    fn target(&mut self, at: &str, raw: &RawTarget, service: &str) -> Target {
        self.rule(format!("{at}.name"), text::name(&raw.name));
        let addr = text::addr(&raw.addr).unwrap_or_else(|message| {
            self.fault(format!("{at}.addr"), message);
            SocketAddr::from(([0, 0, 0, 0], 0))
        });
        let zone = self.zones.iter().position(|z| z.name == raw.zone);
        if zone.is_none() {
            let known: Vec<&str> = self.zones.iter().map(|z| z.name.as_str()).collect();
            let message = format!("no zone is named {:?}; {}", raw.zone, one_of(&known));
            self.fault(format!("{at}.zone"), message);
        }
        Target {
            id: target_id(service, &raw.name),
            name: raw.name.clone(),
            addr,
            zone: zone.unwrap_or(0),
            region: zone.map_or(0, |z| self.zones[z].region),
        }
    }

    fn route(&mut self, at: &str, raw: &RawRoute, services: &[Service]) -> Route {
        self.rule(format!("{at}.name"), text::name(&raw.name));
        let service = services.iter().position(|s| s.name == raw.service);
        if service.is_none() {
            let message = format!(
                "no service is named {:?}; add it under services",
                raw.service
            );
            self.fault(format!("{at}.service"), message);
        }
        self.not_empty(format!("{at}.methods"), &raw.methods, "method");
        for (i, method) in raw.methods.iter().enumerate() {
            self.rule(format!("{at}.methods[{i}]"), text::method(method));
        }
        self.rule(format!("{at}.path_prefix"), text::path(&raw.path_prefix));
        if raw.hedge && !raw.idempotent {
            let message = "a hedge may run the request twice; set hedge: false or idempotent: true";
            self.fault(format!("{at}.hedge"), message);
        }
        let deadline_ms = self.number(
            format!("{at}.deadline_ms"),
            raw.deadline_ms,
            &DEADLINE_MS,
            "ms",
        );
        Route {
            name: raw.name.clone(),
            service: service.unwrap_or(0),
            methods: raw.methods.clone(),
            path_prefix: raw.path_prefix.clone(),
            idempotent: raw.idempotent,
            hedge: raw.hedge,
            weight: self.number(format!("{at}.weight"), raw.weight, &WEIGHT, "as weight"),
            deadline: Duration::from_millis(deadline_ms),
            body_bytes_max: self.number(
                format!("{at}.body_bytes_max"),
                raw.body_bytes_max,
                &BODY_BYTES,
                "bytes",
            ),
            home_regions: self.home_regions(at, raw.home_regions.as_ref()),
        }
    }

    fn tenant(&mut self, at: &str, raw: &RawTenant) -> Tenant {
        self.rule(format!("{at}.name"), text::tenant(&raw.name));
        Tenant {
            name: raw.name.clone(),
            share: self.number(format!("{at}.share"), raw.share, &WEIGHT, "as share"),
            home_regions: self.home_regions(at, raw.home_regions.as_ref()),
        }
    }

    fn limits(&mut self, raw: &RawBundle) -> Limits {
        let raw = &raw.limits;
        self.rule("limits.tenant_header", text::header(&raw.tenant_header));
        let mut number = |field: &str, value, range, unit| -> u32 {
            self.number(format!("limits.{field}"), value, range, unit)
        };
        Limits {
            head_bytes_max: number("head_bytes_max", raw.head_bytes_max, &HEAD_BYTES, "bytes")
                as usize,
            queue_max: number("queue_max", raw.queue_max, &QUEUE, "requests") as usize,
            retry_percent: number("retry_percent", raw.retry_percent, &PERCENT, "percent"),
            hedge_percent: number("hedge_percent", raw.hedge_percent, &PERCENT, "percent"),
            interregion_mbit_s: number(
                "interregion_mbit_s",
                raw.interregion_mbit_s,
                &MBIT_S,
                "Mbit/s",
            ),
            tenant_header: raw.tenant_header.clone(),
        }
    }
}

/// Advises on a name that is not known.
fn one_of(names: &[&str]) -> String {
    match names {
        [] => "add it under regions".into(),
        [one] => format!("add it under regions or use {one}"),
        [rest @ .., last] => {
            format!("add it under regions or use {} or {last}", rest.join(", "))
        }
    }
}
