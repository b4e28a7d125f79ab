//! Rules that concern several parts of a bundle, and warnings.

use std::hash::Hash;

use super::Check;
use crate::{Bundle, Fault, Map, RawBundle, RegionId, Service, SignedManifest, VALUE_BYTES_MAX};

/// Bytes of a stored signed manifest besides the base64 of the manifest itself: JSON syntax, key
/// id and signature, rounded up.
const SIGNED_OVERHEAD_BYTES: usize = 256;

impl Check {
    /// Notes a fault for each key that was used before, naming the first use.
    pub(super) fn unique<K: Eq + Hash>(
        &mut self,
        what: &str,
        keys: impl Iterator<Item = (K, String)>,
    ) {
        let mut first: Map<K, String> = Map::default();
        for (key, path) in keys {
            match first.get(&key) {
                Some(other) => {
                    let message = format!("same {what} as {other}; change one of them");
                    self.fault(path, message);
                }
                None => {
                    first.insert(key, path);
                }
            }
        }
    }

    /// Checks that nothing is named or addressed twice.
    pub(super) fn no_duplicates(&mut self, raw: &RawBundle, bundle: &Bundle) {
        let regions = raw.regions.iter().enumerate();
        self.unique(
            "name",
            regions
                .clone()
                .map(|(i, r)| (&r.name, format!("regions[{i}].name"))),
        );
        self.unique(
            "zone name",
            regions.flat_map(|(i, r)| {
                let zones = r.zones.iter().enumerate();
                zones.map(move |(j, z)| (&z.name, format!("regions[{i}].zones[{j}].name")))
            }),
        );
        let services = raw.services.iter().enumerate();
        self.unique(
            "name",
            services.map(|(i, s)| (&s.name, format!("services[{i}].name"))),
        );
        for (i, service) in raw.services.iter().enumerate() {
            let targets = service.targets.iter().enumerate();
            self.unique(
                "name",
                targets.map(|(j, t)| (&t.name, format!("services[{i}].targets[{j}].name"))),
            );
        }
        let targets = || {
            let services = bundle.services.iter().enumerate();
            services.flat_map(|(i, s)| {
                let targets = s.targets.iter().enumerate();
                targets.map(move |(j, t)| (t, &s.name, format!("services[{i}].targets[{j}]")))
            })
        };
        // Two targets at one address would each get the full slots of one server. Addresses that
        // could not be parsed have port 0 and a fault of their own.
        let addresses = targets().filter(|(t, _, _)| t.addr.port() != 0);
        self.unique(
            "address",
            addresses.map(|(t, _, path)| (t.addr, format!("{path}.addr"))),
        );
        // Equal names have a fault of their own; what is left are collisions of the hash that ids
        // are derived with.
        let mut names = crate::Set::default();
        let distinct = targets().filter(|(t, service, _)| names.insert((*service, &t.name)));
        let ids: Vec<_> = distinct
            .map(|(t, _, path)| (t.id, format!("{path}.name")))
            .collect();
        self.unique("target id (hash of the names)", ids.into_iter());

        let routes = raw.routes.iter().enumerate();
        self.unique(
            "name",
            routes
                .clone()
                .map(|(i, r)| (&r.name, format!("routes[{i}].name"))),
        );
        self.unique(
            "method and path prefix",
            routes.flat_map(|(i, r)| {
                let methods = r.methods.iter().enumerate();
                methods.map(move |(j, m)| {
                    let path = format!("routes[{i}].methods[{j}]");
                    ((m, &r.path_prefix), path)
                })
            }),
        );
        let tenants = raw.tenants.iter().enumerate();
        self.unique(
            "name",
            tenants.map(|(i, t)| (&t.name, format!("tenants[{i}].name"))),
        );
    }

