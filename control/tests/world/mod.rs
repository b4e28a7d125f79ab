//! Several entries with a store between them, on one simulated clock.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Limits, NodeId, Region, node_id};
use lacewingmoor_control::*;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns an empty bundle of two regions; the store is in `north`.
pub fn bundle(version: u64, digest: u8) -> Arc<Bundle> {
    let region = |name: &str| Region { name: name.into() };
    Arc::new(Bundle {
        version,
        digest: [digest; 32],
        store_region: 0,
        regions: vec![region("north"), region("south")],
        zones: vec![],
        services: vec![],
        routes: vec![],
        tenants: vec![],
        limits: Limits {
            tenant_header: "tenant".into(),
            head_bytes_max: 8192,
            queue_max: 10,
            retry_percent: 10,
            hedge_percent: 5,
            interregion_mbit_s: 100,
        },
    })
}

pub fn vm(name: &str, leaving: bool) -> Vm {
    Vm {
        name: name.into(),
        role: VmRole::Entry,
        zone: "z".into(),
        region: region(name).into(),
        addr: ([127, 0, 0, 1], 7000).into(),
        leaving,
    }
}

/// Names start with the first letter of their region.
pub fn region(name: &str) -> &'static str {
    if name.starts_with('n') {
        "north"
    } else {
        "south"
    }
}

pub fn member(name: &str, incarnation: u64) -> Membership {
    let setup = Setup {
        name: name.into(),
        zone: "z".into(),
        region: region(name).into(),
        incarnation,
        policy: Policy::Credits,
        seed: 5,
    };
    Membership::new(&setup, node_id(name))
}

pub fn reasons(effects: &[Effect]) -> Vec<&'static str> {
    let reason = |e: &Effect| match e {
        Effect::Log(decision) => Some(decision.reason),
        _ => None,
    };
    effects.iter().filter_map(reason).collect()
}

/// How the store behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Store {
    Up,
    Refusing,
    Hanging,
    Slow(Duration),
}

enum Item {
    Heartbeat(usize, u64, Heartbeat),
    Failed,
    Answer { as_of: Duration, watch: bool },
    Watch { asked: Duration },
    Bundle(u64),
}

pub struct Node {
    pub name: &'static str,
    pub member: Membership,
    pub ready: bool,
    pub calls: usize,
    incarnation: u64,
    watching: bool,
}

pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub version: u64,
    /// Nodes that cannot reach the store.
    pub no_store: Vec<&'static str>,
    /// Cut directions between nodes.
    pub cut: Vec<(&'static str, &'static str)>,
    /// Nodes whose process does not run; what they receive waits.
    pub frozen: Vec<&'static str>,
    items: Vec<(Duration, usize, Item)>,
}

const STEP: Duration = Duration::from_millis(5);
const WAIT: Duration = Duration::from_millis(500);
const SLOW_AFTER: Duration = Duration::from_millis(400);

impl World {
    pub fn new(names: &[&'static str]) -> Self {
        let mut world = Self {
            now: ms(1000),
            nodes: Vec::new(),
            store: Store::Up,
            version: 1,
            no_store: vec![],
            cut: vec![],
            frozen: vec![],
            items: vec![],
        };
        for name in names {
            world.add(name, 1);
        }
        world.run(ms(4000));
        world
    }

    /// Starts a node, or restarts it under the same name.
    pub fn add(&mut self, name: &'static str, incarnation: u64) {
        let node = Node {
            name,
            member: member(name, incarnation),
            ready: false,
            calls: 0,
            incarnation,
            watching: false,
        };
        match self.nodes.iter().position(|n| n.name == name) {
            Some(i) => {
                self.items.retain(|(_, to, _)| *to != i);
                self.nodes[i] = node;
            }
            None => self.nodes.push(node),
        }
        let list: Vec<Vm> = self.nodes.iter().map(|n| vm(n.name, false)).collect();
        for i in 0..self.nodes.len() {
            self.with(i, |m, now, out| m.take_vm_list(now, &list, out));
        }
    }

    pub fn node(&self, name: &str) -> &Node {
        self.nodes.iter().find(|n| n.name == name).unwrap()
    }

    pub fn watchers(&self) -> Vec<&'static str> {
        let watching = self.nodes.iter().filter(|n| n.watching);
        watching.map(|n| n.name).collect()
    }

    pub fn fresh(&self, name: &str) -> bool {
        self.node(name).member.fresh(self.now)
    }

    pub fn version_of(&self, name: &str) -> u64 {
        self.node(name).member.bundle().map_or(0, |b| b.version)
    }

