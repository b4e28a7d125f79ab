//! Guards against invalid statuses of targets, of the store and of other entries that reach a caller, end
//! the process, or leave a connection in use on which nothing can be told apart any more.

mod common;

use common::{
    EVENT_TIMEOUT, expect_response, fleet, fleet_with_raw_target, lanes, read, register_raw, until,
    write,
};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::fleet::{Fleet, get};
use lacewingmoor_standin::raw_target::Script;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const FIELDS: &str = "X-Lacewingmoor-Attempt-Id: {id}\r\nX-Lacewingmoor-Server-Seal: seal\r\n";

fn success() -> String {
    format!("HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 0\r\n\r\n")
}

/// Returns a response with the text as its status.
fn with_status(status: &str) -> String {
    format!("HTTP/1.1{status} Status\r\n{FIELDS}Content-Length: 0\r\n\r\n")
}

fn interim(status: &str) -> String {
    format!("HTTP/1.1 {status} Interim\r\nX-Any: 1\r\n\r\n")
}

fn once(id: &str) -> CallerRequest {
    CallerRequest {
        body: bytes::Bytes::new(),
        ..write(id)
    }
}

/// Returns the value of a counter of the first entry.
async fn counter(fleet: &Fleet, name: &str) -> u64 {
    let page = get(fleet.entries[0].metrics_addr, "/metrics").await;
    let (_, page) = page.expect("the entry has a page of metrics");
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

/// What a target sends, and what follows.
struct Case {
    script: Script,
    /// Status of the response to the caller of a request that may run once.
    expected: u16,
    /// Part of the log line; empty if the response counts as one.
    log: &'static str,
}

impl Case {
    fn invalid(bytes: String, log: &'static str) -> Self {
        Self {
            script: Script::Once(bytes),
            expected: 502,
            log,
        }
    }
}

#[rstest]
#[case::zero(Case::invalid(with_status(" 000"), "HTTP/1.1 000"))]
#[case::below_100(Case::invalid(with_status(" 099"), "HTTP/1.1 099"))]
#[case::above_599(Case::invalid(with_status(" 600"), "invalid status: 600"))]
#[case::greatest_of_three_digits(Case::invalid(with_status(" 999"), "invalid status: 999"))]
#[case::four_digits(Case::invalid(with_status(" 1000"), "HTTP/1.1 1000"))]
#[case::two_digits(Case::invalid(with_status(" 20"), "HTTP/1.1 20"))]
#[case::letters(Case::invalid(with_status(" abc"), "HTTP/1.1 abc"))]
#[case::sign(Case::invalid(with_status(" -20"), "HTTP/1.1 -20"))]
#[case::none(Case::invalid(with_status(""), "HTTP/1.1"))]
#[case::upgrade_not_asked_for(Case::invalid(with_status(" 101"), "invalid status: 101"))]
#[case::continue_and_nothing(Case { script: Script::Once(interim("100")), expected: 504, log: "no answer in time" })]
#[case::processing_and_nothing(Case { script: Script::Once(interim("102")), expected: 504, log: "no answer in time" })]
#[case::hints_and_nothing(Case { script: Script::Once(interim("103")), expected: 504, log: "no answer in time" })]
#[case::hints_and_the_end(Case { script: Script::Close(interim("103")), expected: 502, log: "lost" })]
#[case::hints_and_invalid(Case::invalid(interim("103") + &with_status(" 600"), "invalid status: 600"))]
#[case::continue_without_end(Case { script: Script::Endless(interim("100"), "HTTP/1.1 100 Continue\r\n\r\n"), expected: 502, log: "too many interim responses" })]
#[case::hints_without_end(Case { script: Script::Endless(interim("103"), "HTTP/1.1 103 Hints\r\n\r\n"), expected: 502, log: "too many interim responses" })]
#[case::continue_and_success(Case { script: Script::Once(interim("100") + &success()), expected: 200, log: "" })]
#[case::processing_and_success(Case { script: Script::Once(interim("102") + &success()), expected: 200, log: "" })]
#[case::hints_and_success(Case { script: Script::Once(interim("103") + &success()), expected: 200, log: "" })]
#[case::no_content_with_length(Case::invalid(
    format!("HTTP/1.1 204 Empty\r\n{FIELDS}Content-Length: 4\r\n\r\nbody"),
    "status 204 with a body",
))]
#[case::no_content_with_chunks(Case::invalid(
    format!("HTTP/1.1 204 Empty\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
    "status 204 with a body",
))]
#[case::no_content_and_more_bytes(Case {
    script: Script::Once(format!("HTTP/1.1 204 Empty\r\n{FIELDS}\r\nbody")),
    expected: 204,
    log: "",
})]
#[case::not_modified_with_length(Case {
    script: Script::Once(format!("HTTP/1.1 304 Same\r\n{FIELDS}Content-Length: 4\r\n\r\nbody")),
    expected: 304,
    log: "",
})]
#[case::not_modified_with_chunks(Case {
    script: Script::Once(format!(
        "HTTP/1.1 304 Same\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    )),
    expected: 304,
    log: "",
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_status_of_a_target_reaches_no_caller_and_ends_its_connection(
    #[case] case: Case,
    #[values(false, true)] is_kept_connection: bool,
) {
    let good = Script::Once(success());
    let (fleet, target) = fleet_with_raw_target(good.clone()).await;
    let mut sent = 0;
    if is_kept_connection {
        let response = expect_response(&fleet.entries[0], &once("before")).await;
        assert_eq!(response.status.as_u16(), 200);
        sent += 1;
    }
    let failures_before = counter(&fleet, "lacewingmoor_failed_attempts_total ").await;
    target.set_script(case.script.clone());
    let response = expect_response(&fleet.entries[0], &once("bad")).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(response.status.as_u16(), case.expected, "{log}");
    assert_eq!(target.request_count(), sent + 1, "it ran once");
    let failures = counter(&fleet, "lacewingmoor_failed_attempts_total ").await - failures_before;
    assert_eq!(failures, u64::from(!case.log.is_empty()));
    // The log is written with a delay.
    until("the log says what was received", async || {
        let log = fleet.entries[0].log_text();
        let mut lines = log.lines().filter(|l| l.contains("event=attempt_failed"));
        case.log.is_empty() || lines.any(|line| line.contains(case.log))
    })
    .await;
    // A final response without more bytes leaves the connection open.
    if case.expected != 200 {
        until("the connection is closed", async || {
            target.open_requests() == 0
        })
        .await;
    }
    // An idempotent request gets the response of another target. A hedge needs one that has not failed.
    let mut others = Vec::new();
    for id in ["second", "third"] {
        let other = target.start_another(([127, 0, 0, 1], 0).into(), id).await;
        let other = other.expect("the target starts");
        register_raw(&fleet, id, other.addr()).await;
        others.push(other);
    }
    target.set_script(Script::Then(Box::new(case.script), Box::new(good)));
    let response = expect_response(&fleet.entries[0], &read("retried")).await;
    let log = fleet.entries[0].log_text();
    let expected = match case.log.is_empty() {
        true => case.expected,
        false => 200,
    };
    assert_eq!(response.status.as_u16(), expected, "{log}");
    // The target is used again.
    until("a request has its response", async || {
        let response = expect_response(&fleet.entries[0], &once("after")).await;
        response.status.as_u16() == 200
    })
    .await;
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}

/// The first target does not respond, and the second send gets the invalid status.
#[rstest]
#[case::zero(" 000")]
#[case::above_599(" 600")]
#[case::upgrade(" 101")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_status_of_a_hedge_reaches_no_caller(#[case] status: &str) {
    let script = Script::Then(
        Box::new(Script::Once(String::new())),
        Box::new(Script::Once(with_status(status))),
    );
    let (fleet, target) = fleet_with_raw_target(script).await;
    let second = target
        .start_another(([127, 0, 0, 1], 0).into(), "second")
        .await;
    let second = second.expect("the target starts");
    register_raw(&fleet, "second", second.addr()).await;
    let response = expect_response(&fleet.entries[0], &read("r-1")).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(response.status.as_u16(), 504, "{log}");
    assert_eq!(target.request_count(), 2, "{log}");
}

#[rstest]
#[case::zero(with_status(" 000"), "HTTP/1.1 000")]
#[case::above_599(with_status(" 600"), "invalid status: 600")]
#[case::four_digits(with_status(" 1000"), "HTTP/1.1 1000")]
#[case::letters(with_status(" abc"), "HTTP/1.1 abc")]
#[case::upgrade(with_status(" 101"), "invalid status: 101")]
#[case::interim_without_end(interim("103").repeat(40), "too many interim responses")]
#[case::interim_and_nothing(interim("103"), "")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_with_an_invalid_status_for_probes_gets_no_request(
    #[case] bytes: String,
    #[case] expected_log: &str,
) {
    let (fleet, target) = fleet_with_raw_target(Script::Once(success())).await;
    target.set_probe_script(Some(Script::Once(bytes)));
    let response = expect_response(&fleet.entries[0], &once("r-1")).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(response.status.as_u16(), 503, "{log}");
    assert_eq!(target.request_count(), 0, "{log}");
    until("the log says what was received", async || {
        let log = fleet.entries[0].log_text();
        let mut lines = log.lines().filter(|l| l.contains("event=probe_failed"));
        expected_log.is_empty() || lines.any(|line| line.contains(expected_log))
    })
    .await;
    target.set_probe_script(None);
    until("the target is used again", async || {
        let response = expect_response(&fleet.entries[0], &once("r-2")).await;
        response.status.as_u16() == 200
    })
    .await;
}

