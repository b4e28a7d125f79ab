//! Stand-in of the configuration store: compare-and-swap, leases, watches by long poll.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::server::{Body, Reply, Server, answer, cut, json, query_number, read_body};

/// Longest value in bytes.
pub const VALUE_BYTES_MAX: usize = 1024 * 1024;

/// Longest wait of a watch.
pub const WAIT_MAX: Duration = Duration::from_secs(60);

const PREFIX: &str = "/v1/kv/";

/// Revision of a key; 0 stands for a key that does not exist.
pub type Revision = u64;

/// Calls counted by kind. A waiting watch is one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads that do not wait.
    pub get: u64,
    /// Watches.
    pub watch: u64,
    /// Writes, refused ones included.
    pub put: u64,
    /// Watches waiting now.
    pub waiting: u64,
}

/// Faults that can be set at run time; absent fields stay as they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreFaults {
    /// Closes connections without an answer.
    pub down: Option<bool>,
    /// Delay of every call in milliseconds.
    pub slow_ms: Option<u64>,
    /// Loses the answer of the next write after the write took effect.
    pub lose_next: Option<bool>,
}

#[derive(Default)]
struct Inner {
    values: BTreeMap<String, (Revision, Bytes)>,
    last: Revision,
    down: bool,
    slow: Duration,
    lose_next: bool,
    counts: StoreCounts,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

/// A running store stand-in.
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store on `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let state = shared.clone();
        let server = Server::start(addr, move |request| handle(state.clone(), request)).await?;
        Ok(Self { server, shared })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets faults.
    pub fn set(&self, faults: StoreFaults) {
        self.shared.set(faults);
    }

    /// Takes the store down or brings it back.
    pub fn set_down(&self, down: bool) {
        self.set(StoreFaults {
            down: Some(down),
            ..StoreFaults::default()
        });
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts
    }

    /// Returns revision and value of a key.
    pub fn value(&self, key: &str) -> Option<(Revision, Bytes)> {
        self.shared.lock().values.get(key).cloned()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no handler panics with the lock")
    }

    fn set(&self, faults: StoreFaults) {
        let mut inner = self.lock();
        inner.down = faults.down.unwrap_or(inner.down);
        inner.slow = faults.slow_ms.map_or(inner.slow, Duration::from_millis);
        inner.lose_next = faults.lose_next.unwrap_or(inner.lose_next);
        drop(inner);
        self.notify();
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns revision and value of a key, or an error while the store is down.
    fn read(&self, key: &str) -> io::Result<(Revision, Option<Bytes>)> {
        let inner = self.lock();
        if inner.down {
            return Err(cut());
        }
        Ok(match inner.values.get(key) {
            Some((revision, value)) => (*revision, Some(value.clone())),
            None => (0, None),
        })
    }

    fn write(&self, key: &str, value: Bytes, expected: Option<Revision>) -> Result<u64, u64> {
        let mut inner = self.lock();
        let current = inner.values.get(key).map_or(0, |(revision, _)| *revision);
        if expected.is_some_and(|e| e != current) {
            return Err(current);
        }
        inner.last += 1;
        let revision = inner.last;
        inner.values.insert(key.to_owned(), (revision, value));
        drop(inner);
        self.notify();
        Ok(revision)
    }

    /// Removes a key unless it was written again since `revision`.
    fn expire(&self, key: &str, revision: Revision) {
        let mut inner = self.lock();
        if inner.values.get(key).is_some_and(|(r, _)| *r == revision) {
            inner.values.remove(key);
            drop(inner);
            self.notify();
        }
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    if request.uri().path() == "/standin" {
        return control(&shared, request).await;
    }
    let slow = {
        let inner = shared.lock();
        if inner.down {
            return Err(cut());
        }
        inner.slow
    };
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    let Some(key) = request.uri().path().strip_prefix(PREFIX).map(str::to_owned) else {
        return Ok(answer(StatusCode::NOT_FOUND, "no such path\n"));
    };
    match *request.method() {
        Method::GET => get(&shared, &key, &request).await,
        Method::PUT => put(&shared, key, request).await,
        _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

async fn control(shared: &Shared, request: Request<Incoming>) -> Reply {
    if request.method() == Method::POST {
        let bytes = read_body(request.into_body(), 4096)
            .await?
            .unwrap_or_default();
        match serde_json::from_slice(&bytes) {
            Ok(faults) => shared.set(faults),
            Err(e) => return Ok(answer(StatusCode::BAD_REQUEST, format!("{e}\n"))),
        }
    }
    let counts = shared.lock().counts;
    json(&counts)
}

async fn get(shared: &Shared, key: &str, request: &Request<Incoming>) -> Reply {
    let Some(known) = query_number(request.uri(), "wait_revision") else {
        shared.lock().counts.get += 1;
        let (revision, value) = shared.read(key)?;
        return Ok(value_answer(revision, value));
    };
    let wait = Duration::from_millis(query_number(request.uri(), "wait_ms").unwrap_or(0));
    let until = Instant::now() + wait.min(WAIT_MAX);
    let _waiting = Waiting::new(shared);
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let (revision, value) = shared.read(key)?;
        if revision != known {
            return Ok(value_answer(revision, value));
        }
        if tokio::time::timeout_at(until.into(), changed.changed())
            .await
            .is_err()
        {
            return Ok(with_revision(
                answer(StatusCode::NOT_MODIFIED, ""),
                revision,
            ));
        }
    }
}

/// Counts a watch while it waits.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        let mut inner = shared.lock();
        inner.counts.watch += 1;
        inner.counts.waiting += 1;
        Self(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting -= 1;
    }
}

async fn put(shared: &Arc<Shared>, key: String, request: Request<Incoming>) -> Reply {
    shared.lock().counts.put += 1;
    let expected = match request.headers().get("if-revision") {
        None => None,
        Some(value) => match value.to_str().ok().and_then(|v| v.parse().ok()) {
            Some(revision) => Some(revision),
            None => return Ok(answer(StatusCode::BAD_REQUEST, "malformed if-revision\n")),
        },
    };
    let lease = query_number(request.uri(), "lease_ms").map(Duration::from_millis);
    let Some(value) = read_body(request.into_body(), VALUE_BYTES_MAX).await? else {
        return Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, "value too long\n"));
    };
    if shared.lock().down {
        return Err(cut());
    }
    let result = shared.write(&key, value, expected);
    if let (Ok(revision), Some(lease)) = (result, lease) {
        let shared = shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lease).await;
            shared.expire(&key, revision);
        });
    }
    if std::mem::take(&mut shared.lock().lose_next) {
        return Err(cut());
    }
    Ok(match result {
        Ok(revision) => with_revision(answer(StatusCode::OK, ""), revision),
        Err(current) => with_revision(answer(StatusCode::PRECONDITION_FAILED, ""), current),
    })
}

fn value_answer(revision: Revision, value: Option<Bytes>) -> Response<Body> {
    let response = match value {
        Some(value) => answer(StatusCode::OK, value),
        None => answer(StatusCode::NOT_FOUND, ""),
    };
    with_revision(response, revision)
}

fn with_revision(mut response: Response<Body>, revision: Revision) -> Response<Body> {
    response
        .headers_mut()
        .insert("store-revision", HeaderValue::from(revision));
    response
}
