//! Converts a raw bundle to a [`Bundle`]. Collects all errors instead of stopping at the first one.
//!
//! The conversion accepts each value that an entry can apply, since one refused value keeps the whole
//! bundle out of force. Documents of operators must keep further rules, see [`document`].

mod document;
mod parse;

use std::cmp::Reverse;
use std::time::Duration;

use crate::raw::{RawBundle, RawLimits, RawRepeat, RawRoute, RawService, RawWorkspace};
use crate::{
    Bundle, Destination, Error, KeyDigest, Limits, Map, RawKey, Repeat, Route, RouteId, Service,
    Set, ValidationError, WEIGHT_MAX, Workspace, WorkspaceId, WorkspaceRateLimit,
};

/// Longest time, about 285,000 years. Sums of a few such times and of the clock do not overflow.
const TIME_MS_MAX: u64 = 1 << 53;

/// Greatest rate per second and burst. No machine reaches it, and products with window lengths stay exact
/// enough as 64-bit floats.
const RATE_MAX: f64 = 1e12;

impl Bundle {
    /// Parses a document of an operator and checks it by all rules for documents.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every error found.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        Self::from_document(RawBundle::from_yaml(text)?)
    }
}

impl TryFrom<RawBundle> for Bundle {
    type Error = Error;

    fn try_from(raw: RawBundle) -> Result<Self, Error> {
        let mut converter = Converter::default();
        let bundle = converter.convert_bundle(&raw);
        match converter.errors.is_empty() {
            true => Ok(bundle),
            false => Err(Error::Invalid(converter.errors)),
        }
    }
}

#[derive(Default)]
struct Converter {
    errors: Vec<ValidationError>,
    warnings: Vec<String>,
}

