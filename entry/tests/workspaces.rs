//! Requests with keys of workspaces, with real processes. Guards against requests that run without a known
//! key, keys that reach a target or any output, workspace names of callers that targets believe, and
//! requests that run with a key that was withdrawn.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{expect_response, fleet, lanes, read, until, write};
use http::HeaderMap;
use lacewingmoor_bundle::{Field, RawBundle, RawKey, RawWorkspace};
use lacewingmoor_control::model::Revision;
use lacewingmoor_platform::headers::WORKSPACE;
use lacewingmoor_platform::registry::CONFIG_KEY;
use lacewingmoor_standin::caller::{CallerRequest, KeptConnection, RequestResult, send_request};
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec, bundle, get};
use lacewingmoor_standin::store::StoreFault;
use lacewingmoor_standin::target::{Run, TargetFault};
use lacewingmoord::peer_protocol::{self, Subscribe};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const KEY_A: &str = "secret-of-a";
const KEY_B: &str = "secret-of-b";
const KEY_NOT_ASCII: &str = "secret-of-ä";

fn workspace(name: &str, keys: &[&str]) -> RawWorkspace {
    RawWorkspace {
        name: name.into(),
        keys: keys.iter().map(|key| RawKey::from(*key)).collect(),
        priority: 0,
        rate_per_s: 0.0,
        burst: 0.0,
        home_regions: Vec::new(),
    }
}

/// Returns the bundle of the fleet with workspaces and a public route `/lanes/public/`.
fn bundle_with(version: u64, workspaces: Vec<RawWorkspace>) -> RawBundle {
    let mut bundle = bundle(version, &[lanes()]);
    let mut public = bundle.routes[0].clone();
    public.name = "lanes-public".into();
    public.path_prefix = "/lanes/public/".into();
    public.public = true;
    bundle.routes.push(public);
    bundle.workspaces = Field::Present(workspaces);
    bundle
}

async fn put_workspaces(fleet: &Fleet, version: u64, workspaces: Vec<RawWorkspace>) {
    put_bundle(fleet, bundle_with(version, workspaces)).await;
}

async fn put_bundle(fleet: &Fleet, bundle: RawBundle) {
    let version = bundle.version;
    fleet.store.put_bundle(&bundle);
    until("the bundle is active", async || {
        let start = format!("event=bundle_in_force version={version}");
        let is_active = |entry: &EntryProcess| entry.log_text().contains(&start);
        fleet.entries.iter().all(is_active)
    })
    .await;
}

fn both() -> Vec<RawWorkspace> {
    vec![
        workspace("a", &[KEY_A, KEY_NOT_ASCII]),
        workspace("b", &[KEY_B]),
    ]
}

async fn fleet_with_workspaces(service: &ServiceSpec, entry_count: usize) -> Fleet {
    let fleet = fleet(service, entry_count).await;
    put_workspaces(&fleet, 2, both()).await;
    fleet
}

fn with_key(key: &str, request: CallerRequest) -> CallerRequest {
    CallerRequest {
        key: Some(key.into()),
        ..request
    }
}

fn runs_of(fleet: &Fleet, id: &str) -> Vec<Run> {
    let runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    runs.filter(|run| run.request_id == id).collect()
}

/// Returns the workspaces that targets were told for a request. No field may contain a key.
fn told(fleet: &Fleet, id: &str) -> Vec<Option<String>> {
    let text = |headers: &HeaderMap| {
        let fields = headers.iter();
        let lines = fields.map(|(name, value)| format!("{name}: {value:?}\n"));
        lines.collect::<String>()
    };
    let runs = runs_of(fleet, id);
    let workspace = |run: &Run| {
        assert!(!text(&run.headers).contains("secret"), "{:?}", run.headers);
        assert!(!run.headers.contains_key(http::header::AUTHORIZATION));
        let names: Vec<_> = run.headers.get_all(WORKSPACE).iter().collect();
        assert!(names.len() <= 1, "{names:?}");
        names
            .first()
            .map(|name| name.to_str().unwrap_or_default().to_owned())
    };
    runs.iter().map(workspace).collect()
}

