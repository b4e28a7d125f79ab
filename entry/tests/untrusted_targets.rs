//! Guards against responses that reach the wrong caller, and against memory, time and connections
//! that a target uses up with bytes that are no response.

mod common;

use std::time::Duration;

use common::{expect_response, fleet_with_raw_target, peak_memory_kb, read, write};
use http::StatusCode;
use lacewingmoor_standin::caller::{RequestResult, send_request};
use lacewingmoor_standin::raw_target::Script;
use rstest::rstest;

/// Memory that a process may use at most: a fifth of that of the smallest VM.
const MEMORY_MAX_KB: u64 = 32 * 1024;

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\
     X-Lacewingmoor-Server-Seal: seal\r\nContent-Length: 4\r\n\r\nbody";

/// The copy arrived as the response to the probe that precedes the next request, whose own response was
/// then taken for that to the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_copy_of_a_response_reaches_no_other_caller_and_costs_no_request() {
    let (fleet, target) = fleet_with_raw_target(Script::SecondCopy(RESPONSE.into())).await;
    for i in 0..20 {
        let mut request = write(&format!("r-{i}"));
        request.body = bytes::Bytes::new();
        let response = expect_response(&fleet.entries[0], &request).await;
        assert_eq!(response.status, StatusCode::OK, "request {i}");
        assert!(response.id_matches && response.signed, "request {i}");
    }
    assert_eq!(target.request_count(), 20);
}

/// Guards against a connection to a target that stays in use for ever because its caller does not close.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_signed_body_is_cut_off_after_the_timeout_of_a_caller_that_stays() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let chunked = "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Server-Seal: seal\r\n\
         Transfer-Encoding: chunked\r\n\r\n";
    // Long enough for the head to be forwarded before the timeout.
    let chunk: &'static str = format!("4000\r\n{}\r\n", "a".repeat(0x4000)).leak();
    let (fleet, _target) = fleet_with_raw_target(Script::Endless(chunked.into(), chunk)).await;
    let stream = tokio::net::TcpStream::connect(fleet.entries[0].caller_addr).await;
    let mut stream = stream.expect("the entry accepts");
    let head = "GET /lanes/read/1 HTTP/1.1\r\nHost: pool.example\r\n\
         X-Lacewingmoor-Attempt-Id: r-1\r\nX-Lacewingmoor-Deadline-Ms: 1500\r\n\
         Connection: close\r\n\r\n";
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the request is written");
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let ended = tokio::time::timeout(common::EVENT_TIMEOUT, read).await;
    assert!(ended.is_ok(), "the response has no end");
    assert!(
        received.starts_with(b"HTTP/1.1 200"),
        "the head is forwarded"
    );
    let looks_complete = received.ends_with(b"0\r\n\r\n");
    assert!(
        !looks_complete,
        "a response that was cut off looks complete"
    );
}

#[rstest]
#[case::head_line(Script::Endless("HTTP/1.1 200 OK\r\nX-Long: ".into(), "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"))]
#[case::head_lines(Script::Endless("HTTP/1.1 200 OK\r\n".into(), "X-More: aaaaaaaaaaaaaaaaaaaaaaa\r\n"))]
#[case::no_protocol(Script::Endless(String::new(), "no response at all, and without end. "))]
#[case::one_byte_at_a_time(Script::Endless("HTTP/1.1 200 OK\r\nX-Slow: ".into(), "a"))]
#[case::interim_responses(Script::Endless(String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"))]
#[case::unsigned_body(Script::Endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(), "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"))]
#[case::chunk_extension(Script::Endless(
    "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n4;".into(),
    "extension=aaaaaaaaaaaaaaaaaaaaaa;",
))]
#[case::rejection(Script::Endless(
    "HTTP/1.1 503 Full\r\nX-Lacewingmoor-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
    "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
))]
#[case::failure(Script::Endless(
    "HTTP/1.1 500 Failed\r\nX-Lacewingmoor-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
    "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
))]
#[case::signed_body(Script::Endless(
    "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
    "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bytes_end_with_the_request_and_use_little_memory(#[case] script: Script) {
    let (fleet, target) = fleet_with_raw_target(script).await;
    let mut request = write("r-1");
    request.body = bytes::Bytes::new();
    request.timeout = Duration::from_secs(4);
    match send_request(fleet.entries[0].caller_addr, &request).await {
        RequestResult::Response(response) => {
            let status = response.status;
            assert!(!status.is_success(), "{status}");
        }
        // A response whose head was forwarded is cut off.
        RequestResult::NoResponse => {}
        RequestResult::ConnectFailed => panic!("the entry has exited"),
    }
    // A caller that does not close its connection at its timeout keeps nothing open.
    target.set_script(Script::Once(RESPONSE.into()));
    let response = expect_response(&fleet.entries[0], &read("r-2")).await;
    assert_eq!(response.status, StatusCode::OK);
    let peak_kb = peak_memory_kb(&fleet);
    assert!(peak_kb <= MEMORY_MAX_KB, "peak of {peak_kb} KB");
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}
