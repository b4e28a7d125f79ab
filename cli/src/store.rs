//! Client of the configuration store.

use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_bundle::{
    Digest, MANIFEST_KEY, Manifest, Map, RawBundle, SignedManifest, Version, check_part, hex,
    part_key,
};
use quick_error::ResultExt as _;
use reqwest::{Client, StatusCode};

use crate::error::Error;
use crate::http;

/// Time that one store call may take unless an option says otherwise.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls made for one write or read before it counts as failed.
pub const ATTEMPTS: u32 = 5;

/// Pause before the second attempt; doubles with each further one.
const PAUSE: Duration = Duration::from_millis(50);

/// Revision of a key; 0 if the key does not exist.
pub type Revision = u64;

/// A store client.
pub struct Store {
    addr: SocketAddr,
    client: Client,
}

/// Result of a compare-and-swap.
pub enum Put {
    /// The value was written.
    Written,
    /// The key has another revision; nothing was written.
    Conflict,
    /// The request did not reach the store, or the store refused it.
    NotWritten(String),
    /// No answer; the value may have been written or may still be.
    Lost(String),
}

/// The manifest in the store.
pub struct Stored {
    /// Revision of the manifest key.
    pub revision: Revision,
    /// The manifest; `None` if the key does not exist.
    pub accepted: Option<Accepted>,
}

/// An accepted version.
pub struct Accepted {
    /// The manifest as stored.
    pub signed: SignedManifest,
    /// The manifest.
    pub manifest: Manifest,
    /// Its digest.
    pub digest: Digest,
}

impl Accepted {
    /// Returns the version.
    pub fn version(&self) -> Version {
        self.manifest.version
    }
}

impl Store {
    /// Makes a client; each call may take `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let client = http::client(timeout);
        Self { addr, client }
    }

    /// Returns the store's address for messages.
    pub fn peer(&self) -> String {
        self.addr.to_string()
    }

    fn url(&self, key: &str) -> String {
        format!("http://{}/v1/kv/{key}", self.addr)
    }

    fn failed(&self, step: &'static str, why: impl Into<String>) -> Error {
        Error::Store(step, self.peer(), why.into())
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store does not answer as its protocol says.
    async fn get(
        &self,
        step: &'static str,
        key: &str,
    ) -> Result<(Revision, Option<Vec<u8>>), Error> {
        let reply = http::call(self.client.get(self.url(key)))
            .await
            .map_err(|f| self.failed(step, f.why))?;
        match (reply.status, reply.revision) {
            (StatusCode::OK, Some(revision)) => Ok((revision, Some(reply.body))),
            (StatusCode::NOT_FOUND, _) => Ok((0, None)),
            (StatusCode::OK, None) => Err(self.failed(step, "answer without store-revision")),
            (status, _) => Err(self.failed(step, format!("answer {status}"))),
        }
    }

    /// Writes a key if it has the revision `expected`, with one call.
    pub async fn put(&self, key: &str, expected: Revision, value: &[u8]) -> Put {
        let request = self.client.put(self.url(key));
        let request = request.header("if-revision", expected);
        match http::call(request.body(value.to_vec())).await {
            Ok(reply) => match reply.status {
                StatusCode::OK => Put::Written,
                StatusCode::PRECONDITION_FAILED => Put::Conflict,
                status if status.is_client_error() => Put::NotWritten(format!("answer {status}")),
                status => Put::Lost(format!("answer {status}")),
            },
            Err(failure) if failure.not_sent => Put::NotWritten(failure.why),
            Err(failure) => Put::Lost(failure.why),
        }
    }

    /// Reads the accepted version.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store does not answer, [`Error::Bundle`] if the value is not a
    /// signed manifest.
    pub async fn manifest(&self) -> Result<Stored, Error> {
        let (revision, value) = self.get("read manifest", MANIFEST_KEY).await?;
        let Some(value) = value else {
            return Ok(Stored {
                revision,
                accepted: None,
            });
        };
        let peer = format!("in store {}", self.addr);
        let at = ("read manifest", peer.as_str());
        let signed = SignedManifest::from_json(&value).context(at)?;
        let manifest = signed.peek().context(at)?;
        let digest = manifest.digest();
        Ok(Stored {
            revision,
            accepted: Some(Accepted {
                signed,
                manifest,
                digest,
            }),
        })
    }

    /// Writes a part unless it is there. A lost answer is harmless: the value is fixed by the key.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store does not confirm the write, [`Error::Bundle`] if it holds
    /// something else under the key.
    pub async fn put_part(&self, digest: &Digest, bytes: &[u8]) -> Result<(), Error> {
        let key = part_key(digest);
        let mut last = String::new();
        for attempt in 0..ATTEMPTS {
            pause(attempt).await;
            match self.put(&key, 0, bytes).await {
                Put::Written => return Ok(()),
                Put::Conflict => return self.part(digest).await.map(|_| ()),
                Put::NotWritten(why) | Put::Lost(why) => last = why,
            }
        }
        Err(self.failed("write part", last))
    }

    /// Reads a part and checks its digest.
    async fn part(&self, digest: &Digest) -> Result<Vec<u8>, Error> {
        let (_, value) = self.get("read part", &part_key(digest)).await?;
        let value =
            value.ok_or_else(|| self.failed("read part", format!("{} is missing", hex(digest))))?;
        let peer = format!("in store {}", self.addr);
        check_part(digest, &value).context(("read part", peer.as_str()))?;
        Ok(value)
    }

    /// Reads the bundle of a manifest; parts in `known` are not read again.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] or [`Error::Bundle`] if a part cannot be read.
    pub async fn bundle(
        &self,
        manifest: &Manifest,
        known: &Map<Digest, Vec<u8>>,
    ) -> Result<RawBundle, Error> {
        let mut parts = known.clone();
        for part in manifest.missing(|digest| known.contains_key(digest)) {
            parts.insert(part.digest, self.part(&part.digest).await?);
        }
        let peer = format!("in store {}", self.addr);
        Ok(RawBundle::join(manifest, &parts).context(("read bundle", peer.as_str()))?)
    }
}

/// Waits before an attempt; not before the first one.
pub async fn pause(attempt: u32) {
    if attempt > 0 {
        tokio::time::sleep(PAUSE * 2u32.pow(attempt - 1)).await;
    }
}