/// Sends a request with these bytes and returns the status of the response.
async fn send_raw(entry: &EntryProcess, request: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(entry.caller_addr).await.expect("open");
    stream.write_all(request).await.expect("written");
    let mut response = Vec::new();
    let mut part = [0; 1024];
    while !response.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let count = stream.read(&mut part).await.expect("a response");
        assert!(count > 0, "no response");
        response.extend_from_slice(&part[..count]);
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    text[9..12].parse().expect("a status")
}

#[derive(Clone)]
struct Case {
    path: &'static str,
    /// Header lines, or lines that follow the head.
    lines: String,
    status: u16,
    workspace: Option<&'static str>,
}

const PRIVATE: &str = "/lanes/read/1";
const PUBLIC: &str = "/lanes/public/1";

fn refused(lines: impl Into<String>) -> Case {
    Case {
        path: PRIVATE,
        lines: lines.into(),
        status: 401,
        workspace: None,
    }
}

fn runs_for(workspace: &'static str, lines: &str) -> Case {
    Case {
        status: 200,
        workspace: Some(workspace),
        ..refused(lines)
    }
}

fn public(workspace: Option<&'static str>, lines: &str) -> Case {
    Case {
        path: PUBLIC,
        status: 200,
        workspace,
        ..refused(lines)
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\nTrailer: Authorization";
const TRAILERS: &str =
    "\r\n\r\n1\r\nx\r\n0\r\nAuthorization: Bearer secret-of-b\r\nX-Lacewingmoor-Tenant: b";

#[rstest]
#[case::no_key(refused("Accept: a"))]
#[case::unknown(refused("Authorization: Bearer secret-of-nobody"))]
#[case::two_fields(refused(
    "Authorization: Bearer secret-of-a\r\nAuthorization: Bearer secret-of-b"
))]
#[case::same_field_twice(refused(
    "Authorization: Bearer secret-of-a\r\nAuthorization: Bearer secret-of-a"
))]
#[case::two_in_one_field(refused("Authorization: Bearer secret-of-a, Bearer secret-of-b"))]
#[case::other_scheme(refused("Authorization: Basic secret-of-a"))]
#[case::no_scheme(refused("Authorization: secret-of-a"))]
#[case::scheme_only(refused("Authorization: Bearer "))]
#[case::tab(refused("Authorization: Bearer\tsecret-of-a"))]
#[case::part_of_a_key(refused("Authorization: Bearer secret-of-"))]
#[case::other_case_of_the_key(refused("Authorization: Bearer SECRET-of-a"))]
#[case::proxy_field(refused("Proxy-Authorization: Bearer secret-of-a"))]
#[case::digest(refused(format!("Authorization: Bearer {}", lacewingmoor_bundle::KeyDigest::of(KEY_A))))]
#[case::very_long(refused(format!("Authorization: Bearer {KEY_A}{}", "x".repeat(12_000))))]
#[case::only_in_trailers(refused(format!("{CHUNKED}{TRAILERS}")))]
#[case::name_without_a_key(refused("X-Lacewingmoor-Tenant: a"))]
#[case::plain(runs_for("a", "Authorization: Bearer secret-of-a"))]
#[case::other_case_of_the_scheme(runs_for("a", "authorization: bEARER secret-of-a"))]
#[case::spaces(runs_for("a", "Authorization:   Bearer    secret-of-a  "))]
#[case::not_ascii(runs_for("a", "Authorization: Bearer secret-of-ä"))]
#[case::name_of_another(runs_for(
    "a",
    "Authorization: Bearer secret-of-a\r\nX-Lacewingmoor-Tenant: b"
))]
#[case::several_names(runs_for(
    "a",
    "X-Lacewingmoor-Tenant: b\r\nx-lacewingmoor-tenant: b\r\nAuthorization: Bearer secret-of-a"
))]
#[case::listed_in_connection(runs_for(
    "a",
    "Connection: Authorization, X-Lacewingmoor-Tenant\r\nAuthorization: Bearer secret-of-a"
))]
#[case::other_in_trailers(runs_for("a", &format!("Authorization: Bearer secret-of-a\r\n{CHUNKED}{TRAILERS}")))]
#[case::public(public(None, "Accept: a"))]
#[case::public_known(public(Some("b"), "Authorization: Bearer secret-of-b"))]
#[case::public_unknown(public(None, "Authorization: Bearer secret-of-nobody"))]
#[case::public_two_fields(public(
    None,
    "Authorization: Bearer secret-of-a\r\nAuthorization: Bearer secret-of-b"
))]
#[case::public_name(public(None, "X-Lacewingmoor-Tenant: b"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_runs_for_the_workspace_of_its_key_only(#[case] case: Case) {
    let fleet = fleet_with_workspaces(&lanes(), 1).await;
    let (path, lines) = (case.path, case.lines);
    let head =
        format!("X-Lacewingmoor-Attempt-Id: r-1\r\nX-Lacewingmoor-Deadline-Ms: 4000\r\n{lines}");
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{head}\r\n\r\n");
    let status = send_raw(&fleet.entries[0], request.as_bytes()).await;
    assert_eq!(status, case.status, "{}", fleet.entries[0].log_text());
    let expected = match status {
        200 => vec![case.workspace.map(str::to_owned)],
        _ => Vec::new(),
    };
    assert_eq!(told(&fleet, "r-1"), expected);
}

