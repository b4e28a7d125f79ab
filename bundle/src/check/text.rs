//! Rules for names, paths, methods, headers and addresses.

use std::net::{IpAddr, SocketAddr};

/// Longest name; also the limit of a DNS label.
const NAME_BYTES_MAX: usize = 63;
const TENANT_BYTES_MAX: usize = 128;
const PATH_BYTES_MAX: usize = 512;

/// Headers that HTTP or lacewingmoor itself gives a meaning.
const RESERVED_HEADERS: [&str; 16] = [
    "connection",
    "content-length",
    "content-type",
    "date",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "load-report",
    "request-deadline-ms",
    "request-not-run",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "via",
];

/// Names of regions, zones, services, targets and routes.
pub(super) fn name(text: &str) -> Result<(), String> {
    let inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if !text.is_empty()
        && text.len() <= NAME_BYTES_MAX
        && text.bytes().all(inner)
        && !text.starts_with('-')
        && !text.ends_with('-')
    {
        return Ok(());
    }
    Err(format!(
        "{text:?} is not a name; use 1 to {NAME_BYTES_MAX} lower-case letters, digits and inner \
         hyphens"
    ))
}

/// Names of tenants, which are header values.
pub(super) fn tenant(text: &str) -> Result<(), String> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-@:".contains(&b);
    if !text.is_empty() && text.len() <= TENANT_BYTES_MAX && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "{text:?} is not a tenant name; use 1 to {TENANT_BYTES_MAX} letters, digits and . _ - @ :"
    ))
}

/// Methods of routes.
pub(super) fn method(text: &str) -> Result<(), String> {
    if matches!(text, "CONNECT" | "TRACE") {
        return Err(format!("{text} is not forwarded; remove it"));
    }
    if !text.is_empty() && text.len() <= 32 && text.bytes().all(|b| b.is_ascii_uppercase()) {
        return Ok(());
    }
    Err(format!(
        "{text:?} is not a method; use upper-case letters, such as GET"
    ))
}

/// Path prefixes of routes and paths of probes.
///
/// Forms that two servers may read differently are refused, because a request that an entry and a
/// target read differently could escape the rules of its route.
pub(super) fn path(text: &str) -> Result<(), String> {
    let Some(rest) = text.strip_prefix('/') else {
        return Err(format!("{text:?} does not start with /"));
    };
    if text.len() > PATH_BYTES_MAX {
        return Err(format!("is longer than {PATH_BYTES_MAX} bytes"));
    }
    let allowed = |b: u8| b.is_ascii_graphic() && !b"?#%\\\"<>^`{|}".contains(&b);
    if let Some(bad) = text.bytes().find(|b| !allowed(*b)) {
        let shown = char::from(bad).escape_default();
        return Err(format!(
            "'{shown}' is not allowed in a path; leave out queries and escapes"
        ));
    }
    let inner = rest.strip_suffix('/').unwrap_or(rest);
    let bad = |segment: &str| matches!(segment, "" | "." | "..");
    if !rest.is_empty() && inner.split('/').any(bad) {
        return Err(format!(
            "{text:?} has an empty, . or .. segment; write the path without it"
        ));
    }
    Ok(())
}

/// The tenant header.
pub(super) fn header(text: &str) -> Result<(), String> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_".contains(&b);
    if text.is_empty() || text.len() > NAME_BYTES_MAX || !text.bytes().all(allowed) {
        return Err(format!(
            "{text:?} is not a header name; use 1 to {NAME_BYTES_MAX} lower-case letters, digits, \
             - and _"
        ));
    }
    if RESERVED_HEADERS.contains(&text)
        || text.starts_with("lacewingmoor-")
        || text.starts_with("proxy-")
    {
        return Err(format!(
            "{text} has another meaning; choose a header such as x-tenant"
        ));
    }
    Ok(())
}

/// Addresses of targets.
pub(super) fn addr(text: &str) -> Result<SocketAddr, String> {
    let addr: SocketAddr = text
        .parse()
        .map_err(|_| format!("{text:?} is not IP:PORT, such as 10.0.0.1:8080 or [fd00::1]:8080"))?;
    let broadcast = matches!(addr.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    if addr.port() == 0 || addr.ip().is_unspecified() || addr.ip().is_multicast() || broadcast {
        return Err(format!(
            "{text} is not the address of one server; name its IP and port"
        ));
    }
    Ok(addr)
}
