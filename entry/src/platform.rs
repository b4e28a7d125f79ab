//! Everything that the process does for the reducer outside of requests: store, VM list, peers
//! and probes. No call here waits.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lacewingmoor_bundle::{NodeId, TargetId, node_id};
use lacewingmoor_control::{Effect, Event};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinHandle};

use crate::bundle_sync::{BundleSync, Library};
use crate::control::Control;
use crate::events::Events;
use crate::peer::{Links, Local};
use crate::peer_auth::{FleetKey, Identity};
use crate::peer_listen::{self, Listener};
use crate::settings::Settings;
use crate::store::HttpStore;
use crate::vm_list::HttpVmList;
use crate::{http_get, probe, store_watch, vm_list};

/// Time within which a probe must connect, at most.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Carries out the reducer's effects on store, peers and probes.
pub struct Platform {
    sync: Arc<BundleSync>,
    links: Arc<Links>,
    events: Arc<dyn Events>,
    probes: reqwest::Client,
    peer_addr: SocketAddr,
    seed: u64,
    running: Mutex<Running>,
}

struct Running {
    watch: Option<AbortHandle>,
    read: Option<JoinHandle<()>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().chain(&self.watch).for_each(|t| t.abort());
    }
}

impl Platform {
    /// Starts the peer listener and the poll of the VM list. Needs a running tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer address cannot be bound or a client cannot be built.
    pub fn start(
        settings: &Settings,
        incarnation: u64,
        control: &Control,
        log: &Logger,
    ) -> io::Result<Self> {
        let node = node_id(&settings.node);
        let events: Arc<dyn Events> = Arc::new(control.clone());
        let tcp = std::net::TcpListener::bind(settings.peer)?;
        tcp.set_nonblocking(true)?;
        let tcp = TcpListener::from_std(tcp)?;
        let local = Local {
            own: Identity { node, incarnation },
            fleet_key: FleetKey::new(settings.fleet_key),
        };
        let seed = settings.seed ^ node;
        let library = Library::default();
        let links = Arc::new(Links::new(local.clone(), seed, log.clone()));
        let store = HttpStore::new(settings.store).map_err(io::Error::other)?;
        let list = HttpVmList::new(settings.vm_list).map_err(io::Error::other)?;
        let sync = Arc::new(BundleSync::new(
            Arc::new(store),
            links.clone(),
            &library,
            settings.operator_keys.clone(),
            events.clone(),
            log.clone(),
        ));
        let peer_addr = tcp.local_addr()?;
        let listener = Arc::new(Listener::new(local, library, events.clone(), log.clone()));
        let rng = StdRng::seed_from_u64(seed);
        let poll = vm_list::poll(list, events.clone(), rng, log.clone());
        let running = Running {
            tasks: vec![
                tokio::spawn(peer_listen::listen(tcp, listener)).abort_handle(),
                tokio::spawn(poll).abort_handle(),
            ],
            watch: None,
            read: None,
        };
        Ok(Self {
            sync,
            links,
            events,
            probes: http_get::client(PROBE_CONNECT_TIMEOUT).map_err(io::Error::other)?,
            peer_addr,
            seed,
            running: Mutex::new(running),
        })
    }

    /// Returns the address of the peer listener.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Carries out an effect on store, peers or probes; other effects are not for this side.
    pub fn handle(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.links.send(to, message),
            Effect::Probe {
                target,
                addr,
                path,
                timeout,
            } => self.probe(target, addr, path, timeout),
            Effect::WatchStore(on) => self.watch_store(on),
            Effect::ReadStore => self.read_store(),
            Effect::FetchBundle { from, .. } => self.fetch_bundle(from),
            Effect::Peers(peers) => self.links.set_peers(&peers),
            _ => {}
        }
    }

    fn probe(&self, target: TargetId, addr: SocketAddr, path: String, timeout: Duration) {
        let (client, events) = (self.probes.clone(), self.events.clone());
        tokio::spawn(async move {
            let report = probe::probe(&client, addr, &path, timeout).await;
            events.send(Event::Probed { target, report });
        });
    }

    fn watch_store(&self, on: bool) {
        let mut running = self.lock();
        if on == running.watch.is_some() {
            return;
        }
        if let Some(watch) = running.watch.take() {
            watch.abort();
            return;
        }
        let sync = self.sync.clone();
        let rng = StdRng::seed_from_u64(self.seed);
        let task = tokio::spawn(async move { store_watch::watch(&sync, rng).await });
        running.watch = Some(task.abort_handle());
    }

    /// Starts a read of the store, unless one is under way.
    fn read_store(&self) {
        let mut running = self.lock();
        if running.read.as_ref().is_some_and(|r| !r.is_finished()) {
            return;
        }
        let sync = self.sync.clone();
        running.read = Some(tokio::spawn(async move { store_watch::read(&sync).await }));
    }

    /// Fetches from a peer. The reducer tries again on its own after a failure.
    fn fetch_bundle(&self, from: NodeId) {
        let sync = self.sync.clone();
        tokio::spawn(async move {
            // The failure is logged and counted by the sync.
            let _ = sync.fetch_from_peer(from).await;
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Running> {
        self.running.lock().expect("no holder of the lock panics")
    }
}