/// A caller could name a workspace to targets if the bundle has none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_name_no_workspace_without_workspaces_in_the_bundle() {
    let fleet = fleet(&lanes(), 1).await;
    let fields = "X-Lacewingmoor-Attempt-Id: r-1\r\nX-Lacewingmoor-Tenant: b";
    let request = format!("GET {PRIVATE} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n\r\n");
    assert_eq!(send_raw(&fleet.entries[0], request.as_bytes()).await, 200);
    assert_eq!(told(&fleet, "r-1"), [None]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_request_of_a_connection_has_its_own_workspace() {
    let fleet = fleet_with_workspaces(&lanes(), 1).await;
    let mut connection = KeptConnection::open(fleet.entries[0].caller_addr)
        .await
        .expect("the entry accepts");
    for i in 0..6 {
        let id = format!("r-{i}");
        let (key, name) = [(KEY_A, "a"), (KEY_B, "b")][i % 2];
        let result = connection.send(&with_key(key, read(&id))).await;
        assert!(matches!(result, RequestResult::Response(r) if r.status == 200));
        assert_eq!(told(&fleet, &id), [Some(name.to_owned())]);
    }
}

/// The attempts after the first are made by other code.
#[rstest]
#[case::retry(TargetFault::LoseResponses)]
#[case::retry_after_failure(TargetFault::InternalError)]
#[case::hedge(TargetFault::Hang)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_attempt_passes_on_a_key(#[case] fault: TargetFault) {
    let fleet = fleet_with_workspaces(&lanes(), 1).await;
    fleet.targets[0].standin.set_fault(fault);
    let mut attempts_max = 0;
    for i in 0..40 {
        let id = format!("r-{i}");
        expect_response(&fleet.entries[0], &with_key(KEY_A, read(&id))).await;
        let told = told(&fleet, &id);
        assert!(
            told.iter().all(|name| name.as_deref() == Some("a")),
            "{told:?}"
        );
        attempts_max = attempts_max.max(told.len());
        if attempts_max > 1 {
            return;
        }
    }
    panic!("no request was sent twice\n{}", fleet.entries[0].log_text());
}

/// What becomes of the key of a queued request.
#[derive(Clone, Copy)]
enum Change {
    Nothing,
    Withdrawn,
    Moved,
}

