//! Stand-in of the platform's VM list.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::server::{Reply, Server, answer, cut, json, read_body};

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs an entry process.
    Entry,
    /// Runs a target.
    Target,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Node name of an entry, `service/target` of a target.
    pub id: String,
    /// Address of the entry's peer listener, or of the target.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Role.
    pub role: Role,
    /// State.
    pub state: VmState,
}

/// Changes at run time; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListChange {
    /// Replaces the list.
    pub vms: Option<Vec<Vm>>,
    /// Age of the list that is served, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Closes connections without an answer.
    pub down: Option<bool>,
}

#[derive(Default)]
struct Inner {
    /// Versions of the list and since when each holds, oldest first.
    history: VecDeque<(Instant, Vec<Vm>)>,
    lag: Duration,
    down: bool,
    calls: u64,
}

/// A running VM list stand-in.
pub struct VmList {
    server: Server,
    shared: Arc<Mutex<Inner>>,
}

impl VmList {
    /// Starts an empty list on `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(Inner::default()));
        let state = shared.clone();
        let server = Server::start(addr, move |request| handle(state.clone(), request)).await?;
        Ok(Self { server, shared })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies a change.
    pub fn change(&self, change: VmListChange) {
        lock(&self.shared).change(change);
    }

    /// Replaces the list.
    pub fn set(&self, vms: Vec<Vm>) {
        self.change(VmListChange {
            vms: Some(vms),
            ..VmListChange::default()
        });
    }

    /// Adds a VM, or replaces the one with the same id.
    pub fn upsert(&self, vm: Vm) {
        let mut inner = lock(&self.shared);
        let mut vms = inner.current();
        vms.retain(|v| v.id != vm.id);
        vms.push(vm);
        inner.push(vms);
    }

    /// Removes a VM.
    pub fn remove(&self, id: &str) {
        let mut inner = lock(&self.shared);
        let mut vms = inner.current();
        vms.retain(|v| v.id != id);
        inner.push(vms);
    }

    /// Sets the state of a VM.
    pub fn set_state(&self, id: &str, state: VmState) {
        let mut inner = lock(&self.shared);
        let mut vms = inner.current();
        for vm in vms.iter_mut().filter(|v| v.id == id) {
            vm.state = state;
        }
        inner.push(vms);
    }

    /// Returns the number of reads since the start.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }
}

impl Inner {
    fn current(&self) -> Vec<Vm> {
        self.history
            .back()
            .map_or_else(Vec::new, |(_, vms)| vms.clone())
    }

    fn push(&mut self, vms: Vec<Vm>) {
        self.history.push_back((Instant::now(), vms));
    }

    fn change(&mut self, change: VmListChange) {
        self.lag = change.lag_ms.map_or(self.lag, Duration::from_millis);
        self.down = change.down.unwrap_or(self.down);
        if let Some(vms) = change.vms {
            self.push(vms);
        }
    }

    /// Returns the list as it was before the lag; the oldest one if none is that old.
    fn served(&self) -> Vec<Vm> {
        self.history
            .iter()
            .rev()
            .find(|(since, _)| since.elapsed() >= self.lag)
            .or(self.history.front())
            .map_or_else(Vec::new, |(_, vms)| vms.clone())
    }
}

fn lock(shared: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    shared.lock().expect("no handler panics with the lock")
}

async fn handle(shared: Arc<Mutex<Inner>>, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/vms") => {
            let mut inner = lock(&shared);
            if inner.down {
                return Err(cut());
            }
            inner.calls += 1;
            json(&inner.served())
        }
        (&Method::POST, "/standin") => {
            let bytes = read_body(request.into_body(), 1 << 20)
                .await?
                .unwrap_or_default();
            Ok(match serde_json::from_slice(&bytes) {
                Ok(change) => {
                    lock(&shared).change(change);
                    answer(StatusCode::OK, "")
                }
                Err(e) => answer(StatusCode::BAD_REQUEST, format!("{e}\n")),
            })
        }
        _ => Ok(answer(StatusCode::NOT_FOUND, "no such path\n")),
    }
}
