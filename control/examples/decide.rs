//! Measures the time that the reducer takes per request and the memory of its state.
//!
//! One entry among many serves requests in cycles of `Arrived`, `Head` and `Ended`; its peers are
//! played by answering its messages. Run with
//! `cargo run --release -p lacewingmoor-control --example decide`.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lacewingmoor_bundle::{
    Bundle, Limits, NodeId, Region, Route, Service, Target, TargetId, Zone, node_id, target_id,
};
use lacewingmoor_control::*;

/// Counts the bytes that are allocated.
struct Counting;

static BYTES: AtomicUsize = AtomicUsize::new(0);
static CALLS: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        CALLS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the layout is the caller's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the pointer came from `alloc` with this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Size of one measurement.
struct Size {
    services: usize,
    targets: usize,
    entries: usize,
    regions: usize,
}

const SIZES: [Size; 4] = [
    Size {
        services: 3,
        targets: 45,
        entries: 16,
        regions: 3,
    },
    Size {
        services: 10,
        targets: 150,
        entries: 40,
        regions: 3,
    },
    Size {
        services: 40,
        targets: 600,
        entries: 150,
        regions: 4,
    },
    Size {
        services: 82,
        targets: 1200,
        entries: 300,
        regions: 4,
    },
];

/// Requests per measurement and requests a second of simulated time.
const REQUESTS: u64 = 100_000;
const PER_SECOND: u64 = 2000;

/// Requests that run at the same time.
const RUNNING: u64 = 40;

fn bundle(size: &Size) -> Bundle {
    let targets = |service: usize| -> Vec<Target> {
        (0..size.targets)
            .filter(|i| i % size.services == service)
            .map(|i| Target {
                id: target_id(&format!("s{service}"), &format!("t{i}")),
                name: format!("t{i}"),
                addr: ([127, 0, 0, 1], 9000).into(),
                zone: (i / size.services) % size.regions,
                region: (i / size.services) % size.regions,
            })
            .collect()
    };
    let service = |s: usize| Service {
        name: format!("s{s}"),
        slots: 6,
        cold_slots: 2,
        warmup: Duration::from_secs(1),
        connections_max: 250,
        probe: None,
        targets: targets(s),
    };
    let route = |s: usize| Route {
        name: format!("r{s}"),
        service: s,
        methods: vec!["GET".into()],
        path_prefix: format!("/s{s}"),
        idempotent: true,
        hedge: true,
        weight: 1,
        deadline: Duration::from_secs(2),
        body_bytes_max: 1 << 20,
        home_regions: None,
    };
    Bundle {
        version: 1,
        digest: [1; 32],
        store_region: 0,
        regions: (0..size.regions)
            .map(|r| Region {
                name: format!("g{r}"),
            })
            .collect(),
        zones: (0..size.regions)
            .map(|r| Zone {
                name: format!("z{r}"),
                region: r,
                in_service: true,
            })
            .collect(),
        services: (0..size.services).map(service).collect(),
        routes: (0..size.services).map(route).collect(),
        tenants: Vec::new(),
        limits: Limits {
            tenant_header: "tenant".into(),
            head_bytes_max: 8192,
            queue_max: 1000,
            retry_percent: 10,
            hedge_percent: 5,
            interregion_mbit_s: 400,
        },
    }
}

fn vms(size: &Size) -> Vec<Vm> {
    (0..size.entries)
        .map(|i| Vm {
            name: format!("e{i}"),
            role: VmRole::Entry,
            zone: format!("z{}", i % size.regions),
            region: format!("g{}", i % size.regions),
            addr: ([127, 0, 0, 1], 7000).into(),
            leaving: false,
        })
        .collect()
}

/// One measurement.
struct Bench {
    state: State,
    now: Duration,
    spent: Duration,
    applied: u64,
    messages: u64,
    dispatched: Vec<(RequestId, Attempt)>,
    waiting: Vec<Event>,
    beat: Duration,
    refused: u64,
    roster: u64,
}

impl Bench {
    fn apply(&mut self, event: Event) {
        let start = Instant::now();
        let effects = self.state.apply(self.now, event);
        self.spent += start.elapsed();
        self.applied += 1;
        for effect in effects {
            match effect {
                Effect::Dispatch(d) => self.dispatched.push((d.request, d.attempt)),
                Effect::Refuse(_) => self.refused += 1,
                Effect::Send { to, message } => self.answer(to, message),
                Effect::Violation(v) => panic!("{v:?}"),
                _ => {}
            }
        }
    }

    /// Answers as the peers would: every demand is granted, every claim gets a vote.
    fn answer(&mut self, to: NodeId, message: Message) {
        self.messages += 1;
        let reply = match message {
            Message::Demand { sent, items } => Message::Grant {
                demand_sent: sent,
                items: items
                    .iter()
                    .map(|item| GrantItem {
                        target: item.target,
                        slots: item.wanted + item.spare.min(1),
                        state: TargetState::Warm,
                    })
                    .collect(),
            },
            Message::Claim {
                sent,
                roster,
                targets,
            } => {
                self.roster = roster;
                Message::Vote {
                    claim_sent: sent,
                    granted: targets,
                }
            }
            _ => return,
        };
        self.waiting.push(Event::Peer {
            from: to,
            incarnation: 1,
            message: reply,
        });
    }

