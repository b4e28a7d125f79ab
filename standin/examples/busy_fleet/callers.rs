//! Callers of all entries, and what they observe.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use lacewingmoor_standin::caller::{CallerRequest, KeptConnection, RequestResult, send_request};
use lacewingmoor_standin::fleet::{Fleet, HOST};
use tokio::task::JoinHandle;

use crate::long_work::DOWNLOAD_BYTES;
use crate::route_timeout;

/// Timeout of the callers, longer than that of most routes.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Callers of each entry that send an order after each download.
const DOWNLOADERS: u32 = 4;

/// Time between the first downloads of these.
const DOWNLOADERS_APART: Duration = Duration::from_millis(1300);

/// Interval at which each entry gets a request whose target sends bytes without end.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(700);

/// Interval at which each entry is asked for the route that was added last.
const ADDED_ROUTE_INTERVAL: Duration = Duration::from_millis(150);

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Read,
    /// May run only once.
    Write,
    /// On the route that this version of the bundle added.
    Added(usize),
    /// Has a response that takes seconds from its head to its end.
    Download,
    /// May run only once, and takes long.
    Order,
    /// Gets bytes without end from its target.
    Endless,
}

impl Kind {
    /// Returns true if the request may run only once.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Write | Kind::Order)
    }

    /// Returns the length of a valid response; `None` if there is none.
    pub fn response_bytes(self) -> Option<usize> {
        match self {
            Kind::Read | Kind::Write | Kind::Added(_) | Kind::Order => Some(2000),
            Kind::Download => Some(DOWNLOAD_BYTES),
            Kind::Endless => None,
        }
    }
}

/// Connection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Opened for it.
    New,
    /// Kept from earlier requests.
    Kept,
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Index of the entry.
    pub entry: usize,
    /// Request id.
    pub id: String,
    /// What it is for.
    pub kind: Kind,
    /// Its connection.
    pub connection: Connection,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub result: RequestResult,
}

/// What all callers have observed.
#[derive(Clone, Default)]
pub struct Observations(Arc<Mutex<Vec<Observed>>>);

impl Observations {
    /// Returns what was observed so far.
    pub fn take(&self) -> Vec<Observed> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Observed>> {
        self.0.lock().expect("no thread panics with the lock")
    }
}

/// A caller of one entry.
#[derive(Clone)]
struct Caller {
    seed: u64,
    entry: usize,
    addr: SocketAddr,
    interval: Duration,
    observations: Observations,
}

/// Starts the callers of all entries.
pub fn spawn(
    fleet: &Fleet,
    seed: u64,
    interval: Duration,
    observations: &Observations,
) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (i, entry) in fleet.entries.iter().enumerate() {
        let caller = Caller {
            seed,
            entry: i,
            addr: entry.caller_addr,
            interval,
            observations: observations.clone(),
        };
        tasks.push(tokio::spawn(caller.clone().send_on_new_connections()));
        tasks.push(tokio::spawn(caller.clone().send_on_kept_connection()));
        for i in 0..DOWNLOADERS {
            tasks.push(tokio::spawn(caller.clone().order_after_downloads(i)));
        }
        tasks.push(tokio::spawn(caller.ask_for_endless_bytes()));
    }
    let addrs = fleet
        .entries
        .iter()
        .map(|entry| entry.caller_addr)
        .collect();
    tasks.push(tokio::spawn(ask_for_added_routes(
        addrs,
        seed,
        fleet.store.bundle_version_receiver(),
        observations.clone(),
    )));
    tasks
}

fn request(id: String, kind: Kind) -> CallerRequest {
    let (method, path, body) = match kind {
        Kind::Read => (Method::GET, "/lanes/read/1".to_owned(), Bytes::new()),
        Kind::Write => (
            Method::POST,
            "/lanes/write/1".to_owned(),
            Bytes::from_static(b"x"),
        ),
        Kind::Added(version) => (Method::GET, format!("/added/{version}/1"), Bytes::new()),
        Kind::Download => (Method::GET, "/downloads/read/1".to_owned(), Bytes::new()),
        Kind::Order => (
            Method::POST,
            "/orders/write/1".to_owned(),
            Bytes::from_static(b"x"),
        ),
        Kind::Endless => (Method::GET, "/endless/read/1".to_owned(), Bytes::new()),
    };
    CallerRequest {
        id,
        method,
        host: HOST.into(),
        path,
        body,
        timeout: route_timeout(kind).max(CALLER_TIMEOUT),
        key: None,
    }
}

