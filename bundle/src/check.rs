//! Checks a raw bundle and builds the checked one. All faults are collected.

use std::net::SocketAddr;
use std::time::Duration;

use crate::raw::{RawBundle, RawProbe, RawRoute, RawService, RawTenant, ZoneState};
use crate::{
    Bundle, Error, Fault, Limits, Probe, Region, RegionId, Route, Service, Target, Tenant, Zone,
    target_id,
};

impl RawBundle {
    /// Reads a bundle document without checking it beyond its form.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the text is not YAML of a bundle's form.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        serde_yaml_ng::from_str(text).map_err(|e| {
            let at = e.location();
            Error::Invalid(vec![Fault {
                path: String::new(),
                message: e.to_string(),
                line: at.as_ref().map(serde_yaml_ng::Location::line),
                column: at.as_ref().map(serde_yaml_ng::Location::column),
            }])
        })
    }
}

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

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
    regions: Vec<Region>,
    zones: Vec<Zone>,
}

impl Check {
    fn fault(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault {
            path: path.into(),
            message: message.into(),
            line: None,
            column: None,
        });
    }

    /// Narrows an integer; on overflow notes a fault and goes on with zero.
    fn int<T: TryFrom<u64> + Default>(&mut self, path: String, value: u64) -> T {
        T::try_from(value).unwrap_or_else(|_| {
            self.fault(path, format!("{value} is too large"));
            T::default()
        })
    }

    fn bundle(&mut self, raw: &RawBundle) -> Bundle {
        for (i, region) in raw.regions.iter().enumerate() {
            self.regions.push(Region {
                name: region.name.clone(),
            });
            for zone in &region.zones {
                self.zones.push(Zone {
                    name: zone.name.clone(),
                    region: i,
                    in_service: zone.state == ZoneState::In,
                });
            }
        }
        let store_region = self.region("store_region".into(), &raw.store_region);
        let mut services = Vec::with_capacity(raw.services.len());
        for (i, service) in raw.services.iter().enumerate() {
            services.push(self.service(&format!("services[{i}]"), service));
        }
        let mut routes = Vec::with_capacity(raw.routes.len());
        for (i, route) in raw.routes.iter().enumerate() {
            routes.push(self.route(&format!("routes[{i}]"), route, &services));
        }
        let mut tenants = Vec::with_capacity(raw.tenants.len());
        for (i, tenant) in raw.tenants.iter().enumerate() {
            tenants.push(self.tenant(&format!("tenants[{i}]"), tenant));
        }
        Bundle {
            version: raw.version,
            digest: raw.split().0.digest(),
            store_region,
            regions: self.regions.clone(),
            zones: self.zones.clone(),
            services,
            routes,
            tenants,
            limits: self.limits(raw),
        }
    }

    fn region(&mut self, path: String, name: &str) -> RegionId {
        match self.regions.iter().position(|r| r.name == name) {
            Some(id) => id,
            None => {
                self.fault(path, format!("no region is named {name}"));
                0
            }
        }
    }

    fn home_regions(&mut self, at: &str, names: Option<&Vec<String>>) -> Option<Vec<RegionId>> {
        let names = names?.iter().enumerate();
        Some(
            names
                .map(|(i, name)| self.region(format!("{at}.home_regions[{i}]"), name))
                .collect(),
        )
    }

    fn service(&mut self, at: &str, raw: &RawService) -> Service {
        let mut targets = Vec::with_capacity(raw.targets.len());
        for (i, target) in raw.targets.iter().enumerate() {
            let at = format!("{at}.targets[{i}]");
            let addr = target.addr.parse().unwrap_or_else(|_| {
                let message = format!("{} is not IP:PORT, such as 10.0.0.1:80", target.addr);
                self.fault(format!("{at}.addr"), message);
                SocketAddr::from(([0, 0, 0, 0], 0))
            });
            let zone = self.zones.iter().position(|z| z.name == target.zone);
            if zone.is_none() {
                let message = format!("no zone is named {}", target.zone);
                self.fault(format!("{at}.zone"), message);
            }
            targets.push(Target {
                id: target_id(&raw.name, &target.name),
                name: target.name.clone(),
                addr,
                zone: zone.unwrap_or(0),
                region: zone.map_or(0, |z| self.zones[z].region),
            });
        }
        Service {
            name: raw.name.clone(),
            slots: self.int(format!("{at}.slots"), raw.slots),
            cold_slots: self.int(format!("{at}.cold_slots"), raw.cold_slots),
            warmup: Duration::from_millis(raw.warmup_ms),
            connections_max: self.int(format!("{at}.connections_max"), raw.connections_max),
            probe: raw.probe.as_ref().map(|p| self.probe(at, p)),
            targets,
        }
    }

    fn probe(&mut self, at: &str, raw: &RawProbe) -> Probe {
        Probe {
            path: raw.path.clone(),
            cost: Duration::from_millis(raw.cost_ms),
            budget_permille: self.int(format!("{at}.probe.budget_permille"), raw.budget_permille),
        }
    }

    fn route(&mut self, at: &str, raw: &RawRoute, services: &[Service]) -> Route {
        let service = services.iter().position(|s| s.name == raw.service);
        if service.is_none() {
            let message = format!("no service is named {}", raw.service);
            self.fault(format!("{at}.service"), message);
        }
        Route {
            name: raw.name.clone(),
            service: service.unwrap_or(0),
            methods: raw.methods.clone(),
            path_prefix: raw.path_prefix.clone(),
            idempotent: raw.idempotent,
            hedge: raw.hedge,
            weight: self.int(format!("{at}.weight"), raw.weight),
            deadline: Duration::from_millis(raw.deadline_ms),
            body_bytes_max: raw.body_bytes_max,
            home_regions: self.home_regions(at, raw.home_regions.as_ref()),
        }
    }

    fn tenant(&mut self, at: &str, raw: &RawTenant) -> Tenant {
        Tenant {
            name: raw.name.clone(),
            share: self.int(format!("{at}.share"), raw.share),
            home_regions: self.home_regions(at, raw.home_regions.as_ref()),
        }
    }

    fn limits(&mut self, raw: &RawBundle) -> Limits {
        let raw = &raw.limits;
        Limits {
            tenant_header: raw.tenant_header.clone(),
            head_bytes_max: self.int("limits.head_bytes_max".into(), raw.head_bytes_max),
            queue_max: self.int("limits.queue_max".into(), raw.queue_max),
            retry_percent: self.int("limits.retry_percent".into(), raw.retry_percent),
            hedge_percent: self.int("limits.hedge_percent".into(), raw.hedge_percent),
            interregion_mbit_s: self
                .int("limits.interregion_mbit_s".into(), raw.interregion_mbit_s),
        }
    }
}
