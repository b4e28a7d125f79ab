//! Tests with real processes, which guard against callers that keep connections open without sending
//! complete requests, and against closing idle connections too early.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use http::StatusCode;
use lacewingmoor_bundle::{RawBundle, RawLimits};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::fleet::{Fleet, HOST, bundle};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Starts an entry and waits until a bundle with a head timeout of 300 ms and an idle timeout of
/// one minute is active.
async fn fleet_with_short_head_timeout() -> Fleet {
    let fleet = fleet(&lanes(), 1).await;
    let mut new_bundle: RawBundle = bundle(2, &[lanes()]);
    new_bundle.limits = RawLimits {
        head_timeout_ms: 300,
        idle_timeout_ms: 60_000,
        ..new_bundle.limits
    };
    // The new prefix shows when the bundle is active.
    new_bundle.routes[0].path_prefix = "/lanes/second/".into();
    fleet.store.put_bundle(&new_bundle);
    let request = CallerRequest {
        path: "/lanes/second/1".into(),
        ..read("r-0")
    };
    until("the new bundle is active", async || {
        expect_response(&fleet.entries[0], &request).await.status == StatusCode::OK
    })
    .await;
    fleet
}

async fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.entries[0].caller_addr).await;
    stream.expect("the entry accepts the connection")
}

fn request_head(id: &str) -> String {
    format!(
        "GET /lanes/second/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\r\n"
    )
}

/// Sends a request and reads the complete response, after which the connection is idle.
async fn exchange(stream: &mut TcpStream, id: &str) -> String {
    let sent = stream.write_all(request_head(id).as_bytes()).await;
    sent.expect("the head is sent");
    let mut read = Vec::new();
    while !is_complete(&read) {
        let mut bytes = [0; 1024];
        let length = stream
            .read(&mut bytes)
            .await
            .expect("the response can be read");
        assert!(
            length > 0,
            "the connection was closed before the response was complete"
        );
        read.extend_from_slice(&bytes[..length]);
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Returns true if `read` holds a complete response; responses of the stand-in have a body of 200
/// bytes.
fn is_complete(read: &[u8]) -> bool {
    let head_end = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    head_end.is_some_and(|at| read.len() >= at + 4 + 200)
}

/// Returns true if the entry closes the connection without a response.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    match tokio::time::timeout(EVENT_TIMEOUT, read).await {
        // A connection closed with unread bytes is reset, so the result may be an error.
        Ok(_) => bytes.is_empty(),
        Err(_) => false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_is_closed_if_first_head_stays_incomplete() {
    let fleet = fleet_with_short_head_timeout().await;
    let mut stream = connect(&fleet).await;
    let sent = stream
        .write_all(b"GET /lanes/second/1 HTTP/1.1\r\nHo")
        .await;
    sent.expect("the first bytes are sent");
    assert!(
        is_closed(&mut stream).await,
        "a connection with an incomplete head stays open"
    );
    until("the head timeout is logged", async || {
        fleet.entries[0].log_text().contains("head_timeout")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_is_closed_if_later_head_stays_incomplete() {
    let fleet = fleet_with_short_head_timeout().await;
    let mut stream = connect(&fleet).await;
    assert!(
        exchange(&mut stream, "r-1")
            .await
            .starts_with("HTTP/1.1 200")
    );
    let sent = stream.write_all(b"GET /lanes/second/1 HT").await;
    sent.expect("the first bytes are sent");
    assert!(
        is_closed(&mut stream).await,
        "a connection with an incomplete head stays open"
    );
}

/// With a short idle timeout, an entry closed each connection before its first request arrived.
#[rstest]
#[case::zero(0)]
#[case::short(20)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_connection_has_time_for_its_first_request(#[case] idle_timeout_ms: u64) {
    let fleet = fleet(&lanes(), 1).await;
    let mut new_bundle = bundle(2, &[lanes()]);
    new_bundle.limits.idle_timeout_ms = idle_timeout_ms;
    fleet.store.put_bundle(&new_bundle);
    until("the new bundle is active", async || {
        let log = fleet.entries[0].log_text();
        log.contains("event=bundle_in_force version=2")
    })
    .await;
    let mut stream = connect(&fleet).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let head = request_head("r-1").replace("/second/", "/read/");
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut response = Vec::new();
    // The entry closes the connection once it is idle again.
    let read = stream.read_to_end(&mut response);
    let end = tokio::time::timeout(EVENT_TIMEOUT, read).await;
    end.expect("the connection is closed").expect("a response");
    let response = String::from_utf8_lossy(&response);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_stay_open_after_the_head_timeout() {
    let fleet = fleet_with_short_head_timeout().await;
    let (mut used, mut fresh) = (connect(&fleet).await, connect(&fleet).await);
    exchange(&mut used, "r-1").await;
    // This connection closes when its head times out. By then the other two have been idle for longer
    // than the head timeout.
    let mut incomplete = connect(&fleet).await;
    let sent = incomplete.write_all(b"GET /").await;
    sent.expect("the first bytes are sent");
    assert!(is_closed(&mut incomplete).await);
    assert!(exchange(&mut used, "r-2").await.starts_with("HTTP/1.1 200"));
    assert!(
        exchange(&mut fresh, "r-3")
            .await
            .starts_with("HTTP/1.1 200")
    );
}