impl Converter {
    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.errors.push(ValidationError::new(path, message));
    }

    fn convert_bundle(&mut self, raw: &RawBundle) -> Bundle {
        let services = raw.services.iter().enumerate();
        let services = services
            .map(|(i, service)| self.convert_service(&format!("services[{i}]"), service))
            .collect();
        let mut ids: Map<&str, usize> = Map::default();
        for (i, service) in raw.services.iter().enumerate() {
            if ids.insert(&service.name, i).is_some() {
                let message = format!("{:?} is used twice; choose another name", service.name);
                self.report(format!("services[{i}].name"), message);
            }
        }
        let routes = raw.routes.iter().enumerate();
        let routes: Vec<Route> = routes
            .map(|(i, route)| self.convert_route(&format!("routes[{i}]"), route, &ids))
            .collect();
        let raw_workspaces = raw.workspaces.value().map_or(&[][..], Vec::as_slice);
        let (workspaces, workspaces_by_key) = self.convert_workspaces(raw_workspaces);
        Bundle {
            version: raw.version,
            routes_by_host: group_by_host(&routes),
            services,
            routes,
            workspaces,
            workspaces_field: raw.workspaces.state(),
            workspaces_by_key,
            limits: self.convert_limits(&raw.limits),
            warnings: std::mem::take(&mut self.warnings),
        }
    }

    fn convert_service(&mut self, at: &str, raw: &RawService) -> Service {
        if !is_path_and_query(&raw.health_path) {
            let message = format!(
                "{:?} is not a path; begin with / and use only printable ASCII characters other \
                 than space and # \\ \" < > ^ ` {{ | }}",
                raw.health_path
            );
            self.report(format!("{at}.health_path"), message);
        }
        Service {
            name: raw.name.clone(),
            health_path: raw.health_path.clone(),
            connections_max: saturate(raw.connections_max),
            warmup: millis(raw.warmup_ms),
            warmup_rate_per_s: self.convert_rate(format!("{at}.warmup_per_s"), raw.warmup_per_s),
        }
    }

    fn convert_rate(&mut self, path: String, rate: f64) -> f64 {
        if rate.is_nan() || rate < 0.0 {
            self.report(path, format!("{rate} is not a rate; use 0 or more"));
        }
        rate.min(RATE_MAX)
    }

    fn convert_route(&mut self, at: &str, raw: &RawRoute, ids: &Map<&str, usize>) -> Route {
        let prefix = &raw.path_prefix;
        if !prefix.starts_with('/') {
            self.report(format!("{at}.path_prefix"), "does not begin with /");
        } else if !prefix.ends_with('/') {
            self.report(format!("{at}.path_prefix"), "does not end with /");
        }
        let mut destinations = Vec::with_capacity(raw.destinations.len());
        for (i, destination) in raw.destinations.iter().enumerate() {
            let at = format!("{at}.destinations[{i}]");
            let service = ids.get(destination.service.as_str()).copied();
            if service.is_none() {
                let message = format!(
                    "no service is named {:?}; add it under services",
                    destination.service
                );
                self.report(format!("{at}.service"), message);
            }
            let weight = destination.weight;
            if weight > WEIGHT_MAX {
                let message = format!("{weight} is out of range; use 0 to {WEIGHT_MAX}");
                self.report(format!("{at}.weight"), message);
            }
            destinations.push(Destination {
                service: service.unwrap_or(0),
                weight,
            });
        }
        let host = raw.host.to_ascii_lowercase();
        Route {
            key: format!("{host}{}", raw.path_prefix).into(),
            name: raw.name.clone(),
            host,
            path_prefix: raw.path_prefix.clone(),
            repeat: match raw.repeat {
                RawRepeat::Idempotent => Repeat::Idempotent,
                RawRepeat::Once => Repeat::Once,
            },
            timeout: millis(raw.timeout_ms),
            objective: millis(raw.objective_ms),
            attempts_max: saturate(raw.attempts_max),
            priority: raw.priority,
            public: raw.public,
            destinations,
            home_regions: raw.home_regions.clone(),
        }
    }

    fn convert_workspaces(
        &mut self,
        raw: &[RawWorkspace],
    ) -> (Vec<Workspace>, Map<KeyDigest, WorkspaceId>) {
        let mut names = Set::default();
        let mut by_key = Map::default();
        let mut workspaces = Vec::with_capacity(raw.len());
        for (id, workspace) in raw.iter().enumerate() {
            let at = format!("workspaces[{id}]");
            self.check_workspace_name(format!("{at}.name"), &workspace.name);
            if !names.insert(&workspace.name) {
                let message = format!("{:?} is used twice; choose another name", workspace.name);
                self.report(format!("{at}.name"), message);
            }
            for (i, key) in workspace.keys.iter().enumerate() {
                let at = format!("{at}.keys[{i}]");
                match key {
                    // No request can carry it, so it admits nobody.
                    RawKey::Empty => self.warnings.push(format!("{at}: empty key is ignored")),
                    RawKey::Digest(digest) => {
                        if let Some(other) = by_key.insert(*digest, id)
                            && other != id
                        {
                            let message = format!(
                                "key {} is also one of {:?}; a key belongs to one workspace",
                                digest.fingerprint(),
                                raw[other].name
                            );
                            self.report(at, message);
                        }
                    }
                }
            }
            workspaces.push(self.convert_workspace(&at, workspace));
        }
        (workspaces, by_key)
    }

    /// A header field, in which targets are told the name, cannot contain control characters.
    fn check_workspace_name(&mut self, path: String, name: &str) {
        if name.chars().any(|c| c.is_ascii_control()) {
            self.report(path, format!("{name:?} contains control characters"));
        }
    }

    fn convert_workspace(&mut self, at: &str, raw: &RawWorkspace) -> Workspace {
        let rate_per_s = self.convert_rate(format!("{at}.rate_per_s"), raw.rate_per_s);
        let burst = self.convert_rate(format!("{at}.burst"), raw.burst);
        Workspace {
            name: raw.name.as_str().into(),
            priority: raw.priority,
            rate_limit: (rate_per_s > 0.0).then_some(WorkspaceRateLimit { rate_per_s, burst }),
            home_regions: raw.home_regions.clone(),
        }
    }

    fn convert_limits(&mut self, raw: &RawLimits) -> Limits {
        for (path, value) in [
            ("limits.head_bytes_max", raw.head_bytes_max),
            ("limits.head_timeout_ms", raw.head_timeout_ms),
        ] {
            if value == 0 {
                self.report(path, "0 admits no request; use 1 or more");
            }
        }
        Limits {
            head_bytes_max: usize::try_from(raw.head_bytes_max).unwrap_or(usize::MAX),
            body_bytes_max: raw.body_bytes_max,
            head_timeout: millis(raw.head_timeout_ms),
            idle_timeout: millis(raw.idle_timeout_ms),
        }
    }
}

fn millis(value_ms: u64) -> Duration {
    Duration::from_millis(value_ms.min(TIME_MS_MAX))
}

fn saturate(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Returns true if a request line can contain the text as its target.
fn is_path_and_query(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && !b"#\\\"<>^`{|}".contains(&b);
    text.starts_with('/') && text.bytes().all(allowed)
}

/// Groups route ids by host, longest prefix first.
fn group_by_host(routes: &[Route]) -> Map<String, Vec<RouteId>> {
    let mut hosts: Map<String, Vec<RouteId>> = Map::default();
    for (id, route) in routes.iter().enumerate() {
        hosts.entry(route.host.clone()).or_default().push(id);
    }
    for ids in hosts.values_mut() {
        ids.sort_by_key(|id| Reverse(routes[*id].path_prefix.len()));
    }
    hosts
}
