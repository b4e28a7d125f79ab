//! Calls to the store. Each client uses one connection and makes one call at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use lacewingmoor_control::message_bounds::{MessageBounds, MessageKind};
use lacewingmoor_control::model::Era;
use lacewingmoor_platform::store;
use metrics::counter;
use quick_error::quick_error;
use slog::warn;

use crate::connection::{self, Connection};
use crate::shared_state::SharedState;
use crate::unknown_fields::{self, Origin};

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the head of a response, in addition to the time that the store may wait before it responds,
/// and for each part of its body.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for a whole body: several times what the longest one takes at 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum length of a response body.
const BODY_BYTES_MAX: usize = MessageBounds::of(MessageKind::StoreResponse).body_bytes;

/// Maximum length of the records of a listing.
pub const LISTING_BYTES_MAX: usize = MessageBounds::of(MessageKind::Listing).body_bytes;

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum Error {
        /// No response arrived; the call may have been executed.
        Transport(cause: connection::Error) {
            display("store: {cause}")
            source(cause)
            from()
        }
        /// The response body is incomplete.
        Body(cause: String) {
            display("store: cannot read response body: {cause}")
        }
        /// The response body is longer than [`BODY_BYTES_MAX`].
        TooLong {
            display("store: response body has more than {BODY_BYTES_MAX} bytes")
        }
        /// A page of a listing says that more keys follow, but does not get beyond the page before.
        NoProgress {
            display("store: listing does not advance from page to page")
        }
        /// The records of a listing are longer than [`LISTING_BYTES_MAX`].
        ListingTooLong {
            display("store: listing has more than {LISTING_BYTES_MAX} bytes")
        }
        /// The store has another era than the revision that the call refers to.
        OtherEra(era: Era, known: Era) {
            display("store: era {era} instead of {known}")
        }
        /// The response reports a failure or cannot be decoded.
        Response(cause: store::Error) {
            display("store: {cause}")
            source(cause)
            from()
        }
    }
}

/// Response of the store.
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
    /// Era of the store, if the response names it.
    pub era: Option<Era>,
}

/// Client of the store with at most one connection.
pub struct Client {
    shared: Rc<SharedState>,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client, which connects on its first call.
    pub fn new(shared: &Rc<SharedState>) -> Self {
        Self {
            shared: shared.clone(),
            connection: None,
        }
    }

    fn addr(&self) -> SocketAddr {
        self.shared.settings.store_addr
    }

    /// Returns the value of the `Host` header.
    pub fn host(&self) -> String {
        self.addr().to_string()
    }

    /// Makes a call. The store may take up to `wait` before it responds, as it does for a watch.
    /// `kind` labels the call in metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives in time. The connection is not used again.
    pub async fn call(
        &mut self,
        kind: &'static str,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Reply, Error> {
        counter!("lacewingmoor_store_calls_total", "kind" => kind).increment(1);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.addr(), CONNECT_TIMEOUT).await?,
        };
        let exchange = async {
            let response = tokio::time::timeout(wait + RESPONSE_TIMEOUT, connection.send(request))
                .await
                .map_err(|_| connection::Error::Timeout)
                .flatten()?;
            unknown_fields::report(&self.shared, response.headers(), Origin::Store);
            let status = response.status();
            let era = store::era(response.headers());
            let body = tokio::time::timeout(BODY_TIMEOUT, read_body(response.into_body()))
                .await
                .map_err(|_| connection::Error::Timeout)??;
            let era = era.unwrap_or_else(|error| {
                warn!(self.shared.log, "store_era_unusable"; "cause" => %error);
                None
            });
            Ok::<_, Error>(Reply { status, body, era })
        };
        let response = exchange.await;
        match response {
            Ok(response) => {
                self.connection = Some(connection);
                Ok(response)
            }
            Err(error) => {
                counter!("lacewingmoor_store_failures_total", "kind" => kind).increment(1);
                Err(error)
            }
        }
    }
}

/// Reads a response body. Each part may take [`RESPONSE_TIMEOUT`], so that a long body has the time that a
/// slow link takes for it.
async fn read_body(mut body: Incoming) -> Result<Bytes, Error> {
    if body.size_hint().lower() > BODY_BYTES_MAX as u64 {
        return Err(Error::TooLong);
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(RESPONSE_TIMEOUT, body.frame()).await;
        match frame.map_err(|_| connection::Error::Timeout)? {
            None => return Ok(bytes.freeze()),
            Some(Err(error)) => return Err(Error::Body(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
        }
        if bytes.len() > BODY_BYTES_MAX {
            return Err(Error::TooLong);
        }
    }
}