impl Caller {
    fn kind(i: u64) -> Kind {
        match i % 2 {
            0 => Kind::Write,
            _ => Kind::Read,
        }
    }

    async fn send_on_new_connections(self) {
        for i in 0.. {
            let (kind, caller) = (Self::kind(i), self.clone());
            tokio::spawn(async move {
                let request = request(format!("{}-{}-n{i}", caller.seed, caller.entry), kind);
                let sent_at = Instant::now();
                let result = send_request(caller.addr, &request).await;
                caller.record(request.id, kind, Connection::New, sent_at, result);
            });
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn send_on_kept_connection(self) {
        let mut connection = None;
        for i in 0.. {
            if connection.is_none() {
                connection = KeptConnection::open(self.addr).await;
            }
            if let Some(open) = &mut connection {
                let kind = Self::kind(i);
                let request = request(format!("{}-{}-k{i}", self.seed, self.entry), kind);
                let sent_at = Instant::now();
                let result = open.send(&request).await;
                let stays_open = matches!(&result,
                    RequestResult::Response(response) if !response.closes_connection);
                self.record(request.id, kind, Connection::Kept, sent_at, result);
                if !stays_open {
                    connection = None;
                }
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    /// Sends an order on the connection of each download, unless the response closes it.
    async fn order_after_downloads(self, i: u32) {
        tokio::time::sleep(DOWNLOADERS_APART * i).await;
        for turn in 0.. {
            if let Some(mut connection) = KeptConnection::open(self.addr).await {
                for kind in [Kind::Download, Kind::Order] {
                    let id = format!("{}-{}-{kind:?}{i}-{turn}", self.seed, self.entry);
                    let request = request(id, kind);
                    let sent_at = Instant::now();
                    let result = connection.send(&request).await;
                    let stays_open = matches!(&result,
                        RequestResult::Response(response) if !response.closes_connection);
                    self.record(request.id, kind, Connection::Kept, sent_at, result);
                    if !stays_open {
                        break;
                    }
                }
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn ask_for_endless_bytes(self) {
        for i in 0.. {
            let kind = Kind::Endless;
            let request = request(format!("{}-{}-e{i}", self.seed, self.entry), kind);
            let sent_at = Instant::now();
            let result = send_request(self.addr, &request).await;
            self.record(request.id, kind, Connection::New, sent_at, result);
            tokio::time::sleep(ENDLESS_INTERVAL).await;
        }
    }

    fn record(
        &self,
        id: String,
        kind: Kind,
        connection: Connection,
        sent_at: Instant,
        result: RequestResult,
    ) {
        self.observations.lock().push(Observed {
            entry: self.entry,
            id,
            kind,
            connection,
            sent_at,
            ended_at: Instant::now(),
            result,
        });
    }
}

/// Asks all entries in turn for the route that was added last.
async fn ask_for_added_routes(
    addrs: Vec<SocketAddr>,
    seed: u64,
    version: tokio::sync::watch::Receiver<u64>,
    observations: Observations,
) {
    for i in 0.. {
        let added = *version.borrow() as usize;
        for (entry, addr) in addrs.iter().copied().enumerate() {
            let observations = observations.clone();
            tokio::spawn(async move {
                let request = request(format!("{seed}-{entry}-a{i}"), Kind::Added(added));
                let sent_at = Instant::now();
                let result = send_request(addr, &request).await;
                observations.lock().push(Observed {
                    entry,
                    id: request.id,
                    kind: Kind::Added(added),
                    connection: Connection::New,
                    sent_at,
                    ended_at: Instant::now(),
                    result,
                });
            });
        }
        tokio::time::sleep(ADDED_ROUTE_INTERVAL).await;
    }
}
