//! Requests of callers: host, head and body.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use lacewingmoor_control::bounds::BodyBytes;

use crate::body_memory::BodyMemory;
use crate::response::{LocalResponse, remove_hop_by_hop};

/// Longest time for which the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a caller may retry whose body does not fit. It may reach another entry.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Returns the host of a request in lower case, with its port if it names one.
pub fn host(head: &Parts) -> String {
    let authority = head.uri.authority().map(|a| a.as_str());
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    authority
        .or(header)
        .unwrap_or_default()
        .to_ascii_lowercase()
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
pub(crate) async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that takes longer is disconnected.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Reads the whole body, so that it can be sent again to another target.
///
/// # Errors
///
/// Returns the response to the caller, if the body is too large or incomplete, or if this process holds
/// too many bytes of other bodies.
pub async fn read_body(
    mut body: Incoming,
    bytes_max: usize,
    memory: &BodyMemory,
    limit: BodyBytes,
) -> Result<Bytes, LocalResponse> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = LocalResponse::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let no_memory = LocalResponse::not_run("no memory for the body", NO_MEMORY_RETRY_AFTER);
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > bytes_max {
        discard(body).await;
        return Err(too_large);
    }
    let mut buffer = memory.buffer(announced, limit);
    if !buffer.fits() {
        discard(body).await;
        return Err(no_memory);
    }
    while let Some(frame) = body.frame().await {
        let incomplete = LocalResponse::invalid(StatusCode::BAD_REQUEST, "body not whole");
        let Ok(data) = frame.map_err(|_| incomplete)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > bytes_max {
            return Err(too_large);
        }
        if !buffer.reserve(data.len()) {
            drop(buffer);
            discard(body).await;
            return Err(no_memory);
        }
        buffer.append(&data);
    }
    Ok(buffer.freeze())
}
