//! Set-up that the tests with real processes share.

#![allow(dead_code, reason = "each test file uses a part")]

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use lacewingmoor_standin::caller::{CallerRequest, ReceivedResponse, RequestResult, send_request};
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec};

/// Longest wait for something that must happen. Tests assert that it happens, not when.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Starts a fleet of one service `lanes` and waits until its entries are ready.
pub async fn fleet(plan: &ServiceSpec, entries: usize) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_lacewingmoord"));
    let fleet = Fleet::start(binary, std::slice::from_ref(plan), entries).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.wait_ready(PATIENCE).await.expect("entries are ready");
    fleet
}

/// The service of most tests.
pub fn lanes() -> ServiceSpec {
    ServiceSpec::small("lanes")
}

/// A request that may be repeated.
pub fn read(id: &str) -> CallerRequest {
    CallerRequest {
        id: id.into(),
        method: Method::GET,
        host: HOST.into(),
        path: "/lanes/read/1?day=2".into(),
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
    }
}

/// A request that may run once.
pub fn write(id: &str) -> CallerRequest {
    CallerRequest {
        method: Method::POST,
        path: "/lanes/write/1".into(),
        body: Bytes::from_static(b"lane=4"),
        ..read(id)
    }
}

/// Sends a request to an entry and returns its answer.
pub async fn answer(entry: &EntryProcess, request: &CallerRequest) -> ReceivedResponse {
    match send_request(entry.callers, request).await {
        RequestResult::Response(answer) => answer,
        end => panic!("{}: {end:?}\n{}", request.id, entry.log_text()),
    }
}

/// Returns how often requests with this id ran on all targets.
pub fn runs(fleet: &Fleet, id: &str) -> usize {
    let runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    runs.filter(|run| run.request_id == id).count()
}

/// Waits until `done` returns true.
pub async fn until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let ends = Instant::now() + PATIENCE;
    while !done().await {
        assert!(Instant::now() < ends, "did not happen: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
