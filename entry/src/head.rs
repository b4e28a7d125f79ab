//! Checks of request heads, and the header fields that pass between caller and target.

use std::net::IpAddr;
use std::time::Duration;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderMap, HeaderName,
    HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Uri, Version};
use lacewingmoor_control::LoadReport;

use crate::probe;

/// Milliseconds left for the answer's head. Sent to targets, read from callers.
pub const REQUEST_DEADLINE_MS: HeaderName = HeaderName::from_static("request-deadline-ms");
/// Set to `true` by a target that shed a request unrun.
pub const REQUEST_NOT_RUN: HeaderName = HeaderName::from_static("request-not-run");
/// Load report of a target.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("load-report");
/// Addresses that a request passed through.
pub const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// What is known about the fate of a request that the entry answers itself.
pub const OUTCOME: HeaderName = HeaderName::from_static("lacewingmoor-outcome");
/// Why the entry answers a request itself.
pub const REASON: HeaderName = HeaderName::from_static("lacewingmoor-reason");
/// Request id in the entry's log.
pub const REQUEST: HeaderName = HeaderName::from_static("lacewingmoor-request");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields that concern one connection only (RFC 9110, section 7.6.1). `expect` is among them
/// because the entry itself asks the caller to continue.
static HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Fields that a caller must not have removed by naming them in `connection`: their absence would
/// change the meaning of the request or hide who sent it.
static END_TO_END: [HeaderName; 8] = [
    HOST,
    CONTENT_LENGTH,
    AUTHORIZATION,
    COOKIE,
    IDEMPOTENCY_KEY,
    X_FORWARDED_FOR,
    REQUEST_DEADLINE_MS,
    REQUEST_NOT_RUN,
];

/// Why a request head is refused, for the log and the answer's body.
pub type Fault = &'static str;

/// What the checks of a request head found out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checked {
    /// Declared body length; `None` for a chunked body or an h2 body without a length.
    pub body_bytes: Option<u64>,
    /// Time left that the caller stated.
    pub deadline: Option<Duration>,
}

/// Checks a request head. `no_body` tells that the head already ended the request.
///
/// # Errors
///
/// Returns why the head is refused.
pub fn check(
    method: &Method,
    uri: &Uri,
    version: Version,
    headers: &HeaderMap,
    no_body: bool,
    tenant_header: Option<&str>,
) -> Result<Checked, Fault> {
    if method == Method::CONNECT || method == Method::TRACE {
        return Err("method not supported");
    }
    if !uri.path().starts_with('/') {
        return Err("path does not start with a slash");
    }
    if uri.authority().is_some_and(|a| a.as_str().contains('@')) {
        return Err("user name in the authority");
    }
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (_, Some(_)) => return Err("several host fields"),
        (None, None) if uri.authority().is_none() && version == Version::HTTP_11 => {
            return Err("no host field");
        }
        _ => {}
    }
    let length = content_length(headers)?;
    if headers.contains_key(TRANSFER_ENCODING) {
        if length.is_some() {
            return Err("both content-length and transfer-encoding");
        }
        if version == Version::HTTP_2 {
            return Err("transfer-encoding in HTTP/2");
        }
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let chunked = codings
            .next()
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
        if !chunked || codings.next().is_some() {
            return Err("transfer-encoding other than chunked");
        }
    }
    for name in connection_names(headers) {
        let critical = |known: &HeaderName| name.eq_ignore_ascii_case(known.as_str());
        if END_TO_END.iter().any(critical)
            || tenant_header.is_some_and(|t| name.eq_ignore_ascii_case(t))
        {
            return Err("connection names an end-to-end field");
        }
    }
    Ok(Checked {
        body_bytes: if no_body { Some(0) } else { length },
        deadline: deadline(headers)?,
    })
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let mut fields = headers.get_all(CONTENT_LENGTH).iter();
    let Some(field) = fields.next() else {
        return Ok(None);
    };
    if fields.next().is_some() {
        return Err("several content-length fields");
    }
    parse_digits(field)
        .map(Some)
        .ok_or("malformed content-length")
}

/// Parses a field of digits only; `u64::from_str` alone would allow a leading plus sign.
fn parse_digits(field: &HeaderValue) -> Option<u64> {
    let text = field.to_str().ok()?;
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Fault> {
    match headers.get(REQUEST_DEADLINE_MS) {
        None => Ok(None),
        Some(field) => parse_digits(field)
            .map(|ms| Some(Duration::from_millis(ms)))
            .ok_or("malformed request-deadline-ms"),
    }
}

/// Returns the size of a request head as it would be in HTTP/1.1.
pub fn size(method: &Method, uri: &Uri, headers: &HeaderMap) -> usize {
    let target = uri.path_and_query().map_or(1, |p| p.as_str().len());
    let line = method.as_str().len() + target + " HTTP/1.1\r\n".len() + 1;
    let fields: usize = headers
        .iter()
        .map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len())
        .sum();
    line + fields + "\r\n".len()
}

/// Returns the names listed in the `connection` fields.
fn connection_names(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .filter(|name| !name.is_empty())
}

/// Removes the fields that concern one connection only, also those that `connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = connection_names(headers)
            .filter_map(|name| name.parse().ok())
            .collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Prepares the fields of a caller's request for targets.
pub fn forward(headers: &mut HeaderMap, uri: &Uri, caller: Option<IpAddr>) {
    strip_hop_by_hop(headers);
    // An absolute-form target or an h2 `:authority` takes precedence over `host`.
    if let Some(authority) = uri.authority()
        && let Ok(value) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, value);
    }
    headers.remove(LOAD_REPORT);
    headers.remove(REQUEST_NOT_RUN);
    if let Some(caller) = caller {
        let mut path = Vec::new();
        for value in headers.get_all(X_FORWARDED_FOR) {
            path.extend_from_slice(value.as_bytes());
            path.extend_from_slice(b", ");
        }
        path.extend_from_slice(caller.to_string().as_bytes());
        if let Ok(value) = HeaderValue::from_bytes(&path) {
            headers.insert(X_FORWARDED_FOR, value);
        }
    }
}

/// Parses a load report such as `state=warm in_flight=2 queue=0 start=abc`. Unknown keys are
/// ignored, so that targets can be upgraded before entries.
pub fn load_report(field: &HeaderValue) -> Option<LoadReport> {
    let (mut state, mut in_flight, mut queue, mut start) = (None, None, None, None);
    for item in field.to_str().ok()?.split_ascii_whitespace() {
        let (key, value) = item.split_once('=')?;
        match key {
            "state" => state = Some(probe::target_state(value)?),
            "in_flight" => in_flight = Some(value.parse().ok()?),
            "queue" => queue = Some(value.parse().ok()?),
            "start" => start = Some(probe::start_hash(value)),
            _ => {}
        }
    }
    Some(LoadReport {
        state: state?,
        in_flight: in_flight?,
        queue: queue?,
        start: start?,
    })
}
