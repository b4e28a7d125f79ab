//! Calls of the store over one connection each.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use lacewingmoor_platform::store;
use metrics::counter;
use quick_error::quick_error;

use crate::connection::{self, Connection};
use crate::shared_state::SharedState;

/// Time to open a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for an answer beyond the wait that the call asks for.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest answer; a page has at most about 1 MB.
const BODY_BYTES_MAX: usize = 4 << 20;

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum Error {
        /// No answer; the call may have been executed.
        Transport(cause: connection::Error) {
            display("store: {cause}")
            source(cause)
            from()
        }
        /// The answer broke off.
        Body(why: String) {
            display("store: answer cut: {why}")
        }
        /// The answer says that the call failed.
        Response(cause: store::Error) {
            display("store: {cause}")
            source(cause)
            from()
        }
    }
}

/// Client of the store with one connection.
pub struct Client {
    addr: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client that connects on its first call.
    pub fn new(shared: &Rc<SharedState>) -> Self {
        Self {
            addr: shared.settings.store,
            connection: None,
        }
    }

    /// Returns the value for the host field.
    pub fn host(&self) -> String {
        self.addr.to_string()
    }

    /// Makes a call that the store may hold back for `wait`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer. The connection is not used again.
    pub async fn call(
        &mut self,
        kind: &'static str,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        counter!("lacewingmoor_store_calls_total", "kind" => kind).increment(1);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.addr, CONNECT_TIMEOUT).await?,
        };
        let exchange = async {
            let answer = connection.send(request).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), BODY_BYTES_MAX)
                .collect()
                .await
                .map_err(|e| Error::Body(e.to_string()))?;
            Ok::<_, Error>((status, body.to_bytes()))
        };
        let answer = tokio::time::timeout(wait + RESPONSE_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::Transport(connection::Error::Timeout))
            .flatten();
        match answer {
            Ok(answer) => {
                self.connection = Some(connection);
                Ok(answer)
            }
            Err(error) => {
                counter!("lacewingmoor_store_failures_total", "kind" => kind).increment(1);
                Err(error)
            }
        }
    }
}
