//! Header fields that callers and targets use: the native ones of this load balancer, or those of
//! the hosting platform (crate `lacewingmoor_platform`).

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use lacewingmoor_control::stats::LoadReport;
use lacewingmoor_derive::copy_value;
use lacewingmoor_platform::headers;
use serde::Deserialize;

use crate::response::{LocalResponse, ResponseBody};

/// Time left until the caller times out, in milliseconds; sent by callers and to targets.
const DEADLINE_MS: HeaderName = HeaderName::from_static("request-deadline-ms");
/// Set to `true` by a target that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("request-not-run");
/// Load report of a target, such as `state=warm in_flight=2 queue=0`.
const LOAD_REPORT: HeaderName = HeaderName::from_static("load-report");
/// Requests per second that a target takes from all entries together.
const REQUEST_LIMIT: HeaderName = HeaderName::from_static("request-limit-per-s");
/// Set to `true` by a target that is about to exit.
const LEAVING: HeaderName = HeaderName::from_static("target-leaving");
/// Set on responses that the entry generates itself: `not-run`, or `unknown` if a target may have
/// run the request.
const OUTCOME: HeaderName = HeaderName::from_static("lacewingmoor-outcome");
/// Reason for a response that the entry generates itself.
const REASON: HeaderName = HeaderName::from_static("lacewingmoor-reason");
/// Name of the workspace of a request; set for targets.
const WORKSPACE: HeaderName = HeaderName::from_static("request-workspace");
/// Scheme of the `authorization` field that carries the key of a workspace.
const KEY_SCHEME: &str = "bearer";
/// Warm-up time that is assumed for a target that reports `cold` or `warming`. Native reports do
/// not state how long the warm-up lasts. The next probe replaces the assumption.
const ASSUMED_WARMUP: Duration = Duration::from_secs(1);

/// Response fields of HTTP that are common and mean nothing to an entry beyond HTTP itself.
static HTTP_FIELDS: [HeaderName; 12] = [
    header::CACHE_CONTROL,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::RETRY_AFTER,
    header::SERVER,
    header::TRANSFER_ENCODING,
    header::VARY,
    HeaderName::from_static("keep-alive"),
];

/// Set of header fields that callers and targets use.
#[copy_value]
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dialect {
    /// Native fields of this load balancer.
    #[default]
    Native,
    /// Fields of the platform.
    Platform,
}

