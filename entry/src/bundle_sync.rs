//! Fetch of bundle versions from the store and from peers.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{TryStreamExt as _, stream};
use lacewingmoor_bundle::{
    Digest, Map, NodeId, PublicKey, SignedManifest, VerifiedManifest, Version, assemble,
    check_part, part_key,
};
use lacewingmoor_control::Event;
use metrics::counter;
use quick_error::quick_error;
use slog::{Logger, debug, info, warn};

use crate::events::Events;
use crate::peer::{FetchError, Links};
use crate::store::{self, Store};

/// Parts fetched at a time.
const FETCHES_MAX: usize = 8;

/// Bytes of all parts together, kept in memory for peers.
const PARTS_BYTES_MAX: usize = 64 << 20;

/// Time within which a version must be fetched with all its parts, so that a source that answers
/// slowly gives way to another one.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a bundle version was not fetched.
    #[derive(Debug)]
    pub enum Error {
        /// The store failed.
        Store(cause: store::Error) {
            display("store: {cause}")
            from()
        }
        /// The peer failed.
        Peer(cause: FetchError) {
            display("{cause}")
            from()
        }
        /// Signature, digest or content is wrong.
        Bundle(cause: lacewingmoor_bundle::Error) {
            display("{cause}")
            from()
        }
        /// A part is not where it was looked for.
        Missing(part: String) {
            display("part {part}: missing")
        }
        /// The source sent no manifest.
        NoManifest {
            display("no manifest")
        }
        /// The parts take more memory than allowed.
        TooLarge {
            display("parts of more than {PARTS_BYTES_MAX} bytes")
        }
        /// The time allowed passed.
        Timeout {
            display("timed out")
        }
    }
}

/// Where a version is fetched from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// The configuration store.
    Store,
    /// A peer.
    Peer(NodeId),
}

/// The newest verified version and the parts known so far.
#[derive(Default)]
struct Held {
    signed: Bytes,
    verified: Option<VerifiedManifest>,
    parts: Map<Digest, Bytes>,
    last_error: String,
}

/// Keeps the newest verified bundle version, for the reducer and for peers.
pub struct BundleSync {
    store: Arc<dyn Store>,
    links: Arc<Links>,
    operators: Vec<PublicKey>,
    events: Arc<dyn Events>,
    log: Logger,
    held: Arc<Mutex<Held>>,
}

/// What this entry passes on to peers.
#[derive(Clone, Default)]
pub struct Library(Arc<Mutex<Held>>);

impl Library {
    /// Returns the signed manifest of the newest verified version.
    pub fn manifest(&self) -> Option<Bytes> {
        let held = lock(&self.0);
        held.verified.is_some().then(|| held.signed.clone())
    }

    /// Returns a part.
    pub fn part(&self, digest: &Digest) -> Option<Bytes> {
        lock(&self.0).parts.get(digest).cloned()
    }
}

fn lock(held: &Mutex<Held>) -> MutexGuard<'_, Held> {
    held.lock().expect("no holder of the lock panics")
}

