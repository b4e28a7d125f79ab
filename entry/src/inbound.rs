//! Requests of callers: host, head and body.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};

use crate::response::{LocalResponse, remove_hop_by_hop};

/// Longest time for which a body that is too large is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the host of a request in lower case, without a port.
pub fn host(head: &Parts) -> String {
    let authority = head.uri.authority().map(|a| a.as_str());
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = authority.or(header).unwrap_or_default();
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Prepares a head for targets: removes the hop-by-hop fields, `expect` and `content-length`, and
/// rewrites the URI to origin form.
pub fn prepare_for_target(head: &mut Parts) {
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(http::header::EXPECT);
    head.headers.remove(http::header::CONTENT_LENGTH);
    if head.uri.authority().is_some()
        && let Some(path) = head.uri.path_and_query().cloned()
    {
        head.uri = path.into();
    }
}

/// Reads and discards a body, so that the caller receives the response instead of a connection
/// reset.
async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that takes longer is disconnected.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Reads the whole body, so that it can be sent again to another target.
///
/// # Errors
///
/// Returns the response to the caller, if the body is too large or incomplete.
pub async fn read_body(body: Incoming, bytes_max: u64) -> Result<Bytes, LocalResponse> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = LocalResponse::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    if body.size_hint().lower() > bytes_max {
        discard(body).await;
        return Err(too_large);
    }
    let bytes_max = usize::try_from(bytes_max).unwrap_or(usize::MAX);
    match Limited::new(body, bytes_max).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_large),
        Err(_) => Err(LocalResponse::invalid(
            StatusCode::BAD_REQUEST,
            "body not whole",
        )),
    }
}
