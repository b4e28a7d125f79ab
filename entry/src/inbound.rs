//! What callers send: host, head and body.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};

use crate::response::{LocalResponse, remove_hop_by_hop};

/// Time for which a body that is too large is read and dropped.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Returns the host that a request names, without a port.
pub fn host(head: &Parts) -> String {
    let authority = head.uri.authority().map(|a| a.as_str());
    let field = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = authority.or(field).unwrap_or_default();
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Prepares a head for targets: origin form, without fields that concern one connection only.
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

/// Reads a body that is not wanted, so that the caller gets to read the answer instead of a reset.
async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that takes longer is cut off.
    let _ = tokio::time::timeout(DISCARD_TIME, read).await;
}

/// Reads the body, so that it can be sent again to another target.
///
/// # Errors
///
/// The answer for the caller, if the body is too large or not whole.
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