    /// Claims the targets of this region that other entries are ranked first for.
    fn claim_as_peers(&mut self) {
        let me = self.state.node();
        let mut claims: BTreeMap<NodeId, Vec<TargetId>> = BTreeMap::new();
        for target in self.state.status().targets {
            let (service, name) = target
                .target
                .split_once('/')
                .expect("a label has two parts");
            let owner = target
                .owner
                .filter(|owner| *owner != me && target.zone == "z0");
            if let Some(owner) = owner {
                let id = target_id(service, name);
                claims.entry(owner).or_default().push(id);
            }
        }
        for (from, targets) in claims {
            self.apply(Event::Peer {
                from,
                incarnation: 1,
                message: Message::Claim {
                    sent: self.now,
                    roster: self.roster,
                    targets,
                },
            });
        }
    }

    fn advance(&mut self, to: Duration, heartbeats: &[Event]) {
        for event in std::mem::take(&mut self.waiting) {
            self.apply(event);
        }
        while let Some(at) = self.state.next_wakeup().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            self.apply(Event::Tick);
            self.now += Duration::from_micros(10);
        }
        if to >= self.beat {
            self.beat = to + Duration::from_millis(500);
            self.now = self.now.max(to);
            heartbeats
                .iter()
                .cloned()
                .for_each(|event| self.apply(event));
            self.claim_as_peers();
            let digest = [1; 32];
            self.apply(Event::StoreReached {
                as_of: self.now,
                version: 1,
                digest,
            });
        }
        self.now = self.now.max(to);
    }
}

fn heartbeats(size: &Size) -> Vec<Event> {
    (1..size.entries)
        .map(|i| Event::Peer {
            from: node_id(&format!("e{i}")),
            incarnation: 1,
            message: Message::Heartbeat(Heartbeat {
                sent: Duration::ZERO,
                echo: None,
                zone: format!("z{}", i % size.regions),
                region: format!("g{}", i % size.regions),
                ready: true,
                version: 1,
                digest: [1; 32],
                fresh_age: None,
                store_down: false,
            }),
        })
        .collect()
}

fn measure(size: &Size) {
    let before = BYTES.load(Ordering::Relaxed);
    let setup = Setup {
        name: "e0".into(),
        zone: "z0".into(),
        region: "g0".into(),
        incarnation: 1,
        policy: Policy::Credits,
        seed: 1,
    };
    let mut bench = Bench {
        state: State::new(setup),
        now: Duration::ZERO,
        spent: Duration::ZERO,
        applied: 0,
        messages: 0,
        dispatched: Vec::new(),
        waiting: Vec::new(),
        beat: Duration::ZERO,
        refused: 0,
        roster: 0,
    };
    let beats = heartbeats(size);
    bench.apply(Event::VmList(vms(size)));
    bench.apply(Event::Bundle(Arc::new(bundle(size))));
    for step in 1..=800 {
        bench.advance(Duration::from_millis(step * 5), &beats);
    }
    let idle_from = (bench.spent, bench.now);
    for step in 801..=1600 {
        bench.advance(Duration::from_millis(step * 5), &beats);
    }
    let idle = (bench.spent - idle_from.0).as_secs_f64() / (bench.now - idle_from.1).as_secs_f64();
    let begin = bench.now;
    bench.spent = Duration::ZERO;
    bench.applied = 0;
    bench.messages = 0;
    bench.refused = 0;
    let calls = CALLS.load(Ordering::Relaxed);
    for id in 1..=REQUESTS {
        let at = begin + Duration::from_secs(id) / PER_SECOND as u32;
        bench.advance(at, &beats);
        let service = id as usize % size.services;
        bench.apply(Event::Arrived(Arrival {
            request: id,
            method: "GET".into(),
            path: format!("/s{service}/x"),
            tenant: None,
            body_bytes: Some(0),
            deadline: None,
            replayable: true,
        }));
        while bench.dispatched.len() as u64 > RUNNING {
            let (request, attempt) = bench.dispatched.remove(0);
            bench.apply(Event::Head {
                request,
                attempt,
                status: 200,
                report: None,
            });
            let outcome = Outcome::Complete;
            bench.apply(Event::Ended {
                request,
                attempt,
                outcome,
            });
        }
    }
    let calls = CALLS.load(Ordering::Relaxed) - calls;
    let held = BYTES.load(Ordering::Relaxed) - before;
    let owned = bench
        .state
        .status()
        .targets
        .iter()
        .filter(|t| t.owned)
        .count();
    let seconds = (bench.now - begin).as_secs_f64();
    println!(
        "{:>8} {:>7} {:>7} {:>10.2} {:>10.1} {:>9.2} {:>10.0} {:>9.1} {:>10.2} {:>6} {:>8}",
        size.services,
        size.targets,
        size.entries,
        bench.spent.as_secs_f64() * 1e6 / REQUESTS as f64,
        calls as f64 / REQUESTS as f64,
        bench.spent.as_secs_f64() / seconds * 100.0,
        bench.messages as f64 / seconds,
        held as f64 / 1024.0,
        idle * 100.0,
        owned,
        bench.refused,
    );
}

fn main() {
    println!(
        "{REQUESTS} requests at {PER_SECOND}/s on one entry; time includes timers and messages"
    );
    println!(
        "{:>8} {:>7} {:>7} {:>10} {:>10} {:>9} {:>10} {:>9} {:>10} {:>6} {:>8}",
        "services",
        "targets",
        "entries",
        "us/request",
        "allocs/req",
        "core %",
        "messages/s",
        "KiB held",
        "idle core %",
        "owned",
        "refused"
    );
    SIZES.iter().for_each(measure);
}
