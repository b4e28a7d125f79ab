//! Set-up shared by the tests that run real processes.

#![allow(dead_code, reason = "no test file uses every item")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use lacewingmoor_bundle::{Field, RawBundle, RawKey, RawWorkspace};
use lacewingmoor_control::model::Target;
use lacewingmoor_standin::caller::{CallerRequest, ReceivedResponse, RequestResult, send_request};
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec, bundle};
use lacewingmoor_standin::raw_target::{RawTarget, Script};

/// Timeout for events that must happen. Tests assert that they happen, not when.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a fleet with one service and waits until its entries are ready.
pub async fn fleet(service: &ServiceSpec, entry_count: usize) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_lacewingmoord"));
    let fleet = Fleet::start(binary, std::slice::from_ref(service), entry_count).await;
    let fleet = fleet.expect("the fleet starts");
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("entries are ready");
    fleet
}

/// Returns the service that most tests use.
pub fn lanes() -> ServiceSpec {
    ServiceSpec::small("lanes")
}

/// Returns an idempotent request.
pub fn read(id: &str) -> CallerRequest {
    CallerRequest {
        id: id.into(),
        method: Method::GET,
        host: HOST.into(),
        path: "/lanes/read/1?day=2".into(),
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
        key: None,
    }
}

/// Returns a request that may run only once.
pub fn write(id: &str) -> CallerRequest {
    CallerRequest {
        method: Method::POST,
        path: "/lanes/write/1".into(),
        body: Bytes::from_static(b"lane=4"),
        ..read(id)
    }
}

/// Sends a request to an entry and returns its response.
///
/// # Panics
///
/// Panics if no response is received.
pub async fn expect_response(entry: &EntryProcess, request: &CallerRequest) -> ReceivedResponse {
    match send_request(entry.caller_addr, request).await {
        RequestResult::Response(response) => response,
        result => panic!("{}: {result:?}\n{}", request.id, entry.log_text()),
    }
}

/// Returns how often requests with this id ran on all targets.
pub fn runs(fleet: &Fleet, id: &str) -> usize {
    let runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    runs.filter(|run| run.request_id == id).count()
}

/// Waits until `done` returns true.
///
/// # Panics
///
/// Panics if that does not happen within the timeout.
pub async fn until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !done().await {
        assert!(Instant::now() < deadline, "timed out waiting until: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the registration of a target of [`lanes`] that is not one of the fleet.
pub fn raw_registration(id: &str, addr: SocketAddr) -> Target {
    Target {
        id: id.into(),
        service: "lanes".into(),
        addr,
        zone: "north-a".into(),
        region: "north".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: None,
    }
}

/// Registers a target that is not one of the fleet, and waits until the first entry knows it.
pub async fn register_raw(fleet: &Fleet, id: &str, addr: SocketAddr) {
    fleet.store.put_target(&raw_registration(id, addr));
    until("the entry knows the target", async || {
        let log = fleet.entries[0].log_text();
        log.contains(&format!("target={id} change=Joined"))
    })
    .await;
}

/// Starts an entry whose only target sends what `script` says.
pub async fn fleet_with_raw_target(script: Script) -> (Fleet, RawTarget) {
    let no_targets = ServiceSpec {
        targets_per_zone: 0,
        ..lanes()
    };
    let fleet = fleet(&no_targets, 1).await;
    let target = RawTarget::start(([127, 0, 0, 1], 0).into(), "raw", script).await;
    let target = target.expect("the target starts");
    register_raw(&fleet, "raw", target.addr()).await;
    (fleet, target)
}

/// Returns the peak memory of the first entry in kilobytes.
///
/// # Panics
///
/// Panics if it does not run.
pub fn peak_memory_kb(fleet: &Fleet) -> u64 {
    let peak_kb = fleet.entries[0].peak_memory_kb();
    peak_kb.expect("the process runs")
}

/// Returns a bundle with one workspace for each name and rate limit; its key is its name with `key-` before
/// it, and its burst a second of the rate.
pub fn bundle_with_workspaces(version: u64, limits: &[(&str, f64)]) -> RawBundle {
    let workspace = |(name, rate_per_s): &(&str, f64)| RawWorkspace {
        name: (*name).to_owned(),
        keys: vec![RawKey::from(format!("key-{name}").as_str())],
        priority: 1,
        rate_per_s: *rate_per_s,
        burst: *rate_per_s,
        home_regions: Vec::new(),
    };
    RawBundle {
        workspaces: Field::Present(limits.iter().map(workspace).collect()),
        ..bundle(version, &[lanes()])
    }
}
