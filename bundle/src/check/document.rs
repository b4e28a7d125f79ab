//! Rules for bundle documents of operators, which are stricter than those for bundles that entries apply.
//!
//! What they refuse can be applied, but is probably a mistake, such as a timeout of 0 or a name with a
//! trailing space. The operators' tool reports it before the bundle is written to the store.

use std::ops::RangeInclusive;

use super::Converter;
use crate::raw::{RawBundle, RawRoute, RawService, RawWorkspace};
use crate::{Bundle, Error, FieldState, RawKey, Set, ValidationError, Version};

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
const HEAD_BYTES_RANGE: RangeInclusive<u64> = 1024..=1 << 20;
const RATE_RANGE: RangeInclusive<f64> = 0.0..=1e9;

impl Bundle {
    /// Checks a document by the rules for documents and converts it.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every error found.
    pub fn from_document(raw: RawBundle) -> Result<Self, Error> {
        let mut rules = Rules::default();
        rules.check(&raw);
        let mut converter = Converter::default();
        let bundle = converter.convert_bundle(&raw);
        for error in converter.errors {
            // Both refuse some values, such as a negative rate.
            if !rules.errors.iter().any(|e| e.path == error.path) {
                rules.errors.push(error);
            }
        }
        match rules.errors.is_empty() {
            true => Ok(bundle),
            false => Err(Error::Invalid(rules.errors)),
        }
    }
}

#[derive(Default)]
struct Rules {
    errors: Vec<ValidationError>,
}

impl Rules {
    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.errors.push(ValidationError::new(path, message));
    }

    fn check(&mut self, raw: &RawBundle) {
        self.check_range("version", raw.version, &(1..=VERSION_MAX), "as version");
        for (i, service) in raw.services.iter().enumerate() {
            self.check_service(&format!("services[{i}]"), service);
        }
        for (i, route) in raw.routes.iter().enumerate() {
            self.check_route(&format!("routes[{i}]"), route);
        }
        let names = raw.routes.iter().enumerate();
        self.check_unique(names.map(|(i, r)| (r.name.as_str(), format!("routes[{i}].name"))));
        if raw.workspaces.state() == FieldState::Null {
            self.report("workspaces", "is null; leave it out, or write [] for none");
        }
        let workspaces = raw.workspaces.value().map_or(&[][..], Vec::as_slice);
        for (i, workspace) in workspaces.iter().enumerate() {
            self.check_workspace(&format!("workspaces[{i}]"), workspace);
        }
        let limits = &raw.limits;
        for (field, value, range, unit) in [
            (
                "head_bytes_max",
                limits.head_bytes_max,
                HEAD_BYTES_RANGE,
                "bytes",
            ),
            (
                "body_bytes_max",
                limits.body_bytes_max,
                BODY_BYTES_RANGE,
                "bytes",
            ),
            (
                "head_timeout_ms",
                limits.head_timeout_ms,
                TIME_MS_RANGE,
                "ms",
            ),
            (
                "idle_timeout_ms",
                limits.idle_timeout_ms,
                TIME_MS_RANGE,
                "ms",
            ),
        ] {
            self.check_range(format!("limits.{field}"), value, &range, unit);
        }
    }

    fn check_range(
        &mut self,
        path: impl Into<String>,
        value: u64,
        range: &RangeInclusive<u64>,
        unit: &str,
    ) {
        if !range.contains(&value) {
            let (min, max) = (range.start(), range.end());
            let message = format!("{value} is out of range; use {min} to {max} {unit}");
            self.report(path, message);
        }
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
            if !seen.insert(name) {
                self.report(path, format!("{name:?} is used twice; choose another name"));
            }
        }
    }

    fn check_service(&mut self, at: &str, raw: &RawService) {
        self.check_name(format!("{at}.name"), &raw.name);
        self.check_path(format!("{at}.health_path"), &raw.health_path);
        if !raw.warmup_per_s.is_finite() || raw.warmup_per_s < 0.0 {
            let message = format!(
                "{} is not a rate; use a finite number of 0 or more",
                raw.warmup_per_s
            );
            self.report(format!("{at}.warmup_per_s"), message);
        }
        let path = format!("{at}.connections_max");
        self.check_range(path, raw.connections_max, &CONNECTIONS_RANGE, "connections");
        self.check_range(
            format!("{at}.warmup_ms"),
            raw.warmup_ms,
            &WARMUP_MS_RANGE,
            "ms",
        );
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

    fn check_route(&mut self, at: &str, raw: &RawRoute) {
        self.check_name(format!("{at}.name"), &raw.name);
        self.check_name(format!("{at}.host"), &raw.host);
        self.check_path(format!("{at}.path_prefix"), &raw.path_prefix);
        for (i, destination) in raw.destinations.iter().enumerate() {
            let path = format!("{at}.destinations[{i}].weight");
            self.check_range(path, destination.weight, &WEIGHT_RANGE, "as weight");
        }
        if raw.destinations.iter().all(|d| d.weight == 0) {
            let message = "no destination has a weight above 0";
            self.report(format!("{at}.destinations"), message);
        }
        for (field, value, range, unit) in [
            ("timeout_ms", raw.timeout_ms, TIME_MS_RANGE, "ms"),
            ("objective_ms", raw.objective_ms, TIME_MS_RANGE, "ms"),
            ("attempts_max", raw.attempts_max, ATTEMPTS_RANGE, "targets"),
            ("priority", raw.priority, PRIORITY_RANGE, "as priority"),
        ] {
            self.check_range(format!("{at}.{field}"), value, &range, unit);
        }
    }

    fn check_workspace(&mut self, at: &str, raw: &RawWorkspace) {
        self.check_name(format!("{at}.name"), &raw.name);
        for (i, key) in raw.keys.iter().enumerate() {
            if *key == RawKey::Empty {
                self.report(format!("{at}.keys[{i}]"), "is empty");
            }
        }
        for (field, value) in [("rate_per_s", raw.rate_per_s), ("burst", raw.burst)] {
            if !RATE_RANGE.contains(&value) {
                let (min, max) = (RATE_RANGE.start(), RATE_RANGE.end());
                let message = format!("{value} is out of range; use {min} to {max}");
                self.report(format!("{at}.{field}"), message);
            }
        }
        self.check_range(
            format!("{at}.priority"),
            raw.priority,
            &PRIORITY_RANGE,
            "as priority",
        );
    }
}