/// All targets run a request, so the next one is queued. Those that run go on whatever becomes of their key.
#[rstest]
#[case::kept(Change::Nothing, 200)]
#[case::withdrawn(Change::Withdrawn, 401)]
#[case::moved(Change::Moved, 503)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_is_not_sent_for_a_key_that_changes(
    #[case] change: Change,
    #[case] status: u16,
) {
    let slow = ServiceSpec {
        service_time: Duration::from_millis(900),
        slots: 1,
        ..lanes()
    };
    let fleet = fleet_with_workspaces(&slow, 1).await;
    let entry = &fleet.entries[0];
    let running = (0..4).map(|i| {
        let request = with_key(KEY_B, read(&format!("running-{i}")));
        let addr = entry.caller_addr;
        tokio::spawn(async move { send_request(addr, &request).await })
    });
    let running: Vec<_> = running.collect();
    until("all targets run a request", async || {
        (0..4).all(|i| !runs_of(&fleet, &format!("running-{i}")).is_empty())
    })
    .await;
    let request = with_key(KEY_B, read("queued"));
    let change_keys = async {
        until("the request is queued", async || {
            let status = get(entry.metrics_addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("{\"name\":\"b\",\"waiting_requests\":1}"))
        })
        .await;
        match change {
            Change::Nothing => {}
            Change::Withdrawn => {
                put_workspaces(&fleet, 3, vec![workspace("a", &[KEY_A])]).await;
            }
            Change::Moved => {
                put_workspaces(&fleet, 3, vec![workspace("a", &[KEY_A, KEY_B])]).await;
            }
        }
    };
    let (response, ()) = tokio::join!(expect_response(entry, &request), change_keys);
    assert_eq!(response.status.as_u16(), status, "{}", entry.log_text());
    assert_eq!(response.retry_after.is_some(), status == 503);
    for running in running {
        let result = running.await.expect("the request ends");
        assert!(matches!(result, RequestResult::Response(r) if r.status == 200));
    }
    // It may be hedged.
    assert_eq!(runs_of(&fleet, "queued").is_empty(), status != 200);
}

/// The key is withdrawn after the head was accepted and before the body is complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_not_sent_for_a_key_that_is_withdrawn_before_its_body_ends() {
    let fleet = fleet_with_workspaces(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let mut stream = TcpStream::connect(entry.caller_addr).await.expect("open");
    let fields = "X-Lacewingmoor-Attempt-Id: r-1\r\nContent-Length: 4";
    let head = format!("POST {PRIVATE} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n");
    let head = format!("{head}Authorization: Bearer {KEY_B}\r\n\r\nbo");
    stream.write_all(head.as_bytes()).await.expect("written");
    until("the head was read", async || {
        let status = get(entry.metrics_addr, "/status").await;
        status.is_some_and(|(_, text)| text.contains("\"requests_in_flight\":1"))
    })
    .await;
    put_workspaces(&fleet, 3, vec![workspace("a", &[KEY_A])]).await;
    stream.write_all(b"dy").await.expect("written");
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("a response");
    assert_eq!(&start, b"HTTP/1.1 401", "{}", entry.log_text());
    assert!(runs_of(&fleet, "r-1").is_empty());
}

/// A request that may have run is neither sent again nor refused as if it had not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_may_have_run_is_not_retried_with_a_withdrawn_key() {
    let slow = ServiceSpec {
        service_time: Duration::from_millis(600),
        ..lanes()
    };
    let fleet = fleet_with_workspaces(&slow, 1).await;
    for target in &fleet.targets {
        target.standin.set_fault(TargetFault::LoseResponses);
    }
    let entry = &fleet.entries[0];
    // A hedge would be a second send before the key is withdrawn.
    let request = with_key(KEY_B, read("r-1"));
    let withdraw = async {
        until("the request runs", async || {
            !runs_of(&fleet, "r-1").is_empty()
        })
        .await;
        put_workspaces(&fleet, 3, vec![workspace("a", &[KEY_A])]).await;
        runs_of(&fleet, "r-1").len()
    };
    let (response, sent_before) = tokio::join!(expect_response(entry, &request), withdraw);
    assert_eq!(response.status.as_u16(), 502, "{}", entry.log_text());
    assert_eq!(runs_of(&fleet, "r-1").len(), sent_before);
}

