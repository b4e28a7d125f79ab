//! Client of the configuration store.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use lacewingmoor_bundle::VALUE_BYTES_MAX;
use lacewingmoor_derive::value;
use metrics::counter;

pub use crate::http_get::Error;
use crate::http_get::{client, fetch};

/// Time within which a call must be answered. A slow store still delivers new versions until then,
/// although its answers are too old to confirm one.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which the store must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Revision of a key; 0 stands for a key that does not exist.
pub type Revision = u64;

/// Result of a call, in a box because the trait is used as an object.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// A key as the store holds it.
#[value]
pub struct Stored {
    /// Revision of the key.
    pub revision: Revision,
    /// Value, or `None` if the key does not exist.
    pub value: Option<Bytes>,
}

/// Reads of the configuration store.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Stored>;

    /// Waits until the key has another revision than `known`; `None` if it has not within `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: Revision,
        wait: Duration,
    ) -> Call<'a, Option<Stored>>;
}

/// The store over HTTP.
pub struct HttpStore {
    client: reqwest::Client,
    base: String,
}

impl HttpStore {
    /// Creates a client of the store at `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP library.
    pub fn new(addr: SocketAddr) -> Result<Self, reqwest::Error> {
        Ok(Self {
            client: client(CONNECT_TIMEOUT)?,
            base: format!("http://{addr}/v1/kv/"),
        })
    }

    async fn call(
        &self,
        kind: &'static str,
        url: String,
        timeout: Duration,
    ) -> Result<Option<Stored>, Error> {
        counter!("lacewingmoor_store_calls_total", "kind" => kind).increment(1);
        let result = self.read(kind, url, timeout).await;
        if result.is_err() {
            counter!("lacewingmoor_store_failures_total", "kind" => kind).increment(1);
        }
        result
    }

    async fn read(
        &self,
        kind: &'static str,
        url: String,
        timeout: Duration,
    ) -> Result<Option<Stored>, Error> {
        let request = self.client.get(url);
        let (response, body) = fetch(kind, request, timeout, VALUE_BYTES_MAX).await?;
        let value = match response.status() {
            StatusCode::OK => Some(body),
            StatusCode::NOT_FOUND => None,
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(Error::Unexpected(kind, format!("status {status}"))),
        };
        let revision = response
            .headers()
            .get("store-revision")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .ok_or_else(|| Error::Unexpected(kind, "answer without store-revision".into()))?;
        Ok(Some(Stored { revision, value }))
    }
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Stored> {
        Box::pin(async move {
            let url = format!("{}{key}", self.base);
            let stored = self.call("get", url, CALL_TIMEOUT).await?;
            stored.ok_or_else(|| Error::Unexpected("get", "not modified".into()))
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: Revision,
        wait: Duration,
    ) -> Call<'a, Option<Stored>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let url = format!("{}{key}?wait_revision={known}&wait_ms={wait_ms}", self.base);
            let stored = self.call("watch", url, wait + CALL_TIMEOUT).await?;
            Ok(stored.filter(|s| s.revision != known))
        })
    }
}
