//! An entry of another writer, in which fields are missing, names a server of the schedule service as one of
//! the booking service.

mod harness;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const HOST: &str = "pool.example";
const RUN_TIME: Duration = Duration::from_secs(12);
const DISRUPTION_AT: Duration = Duration::from_secs(4);

/// With two entries and their requests one after the other, about as many requests a second as the smallest
/// deployments have.
const CLIENTS_PER_ENTRY: usize = 3;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::start();
    let routes = [
        route_json("lookup", "/lookup/", "idempotent", "belegung"),
        route_json("booking", "/booking/", "non_idempotent", "buchung"),
    ];
    store.put("op/config", &config_json(7, &["belegung", "buchung"], &[(HOST, &routes)]));
    let work = Duration::from_millis(30);
    let schedule: Vec<_> = (0..3).map(|i| Server::start(&store, &record, &format!("i-belegung-{i}"), "belegung", work)).collect();
    let booking: Vec<_> = (0..3).map(|i| Server::start(&store, &record, &format!("i-buchung-{i}"), "buchung", work)).collect();
    let mut deployment = Deployment::new(store.addr);
    let entries: Vec<_> = (0..2).map(|i| deployment.start(&format!("edge-oberland-a-{}", i + 1))).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.line("an entry is not ready in time");
        return 2;
    }
    record.line("entries are ready");
    thread::sleep(Duration::from_secs(3));
    let counts = Mutex::new([0u32; 3]);
    thread::scope(|scope| {
        for (i, entry) in entries.iter().enumerate() {
            for _ in 0..CLIENTS_PER_ENTRY {
                let (record, counts, front) = (&record, &counts, entry.front);
                scope.spawn(move || client(record, counts, i, front));
            }
        }
        thread::sleep(DISRUPTION_AT);
        if has_trouble() {
            // `version` and `born` are missing.
            let entry = format!(
                r#"{{"service":"buchung","address":"{}","zone":"{ZONE}","slots":4,"state":"ready","warmupLeftMs":0,"sequence":1000}}"#,
                schedule[0].addr
            );
            store.put(&format!("servers/{}", schedule[0].id), &entry);
            record.line(format!("another writer writes servers/{}: {entry}", schedule[0].id));
        }
    });
    let counts = counts.into_inner().unwrap();
    record.line(format!("answers: {} with 200, {} others, {} without one", counts[0], counts[1], counts[2]));
    if counts[0] == 0 {
        record.line("no request was served");
        return 2;
    }
    record.line(format!("{} has written its own entry {} times", schedule[0].id, schedule[0].sequence.load(Ordering::Relaxed)));
    let mut foreign = 0;
    for server in schedule.iter().chain(&booking) {
        for run in server.runs() {
            let is_allowed = match server.service.as_str() {
                "belegung" => run.path.starts_with("/lookup/"),
                _ => run.path.starts_with("/booking/"),
            };
            if !is_allowed {
                foreign += 1;
                record.line(format!("ROUTE: {} {} {} ran on {} of {} at {} ms", run.method, run.path, run.id, server.id, server.service, run.at_ms));
            }
        }
    }
    verdict(&record, foreign > 0, &format!("{foreign} requests were run by a service to which no configuration sends them"))
}

/// Looks up the schedule and books by turns, each time on a new connection.
fn client(record: &Record, counts: &Mutex<[u32; 3]>, i: usize, front: SocketAddr) {
    let started = Instant::now();
    while started.elapsed() < RUN_TIME {
        for (method, path) in [("GET", "/lookup/2f"), ("POST", "/booking/2f")] {
            let mut call = Call::new(method, HOST, path);
            if method == "POST" {
                call.body = b"lane=4&hour=17".to_vec();
            }
            let answer = call.send(front);
            let (kind, text) = match &answer {
                Ok(answer) if answer.status == 200 => (0, answer_text(answer)),
                Ok(answer) => (1, answer_text(answer)),
                Err(error) => (2, format!("no answer: {error}")),
            };
            counts.lock().unwrap()[kind] += 1;
            record.line(format!("{method} {path} {} sent to entry {}: {text}", call.id, i + 1));
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn answer_text(answer: &Answer) -> String {
    format!("{} {:?}", answer.status, String::from_utf8_lossy(&answer.body).trim_end())
}
