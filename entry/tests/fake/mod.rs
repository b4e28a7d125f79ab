//! A recorder in place of the reducer, signed bundles, and a proxy that breaks connections.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use lacewingmoor_bundle::{MANIFEST_KEY, Part, RawBundle, SecretKey, SignedManifest, part_key};
use lacewingmoor_control::Event;
use lacewingmoord::bundle_sync::{BundleSync, Library};
use lacewingmoord::events::Events;
use lacewingmoord::log::discard;
use lacewingmoord::peer::{Links, Local};
use lacewingmoord::peer_auth::{FleetKey, Identity};
use lacewingmoord::store::HttpStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, mpsc};

/// Longest wait of a test for something that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Records events.
pub struct Recorder {
    start: Instant,
    sender: mpsc::UnboundedSender<Event>,
    received: Mutex<mpsc::UnboundedReceiver<Event>>,
}

impl Recorder {
    pub fn start() -> Arc<Self> {
        let (sender, received) = mpsc::unbounded_channel();
        Arc::new(Self {
            start: Instant::now(),
            sender,
            received: Mutex::new(received),
        })
    }

    pub async fn next(&self) -> Event {
        let mut received = self.received.lock().await;
        let next = tokio::time::timeout(PATIENCE, received.recv());
        next.await.expect("an event arrives").unwrap()
    }

    /// Skips events until `wanted` gives a value.
    pub async fn until<T>(&self, mut wanted: impl FnMut(&Event) -> Option<T>) -> T {
        loop {
            if let Some(found) = wanted(&self.next().await) {
                return found;
            }
        }
    }

    /// Returns what has been recorded and not taken.
    pub async fn rest(&self) -> Vec<Event> {
        let mut received = self.received.lock().await;
        std::iter::from_fn(|| received.try_recv().ok()).collect()
    }
}

impl Events for Recorder {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn send(&self, event: Event) {
        let _ = self.sender.send(event);
    }
}

pub fn operator() -> SecretKey {
    SecretKey::from_seed(&[1; 32])
}

/// Returns a signed manifest of a version, and its parts.
pub fn signed(version: u64, key: &SecretKey) -> (Vec<u8>, Vec<Part>) {
    let text = include_str!("../../../bundle/tests/data/small.yaml");
    let mut raw = RawBundle::from_yaml(text).unwrap();
    raw.version = version;
    // Each version has a part of its own.
    raw.services[0].slots = 4 + version;
    let (manifest, parts) = raw.split();
    (SignedManifest::sign(&manifest, key).to_json(), parts)
}

pub async fn put(store: SocketAddr, key: &str, value: Vec<u8>) {
    let url = format!("http://{store}/v1/kv/{key}");
    let answer = reqwest::Client::new().put(url).body(value).send().await;
    assert!(answer.unwrap().status().is_success());
}

/// Puts a version into the store as an operator does: parts first.
pub async fn publish(store: SocketAddr, version: u64) {
    let (manifest, parts) = signed(version, &operator());
    for part in parts {
        put(store, &part_key(&part.digest), part.bytes).await;
    }
    put(store, MANIFEST_KEY, manifest).await;
}

pub fn local(node: u64, incarnation: u64, key: u8) -> Local {
    Local {
        own: Identity { node, incarnation },
        fleet_key: FleetKey::new([key; 32]),
    }
}

/// Returns the sync of an entry with the store at `store`.
pub fn sync(
    store: SocketAddr,
    links: Arc<Links>,
    library: &Library,
    events: Arc<Recorder>,
) -> Arc<BundleSync> {
    let store = Arc::new(HttpStore::new(store).unwrap());
    let operators = vec![operator().public()];
    let sync = BundleSync::new(store, links, library, operators, events, discard());
    Arc::new(sync)
}

/// What a proxy does with the bytes of one direction.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
pub enum Flow {
    Pass = 0,
    /// Bytes are read and lost.
    Lose = 1,
    /// Bytes are changed.
    Change = 2,
    /// The connection is closed.
    Close = 3,
}

/// A TCP proxy whose directions can be disturbed.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    to_server: Arc<AtomicU8>,
    to_client: Arc<AtomicU8>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            to_server: Arc::default(),
            to_client: Arc::default(),
        };
        let (up, down) = (proxy.to_server.clone(), proxy.to_client.clone());
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(server).await else {
                    continue;
                };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(copy(client_read, server_write, up.clone()));
                tokio::spawn(copy(server_read, client_write, down.clone()));
            }
        });
        proxy
    }

    pub fn set(&self, to_server: Flow, to_client: Flow) {
        self.to_server.store(to_server as u8, Ordering::SeqCst);
        self.to_client.store(to_client as u8, Ordering::SeqCst);
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, flow: Arc<AtomicU8>) {
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        let flow = flow.load(Ordering::SeqCst);
        if flow == Flow::Close as u8 {
            return;
        }
        if flow == Flow::Change as u8 {
            // The last byte belongs to the tag of a frame; h2 itself does not notice the change.
            buffer[n - 1] ^= 1;
        }
        if flow != Flow::Lose as u8 && to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

pub fn value(bytes: &[u8]) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
