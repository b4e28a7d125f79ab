//! The configuration grows by many routes, each with a rank of its own.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const HOST: &str = "pool.example";

/// Time after its acknowledgement within which a configuration is in force, as in the site file.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);
const BUDGET_EXTRA: u32 = 335;

/// Routes by which the configuration grows. The site file has up to 1400.
const ROUTES: usize = 1100;

/// Time for which requests are sent after the configuration has to be in force.
const RUN_TIME: Duration = Duration::from_secs(10);

fn main() {
    std::process::exit(run());
}

/// Returns the configuration with the first route, and `count` further ones that rank after it.
fn config(version: u64, count: usize) -> String {
    let routes: Vec<String> = (0..=count)
        .map(|i| ranked_route_json(&format!("r-{i}"), &format!("/r{i}/"), "idempotent", "lookup-svc", i))
        .collect();
    config_json(version, &["lookup-svc"], &[(HOST, &routes)])
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::start();
    store.put("op/config", &config(7, 10));
    let work = Duration::from_millis(20);
    let servers: Vec<_> = (0..3).map(|i| Server::start(&store, &record, &format!("i-lookup-{i}"), "lookup-svc", work)).collect();
    let mut deployment = Deployment::new(store.addr);
    deployment.config_apply = CONFIG_APPLY;
    deployment.budget_extra = BUDGET_EXTRA;
    let entries: Vec<_> = (0..3).map(|i| deployment.start(&format!("edge-oberland-a-{}", i + 1))).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.line("an entry is not ready in time");
        return 2;
    }
    // The machines are in touch: contactMs of the site is 4000.
    thread::sleep(Duration::from_secs(6));
    // Without the disruption, the change adds a few routes only.
    let growth = if has_trouble() { ROUTES } else { 50 };
    let text = config(9, growth);
    store.put("op/config", &text);
    let acknowledged_at = Instant::now();
    record.line(format!("the store acknowledges r9 with {} routes, ranked 0 to {growth}; {} bytes", growth + 1, text.len()));
    let (mut first, mut added, mut refused) = (0, 0, 0);
    while acknowledged_at.elapsed() < CONFIG_APPLY + RUN_TIME {
        for (i, entry) in entries.iter().enumerate() {
            for path in ["/r0/2f", "/r42/2f"] {
                let call = Call::new("GET", HOST, path);
                let sent_after = acknowledged_at.elapsed();
                let status = call.send(entry.front).map_or(0, |answer| answer.status);
                record.line(format!("GET {path} {} sent to entry {} {} ms after the acknowledgement: {status}", call.id, i + 1, sent_after.as_millis()));
                match (path, status) {
                    ("/r0/2f", 200) => first += 1,
                    ("/r42/2f", _) if sent_after > CONFIG_APPLY => {
                        added += 1;
                        refused += usize::from(status == 404);
                    }
                    _ => {}
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let runs: usize = servers.iter().map(|server| server.runs().len()).sum();
    record.line(format!("{first} requests on the first route were answered with 200; servers ran {runs}"));
    if first == 0 {
        return 2;
    }
    for entry in &entries {
        let log = entry.log();
        if let Some(line) = log.lines().find(|line| line.contains("store_item_unusable")) {
            record.line(format!("log of {}: {}", entry.name, &line[..line.len().min(220)]));
        }
    }
    verdict(&record, refused > 0, &format!("{refused} of {added} requests on an added route were refused with 404 later than configApplyMs"))
}
