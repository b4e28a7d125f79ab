//! The header fields that callers and targets speak: the product's own, or the platform's.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use lacewingmoor_control::stats::LoadReport;
use lacewingmoor_derive::copy_value;
use lacewingmoor_platform::headers;
use serde::Deserialize;

use crate::response::{LocalResponse, ResponseBody};

/// Time left that a caller states and a target is told, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("request-deadline-ms");
/// Set to `true` by a target that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("request-not-run");
/// Load report of a target, such as `state=warm in_flight=2 queue=0`.
const LOAD_REPORT: HeaderName = HeaderName::from_static("load-report");
/// What is known about the fate of a request that the entry answers itself.
const OUTCOME: HeaderName = HeaderName::from_static("lacewingmoor-outcome");
/// Why the entry answers a request itself.
const REASON: HeaderName = HeaderName::from_static("lacewingmoor-reason");
/// Time for which a target that reports to be cold is taken to stay so; its next report decides.
const COLD_FOR: Duration = Duration::from_secs(1);

/// Which fields are spoken.
#[copy_value]
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dialect {
    /// The product's own.
    #[default]
    Native,
    /// The platform's.
    Platform,
}

impl Dialect {
    /// Returns the id of a request, or of the request that an answer belongs to.
    pub fn request_id<'a>(&self, fields: &'a HeaderMap) -> Option<&'a str> {
        match self {
            Self::Native => None,
            Self::Platform => headers::request_id(fields),
        }
    }

    /// Returns the time that the caller still waits.
    pub fn deadline(&self, fields: &HeaderMap) -> Option<Duration> {
        match self {
            Self::Native => {
                let text = fields.get(DEADLINE_MS)?.to_str().ok()?;
                Some(Duration::from_millis(text.trim().parse().ok()?))
            }
            Self::Platform => headers::deadline(fields),
        }
    }

    /// Sets what a target is told with a request.
    pub fn set_target_fields(&self, fields: &mut HeaderMap, left: Duration, target_id: &str) {
        match self {
            Self::Native => {
                let left_ms = HeaderValue::from(left.as_millis() as u64);
                fields.insert(DEADLINE_MS, left_ms);
            }
            Self::Platform => headers::set_target_fields(fields, left, target_id),
        }
    }

    /// Returns true if the answer is a target's own; only the platform's targets sign theirs.
    pub fn is_signed(&self, fields: &HeaderMap) -> bool {
        match self {
            Self::Native => true,
            Self::Platform => headers::has_signature(fields),
        }
    }

    /// Returns true if the target states that it did not run the request.
    pub fn is_not_run(&self, status: StatusCode, fields: &HeaderMap) -> bool {
        match self {
            Self::Native => fields.get(NOT_RUN).is_some_and(|value| value == "true"),
            Self::Platform => headers::is_not_run(status, fields),
        }
    }

    /// Returns the id of the answering target.
    pub fn target_id<'a>(&self, fields: &'a HeaderMap) -> Option<&'a str> {
        match self {
            Self::Native => None,
            Self::Platform => headers::target_id(fields),
        }
    }

    /// Returns how much longer the target stays cold.
    pub fn warmup_left(&self, fields: &HeaderMap) -> Option<Duration> {
        match self {
            Self::Native => match report_value(fields, "state")? {
                "cold" | "warming" => Some(COLD_FOR),
                _ => Some(Duration::ZERO),
            },
            Self::Platform => headers::warmup_left(fields),
        }
    }

    /// Returns the load that an answer of a target with `slots` slots reports.
    pub fn load(&self, fields: &HeaderMap, slots: u32) -> Option<LoadReport> {
        match self {
            Self::Native => Some(LoadReport {
                running: report_value(fields, "in_flight")?.parse().ok()?,
                queued: report_value(fields, "queue")?.parse().ok()?,
                slots,
                slowdown: 1.0,
            }),
            Self::Platform => headers::load(fields),
        }
    }

    /// Marks an answer that the entry makes itself.
    pub fn mark_local(&self, response: &mut Response<ResponseBody>, own: &LocalResponse) {
        match self {
            Self::Native => {
                let outcome = match own.may_have_run() {
                    true => "unknown",
                    false => "not-run",
                };
                let fields = response.headers_mut();
                fields.insert(OUTCOME, HeaderValue::from_static(outcome));
                fields.insert(REASON, HeaderValue::from_static(own.reason));
            }
            Self::Platform => {}
        }
    }
}

/// Returns a value of the product's load report.
fn report_value<'a>(fields: &'a HeaderMap, key: &str) -> Option<&'a str> {
    let report = fields.get(LOAD_REPORT)?.to_str().ok()?;
    let mut pairs = report.split_whitespace().filter_map(|p| p.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}