/// An entry that is cut off cannot tell a new key from a wrong one.
#[rstest]
#[case::lenient(false, 200)]
#[case::strict(true, 503)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_is_cut_off_does_not_call_a_key_wrong(
    #[case] is_strict: bool,
    #[case] status_of_known: u16,
) {
    let fleet = fleet_with_workspaces(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    if is_strict {
        let path = &entry.settings_path;
        let settings = std::fs::read_to_string(path).expect("readable");
        let strict = "\"bounds\":{\"keys_strict\":true,\"keys_withdrawn_ms\":2500,";
        let settings = settings.replacen("\"bounds\":{", strict, 1);
        std::fs::write(path, settings).expect("writable");
        entry.signal(libc::SIGHUP);
        until("the settings are active", async || {
            entry.log_text().contains("event=reload ")
        })
        .await;
    }
    let wrong = with_key("secret-of-nobody", read("r-1"));
    assert_eq!(expect_response(entry, &wrong).await.status.as_u16(), 401);
    fleet.store.set_fault(StoreFault::Reset);
    // Written, but not seen by the entry.
    fleet.store.put_bundle(&bundle_with(
        3,
        vec![workspace("a", &[KEY_A, "secret-new"])],
    ));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let new = with_key("secret-new", read("r-2"));
    let response = expect_response(entry, &new).await;
    assert_eq!(response.status.as_u16(), 503, "{}", entry.log_text());
    assert!(response.retry_after.is_some());
    until("the log says so", async || {
        entry.log_text().contains("event=keys_unconfirmed")
    })
    .await;
    let known = expect_response(entry, &with_key(KEY_A, read("r-3"))).await;
    assert_eq!(known.status.as_u16(), status_of_known);
    let mut public = read("r-4");
    public.path = PUBLIC.into();
    assert_eq!(expect_response(entry, &public).await.status.as_u16(), 200);
    fleet.store.set_fault(StoreFault::None);
    until("the new key works", async || {
        expect_response(entry, &new).await.status == 200
    })
    .await;
    assert_eq!(expect_response(entry, &wrong).await.status.as_u16(), 401);
}

/// Home regions of workspace and route both bind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_stay_in_the_home_regions_of_their_workspace() {
    let fleet = fleet(&lanes(), 1).await;
    let south = RawWorkspace {
        home_regions: vec!["south".into()],
        ..workspace("a", &[KEY_A])
    };
    put_workspaces(&fleet, 2, vec![south]).await;
    let entry = &fleet.entries[0];
    for i in 0..10 {
        let id = format!("r-{i}");
        assert_eq!(
            expect_response(entry, &with_key(KEY_A, read(&id)))
                .await
                .status
                .as_u16(),
            200
        );
        let in_north = fleet
            .targets
            .iter()
            .filter(|t| &*t.registration.region == "north");
        let mut runs = in_north.flat_map(|t| t.standin.runs());
        assert!(runs.all(|run| run.request_id != id));
    }
    // The route allows the north only.
    let none = expect_response(entry, &with_key(KEY_A, write("w-1"))).await;
    assert_eq!(none.status.as_u16(), 503, "{}", entry.log_text());
}

/// Searches all that leaves an entry for keys: log, status, metrics, responses and frames to followers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_output_contains_a_key() {
    let fleet = fleet_with_workspaces(&lanes(), 2).await;
    let malformed = [
        "{\"version\":\"r3\",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"secret-cut".to_owned(),
        "{\"version\":\"r3\",\"tenants\":[{\"name\":\"a\",\"apiKeys\":\"secret-text\"}]}"
            .to_owned(),
        "{\"version\":\"r3\",\"tenants\":[{\"name\":\"a\",\"priority\":\"misplaced\"}]}".to_owned(),
        String::from_utf8(lacewingmoor_platform::config::encode(&bundle_with(
            3,
            both(),
        )))
        .expect("text")
        .replace("\"apiKeys\":[\"", "\"apiKeys\":[\"secret-plain\",\""),
    ];
    for (i, value) in malformed.iter().enumerate() {
        fleet.store.put(CONFIG_KEY, value.clone().into_bytes());
        let refused = with_key("secret-of-nobody", read(&format!("n-{i}")));
        expect_response(&fleet.entries[0], &refused).await;
        let request = with_key(KEY_A, read(&format!("r-{i}")));
        expect_response(&fleet.entries[1], &request).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for entry in &fleet.entries {
            let frames = frames(entry).await;
            assert!(frames.len() > 100, "no update was received");
            let text = String::from_utf8_lossy(&frames);
            assert!(!text.contains("secret"), "{text}");
        }
    }
    // The fourth one has the same key twice, so it is not activated either.
    for entry in &fleet.entries {
        let mut outputs = vec![entry.log_text()];
        for path in ["/status", "/metrics"] {
            let page = get(entry.metrics_addr, path).await;
            outputs.push(page.map(|(_, text)| text).expect("a page"));
        }
        assert!(
            outputs[0].contains("event=store_item_unusable"),
            "{}",
            outputs[0]
        );
        for output in outputs {
            assert!(
                !output.contains("secret") && !output.contains("misplaced"),
                "{output}"
            );
        }
    }
    let metrics = get(fleet.entries[1].metrics_addr, "/metrics").await;
    let metrics = metrics.map(|(_, text)| text).unwrap_or_default();
    let line = "lacewingmoor_workspace_requests_total{workspace=\"a\",end=\"answered\"} 4";
    assert!(metrics.contains(line), "{metrics}");
}