/// Accepts connections and answers each read with the bytes.
async fn answer_with(bytes: String) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                while matches!(stream.read(&mut request).await, Ok(1..)) {
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Bytes that are no response of a store and no frame of an entry.
#[rstest]
#[case::zero(with_status(" 000"))]
#[case::above_599(with_status(" 600"))]
#[case::four_digits(with_status(" 1000"))]
#[case::letters(with_status(" abc"))]
#[case::upgrade(with_status(" 101"))]
#[case::interim_without_end(interim("103").repeat(40))]
#[case::no_content_with_body("HTTP/1.1 204 Empty\r\nContent-Length: 4\r\n\r\nbody".into())]
#[case::success_without_meaning("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".into())]
#[case::no_protocol("\0\0\0\u{4}nonsense".into())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nonsense_of_the_store_or_an_entry_is_logged_and_another_source_is_followed(
    #[case] bytes: String,
) {
    let mut fleet = fleet(&lanes(), 1).await;
    let store = answer_with(bytes.clone()).await;
    let nonsense = answer_with(bytes).await;
    let good = fleet.entries[0].peer_addr;
    fleet
        .start_entry("entry-1", "north-a", store, vec![nonsense, good])
        .expect("the entry starts");
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("it follows the other one");
    until("the log says what was lost", async || {
        fleet.entries[1].log_text().contains("event=source_lost")
    })
    .await;
    let response = expect_response(&fleet.entries[1], &read("r-1")).await;
    let log = fleet.entries[1].log_text();
    assert_eq!(response.status.as_u16(), 200, "{log}");
    assert!(!log.contains("panicked"), "{log}");
    fleet.entries[1].signal(libc::SIGTERM);
    assert!(
        fleet.entries[1].wait(EVENT_TIMEOUT),
        "it has not exited before"
    );
}
