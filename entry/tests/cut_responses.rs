//! Guards against responses that end early and reach the caller as complete ones, wherever they end.

mod common;

use common::{fleet_with_raw_target, read};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::fleet::{Fleet, HOST};
use lacewingmoor_standin::raw_target::Script;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const FIELDS: &str = "X-Lacewingmoor-Attempt-Id: {id}\r\nX-Lacewingmoor-Server-Seal: seal\r\n";

/// Returns what a caller receives until its connection ends.
async fn receive(fleet: &Fleet, request: &CallerRequest) -> String {
    let stream = TcpStream::connect(fleet.entries[0].caller_addr).await;
    let mut stream = stream.expect("the entry accepts");
    let head = format!(
        "GET {} HTTP/1.1\r\nHost: {}\r\nX-Lacewingmoor-Attempt-Id: {}\r\n\
         X-Lacewingmoor-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n",
        request.path, request.host, request.id
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the request is written");
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(common::EVENT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    assert!(read.is_ok(), "the connection does not end");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns true if the text is a success whose framing says that it is complete.
fn is_complete_success(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("http/1.1 200") && is_whole
}

/// A response as the target would send it, ended before each of its bytes by closing or resetting the
/// connection.
#[rstest]
#[case::length(format!("HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 4\r\n\r\nbody"))]
#[case::chunked(format!(
    "HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n2;ext=1\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
))]
#[case::trailers(format!(
    "HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"
))]
#[case::interim(format!(
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 4\r\n\r\nbody"
))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_that_ends_early_never_looks_complete(
    #[case] response: String,
    #[values(Script::Close, Script::Reset)] end: fn(String) -> Script,
) {
    let (fleet, target) = fleet_with_raw_target(Script::Once(response.clone())).await;
    let complete = receive(&fleet, &read("complete")).await;
    assert!(is_complete_success(&complete), "{complete}");
    assert!(
        complete.contains("body") || complete.contains("bo"),
        "{complete}"
    );
    for length in 0..response.len() {
        target.set_script(end(response[..length].to_owned()));
        let received = receive(&fleet, &read(&format!("cut-{length}"))).await;
        let log = fleet.entries[0].log_text();
        assert!(
            !is_complete_success(&received),
            "{length}: {received}\n{log}"
        );
    }
}

/// A body without a length ends with its connection, so only a reset shows that it is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_without_length_is_complete_unless_its_connection_is_reset() {
    let response = format!("HTTP/1.1 200 OK\r\n{FIELDS}\r\nbody");
    let (fleet, target) = fleet_with_raw_target(Script::Close(response.clone())).await;
    let complete = receive(&fleet, &read("complete")).await;
    assert!(is_complete_success(&complete), "{complete}");
    for length in 0..=response.len() {
        target.set_script(Script::Reset(response[..length].to_owned()));
        let received = receive(&fleet, &read(&format!("cut-{length}"))).await;
        assert!(!is_complete_success(&received), "{length}: {received}");
    }
}

/// Length of a long body, of which an entry forwards the head before the end has come.
const LONG_BYTES: usize = 240_000;

/// How a long response without a length ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// Its connection is closed after the last byte.
    Whole,
    /// Its connection is reset after a part.
    Reset,
    /// A part comes, and then nothing until the timeout of the request.
    Timeout,
}

impl End {
    fn script(self, version: &str) -> Script {
        let length = match self {
            End::Whole => LONG_BYTES,
            End::Reset | End::Timeout => LONG_BYTES * 3 / 4,
        };
        let text = format!("{version} 200 OK\r\n{FIELDS}\r\n{}", "a".repeat(length));
        match self {
            End::Whole => Script::Close(text),
            End::Reset => Script::Reset(text),
            End::Timeout => Script::Once(text),
        }
    }
}

/// A cut response of HTTP/1.0 was passed on with its version. It ended with its connection, as a complete one.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_response_without_length_is_seen_as_cut_whatever_the_versions(
    #[values("HTTP/1.0", "HTTP/1.1")] target_version: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] caller_version: &str,
    #[values(End::Whole, End::Reset, End::Timeout)] end: End,
) {
    let (fleet, _target) = fleet_with_raw_target(end.script(target_version)).await;
    let stream = TcpStream::connect(fleet.entries[0].caller_addr).await;
    let mut stream = stream.expect("the entry accepts");
    let head = format!(
        "GET /lanes/read/1 {caller_version}\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: r-1\r\n\
         X-Lacewingmoor-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the request is written");
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(common::EVENT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let read = read.expect("the connection ends");
    let text = String::from_utf8_lossy(&bytes);
    let start = &text[..text.len().min(200)];
    assert!(
        text.starts_with(&format!("{caller_version} 200")),
        "{start}"
    );
    let is_chunked = text
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let looks_complete = match is_chunked {
        true => text.ends_with("0\r\n\r\n"),
        false => read.is_ok(),
    };
    assert_eq!(looks_complete, end == End::Whole, "{read:?} {start}");
    if end == End::Whole {
        assert!(bytes.len() > LONG_BYTES, "{}", bytes.len());
    }
}
