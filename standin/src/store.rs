//! Stand-in for the platform's store: listings, watches, transactions and leases.
//!
//! It ignores `staleOk`: every read returns the latest state. Pages of listings name no leases.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use lacewingmoor_bundle::RawBundle;
use lacewingmoor_control::model::{Era, Record, Revision, Target};
use lacewingmoor_platform::config;
use lacewingmoor_platform::registry::{CONFIG_KEY, EVACUATE_PREFIX, SERVERS_PREFIX};
use lacewingmoor_platform::server::{self, Txn};
use lacewingmoor_platform::store::{
    ERA, FIRST_ERA, KEEP_PATH, KEY_PATH, LEASE_PATH, LIST_PATH, LeaseId, TXN_PATH, WATCH_PATH,
};
use tokio::sync::watch;

use crate::http_server::{
    HandlerResult, Server, connection_aborted, query_param, read_body, respond,
};

/// Maximum number of records on a page of a listing.
const PAGE_RECORDS_MAX: usize = 50;

/// Maximum length of the keys and values on a page, if it has more than one record.
const PAGE_BYTES_MAX: usize = 1 << 20;

/// Interval at which expired leases and their keys are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Executes calls and responds.
    #[default]
    None,
    /// Drops connections without a response and does not execute calls.
    Reset,
    /// Never responds and keeps connections open.
    Hang,
    /// Responds with status 429 and does not execute calls.
    TooManyRequests,
    /// Executes calls and drops connections without a response.
    LoseResponses,
    /// Executes calls after a delay.
    Delay(Duration),
}

/// Copy of the contents of a store, from which it can be restored.
#[derive(Clone)]
pub struct StoreCopy {
    records: BTreeMap<String, (Record, LeaseId)>,
    revision: u64,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
}

impl StoreCopy {
    /// Drops the keys that start with `prefix` and all leases, as if the copy had been taken before they
    /// were written.
    pub fn drop_leased(&mut self, prefix: &str) {
        self.records.retain(|key, _| !key.starts_with(prefix));
        self.leases.clear();
    }
}

