//! Validates a raw bundle and converts it to a [`Bundle`]. Collects all errors instead of stopping
//! at the first one.

mod parse;

use std::cmp::Reverse;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::raw::{RawBundle, RawLimits, RawRepeat, RawRoute, RawService, RawWorkspace};
use crate::{
    Bundle, Destination, Error, KeyDigest, Limits, Map, RawKey, Repeat, Route, RouteId, Service,
    Set, ValidationError, Version, Workspace, WorkspaceId, WorkspaceRateLimit,
};

/// Greatest version that every JSON parser represents exactly: some parse numbers as 64-bit floats,
/// which are exact up to 2^53 - 1.
const VERSION_MAX: Version = (1 << 53) - 1;

const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const WARMUP_MS_RANGE: RangeInclusive<u64> = 0..=3_600_000;
const TIME_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;
const WEIGHT_RANGE: RangeInclusive<u64> = 0..=1_000_000;
const ATTEMPTS_RANGE: RangeInclusive<u64> = 1..=100;
const PRIORITY_RANGE: RangeInclusive<u64> = 0..=1000;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 0..=1 << 40;
/// Greatest rate and burst of a workspace. Greater ones are taken for a mistake.
const RATE_MAX: f64 = 1e9;
const HEAD_BYTES_RANGE: RangeInclusive<u64> = 1024..=1 << 20;

impl Bundle {
    /// Parses and validates a bundle document.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every error found.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        Self::try_from(RawBundle::from_yaml(text)?)
    }
}

impl TryFrom<RawBundle> for Bundle {
    type Error = Error;

    fn try_from(raw: RawBundle) -> Result<Self, Error> {
        let mut checker = Checker::default();
        let bundle = checker.check_bundle(&raw);
        if checker.errors.is_empty() {
            Ok(bundle)
        } else {
            Err(Error::Invalid(checker.errors))
        }
    }
}

impl ValidationError {
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
struct Checker {
    errors: Vec<ValidationError>,
}

impl Checker {
    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.errors.push(ValidationError::new(path, message));
    }

    /// Converts `value` to `T` if it is in `range`. Otherwise reports an error and returns the
    /// start of the range, so that the remaining checks still run.
    fn check_range<T: TryFrom<u64> + Default>(
        &mut self,
        path: impl Into<String>,
        value: u64,
        range: &RangeInclusive<u64>,
        unit: &str,
    ) -> T {
        let (min, max) = (*range.start(), *range.end());
        if !range.contains(&value) {
            let message = format!("{value} is out of range; use {min} to {max} {unit}");
            self.report(path, message);
            return T::try_from(min).unwrap_or_default();
        }
        T::try_from(value).unwrap_or_default()
    }

