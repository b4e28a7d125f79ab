//! An entry in this process without a store, raw callers and scripted targets on loopback.
#![allow(dead_code, missing_docs)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Limits, Region, Route, Service, Target, Tenant, Zone};
use lacewingmoor_control::{Event, Policy, Setup, State, Vm, VmRole};
use lacewingmoord::control::{self, Control};
use lacewingmoord::effects::{self, Readiness};
use lacewingmoord::log::{self, DecisionLog};
use lacewingmoord::process::Traffic;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Pause between two looks at something that takes its time.
pub const WAIT_STEP: Duration = Duration::from_millis(20);

/// Looks after which a test fails instead of hanging.
pub const WAIT_STEPS: usize = 3000;

/// Bundle with one service on `addrs`: `/read` is idempotent, `/book` is not, `/home` is
/// restricted to the region of this entry.
pub fn bundle(addrs: &[SocketAddr]) -> Bundle {
    let route = |name: &str, methods: &[&str], prefix: &str, idempotent| Route {
        name: name.into(),
        service: 0,
        methods: methods.iter().map(|m| m.to_string()).collect(),
        path_prefix: prefix.into(),
        idempotent,
        hedge: false,
        weight: 1,
        deadline: Duration::from_secs(20),
        body_bytes_max: 100_000,
        home_regions: None,
    };
    Bundle {
        version: 1,
        digest: [7; 32],
        store_region: 0,
        regions: vec![Region { name: "r1".into() }],
        zones: vec![Zone {
            name: "z1".into(),
            region: 0,
            in_service: true,
        }],
        services: vec![Service {
            name: "svc".into(),
            slots: 64,
            cold_slots: 64,
            warmup: Duration::from_millis(1),
            connections_max: 100,
            probe: None,
            targets: addrs
                .iter()
                .enumerate()
                .map(|(i, addr)| Target {
                    id: lacewingmoor_bundle::target_id("svc", &format!("t{i}")),
                    name: format!("t{i}"),
                    addr: *addr,
                    zone: 0,
                    region: 0,
                })
                .collect(),
        }],
        routes: vec![
            route(
                "read",
                &["GET", "HEAD", "POST", "PUT", "OPTIONS"],
                "/read",
                true,
            ),
            route("book", &["GET", "POST", "DELETE"], "/book", false),
        ],
        tenants: vec![Tenant {
            name: "pool".into(),
            share: 1,
            home_regions: None,
        }],
        limits: Limits {
            tenant_header: "x-tenant".into(),
            head_bytes_max: 8192,
            queue_max: 100,
            retry_percent: 100,
            hedge_percent: 100,
            interregion_mbit_s: 1000,
        },
    }
}

pub fn state(policy: Policy) -> State {
    State::new(Setup {
        name: "e1".into(),
        zone: "z1".into(),
        region: "r1".into(),
        incarnation: 1,
        policy,
        seed: 1,
    })
}