#[derive(Default)]
struct Inner {
    /// Number of the era, which rises with each restore; not named in responses while `None`.
    era: Option<Era>,
    /// Record of each key and its lease; 0 means none.
    records: BTreeMap<String, (Record, LeaseId)>,
    history: Vec<Record>,
    /// History up to this revision was dropped.
    compacted_revision: u64,
    revision: u64,
    /// Expiry and time to live of each lease.
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    last_lease: LeaseId,
    fault: StoreFault,
    call_count: u64,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

/// A running store. Dropping it closes the listener and every connection.
pub struct StoreStandin {
    server: Server,
    shared: Arc<Shared>,
    bundle_version: watch::Sender<u64>,
}

impl StoreStandin {
    /// Starts an empty store on `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let inner = Inner {
            era: Some(FIRST_ERA),
            ..Inner::default()
        };
        let shared = Arc::new(Shared {
            inner: Mutex::new(inner),
            changed: watch::Sender::new(0),
        });
        let state = shared.clone();
        let server = Server::start(addr, move |request| handle(state.clone(), request)).await?;
        let state = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = state.upgrade() {
                shared.remove_expired_keys();
                drop(shared);
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            }
        });
        Ok(Self {
            server,
            shared,
            bundle_version: watch::Sender::new(0),
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the fault of calls that arrive from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
    }

    /// Returns the number of calls received so far.
    pub fn call_count(&self) -> u64 {
        self.shared.lock().call_count
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.shared.lock();
        let keys = inner.records.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let inner = self.shared.lock();
        let (record, _) = inner.records.get(key)?;
        record.value.clone()
    }

    /// Returns the number of leases created so far. Lease ids count up from 1.
    pub fn created_lease_count(&self) -> LeaseId {
        self.shared.lock().last_lease
    }

    /// Expires every lease and removes the keys attached to it.
    pub fn expire_leases(&self) {
        self.shared.lock().leases.clear();
        self.shared.remove_expired_keys();
    }

    /// Writes a key without a lease.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        self.shared.commit(Txn {
            writes: vec![(key.to_owned(), value, 0)],
            ..Txn::default()
        });
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.commit(Txn {
            removals: vec![key.to_owned()],
            ..Txn::default()
        });
    }

    /// Writes the configuration bundle.
    pub fn put_bundle(&self, bundle: &RawBundle) {
        self.put(CONFIG_KEY, config::encode(bundle));
        self.bundle_version.send_replace(bundle.version);
    }

    /// Returns a receiver of the version of the bundle that was written last.
    pub fn bundle_version_receiver(&self) -> watch::Receiver<u64> {
        self.bundle_version.subscribe()
    }

    /// Writes the registration of a target.
    pub fn put_target(&self, target: &Target) {
        let key = format!("{SERVERS_PREFIX}{}", target.id);
        self.put(&key, server::encode_target(target));
    }

    /// Removes the registration of a target.
    pub fn remove_target(&self, id: &str) {
        self.remove(&format!("{SERVERS_PREFIX}{id}"));
    }

    /// Takes a zone out of service, or returns it to service.
    pub fn set_zone_out_of_service(&self, zone: &str, out: bool) {
        let key = format!("{EVACUATE_PREFIX}{zone}");
        match out {
            true => self.put(&key, b"{}".to_vec()),
            false => self.remove(&key),
        }
    }

    /// Sets whether responses name the era.
    pub fn set_names_era(&self, names_era: bool) {
        self.shared.lock().era = names_era.then_some(FIRST_ERA);
    }

    /// Returns a copy of the current contents.
    pub fn copy(&self) -> StoreCopy {
        let inner = self.shared.lock();
        StoreCopy {
            records: inner.records.clone(),
            revision: inner.revision,
            leases: inner.leases.clone(),
        }
    }

    /// Restores the contents from a copy: what was written since is lost, and revisions are given out
    /// again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut inner = self.shared.lock();
        inner.records = copy.records.clone();
        inner.leases = copy.leases.clone();
        inner.revision = copy.revision;
        inner.history.retain(|r| r.revision.number <= copy.revision);
        inner.era = inner.era.map(|era| era + 1);
        drop(inner);
        self.shared.changed.send_replace(copy.revision);
    }

    /// Drops the history: a watch that continues from an earlier revision gets status 410.
    pub fn compact(&self) {
        let mut inner = self.shared.lock();
        inner.compacted_revision = inner.revision;
        inner.history.clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Executes a transaction if its preconditions hold. Returns its revision, or `None` if a
    /// precondition does not hold.
    fn commit(&self, txn: Txn) -> Option<u64> {
        let mut inner = self.lock();
        let preconditions_hold = txn.preconditions.iter().all(|(key, revision)| {
            let current = inner.records.get(key).map_or(0, |(r, _)| r.revision.number);
            current == *revision
        });
        if !preconditions_hold {
            return None;
        }
        inner.revision += 1;
        let revision = inner.revision;
        // The era is named in the header of responses only.
        let recorded = Revision {
            era: 0,
            number: revision,
        };
        for (key, value, lease) in txn.writes {
            let record = Record {
                key: key.clone(),
                revision: recorded,
                value: Some(value),
            };
            inner.history.push(record.clone());
            inner.records.insert(key, (record, lease));
        }
        for key in txn.removals {
            if inner.records.remove(&key).is_some() {
                inner.history.push(Record {
                    key,
                    revision: recorded,
                    value: None,
                });
            }
        }
        drop(inner);
        self.changed.send_replace(revision);
        Some(revision)
    }

    fn remove_expired_keys(&self) {
        let removals: Vec<String> = {
            let mut inner = self.lock();
            let now = Instant::now();
            inner.leases.retain(|_, (expires_at, _)| *expires_at > now);
            let leases = &inner.leases;
            let has_expired = |lease: &LeaseId| *lease != 0 && !leases.contains_key(lease);
            let records = inner.records.iter();
            records
                .filter(|(_, (_, lease))| has_expired(lease))
                .map(|(key, _)| key.clone())
                .collect()
        };
        if !removals.is_empty() {
            self.commit(Txn {
                removals,
                ..Txn::default()
            });
        }
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let mut response = respond_or_fail(&shared, request).await?;
    if let Some(era) = shared.lock().era {
        let era = HeaderValue::from(era);
        response.headers_mut().insert(ERA, era);
    }
    Ok(response)
}

async fn respond_or_fail(shared: &Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let fault = {
        let mut inner = shared.lock();
        inner.call_count += 1;
        inner.fault
    };
    match fault {
        StoreFault::None => execute(shared, request).await,
        StoreFault::Reset => Err(connection_aborted()),
        StoreFault::Hang => std::future::pending().await,
        StoreFault::TooManyRequests => Ok(respond(StatusCode::TOO_MANY_REQUESTS, "")),
        StoreFault::LoseResponses => {
            execute(shared, request).await?;
            Err(connection_aborted())
        }
        StoreFault::Delay(delay) => {
            tokio::time::sleep(delay).await;
            execute(shared, request).await
        }
    }
}

async fn execute(shared: &Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let prefix = query_param(&head.uri, "prefix").unwrap_or_default();
    let after = query_param(&head.uri, "after");
    let number = |text: Option<String>| text.and_then(|t| t.parse().ok()).unwrap_or(0);
    let lease_id = |base| path.strip_prefix(base).and_then(|id| id.parse().ok());
    if head.method == Method::GET && path == KEY_PATH {
        let key = query_param(&head.uri, "key").unwrap_or_default();
        let inner = shared.lock();
        return Ok(match inner.records.get(&key) {
            Some((record, lease)) => {
                respond(StatusCode::OK, server::encode_leased_record(record, *lease))
            }
            None => respond(StatusCode::NOT_FOUND, ""),
        });
    }
    if head.method == Method::GET && path == LIST_PATH {
        return Ok(list(shared, &prefix, after));
    }
    if head.method == Method::GET && path == WATCH_PATH {
        let wait = Duration::from_millis(number(query_param(&head.uri, "waitMs")));
        return Ok(watch_changes(shared, &prefix, number(after), wait).await);
    }
    let body = read_body(body).await?;
    if path == TXN_PATH {
        let Some(txn) = server::decode_txn(&body) else {
            return Ok(respond(StatusCode::BAD_REQUEST, ""));
        };
        let lease_exists =
            |lease: &LeaseId| *lease == 0 || shared.lock().leases.contains_key(lease);
        if !txn.writes.iter().all(|(_, _, lease)| lease_exists(lease)) {
            return Ok(respond(StatusCode::NOT_FOUND, ""));
        }
        return Ok(match shared.commit(txn) {
            Some(revision) => respond(StatusCode::OK, server::encode_txn_result(revision)),
            None => respond(StatusCode::PRECONDITION_FAILED, ""),
        });
    }
    if path == LEASE_PATH {
        let Some(ttl_ms) = server::decode_lease_ttl_ms(&body) else {
            return Ok(respond(StatusCode::BAD_REQUEST, ""));
        };
        let ttl = Duration::from_millis(ttl_ms);
        let mut inner = shared.lock();
        inner.last_lease += 1;
        let id = inner.last_lease;
        inner.leases.insert(id, (Instant::now() + ttl, ttl));
        return Ok(respond(StatusCode::OK, server::encode_lease(id, ttl_ms)));
    }
    if let Some(id) = lease_id(KEEP_PATH) {
        let mut inner = shared.lock();
        return Ok(match inner.leases.get_mut(&id) {
            Some((expires_at, ttl)) => {
                *expires_at = Instant::now() + *ttl;
                respond(StatusCode::OK, "{}")
            }
            None => respond(StatusCode::NOT_FOUND, ""),
        });
    }
    Ok(respond(StatusCode::NOT_FOUND, ""))
}

fn list(
    shared: &Shared,
    prefix: &str,
    after: Option<String>,
) -> http::Response<http_body_util::Full<bytes::Bytes>> {
    let inner = shared.lock();
    let mut records: Vec<Record> = inner
        .records
        .values()
        .map(|(record, _)| record)
        .filter(|record| record.key.starts_with(prefix))
        .filter(|record| after.as_ref().is_none_or(|after| record.key > *after))
        .take(PAGE_RECORDS_MAX + 1)
        .cloned()
        .collect();
    let mut bytes = 0;
    let fitting = records.iter().take_while(|record| {
        let is_first = bytes == 0;
        bytes += record.key.len() + record.value.as_ref().map_or(0, Vec::len);
        is_first || bytes <= PAGE_BYTES_MAX
    });
    let page_len = fitting.count().min(PAGE_RECORDS_MAX);
    let has_more = records.len() > page_len;
    records.truncate(page_len);
    respond(
        StatusCode::OK,
        server::encode_page(&records, has_more, inner.revision),
    )
}

async fn watch_changes(
    shared: &Arc<Shared>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> http::Response<http_body_util::Full<bytes::Bytes>> {
    let mut changed = shared.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        {
            let inner = shared.lock();
            if after < inner.compacted_revision || after > inner.revision {
                return respond(StatusCode::GONE, "");
            }
            let is_new = |r: &&Record| r.revision.number > after && r.key.starts_with(prefix);
            let events: Vec<Record> = inner.history.iter().filter(is_new).cloned().collect();
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                let body = server::encode_events(&events, inner.revision);
                return respond(StatusCode::OK, body);
            }
        }
        // After a change or the timeout, the history is searched again.
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