    fn check_millis(&mut self, path: String, value: u64, range: &RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.check_range(path, value, range, "ms"))
    }

    fn check_name(&mut self, path: String, text: &str) {
        if text.is_empty() || text.chars().any(|c| c.is_whitespace() || c.is_control()) {
            self.report(
                path,
                format!("{text:?} must be non-empty, without whitespace or control characters"),
            );
        }
    }

    fn check_unique<'a>(&mut self, names: impl Iterator<Item = (&'a str, String)>) {
        let mut seen = Set::default();
        for (name, path) in names {
            if !seen.insert(name.to_owned()) {
                self.report(path, format!("{name:?} is used twice; choose another name"));
            }
        }
    }

    fn check_bundle(&mut self, raw: &RawBundle) -> Bundle {
        let version = self.check_range("version", raw.version, &(1..=VERSION_MAX), "as version");
        let mut services = Vec::with_capacity(raw.services.len());
        for (i, service) in raw.services.iter().enumerate() {
            services.push(self.check_service(&format!("services[{i}]"), service));
        }
        let names = raw.services.iter().enumerate();
        self.check_unique(names.map(|(i, s)| (s.name.as_str(), format!("services[{i}].name"))));
        let ids: Map<&str, usize> = raw
            .services
            .iter()
            .enumerate()
            .map(|(i, s)| (s.name.as_str(), i))
            .collect();
        let mut routes = Vec::with_capacity(raw.routes.len());
        for (i, route) in raw.routes.iter().enumerate() {
            routes.push(self.check_route(&format!("routes[{i}]"), route, &ids));
        }
        let names = raw.routes.iter().enumerate();
        self.check_unique(names.map(|(i, r)| (r.name.as_str(), format!("routes[{i}].name"))));
        let raw_workspaces = raw.workspaces.value().map_or(&[][..], Vec::as_slice);
        let (workspaces, workspaces_by_key) = self.check_workspaces(raw_workspaces);
        Bundle {
            version,
            routes_by_host: group_by_host(&routes),
            services,
            routes,
            workspaces,
            workspaces_field: raw.workspaces.state(),
            workspaces_by_key,
            warnings: Vec::new(),
            limits: self.check_limits(&raw.limits),
        }
    }

    fn check_service(&mut self, at: &str, raw: &RawService) -> Service {
        self.check_name(format!("{at}.name"), &raw.name);
        self.check_path(format!("{at}.health_path"), &raw.health_path);
        if !raw.warmup_per_s.is_finite() || raw.warmup_per_s < 0.0 {
            let message = format!(
                "{} is not a rate; use a finite number of 0 or more",
                raw.warmup_per_s
            );
            self.report(format!("{at}.warmup_per_s"), message);
        }
        Service {
            name: raw.name.clone(),
            health_path: raw.health_path.clone(),
            connections_max: self.check_range(
                format!("{at}.connections_max"),
                raw.connections_max,
                &CONNECTIONS_RANGE,
                "connections",
            ),
            warmup: self.check_millis(format!("{at}.warmup_ms"), raw.warmup_ms, &WARMUP_MS_RANGE),
            warmup_rate_per_s: raw.warmup_per_s,
        }
    }

    fn check_path(&mut self, path: String, text: &str) {
        let allowed = |b: u8| b.is_ascii_graphic() && !b"?#\\\"<>^`{|}".contains(&b);
        if !text.starts_with('/') || !text.bytes().all(allowed) {
            let message = format!(
                "{text:?} is not a path; begin with /, omit the query and use only \
                 printable ASCII characters other than space and ? # \\ \" < > ^ ` {{ | }}"
            );
            self.report(path, message);
        }
    }

    fn check_route(&mut self, at: &str, raw: &RawRoute, ids: &Map<&str, usize>) -> Route {
        self.check_name(format!("{at}.name"), &raw.name);
        self.check_name(format!("{at}.host"), &raw.host);
        self.check_path(format!("{at}.path_prefix"), &raw.path_prefix);
        if !raw.path_prefix.ends_with('/') {
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
            destinations.push(Destination {
                service: service.unwrap_or(0),
                weight: self.check_range(
                    format!("{at}.weight"),
                    destination.weight,
                    &WEIGHT_RANGE,
                    "as weight",
                ),
            });
        }
        if destinations.iter().all(|d| d.weight == 0) {
            let message = "no destination has a weight above 0";
            self.report(format!("{at}.destinations"), message);
        }
        Route {
            name: raw.name.clone(),
            host: raw.host.to_ascii_lowercase(),
            path_prefix: raw.path_prefix.clone(),
            repeat: match raw.repeat {
                RawRepeat::Idempotent => Repeat::Idempotent,
                RawRepeat::Once => Repeat::Once,
            },
            timeout: self.check_millis(format!("{at}.timeout_ms"), raw.timeout_ms, &TIME_MS_RANGE),
            objective: self.check_millis(
                format!("{at}.objective_ms"),
                raw.objective_ms,
                &TIME_MS_RANGE,
            ),
            attempts_max: self.check_range(
                format!("{at}.attempts_max"),
                raw.attempts_max,
                &ATTEMPTS_RANGE,
                "targets",
            ),
            priority: self.check_range(
                format!("{at}.priority"),
                raw.priority,
                &PRIORITY_RANGE,
                "as priority",
            ),
            public: raw.public,
            destinations,
            home_regions: raw.home_regions.clone(),
        }
    }

    fn check_workspaces(
        &mut self,
        raw: &[RawWorkspace],
    ) -> (Vec<Workspace>, Map<KeyDigest, WorkspaceId>) {
        let names = raw.iter().enumerate();
        self.check_unique(names.map(|(i, w)| (w.name.as_str(), format!("workspaces[{i}].name"))));
        let mut by_key = Map::default();
        let mut workspaces = Vec::with_capacity(raw.len());
        for (id, workspace) in raw.iter().enumerate() {
            let at = format!("workspaces[{id}]");
            for (i, key) in workspace.keys.iter().enumerate() {
                let at = format!("{at}.keys[{i}]");
                match key {
                    RawKey::Empty => self.report(at, "is empty"),
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
            workspaces.push(self.check_workspace(&at, workspace));
        }
        (workspaces, by_key)
    }

    fn check_workspace(&mut self, at: &str, raw: &RawWorkspace) -> Workspace {
        self.check_name(format!("{at}.name"), &raw.name);
        for (field, value) in [("rate_per_s", raw.rate_per_s), ("burst", raw.burst)] {
            if !(0.0..=RATE_MAX).contains(&value) {
                let message = format!("{value} is out of range; use 0 to {RATE_MAX}");
                self.report(format!("{at}.{field}"), message);
            }
        }
        Workspace {
            name: raw.name.as_str().into(),
            priority: self.check_range(
                format!("{at}.priority"),
                raw.priority,
                &PRIORITY_RANGE,
                "as priority",
            ),
            rate_limit: (raw.rate_per_s > 0.0).then_some(WorkspaceRateLimit {
                rate_per_s: raw.rate_per_s,
                burst: raw.burst,
            }),
            home_regions: raw.home_regions.clone(),
        }
    }

    fn check_limits(&mut self, raw: &RawLimits) -> Limits {
        Limits {
            head_bytes_max: self.check_range(
                "limits.head_bytes_max",
                raw.head_bytes_max,
                &HEAD_BYTES_RANGE,
                "bytes",
            ),
            body_bytes_max: self.check_range(
                "limits.body_bytes_max",
                raw.body_bytes_max,
                &BODY_BYTES_RANGE,
                "bytes",
            ),
            head_timeout: self.check_millis(
                "limits.head_timeout_ms".into(),
                raw.head_timeout_ms,
                &TIME_MS_RANGE,
            ),
            idle_timeout: self.check_millis(
                "limits.idle_timeout_ms".into(),
                raw.idle_timeout_ms,
                &TIME_MS_RANGE,
            ),
        }
    }
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
