//! Another writer leaves entries that cannot be read among those of the servers, a few a second. Then all
//! processes are killed and start again.

mod harness;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const HOST: &str = "pool.example";

/// Entries of the other writer. `valueBytes` allows 1,048,576 bytes each.
const FOREIGN_ENTRIES: usize = 150;
const FOREIGN_BYTES: usize = 60_000;

/// Interval of the other writer's writes: 20 a second.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the processes are down after the final fault.
const DOWN: Duration = Duration::from_millis(800);

/// Time after the machines are back from which on requests have to be served, as in the site file.
const RECOVER: Duration = Duration::from_secs(15);

/// Time for which requests are sent after that.
const RUN_AFTER: Duration = Duration::from_secs(10);

fn main() {
    std::process::exit(run());
}

struct Sent {
    at: Instant,
    status: u16,
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::start();
    let routes = [route_json("lookup", "/lookup/", "idempotent", "belegung")];
    store.put("op/config", &config_json(7, &["belegung"], &[(HOST, &routes)]));
    let work = Duration::from_millis(30);
    let servers: Vec<_> = (0..3).map(|i| Server::start(&store, &record, &format!("i-belegung-{i}"), "belegung", work)).collect();
    let mut deployment = Deployment::new(store.addr);
    let mut entries: Vec<_> = (0..3).map(|i| deployment.start(&format!("edge-oberland-a-{}", i + 1))).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.line("an entry is not ready in time");
        return 2;
    }
    record.line("entries are ready");
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let (sent, is_over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let mut killed_at = Instant::now();
    let mut back_at = Instant::now();
    thread::scope(|scope| {
        for (i, front) in fronts.iter().enumerate() {
            let (record, sent, is_over) = (&record, &sent, &is_over);
            scope.spawn(move || client(record, sent, is_over, i, *front));
        }
        let value = vec![0xff; FOREIGN_BYTES];
        for i in 0..FOREIGN_ENTRIES {
            if has_trouble() {
                store.put_bytes(&format!("servers/x-{i:03}"), &value);
            }
            thread::sleep(WRITE_INTERVAL);
        }
        if has_trouble() {
            record.line(format!("another writer has written {FOREIGN_ENTRIES} entries of {FOREIGN_BYTES} bytes that cannot be read"));
        }
        thread::sleep(Duration::from_secs(3));
        killed_at = Instant::now();
        record.line("all processes are killed");
        for entry in &mut entries {
            entry.kill();
        }
        thread::sleep(DOWN);
        for entry in &mut entries {
            entry.restart();
        }
        back_at = Instant::now();
        record.line("all processes start again");
        thread::sleep(RECOVER + RUN_AFTER);
        is_over.store(true, Ordering::Relaxed);
    });
    let sent = sent.into_inner().unwrap();
    let share = |from: Option<Instant>, until: Option<Instant>| {
        let of_time = sent.iter().filter(|sent: &&Sent| from.is_none_or(|at| sent.at > at) && until.is_none_or(|at| sent.at < at));
        let (count, served) = of_time.fold((0, 0), |(count, served), sent| (count + 1, served + usize::from(sent.status == 200)));
        (count, served)
    };
    let (before, served_before) = share(None, Some(killed_at));
    let (after, served_after) = share(Some(back_at + RECOVER), None);
    record.line(format!("before the final fault {served_before} of {before} requests were served"));
    record.line(format!("later than recoverS after the machines were back {served_after} of {after} were served"));
    for entry in &entries {
        record.line(format!("{} is ready: {}", entry.name, entry.is_ready()));
        let log = entry.log();
        let lost = log.lines().rev().filter(|line| line.contains("source_lost")).take(2);
        for line in lost {
            record.line(format!("log of {}: {line}", entry.name));
        }
    }
    let runs: usize = servers.iter().map(|server| server.runs().len()).sum();
    record.line(format!("servers ran {runs} requests"));
    if served_before * 4 < before || before == 0 || after == 0 {
        return 2;
    }
    verdict(&record, served_after * 4 < after, &format!("{served_after} of {after} requests were served after the recovery"))
}

/// Looks up the schedule again and again, each time on a new connection.
fn client(record: &Record, sent: &Mutex<Vec<Sent>>, is_over: &AtomicBool, i: usize, front: SocketAddr) {
    while !is_over.load(Ordering::Relaxed) {
        let call = Call::new("GET", HOST, "/lookup/2f");
        let at = Instant::now();
        let answer = call.send(front);
        let (status, text) = match &answer {
            Ok(answer) => (answer.status, answer.status.to_string()),
            Err(error) => (0, format!("no answer: {error}")),
        };
        record.line(format!("GET {} sent to entry {}: {text}", call.id, i + 1));
        sent.lock().unwrap().push(Sent { at, status });
        thread::sleep(Duration::from_millis(50));
    }
}