    /// Checks that requests with home regions can be answered somewhere.
    pub(super) fn home_regions_have_targets(&mut self, bundle: &Bundle) {
        for (i, route) in bundle.routes.iter().enumerate() {
            let Some(service) = bundle.services.get(route.service) else {
                continue;
            };
            if !has_target(service, [route.home_regions.as_deref(), None]) {
                let message = format!(
                    "service {} has no target in these regions; add a target or a region",
                    service.name
                );
                self.fault(format!("routes[{i}].home_regions"), message);
            }
        }
        for (i, tenant) in bundle.tenants.iter().enumerate() {
            let home = tenant.home_regions.as_deref();
            let served = bundle.routes.iter().any(|r| {
                let service = bundle.services.get(r.service);
                service.is_some_and(|s| has_target(s, [r.home_regions.as_deref(), home]))
            });
            if home.is_some() && !served {
                let message = "no route has a target in these regions; add a target or a region";
                self.fault(format!("tenants[{i}].home_regions"), message);
            }
        }
    }

    /// Checks that every stored value fits the store; returns the digest of the manifest.
    pub(super) fn fits_the_store(&mut self, raw: &RawBundle) -> crate::Digest {
        let (manifest, parts) = raw.split();
        for (i, part) in parts.iter().enumerate() {
            if part.bytes.len() > VALUE_BYTES_MAX {
                let (path, advice) = match i.checked_sub(1) {
                    Some(service) => (format!("services[{service}]"), "split the service"),
                    None => ("tenants".to_owned(), "remove tenants without special rules"),
                };
                let bytes = part.bytes.len();
                let message = format!(
                    "part {} takes {bytes} bytes and the store holds {VALUE_BYTES_MAX}; {advice}",
                    part.name
                );
                self.fault(path, message);
            }
        }
        let bytes = manifest.encode();
        if SignedManifest::base64_len(bytes.len()) + SIGNED_OVERHEAD_BYTES > VALUE_BYTES_MAX {
            let message = format!(
                "the manifest takes {} bytes and does not fit a store value of {VALUE_BYTES_MAX}; \
                 merge services",
                bytes.len()
            );
            self.fault("services", message);
        }
        crate::digest_of(&bytes)
    }
}

/// True if the service has a target in a region that all of `allowed` contain.
fn has_target(service: &Service, allowed: [Option<&[RegionId]>; 2]) -> bool {
    let allows = |region: RegionId| {
        let mut lists = allowed.iter().flatten();
        lists.all(|list| list.contains(&region))
    };
    service.targets.iter().any(|t| allows(t.region))
}

impl Bundle {
    /// Finds what is allowed but probably not meant, such as a route without a target in service.
    pub fn warnings(&self) -> Vec<Fault> {
        let mut warnings = Vec::new();
        let mut warn = |path: String, message: String| warnings.push(Fault::new(path, message));
        for (id, service) in self.services.iter().enumerate() {
            let path = format!("service {}", service.name);
            if !service
                .targets
                .iter()
                .any(|t| self.zones[t.zone].in_service)
            {
                warn(path.clone(), "every target is in a zone that is out".into());
            }
            if !self.routes.iter().any(|r| r.service == id) {
                warn(path, "no route leads to it".into());
            }
        }
        for route in &self.routes {
            let Some(home) = &route.home_regions else {
                continue;
            };
            let service = &self.services[route.service];
            let mut at_home = service.targets.iter().filter(|t| home.contains(&t.region));
            if !at_home.any(|t| self.zones[t.zone].in_service) {
                let message = "every target in its home regions is in a zone that is out";
                warn(format!("route {}", route.name), message.into());
            }
        }
        for tenant in &self.tenants {
            let home = tenant.home_regions.as_deref();
            let refused = self.routes.iter().filter(|r| {
                !has_target(&self.services[r.service], [r.home_regions.as_deref(), home])
            });
            let refused: Vec<&str> = refused.map(|r| r.name.as_str()).collect();
            if !refused.is_empty() {
                let message = format!(
                    "refused on {}: no target in regions that tenant and route both allow",
                    refused.join(", ")
                );
                warn(format!("tenant {}", tenant.name), message);
            }
        }
        warnings
    }
}