    /// Cuts both directions between two groups of nodes.
    pub fn part(&mut self, left: &[&'static str], right: &[&'static str]) {
        for a in left {
            for b in right {
                self.cut.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        self.run_checked(time, |_| {});
    }

    /// Lets time pass and calls `check` after every step.
    pub fn run_checked(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.nodes.len() {
                let due = self.nodes[i].member.next_wakeup();
                if due.is_some_and(|at| at <= self.now) {
                    self.with(i, |m, now, out| m.tick(now, out));
                }
            }
            check(self);
        }
    }

    fn deliver(&mut self) {
        let (now, frozen) = (self.now, self.frozen.clone());
        let names: Vec<&str> = self.nodes.iter().map(|n| n.name).collect();
        let due =
            |item: &(Duration, usize, Item)| item.0 <= now && !frozen.contains(&names[item.1]);
        let (mut ready, rest) = std::mem::take(&mut self.items)
            .into_iter()
            .partition::<Vec<_>, _>(due);
        self.items = rest;
        ready.sort_by_key(|(at, _, _)| *at);
        for (_, to, item) in ready {
            self.item(to, item);
        }
    }

    fn item(&mut self, to: usize, item: Item) {
        let version = self.version;
        match item {
            Item::Heartbeat(from, incarnation, heartbeat) => {
                let from = node_id(self.nodes[from].name);
                self.with(to, |m, now, out| {
                    m.take_heartbeat(now, from, incarnation, &heartbeat, out)
                });
            }
            Item::Failed => self.with(to, |m, now, _| m.store_failed(now)),
            Item::Bundle(version) => {
                let bundle = bundle(version, version as u8);
                self.with(to, |m, now, out| _ = m.take_bundle(now, bundle, out));
            }
            Item::Answer { as_of, watch } => {
                self.with(to, |m, now, out| {
                    if m.bundle().is_none_or(|b| b.version < version) {
                        m.take_bundle(now, bundle(version, version as u8), out);
                    }
                    m.store_reached(now, as_of, version, &[version as u8; 32], out);
                });
                if watch && self.nodes[to].watching {
                    self.watch(to);
                }
            }
            Item::Watch { asked } => {
                let known = self.nodes[to].member.bundle().map_or(0, |b| b.version);
                let done = self.now >= asked + WAIT;
                if done || known != version {
                    let as_of = if done { asked + WAIT } else { asked };
                    self.answer(to, as_of, true);
                } else {
                    self.items
                        .push((self.now + ms(20), to, Item::Watch { asked }));
                }
            }
        }
    }

    fn watch(&mut self, node: usize) {
        self.nodes[node].calls += 1;
        let asked = self.now;
        self.items
            .push((asked + ms(20), node, Item::Watch { asked }));
    }

    /// Answers a call whose answer is due now if the store works.
    fn answer(&mut self, to: usize, as_of: Duration, watch: bool) {
        let reachable = !self.no_store.contains(&self.nodes[to].name);
        let (delay, answered) = match self.store {
            _ if !reachable => (SLOW_AFTER, false),
            Store::Up => (ms(2), true),
            Store::Refusing => (ms(2), false),
            Store::Hanging => (SLOW_AFTER, false),
            Store::Slow(delay) => (delay, true),
        };
        let in_time = answered && delay <= SLOW_AFTER;
        let noticed = self.now + delay.min(SLOW_AFTER);
        if answered {
            let item = Item::Answer {
                as_of,
                watch: watch && in_time,
            };
            self.items.push((self.now + delay, to, item));
        }
        if !in_time {
            self.items.push((noticed, to, Item::Failed));
        }
        if !in_time && watch {
            // The first call after a failure is a read, which does not wait.
            let at = noticed + ms(500);
            self.items.push((at, to, Item::Watch { asked: at - WAIT }));
        }
    }

    fn with(&mut self, i: usize, act: impl FnOnce(&mut Membership, Duration, &mut Vec<Effect>)) {
        if self.frozen.contains(&self.nodes[i].name) {
            return;
        }
        let mut out = Vec::new();
        act(&mut self.nodes[i].member, self.now, &mut out);
        for effect in out {
            self.effect(i, effect);
        }
    }

    fn effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Ready(ready) => self.nodes[i].ready = ready,
            Effect::ReadStore => {
                self.nodes[i].calls += 1;
                self.answer(i, self.now, false);
            }
            Effect::WatchStore(on) => {
                self.nodes[i].watching = on;
                if on {
                    self.watch(i);
                }
            }
            Effect::Send {
                to,
                message: Message::Heartbeat(heartbeat),
            } => {
                if let Some(to) = self.reach(i, to) {
                    let item = Item::Heartbeat(i, self.nodes[i].incarnation, heartbeat);
                    self.items.push((self.now + ms(12), to, item));
                }
            }
            Effect::FetchBundle { from, .. } => {
                let Some(from) = self.reach(i, from) else {
                    return;
                };
                let version = self.version_of(self.nodes[from].name);
                self.items
                    .push((self.now + ms(30), i, Item::Bundle(version)));
            }
            _ => {}
        }
    }

    fn reach(&self, from: usize, to: NodeId) -> Option<usize> {
        let to = self.nodes.iter().position(|n| node_id(n.name) == to)?;
        let pair = (self.nodes[from].name, self.nodes[to].name);
        (!self.cut.contains(&pair)).then_some(to)
    }
}