/// Returns the bytes that an entry sends to a new follower in half a second.
async fn frames(entry: &EntryProcess) -> Vec<u8> {
    let mut stream = TcpStream::connect(entry.peer_addr).await.expect("open");
    let subscribe = Subscribe {
        entry: "follower".into(),
        after: Revision::default(),
        zone: "north-a".into(),
        capacity: 1,
    };
    let written = peer_protocol::write(&mut stream, &subscribe).await;
    written.expect("the frame is written");
    let mut bytes = Vec::new();
    let read = async { while matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {} };
    // The entry keeps the connection open.
    let _ = tokio::time::timeout(Duration::from_millis(500), read).await;
    bytes
}

/// Labels of metrics stay few however many workspaces there are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_name_the_largest_workspaces_only() {
    let fleet = fleet(&lanes(), 1).await;
    let workspaces = (0..30).map(|i| RawWorkspace {
        rate_per_s: f64::from(1000 - i),
        ..workspace(&format!("w{i}"), &[&format!("secret-{i}")])
    });
    put_workspaces(&fleet, 2, workspaces.collect()).await;
    let entry = &fleet.entries[0];
    for i in 0..30 {
        let request = with_key(&format!("secret-{i}"), read(&format!("r-{i}")));
        expect_response(entry, &request).await;
    }
    let page = get(entry.metrics_addr, "/metrics").await;
    let page = page.map(|(_, text)| text).expect("a page");
    let lines = page
        .lines()
        .filter(|line| line.starts_with("lacewingmoor_workspace_requests_total"));
    let lines: Vec<&str> = lines.collect();
    assert_eq!(lines.len(), 9, "{lines:?}");
    assert!(
        lines
            .iter()
            .any(|line| line.contains("\"other\"") && line.ends_with(" 22")),
        "{lines:?}"
    );
}

async fn latency(addr: SocketAddr, key: &str, id: String) -> Duration {
    match send_request(addr, &with_key(key, read(&id))).await {
        RequestResult::Response(response) => response.latency,
        result => panic!("{result:?}"),
    }
}

/// A workspace that keeps many requests waiting does not keep those of another waiting.
///
/// Without shares the mean latency of the hot one is 2.4 times that of the other, with them 5 times.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hot_workspace_waits_behind_its_own_requests() {
    let narrow = ServiceSpec {
        service_time: Duration::from_millis(50),
        slots: 1,
        ..lanes()
    };
    let fleet = fleet_with_workspaces(&narrow, 1).await;
    let addr = fleet.entries[0].caller_addr;
    let mut hot = tokio::task::JoinSet::new();
    for caller in 0..40 {
        hot.spawn(async move {
            let mut latencies = Vec::new();
            for i in 0..6 {
                latencies.push(latency(addr, KEY_A, format!("hot-{caller}-{i}")).await);
            }
            latencies
        });
    }
    let mut other = Vec::new();
    for i in 0..20 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        other.push(latency(addr, KEY_B, format!("other-{i}")).await);
    }
    let hot: Vec<Duration> = hot.join_all().await.into_iter().flatten().collect();
    let mean = |latencies: &[Duration]| latencies.iter().sum::<Duration>() / latencies.len() as u32;
    let (hot, other) = (mean(&hot), mean(&other));
    assert!(other * 3 < hot, "hot {hot:?}, other {other:?}");
}