impl BundleSync {
    /// Creates a sync that knows no version yet and fills `library`.
    pub fn new(
        store: Arc<dyn Store>,
        links: Arc<Links>,
        library: &Library,
        operators: Vec<PublicKey>,
        events: Arc<dyn Events>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            links,
            operators,
            events,
            log,
            held: library.0.clone(),
        }
    }

    /// Takes the value of the manifest key, fetches what is missing and tells the reducer.
    ///
    /// `as_of` is the time up to which the store's answer is known to have been current.
    pub async fn take_stored(&self, value: Option<&Bytes>, as_of: Duration) {
        let Some(signed) = value else {
            self.reached(as_of, 0, Digest::default());
            return;
        };
        let verified = match self.verify(signed) {
            Ok(verified) => verified,
            Err(error) => {
                // An unverifiable manifest confirms nothing, but an accepted version may still be
                // in force everywhere; like an outage, it keeps the current one.
                self.rejected(Source::Store, &error);
                self.events.send(Event::StoreFailed);
                return;
            }
        };
        let (version, digest) = (verified.manifest.version, verified.digest);
        if let Err(error) = self.take(Source::Store, signed, verified).await {
            self.rejected(Source::Store, &error);
        }
        self.reached(as_of, version, digest);
    }

    /// Fetches the manifest of a peer and its missing parts.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not deliver a verifiable version in time.
    pub async fn fetch_from_peer(&self, peer: NodeId) -> Result<(), Error> {
        let result = self.try_peer(peer).await;
        if let Err(error) = &result {
            self.rejected(Source::Peer(peer), error);
        }
        result
    }

    async fn try_peer(&self, peer: NodeId) -> Result<(), Error> {
        let signed = self.links.manifest(peer).await?.ok_or(Error::NoManifest)?;
        let verified = self.verify(&signed)?;
        self.take(Source::Peer(peer), &signed, verified).await
    }

    fn verify(&self, signed: &Bytes) -> Result<VerifiedManifest, Error> {
        {
            let held = lock(&self.held);
            if let (Some(verified), true) = (&held.verified, held.signed == *signed) {
                return Ok(verified.clone());
            }
        }
        Ok(SignedManifest::from_json(signed)?.verify(&self.operators)?)
    }

    /// Puts a verified manifest together with its parts, unless its version is not newer.
    async fn take(
        &self,
        source: Source,
        signed: &Bytes,
        verified: VerifiedManifest,
    ) -> Result<(), Error> {
        if verified.manifest.version <= self.version() {
            return Ok(());
        }
        tokio::time::timeout(FETCH_TIMEOUT, self.fetch_parts(source, &verified))
            .await
            .map_err(|_| Error::Timeout)??;
        self.keep(source, signed, verified)
    }

    fn version(&self) -> Version {
        let held = lock(&self.held);
        held.verified.as_ref().map_or(0, |v| v.manifest.version)
    }

    /// Fetches missing parts. Those that arrived stay for the next try if others fail.
    async fn fetch_parts(&self, source: Source, verified: &VerifiedManifest) -> Result<(), Error> {
        let missing: Vec<(String, Digest)> = {
            let held = lock(&self.held);
            let missing = verified.manifest.missing(|d| held.parts.contains_key(d));
            missing.iter().map(|p| (p.name.clone(), p.digest)).collect()
        };
        stream::iter(missing.into_iter().map(Ok))
            .try_for_each_concurrent(FETCHES_MAX, |(name, digest)| async move {
                let found = match source {
                    Source::Store => self.store.get(&part_key(&digest)).await?.value,
                    Source::Peer(peer) => self.links.part(peer, digest).await?,
                };
                let bytes = found.ok_or(Error::Missing(name))?;
                check_part(&digest, &bytes)?;
                let mut held = lock(&self.held);
                let total: usize = held.parts.values().map(Bytes::len).sum();
                if total + bytes.len() > PARTS_BYTES_MAX {
                    return Err(Error::TooLarge);
                }
                held.parts.insert(digest, bytes);
                Ok(())
            })
            .await
    }

    /// Assembles a version, keeps it for peers and tells the reducer. The lock is held until the
    /// event is sent, so that two fetches send their versions in order.
    fn keep(
        &self,
        source: Source,
        signed: &Bytes,
        verified: VerifiedManifest,
    ) -> Result<(), Error> {
        let mut held = lock(&self.held);
        let current = held.verified.as_ref().map_or(0, |v| v.manifest.version);
        if verified.manifest.version <= current {
            return Ok(());
        }
        let bundle = assemble(&verified.manifest, &held.parts)?;
        let named: Vec<Digest> = verified.manifest.parts.iter().map(|p| p.digest).collect();
        held.parts.retain(|digest, _| named.contains(digest));
        held.signed = signed.clone();
        info!(self.log, "bundle fetched"; "version" => bundle.version, "source" => ?source);
        counter!("lacewingmoor_bundles_fetched_total").increment(1);
        held.verified = Some(verified);
        held.last_error.clear();
        self.events.send(Event::Bundle(Arc::new(bundle)));
        Ok(())
    }

    fn reached(&self, as_of: Duration, version: Version, digest: Digest) {
        self.events.send(Event::StoreReached {
            as_of,
            version,
            digest,
        });
    }

    /// Logs a failed fetch. A watch repeats a failing fetch, so only a new error is a warning.
    fn rejected(&self, source: Source, error: &Error) {
        counter!("lacewingmoor_bundle_failures_total").increment(1);
        let error = error.to_string();
        let mut held = lock(&self.held);
        if held.last_error == error {
            debug!(self.log, "bundle not fetched"; "source" => ?source, "error" => &error);
        } else {
            warn!(self.log, "bundle not fetched"; "source" => ?source, "error" => &error);
            held.last_error = error;
        }
    }

    /// Returns the store.
    pub fn store(&self) -> &dyn Store {
        &*self.store
    }

    /// Returns the reducer's side.
    pub fn events(&self) -> &dyn Events {
        &*self.events
    }

    /// Tells the reducer that a store call is not answered in time.
    pub fn store_slow(&self) {
        counter!("lacewingmoor_store_slow_total").increment(1);
        self.events.send(Event::StoreFailed);
    }

    /// Tells the reducer that a store call failed.
    pub fn store_failed(&self, error: &store::Error) {
        debug!(self.log, "store call failed"; "error" => %error);
        self.events.send(Event::StoreFailed);
    }
}