impl Dialect {
    /// Returns the id of a request, or of the request that a response belongs to.
    pub fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        match self {
            Self::Native => None,
            Self::Platform => headers::request_id(headers),
        }
    }

    /// Returns the time left until the caller times out.
    pub fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        match self {
            Self::Native => {
                let text = headers.get(DEADLINE_MS)?.to_str().ok()?;
                Some(Duration::from_millis(text.trim().parse().ok()?))
            }
            Self::Platform => headers::caller_timeout(headers),
        }
    }

    /// Sets the fields of a request to a target: the time left and, on the platform, the id of the
    /// target.
    pub fn set_target_fields(&self, headers: &mut HeaderMap, remaining: Duration, target_id: &str) {
        match self {
            Self::Native => {
                let remaining_ms = HeaderValue::from(remaining.as_millis() as u64);
                headers.insert(DEADLINE_MS, remaining_ms);
            }
            Self::Platform => headers::set_target_fields(headers, remaining, target_id),
        }
    }

    /// Returns the key of a request: the credentials of its only `authorization` field. `None` also if
    /// the scheme is another one, or if there are several fields, of which each reader might take another.
    pub fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let mut fields = headers.get_all(header::AUTHORIZATION).iter();
        let (Some(field), None) = (fields.next(), fields.next()) else {
            return None;
        };
        // Not `to_str`, which fails on keys that are not ASCII.
        let text = std::str::from_utf8(field.as_bytes()).ok()?;
        let (scheme, key) = text.trim().split_once(' ')?;
        let key = key.trim_start_matches(' ');
        (scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty()).then_some(key)
    }

    /// Removes the key from a request.
    pub fn remove_key(&self, headers: &mut HeaderMap) {
        headers.remove(header::AUTHORIZATION);
    }

    /// Names the workspace of a request in place of whatever the caller sent.
    pub fn set_workspace(&self, headers: &mut HeaderMap, workspace: Option<&str>) {
        let field = match self {
            Self::Native => WORKSPACE,
            Self::Platform => headers::WORKSPACE,
        };
        headers.remove(&field);
        // Names that are no field value are not accepted in a bundle.
        if let Some(name) = workspace.and_then(|name| HeaderValue::from_str(name).ok()) {
            headers.insert(field, name);
        }
    }

    /// Returns true if the response comes from a target itself. Only targets of the platform sign
    /// their responses; with native fields every response counts as signed.
    pub fn is_signed(&self, headers: &HeaderMap) -> bool {
        match self {
            Self::Native => true,
            Self::Platform => headers::has_signature(headers),
        }
    }

    /// Returns true if the target states that it did not run the request.
    pub fn is_not_run(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        match self {
            Self::Native => headers.get(NOT_RUN).is_some_and(|value| value == "true"),
            Self::Platform => headers::is_not_run(status, headers),
        }
    }

    /// Returns the id of the target that sent the response.
    pub fn target_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        match self {
            Self::Native => None,
            Self::Platform => headers::target_id(headers),
        }
    }

    /// Returns the time until the target's warm-up ends.
    pub fn warmup_left(&self, headers: &HeaderMap) -> Option<Duration> {
        match self {
            Self::Native => match report_value(headers, "state")? {
                "cold" | "warming" => Some(ASSUMED_WARMUP),
                _ => Some(Duration::ZERO),
            },
            Self::Platform => headers::warmup_left(headers),
        }
    }

    /// Returns the load reported in a response; `None` if it is missing or malformed. Native reports
    /// do not contain the number of slots, so it is taken from `slots`.
    pub fn load(&self, headers: &HeaderMap, slots: u32) -> Option<LoadReport> {
        match self {
            Self::Native => Some(LoadReport {
                running: report_value(headers, "in_flight")?.parse().ok()?,
                queued: report_value(headers, "queue")?.parse().ok()?,
                slots,
                slowdown: 1.0,
            }),
            Self::Platform => headers::load(headers),
        }
    }

    /// Returns the limit of requests per second that the target names, with the name of the field, as
    /// text.
    pub fn request_limit<'a>(&self, headers: &'a HeaderMap) -> Option<(HeaderName, &'a str)> {
        match self {
            Self::Native => {
                let value = headers.get(&REQUEST_LIMIT)?;
                Some((REQUEST_LIMIT, value.to_str().unwrap_or_default().trim()))
            }
            Self::Platform => headers::request_limit(headers),
        }
    }

    /// Returns true if the target states that it is about to exit.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        match self {
            Self::Native => headers.get(LEAVING).is_some_and(|value| value == "true"),
            Self::Platform => headers::is_leaving(headers),
        }
    }

    /// Returns true if the field is one of HTTP that targets and the store commonly send, or one of
    /// the dialect.
    pub fn is_known(&self, name: &HeaderName) -> bool {
        static NATIVE: [HeaderName; 4] = [NOT_RUN, LOAD_REPORT, REQUEST_LIMIT, LEAVING];
        HTTP_FIELDS.contains(name)
            || match self {
                Self::Native => NATIVE.contains(name),
                Self::Platform => headers::is_known(name),
            }
    }

    /// Sets the outcome and reason fields of a response that the entry generates itself.
    pub fn mark_local(&self, response: &mut Response<ResponseBody>, local: &LocalResponse) {
        match self {
            Self::Native => {
                let outcome = match local.may_have_run() {
                    true => "unknown",
                    false => "not-run",
                };
                let headers = response.headers_mut();
                headers.insert(OUTCOME, HeaderValue::from_static(outcome));
                headers.insert(REASON, HeaderValue::from_static(local.reason));
            }
            Self::Platform => {}
        }
    }
}

/// Returns the value of a key of the native load report.
fn report_value<'a>(headers: &'a HeaderMap, key: &str) -> Option<&'a str> {
    let report = headers.get(LOAD_REPORT)?.to_str().ok()?;
    let mut pairs = report.split_whitespace().filter_map(|p| p.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}
