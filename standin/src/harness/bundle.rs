//! Bundles written as operators write them.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Contents of a bundle.
#[derive(Clone, Debug, Default)]
pub struct BundleSpec {
    /// Region that holds the store.
    pub store_region: String,
    /// Regions and their zones.
    pub regions: Vec<(String, Vec<String>)>,
    /// Zones that are out of service.
    pub zones_out: BTreeSet<String>,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Requests that one entry queues per service.
    pub queue_max: u32,
    /// Hedges allowed per 100 requests.
    pub hedge_percent: u32,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Requests that a warm target runs at a time.
    pub slots: u32,
    /// Requests that a cold target bears.
    pub cold_slots: u32,
    /// Time over which a cold target is brought to full load.
    pub warmup_ms: u64,
    /// Probing of `/load`, if any.
    pub probe: Option<Probe>,
    /// Name, zone and address of each target.
    pub targets: Vec<(String, String, SocketAddr)>,
}

/// Probing of a service.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Time that a probe occupies a slot.
    pub cost_ms: u64,
    /// Share of the slot time for probes, in 1/1000.
    pub budget_permille: u32,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name; the path prefix is `/<name>`.
    pub name: String,
    /// Service that answers.
    pub service: String,
    /// Methods, separated by commas.
    pub methods: &'static str,
    /// True if a request may run twice.
    pub idempotent: bool,
    /// True if requests may be hedged.
    pub hedge: bool,
    /// Weight of an answered request.
    pub weight: u64,
    /// Time until the head of the answer.
    pub deadline_ms: u64,
    /// Home regions, if any.
    pub home_regions: Option<Vec<String>>,
}

impl BundleSpec {
    /// Returns the region of a zone.
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions
            .iter()
            .find(|(_, zones)| zones.iter().any(|z| z == zone))
            .map_or("", |(region, _)| region)
    }

    /// Writes the bundle as YAML.
    pub fn yaml(&self, version: u64) -> String {
        let mut text = format!(
            "version: {version}\nstore_region: {}\nregions:\n",
            self.store_region
        );
        // Writing to a string never fails.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        for (region, zones) in &self.regions {
            writeln!(text, "  - name: {region}\n    zones:")?;
            for zone in zones {
                let out = self.zones_out.contains(zone);
                let state = if out { "out" } else { "in" };
                writeln!(text, "      - {{ name: {zone}, state: {state} }}")?;
            }
        }
        writeln!(text, "services:")?;
        for service in &self.services {
            service.write(text)?;
        }
        writeln!(text, "routes:")?;
        for route in &self.routes {
            route.write(text)?;
        }
        writeln!(
            text,
            "limits:\n  tenant_header: tenant\n  head_bytes_max: 16384\n  queue_max: {}\n  \
             retry_percent: 10\n  hedge_percent: {}\n  interregion_mbit_s: 100",
            self.queue_max, self.hedge_percent
        )
    }
}

impl Service {
    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "  - name: {}\n    slots: {}\n    cold_slots: {}\n    warmup_ms: {}\n    \
             connections_max: 250",
            self.name, self.slots, self.cold_slots, self.warmup_ms
        )?;
        if let Some(probe) = self.probe {
            writeln!(
                text,
                "    probe: {{ path: /load, cost_ms: {}, budget_permille: {} }}",
                probe.cost_ms, probe.budget_permille
            )?;
        }
        writeln!(text, "    targets:")?;
        for (name, zone, addr) in &self.targets {
            writeln!(
                text,
                "      - {{ name: {name}, addr: \"{addr}\", zone: {zone} }}"
            )?;
        }
        Ok(())
    }
}

impl Route {
    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "  - name: {name}\n    service: {}\n    methods: [{}]\n    path_prefix: /{name}\n    \
             idempotent: {}\n    hedge: {}\n    weight: {}\n    deadline_ms: {}\n    \
             body_bytes_max: 1048576",
            self.service,
            self.methods,
            self.idempotent,
            self.hedge,
            self.weight,
            self.deadline_ms,
            name = self.name,
        )?;
        if let Some(regions) = &self.home_regions {
            writeln!(text, "    home_regions: [{}]", regions.join(", "))?;
        }
        Ok(())
    }
}