/// Stands for the answers of a store, without which an entry takes no work.
pub fn confirm(control: &Control, bundle: &Bundle) {
    let (control, version, digest) = (control.clone(), bundle.version, bundle.digest);
    tokio::spawn(async move {
        loop {
            control.send(Event::StoreReached {
                as_of: control.now(),
                version,
                digest,
            });
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}

/// The caller side of an entry.
pub struct Entry {
    pub addr: SocketAddr,
    pub control: Control,
    pub readiness: Readiness,
    pub traffic: Traffic,
}

impl Entry {
    pub async fn start(bundle: Bundle) -> Self {
        Self::start_with(bundle, Policy::Random).await
    }

    /// Starts an entry under the policy `credits`, alone in its region, and waits until it owns
    /// every target.
    pub async fn owner(bundle: Bundle) -> Self {
        let vm = |name: String, role, addr| Vm {
            name,
            role,
            zone: "z1".into(),
            region: "r1".into(),
            addr,
            leaving: false,
        };
        let mut vms = vec![vm("e1".into(), VmRole::Entry, ([127, 0, 0, 1], 9).into())];
        for target in &bundle.services[0].targets {
            let name = format!("svc/{}", target.name);
            vms.push(vm(name, VmRole::Target, target.addr));
        }
        let entry = Self::start_with(bundle, Policy::Credits).await;
        entry.control.send(Event::VmList(vms));
        for _ in 0..WAIT_STEPS {
            let status = entry.control.query(|state| state.status()).await.unwrap();
            if status.targets.iter().all(|t| t.owned) {
                return entry;
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
        panic!("the entry owns no targets");
    }

    async fn start_with(bundle: Bundle, policy: Policy) -> Self {
        let (sender, effects) = mpsc::unbounded_channel();
        let control = control::start(state(policy), sender, DecisionLog::off());
        let readiness = Readiness::default();
        tokio::spawn(effects::run(
            effects,
            None,
            readiness.clone(),
            log::discard(),
        ));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let traffic = Traffic::start(listener, control.clone(), log::discard()).unwrap();
        let bundle = Arc::new(bundle);
        control.send(Event::Bundle(bundle.clone()));
        confirm(&control, &bundle);
        tokio::task::yield_now().await;
        // The query returns after the bundle was applied.
        control.query(|_| ()).await.unwrap();
        Self {
            addr: traffic.addr,
            control,
            readiness,
            traffic,
        }
    }

    /// Starts an entry for targets on `addrs`.
    pub async fn with(addrs: &[SocketAddr]) -> Self {
        Self::start(bundle(addrs)).await
    }
}

/// A scripted target; `handle` gets every connection with its number from 0.
pub struct Fake {
    pub addr: SocketAddr,
    pub connections: Arc<AtomicUsize>,
}

impl Fake {
    pub async fn start<F, R>(handle: F) -> Self
    where
        F: Fn(usize, TcpStream) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(handle(count.fetch_add(1, Ordering::SeqCst), stream));
            }
        });
        Self { addr, connections }
    }

    /// Answers every request with `answer`, after it has read head and body, and keeps the
    /// connection. Returns the requests as they arrived.
    pub async fn answering(answer: &'static str) -> (Self, mpsc::UnboundedReceiver<String>) {
        let (seen, requests) = mpsc::unbounded_channel();
        let fake = Self::start(move |_, mut stream| {
            let seen = seen.clone();
            async move {
                while let Some(request) = read_request(&mut stream).await {
                    let _ = seen.send(request);
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            }
        })
        .await;
        (fake, requests)
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Address on which nothing listens.
pub async fn closed_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Reads up to the end of a request's head, and of its body by content-length or chunks.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8(text.clone()).unwrap().to_lowercase();
    if let Some(length) = field(&head, "content-length") {
        let mut body = vec![0; length.parse().unwrap()];
        stream.read_exact(&mut body).await.ok()?;
        text.extend(body);
    } else if field(&head, "transfer-encoding").is_some() {
        while !text.ends_with(b"0\r\n\r\n") {
            if stream.read(&mut byte).await.ok()? == 0 {
                return None;
            }
            text.push(byte[0]);
        }
    }
    Some(String::from_utf8(text).unwrap())
}

/// Returns the value of a header field of a raw message.
pub fn field<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Returns the status of a raw answer, 0 if there is none.
pub fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

/// Opens a connection that does not delay small writes.
pub async fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends bytes on a new connection.
pub async fn send(addr: SocketAddr, request: &str) -> TcpStream {
    let mut stream = connect(addr).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Sends a request on a new connection and reads until the connection ends.
pub async fn call(addr: SocketAddr, request: &str) -> String {
    let mut stream = send(addr, request).await;
    let mut answer = Vec::new();
    // A reset after the answer is as good as a close here; tests check what was received.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

/// Returns a request with `connection: close` and without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: lanes.example\r\nconnection: close\r\n\r\n")
}

/// Returns a request with `connection: close` and a body.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: lanes.example\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
