//! Demo of lacewingmoor on loopback: a store, targets and four entries in four zones under load. A
//! zone is taken out of service and returned to service, and an entry is stopped and restarted.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use lacewingmoor_standin::caller::{CallerRequest, RequestResult, send_request};
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec};

/// Duration of the load in each phase.
const PHASE_DURATION: Duration = Duration::from_secs(3);

/// Requests per second, to all entries together.
const REQUESTS_PER_S: u32 = 200;

/// Time after which the demo is aborted.
const TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    tokio::time::timeout(TIMEOUT, demo()).await?
}

async fn demo() -> Result<(), Box<dyn Error>> {
    let service = ServiceSpec {
        service_time: Duration::from_millis(20),
        ..ServiceSpec::small("lanes")
    };
    println!("== start a store, four targets and four entries in four zones");
    let mut fleet = Fleet::start(&entry_binary()?, &[service], 4).await?;
    fleet.wait_ready(Duration::from_secs(20)).await?;
    send_load(&fleet, "all zones").await;

    println!("== take zone north-b out of service");
    fleet.store.set_zone_out_of_service("north-b", true);
    // Waits for the entries to learn of the change.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = runs_in(&fleet, "north-b");
    send_load(&fleet, "north-b out").await;
    let during = runs_in(&fleet, "north-b") - before;
    println!("   requests run in north-b while it was out of service: {during}");

    println!("== return zone north-b to service");
    fleet.store.set_zone_out_of_service("north-b", false);
    send_load(&fleet, "north-b back").await;

    println!("== stop entry-1 and restart it");
    fleet.entries[1].signal(libc::SIGTERM);
    let exited = fleet.entries[1].wait(Duration::from_secs(10));
    println!("   exited with success: {exited}");
    fleet.entries[1].restart()?;
    fleet.wait_ready(Duration::from_secs(20)).await?;
    send_load(&fleet, "entry-1 back").await;

    println!("== last requests in the log of entry-0");
    let log = fleet.entries[0].log_text();
    let requests: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("event=request"))
        .collect();
    for line in requests.iter().rev().take(3) {
        println!("   {line}");
    }
    println!("== calls to the store: {}", fleet.store.call_count());
    Ok(())
}

/// Returns the path of the entry's binary.
fn entry_binary() -> Result<PathBuf, Box<dyn Error>> {
    let binary = Fleet::entry_binary_of_example();
    match binary.exists() {
        true => Ok(binary),
        false => Err("build the workspace first: cargo build --release --workspace".into()),
    }
}

fn runs_in(fleet: &Fleet, zone: &str) -> usize {
    let targets = fleet.targets.iter();
    let inside = targets.filter(|target| &*target.registration.zone == zone);
    inside.map(|target| target.standin.runs().len()).sum()
}

/// Sends requests to all entries in turn, and prints the results and latencies.
async fn send_load(fleet: &Fleet, phase: &str) {
    let count = PHASE_DURATION.as_secs() as u32 * REQUESTS_PER_S;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_S);
    let mut tasks = Vec::new();
    for i in 0..count {
        interval.tick().await;
        let entry = &fleet.entries[i as usize % fleet.entries.len()];
        let caller_addr = entry.caller_addr;
        let request = request(phase, i);
        tasks.push(tokio::spawn(async move {
            send_request(caller_addr, &request).await
        }));
    }
    let mut latencies_ms = Vec::new();
    let mut failed = 0;
    for task in tasks {
        match task.await {
            Ok(RequestResult::Response(response)) if response.status.is_success() => {
                latencies_ms.push(response.latency.as_millis());
            }
            _ => failed += 1,
        }
    }
    latencies_ms.sort_unstable();
    let percentile_ms = |percent: usize| {
        latencies_ms
            .get(latencies_ms.len() * percent / 100)
            .copied()
    };
    println!(
        "   {phase}: {} of {count} succeeded, {failed} failed; median {} ms, 99th percentile {} ms",
        latencies_ms.len(),
        percentile_ms(50).unwrap_or(0),
        percentile_ms(99).unwrap_or(0)
    );
}

fn request(phase: &str, i: u32) -> CallerRequest {
    let (method, path, body) = match i % 4 {
        0 => (
            Method::POST,
            "/lanes/write/1",
            Bytes::from_static(b"lane=4"),
        ),
        _ => (Method::GET, "/lanes/read/1", Bytes::new()),
    };
    CallerRequest {
        id: format!("{}-{i}", phase.replace(' ', "-")),
        method,
        host: HOST.into(),
        path: path.into(),
        body,
        timeout: Duration::from_secs(3),
        key: None,
    }
}
