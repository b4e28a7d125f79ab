//! Requests of callers: host, head and body.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use crate::response::{LocalResponse, remove_hop_by_hop};

/// Longest time for which a body that is too large is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum of the bytes of request bodies that the process holds. The smallest VMs have 160 MB.
const HELD_BYTES_MAX: usize = 96 << 20;

/// Length up to which a body counts as small.
const SMALL_BODY_BYTES_MAX: usize = 16 * 1024;

/// Time after which a caller may retry whose body does not fit. It may reach another entry.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

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

/// Bytes of request bodies that this process holds, up to a maximum.
///
/// Load pattern: callers send several bodies of the longest allowed length at the same time. Each is held
/// until its request ends, and the process is killed if it exceeds the memory of its VM.
#[derive(Default)]
pub struct BodyMemory {
    held: Cell<usize>,
}

impl BodyMemory {
    /// Reserves `bytes`; `None` if they would exceed the maximum.
    fn reserve(self: &Rc<Self>, bytes: usize) -> Option<BodyReservation> {
        let mut reservation = BodyReservation {
            memory: self.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

/// Part of the memory for bodies, held until dropped.
pub struct BodyReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl BodyReservation {
    /// Makes the reservation cover at least `bytes`. Returns false if that would exceed the maximum. Small
    /// bodies fit beside it, so that large ones do not keep them away.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let held = self.memory.held.get().saturating_add(more);
        if held > HELD_BYTES_MAX && bytes > SMALL_BODY_BYTES_MAX {
            return false;
        }
        self.memory.held.set(held);
        self.bytes += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let held = &self.memory.held;
        held.set(held.get() - self.bytes);
    }
}

/// A complete body with the memory that it takes.
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    _reservation: Option<BodyReservation>,
}

/// Reads the whole body, so that it can be sent again to another target.
///
/// # Errors
///
/// Returns the response to the caller, if the body is too large or incomplete, or if this process holds
/// too many bytes of other bodies.
pub async fn read_body(
    mut body: Incoming,
    bytes_max: u64,
    memory: &Rc<BodyMemory>,
) -> Result<HeldBody, LocalResponse> {
    if body.is_end_stream() {
        return Ok(HeldBody {
            bytes: Bytes::new(),
            _reservation: None,
        });
    }
    let too_large = LocalResponse::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let no_memory = LocalResponse::not_run("no memory for the body", NO_MEMORY_RETRY_AFTER);
    let announced = body.size_hint().lower();
    if announced > bytes_max {
        discard(body).await;
        return Err(too_large);
    }
    let bytes_max = usize::try_from(bytes_max).unwrap_or(usize::MAX);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    let Some(mut reservation) = memory.reserve(announced) else {
        discard(body).await;
        return Err(no_memory);
    };
    let mut bytes = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let incomplete = LocalResponse::invalid(StatusCode::BAD_REQUEST, "body not whole");
        let Ok(data) = frame.map_err(|_| incomplete)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > bytes_max {
            return Err(too_large);
        }
        // Without a length, the buffer doubles whenever it is full and is copied then.
        let takes = match length > bytes.capacity() {
            true => length.saturating_mul(3),
            false => length,
        };
        if !reservation.grow_to(takes) {
            drop(bytes);
            discard(body).await;
            return Err(no_memory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(HeldBody {
        bytes: bytes.freeze(),
        _reservation: Some(reservation),
    })
}
