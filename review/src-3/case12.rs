//! Another writer leaves entries that cannot be read among those of the servers. Then a configuration moves a
//! route to another service.

mod harness;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const HOST: &str = "pool.example";
const RUN_TIME: Duration = Duration::from_secs(20);
const DISRUPTION_AT: Duration = Duration::from_secs(4);
const CHANGE_AT: Duration = Duration::from_secs(8);

/// Time after its acknowledgement within which a configuration is in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// Entries of the other writer. `valueBytes` allows 1,048,576 bytes each.
const FOREIGN_ENTRIES: usize = 150;
const FOREIGN_BYTES: usize = 60_000;

/// Interval of the other writer's transactions, each of which writes the most that the store allows, 32 keys.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

const CLIENTS_PER_ENTRY: usize = 2;

fn main() {
    std::process::exit(run());
}

fn config(version: u64, service: &str) -> String {
    let routes = [route_json("lookup", "/lookup/", "idempotent", service)];
    config_json(version, &["belegung", "belegung-neu"], &[(HOST, &routes)])
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::start();
    store.put("op/config", &config(7, "belegung"));
    let work = Duration::from_millis(30);
    let servers = |service: &str| -> Vec<_> {
        (0..3).map(|i| Server::start(&store, &record, &format!("i-{service}-{i}"), service, work)).collect()
    };
    let (old, new) = (servers("belegung"), servers("belegung-neu"));
    let mut deployment = Deployment::new(store.addr);
    let entries: Vec<_> = (0..3).map(|i| deployment.start(&format!("edge-oberland-a-{}", i + 1))).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.line("an entry is not ready in time");
        return 2;
    }
    record.line("entries are ready");
    // The machines are in touch: contactMs of the site is 3000.
    thread::sleep(Duration::from_secs(4));
    let sent = Mutex::new(Vec::new());
    let mut changed_at = Instant::now();
    thread::scope(|scope| {
        for (i, entry) in entries.iter().enumerate() {
            for _ in 0..CLIENTS_PER_ENTRY {
                let (record, sent, front) = (&record, &sent, entry.front);
                scope.spawn(move || client(record, sent, i, front));
            }
        }
        thread::sleep(DISRUPTION_AT);
        if has_trouble() {
            let value = vec![0xff; FOREIGN_BYTES];
            let writes: Vec<_> = (0..FOREIGN_ENTRIES).map(|i| (format!("servers/x-{i:03}"), value.clone())).collect();
            for together in writes.chunks(32) {
                store.put_together(together);
                thread::sleep(WRITE_INTERVAL);
            }
            record.line(format!("another writer has written {FOREIGN_ENTRIES} entries of {FOREIGN_BYTES} bytes that cannot be read"));
        }
        thread::sleep(CHANGE_AT - DISRUPTION_AT);
        store.put("op/config", &config(9, "belegung-neu"));
        changed_at = Instant::now();
        record.line("the store acknowledges r9, in which the route goes to belegung-neu");
    });
    let sent = sent.into_inner().unwrap();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    record.line(format!("{} requests sent, {served} answered with 200", sent.len()));
    if served == 0 {
        record.line("no request was served");
        return 2;
    }
    let runs: Vec<Arrival> = old.iter().flat_map(|server| server.runs()).collect();
    let (mut late, mut stale) = (0, 0);
    for sent in &sent {
        if sent.at <= changed_at + CONFIG_APPLY {
            continue;
        }
        late += 1;
        if runs.iter().any(|run| run.id == sent.id) {
            stale += 1;
            let after = (sent.at - changed_at).as_millis();
            record.line(format!("CONFIG: {} was sent to entry {} {after} ms after the acknowledgement and ran on belegung", sent.id, sent.entry + 1));
        }
    }
    record.line(format!("{late} requests were sent later than configApplyMs after the acknowledgement"));
    let new_runs: usize = new.iter().map(|server| server.runs().len()).sum();
    record.line(format!("belegung-neu ran {new_runs} requests"));
    for entry in &entries {
        record.line(format!("{} is ready: {}", entry.name, entry.is_ready()));
        for line in entry.log().lines().filter(|line| line.contains("source_lost") || line.contains("follower_rejected")).take(3) {
            record.line(format!("log of {}: {line}", entry.name));
        }
    }
    verdict(&record, stale > 0, &format!("{stale} of {late} requests were run by the old service"))
}

struct Sent {
    id: String,
    entry: usize,
    at: Instant,
    status: u16,
}

/// Looks up the schedule again and again, each time on a new connection.
fn client(record: &Record, sent: &Mutex<Vec<Sent>>, i: usize, front: SocketAddr) {
    let started = Instant::now();
    while started.elapsed() < RUN_TIME {
        let call = Call::new("GET", HOST, "/lookup/2f");
        let at = Instant::now();
        let answer = call.send(front);
        let (status, text) = match &answer {
            Ok(answer) => (answer.status, format!("{} {:?}", answer.status, String::from_utf8_lossy(&answer.body).trim_end())),
            Err(error) => (0, format!("no answer: {error}")),
        };
        record.line(format!("GET {} sent to entry {}: {text}", call.id, i + 1));
        sent.lock().unwrap().push(Sent { id: call.id, entry: i, at, status });
        thread::sleep(Duration::from_millis(20));
    }
}
