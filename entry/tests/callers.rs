//! Guards against callers that hold connections without sending requests, with real processes.

mod common;

use common::{PATIENCE, answer, fleet, lanes, read, until};
use http::StatusCode;
use lacewingmoor_bundle::{RawBundle, RawLimits};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::fleet::{Fleet, HOST, bundle};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Starts an entry on which heads may take 300 ms and connections may be idle for a minute.
async fn impatient_about_heads() -> Fleet {
    let fleet = fleet(&lanes(), 1).await;
    let mut next: RawBundle = bundle(2, &[lanes()]);
    next.limits = RawLimits {
        head_timeout_ms: 300,
        idle_timeout_ms: 60_000,
        ..next.limits
    };
    next.routes[0].path_prefix = "/lanes/second/".into();
    fleet.store.put_bundle(&next);
    let second = CallerRequest {
        path: "/lanes/second/1".into(),
        ..read("r-0")
    };
    until("the bundle is in force", async || {
        answer(&fleet.entries[0], &second).await.status == StatusCode::OK
    })
    .await;
    fleet
}

async fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.entries[0].callers).await;
    stream.expect("the entry accepts")
}

fn head(id: &str) -> String {
    format!(
        "GET /lanes/second/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\r\n"
    )
}

/// Sends a whole head and reads the whole answer, so that the connection is idle.
async fn exchange(stream: &mut TcpStream, id: &str) -> String {
    let sent = stream.write_all(head(id).as_bytes()).await;
    sent.expect("the head is sent");
    let mut read = Vec::new();
    while !whole(&read) {
        let mut bytes = [0; 1024];
        let length = stream.read(&mut bytes).await.expect("an answer comes");
        assert!(length > 0, "closed before the answer was whole");
        read.extend_from_slice(&bytes[..length]);
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Answers of the stand-in have 200 bytes.
fn whole(read: &[u8]) -> bool {
    let ends = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    ends.is_some_and(|at| read.len() >= at + 4 + 200)
}

async fn closes(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    match tokio::time::timeout(PATIENCE, read).await {
        // A connection with unread bytes is reset.
        Ok(_) => bytes.is_empty(),
        Err(_) => false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_never_ends_is_given_up() {
    let fleet = impatient_about_heads().await;
    let mut stream = connect(&fleet).await;
    let sent = stream
        .write_all(b"GET /lanes/second/1 HTTP/1.1\r\nHo")
        .await;
    sent.expect("the first bytes are sent");
    assert!(
        closes(&mut stream).await,
        "a slow head keeps its connection"
    );
    until("the log tells of it", async || {
        fleet.entries[0].log_text().contains("head_timeout")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_later_head_that_never_ends_is_given_up() {
    let fleet = impatient_about_heads().await;
    let mut stream = connect(&fleet).await;
    assert!(
        exchange(&mut stream, "r-1")
            .await
            .starts_with("HTTP/1.1 200")
    );
    let sent = stream.write_all(b"GET /lanes/second/1 HT").await;
    sent.expect("the first bytes are sent");
    assert!(
        closes(&mut stream).await,
        "a slow head keeps its connection"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_head_are_kept_for_the_idle_timeout() {
    let fleet = impatient_about_heads().await;
    let (mut used, mut fresh) = (connect(&fleet).await, connect(&fleet).await);
    exchange(&mut used, "r-1").await;
    // Ends after the head timeout of the others.
    let mut slow = connect(&fleet).await;
    let sent = slow.write_all(b"GET /").await;
    sent.expect("the first bytes are sent");
    assert!(closes(&mut slow).await);
    assert!(exchange(&mut used, "r-2").await.starts_with("HTTP/1.1 200"));
    assert!(
        exchange(&mut fresh, "r-3")
            .await
            .starts_with("HTTP/1.1 200")
    );
}
