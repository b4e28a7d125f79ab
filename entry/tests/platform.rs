//! Entries with reducer, store, VM list and peers, in one process.

mod fake;

use std::net::SocketAddr;
use std::time::Duration;

use fake::*;
use lacewingmoor_control::State;
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::Store;
use lacewingmoor_standin::vms::{Role, Vm, VmList, VmState};
use lacewingmoord::control::{self, Control};
use lacewingmoord::effects::{self, Readiness};
use lacewingmoord::log::{DecisionLog, discard};
use lacewingmoord::platform::Platform;
use lacewingmoord::settings::Settings;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

struct Entry {
    control: Control,
    readiness: Readiness,
    effects: JoinHandle<()>,
}

struct Fleet {
    store: Store,
    list: VmList,
}

impl Fleet {
    async fn start() -> Self {
        Self {
            store: Store::start(ANY_PORT).await.unwrap(),
            list: VmList::start(ANY_PORT).await.unwrap(),
        }
    }

    /// Starts an entry and lists it.
    fn entry(&self, name: &str, incarnation: u64) -> Entry {
        let settings = Settings::parse(&format!(
            "{{ node: {name}, zone: north-a, region: north, listen: '127.0.0.1:1', \
             admin: '127.0.0.1:2', peer: '127.0.0.1:0', store: '{}', vm_list: '{}', \
             operator_keys: ['{}'], fleet_key: '{}=', seed: 1 }}",
            self.store.addr(),
            self.list.addr(),
            operator().public().to_base64(),
            "A".repeat(43),
        ))
        .unwrap();
        let (sender, received) = mpsc::unbounded_channel();
        let state = State::new(settings.setup(incarnation));
        let control = control::start(state, sender, DecisionLog::off());
        let platform = Platform::start(&settings, incarnation, &control, &discard()).unwrap();
        let address = platform.peer_addr();
        let readiness = Readiness::default();
        let run = effects::run(received, Some(platform), readiness.clone(), discard());
        self.list.upsert(vm(name, address));
        Entry {
            control,
            readiness,
            effects: tokio::spawn(run),
        }
    }
}

impl Entry {
    async fn version(&self) -> u64 {
        let version = |state: &mut State| state.bundle().map_or(0, |b| b.version);
        self.control.query(version).await.unwrap()
    }

    /// Waits until the entry is ready with a version in force.
    async fn ready(&self, version: u64) {
        let ready = async {
            while !(self.readiness.get() && self.version().await == version) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, ready)
            .await
            .expect("the entry gets ready");
    }
}

fn vm(name: &str, address: SocketAddr) -> Vm {
    Vm {
        id: name.into(),
        address,
        zone: "north-a".into(),
        region: "north".into(),
        role: Role::Entry,
        state: VmState::Live,
    }
}

/// Guards against a version that does not reach every entry, an outage of the store that stops
/// them, and an entry that cannot start in an outage.
#[tokio::test]
async fn entries_agree_on_the_version() {
    let fleet = Fleet::start().await;
    let entries: Vec<Entry> = ["e1", "e2", "e3"].map(|n| fleet.entry(n, 1)).into();
    assert!(
        entries.iter().all(|e| !e.readiness.get()),
        "ready without a bundle"
    );
    for version in [3, 4] {
        publish(fleet.store.addr(), version).await;
        for entry in &entries {
            entry.ready(version).await;
        }
    }
    fleet.store.set_down(true);
    let late = fleet.entry("e4", 1);
    late.ready(4).await;
    for entry in &entries {
        entry.ready(4).await;
    }
    fleet.store.set_down(false);
    publish(fleet.store.addr(), 5).await;
    for entry in entries.iter().chain([&late]) {
        entry.ready(5).await;
    }
}

/// Guards against an entry that is cut off from store and peers and stays ready.
#[tokio::test]
async fn cut_off_entry_becomes_unready() {
    let fleet = Fleet::start().await;
    let entries: Vec<Entry> = ["e1", "e2"].map(|n| fleet.entry(n, 1)).into();
    publish(fleet.store.addr(), 3).await;
    for entry in &entries {
        entry.ready(3).await;
    }
    fleet.store.set_down(true);
    // Ends the platform side of one entry, and with it its links.
    entries[1].effects.abort();
    let unready = async {
        while entries[0].readiness.get() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, unready)
        .await
        .expect("the entry becomes unready");
    fleet.store.set_down(false);
    entries[0].ready(3).await;
}