/// The connection was reset while the caller sent the body, so it lost the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upload_without_a_known_key_gets_its_refusal() {
    let fleet = fleet_with_workspaces(&lanes(), 1).await;
    let part = vec![b'x'; 36_000];
    let head = format!("POST {PRIVATE} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 360000\r\n\r\n");
    let stream = TcpStream::connect(fleet.entries[0].caller_addr).await;
    let mut stream = stream.expect("open");
    stream.write_all(head.as_bytes()).await.expect("written");
    for _ in 0..10 {
        stream.write_all(&part).await.expect("not reset");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("a response");
    assert_eq!(start, *b"HTTP/1.1 401");
}

/// A bundle: whether the first route and that of `/lanes/public/` are public, and its workspaces.
type Bundles = [(bool, bool, Field<Vec<RawWorkspace>>); 2];

fn listed(workspaces: &[RawWorkspace]) -> Field<Vec<RawWorkspace>> {
    Field::Present(workspaces.to_vec())
}

/// The second bundle comes after the head was accepted and before the body is complete. Requests were sent
/// by the rules of the first one.
#[rstest]
#[case::workspaces_come([(false, true, Field::Absent), (false, true, listed(&both()))], PRIVATE, KEY_A, "503")]
#[case::workspaces_come_public([(false, true, Field::Absent), (false, true, listed(&both()))], PUBLIC, KEY_A, "200")]
#[case::becomes_private([(false, true, listed(&both())), (false, false, listed(&both()))], PUBLIC, "none", "503")]
#[case::stays_public([(false, true, listed(&both())), (false, true, listed(&both()))], PUBLIC, "none", "200")]
#[case::becomes_public([(false, true, listed(&both())), (true, true, listed(&both()[..1]))], PRIVATE, KEY_B, "503")]
#[case::empty_list_comes([(false, true, Field::Absent), (false, true, listed(&[]))], PRIVATE, KEY_A, "503")]
#[case::null_comes([(false, true, Field::Absent), (false, true, Field::Null)], PRIVATE, KEY_A, "503")]
#[case::list_is_emptied([(false, true, listed(&both())), (false, true, listed(&[]))], PRIVATE, KEY_B, "401")]
#[case::list_is_left_out([(false, true, listed(&both())), (false, true, Field::Absent)], PRIVATE, KEY_B, "503")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_request_is_sent_by_the_newest_bundle(
    #[case] bundles: Bundles,
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: &str,
) {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let [first, second] = [(2, &bundles[0]), (3, &bundles[1])].map(|(version, content)| {
        let (lanes, public, workspaces) = content.clone();
        let mut bundle = bundle_with(version, Vec::new());
        bundle.workspaces = workspaces;
        bundle.routes[0].public = lanes;
        bundle.routes.last_mut().expect("a route").public = public;
        bundle
    });
    put_bundle(&fleet, first).await;
    let mut stream = TcpStream::connect(entry.caller_addr).await.expect("open");
    let fields = "X-Lacewingmoor-Attempt-Id: r-1\r\nContent-Length: 4";
    let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n");
    let head = format!("{head}Authorization: Bearer {key}\r\n\r\nbo");
    stream.write_all(head.as_bytes()).await.expect("written");
    until("the head was read", async || {
        let status = get(entry.metrics_addr, "/status").await;
        status.is_some_and(|(_, text)| text.contains("\"requests_in_flight\":1"))
    })
    .await;
    put_bundle(&fleet, second).await;
    stream.write_all(b"dy").await.expect("written");
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("a response");
    let start = String::from_utf8_lossy(&start).into_owned();
    assert_eq!(start, format!("HTTP/1.1 {status}"), "{}", entry.log_text());
    // `told` checks that no target got the key.
    let expected = if status == "200" { vec![None] } else { vec![] };
    assert_eq!(told(&fleet, "r-1"), expected);
}
