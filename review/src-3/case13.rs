//! A version takes away the last tenant.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const HOST: &str = "pool.example";

/// Time after its acknowledgement within which a configuration is in force, as in the site file.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);
const BUDGET_EXTRA: u32 = 170;

const CHANGE_AT: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(16);

/// Key of the tenant of the first version.
const HELD_KEY: &str = "9b1f0c7e55d2";

/// Key that no configuration ever holds.
const UNKNOWN_KEY: &str = "000000000000";

fn main() {
    std::process::exit(run());
}

fn config(version: u64, tenants: &str) -> String {
    let routes = [route_json("round-fetch", "/rounds/", "idempotent", "quizmaster-feed")];
    let text = config_json(version, &["quizmaster-feed"], &[(HOST, &routes)]);
    format!("{},\"tenants\":{tenants}}}", text.strip_suffix('}').unwrap())
}

fn run() -> i32 {
    let record = Record::open();
    let store = Store::start();
    let tenants = |key: &str| format!(r#"[{{"name":"blue-bar","apiKeys":["{key}"],"priority":0,"ratePerS":500,"burst":500}}]"#);
    store.put("op/config", &config(7, &tenants(HELD_KEY)));
    let work = Duration::from_millis(20);
    let servers: Vec<_> = (0..3).map(|i| Server::start(&store, &record, &format!("i-feed-{i}"), "quizmaster-feed", work)).collect();
    let mut deployment = Deployment::new(store.addr);
    deployment.config_apply = CONFIG_APPLY;
    deployment.budget_extra = BUDGET_EXTRA;
    deployment.fields = vec![
        ("bounds.quotaWindowS", "5"),
        ("bounds.quotaOver", "0.1"),
        ("bounds.quotaSlack", "20"),
        ("bounds.strictRevoke", "false"),
        ("bounds.revokeMs", "5000"),
    ];
    let entries: Vec<_> = (0..3).map(|i| deployment.start(&format!("edge-oberland-a-{}", i + 1))).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.line("an entry is not ready in time");
        return 2;
    }
    // The machines are in touch: contactMs of the site is 4000.
    thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    let mut acknowledged_at = None;
    let mut served_before = 0;
    let mut sent = Vec::new();
    while started.elapsed() < RUN_TIME {
        if acknowledged_at.is_none() && started.elapsed() > CHANGE_AT {
            // Without the disruption, the tenant stays and gets another key.
            let tenants = if has_trouble() { "[]".to_owned() } else { tenants("5d0e7a11c3f4") };
            store.put("op/config", &config(9, &tenants));
            acknowledged_at = Some(Instant::now());
            record.line(format!("the store acknowledges r9 with \"tenants\":{tenants}"));
        }
        for (i, entry) in entries.iter().enumerate() {
            for key in [HELD_KEY, UNKNOWN_KEY] {
                let mut call = Call::new("GET", HOST, "/rounds/2f");
                call.fields = format!("Authorization: Bearer {key}\r\n");
                let at = Instant::now();
                let status = call.send(entry.front).map_or(0, |answer| answer.status);
                record.line(format!("GET {} with key {key} sent to entry {}: {status}", call.id, i + 1));
                served_before += u32::from(acknowledged_at.is_none() && status == 200);
                sent.push((call.id, key, at));
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
    if served_before == 0 {
        record.line("no request was served before the change");
        return 2;
    }
    let in_force_at = acknowledged_at.unwrap() + CONFIG_APPLY;
    let runs: Vec<Arrival> = servers.iter().flat_map(|server| server.runs()).collect();
    let (mut unknown, mut dropped, mut passed_on) = (0, 0, 0);
    for (id, key, at) in &sent {
        let Some(run) = runs.iter().find(|run| run.id == *id) else {
            continue;
        };
        let has_key = run.authorization.is_some();
        passed_on += usize::from(has_key);
        if *key == UNKNOWN_KEY {
            unknown += 1;
            record.line(format!("ROUTE: {id} ran with the key {key}, which no configuration ever held; passed on to the server: {has_key}"));
        } else if *at > in_force_at {
            dropped += 1;
        }
    }
    record.line(format!("{dropped} requests ran with the key that r9 took away, sent later than configApplyMs after the acknowledgement"));
    record.line(format!("the key itself reached a server with {passed_on} requests"));
    verdict(&record, unknown > 0, &format!("{unknown} requests ran whose key no configuration ever held"))
}
