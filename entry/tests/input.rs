//! Bad input of callers: refused as "not run", before a target sees anything.

mod common;

use common::{Entry, Fake, bundle, call, field, read_request, send, status};
use lacewingmoord::framing::Framing;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against requests that two servers would understand differently, and against hop-by-hop
/// abuse. `not_run` is false where hyper refuses the head before this process sees the request.
#[rstest]
#[case::no_route("GET /nowhere", "", 404, true)]
#[case::method_of_no_route("PATCH /read/a", "", 404, true)]
#[case::prefix_is_no_segment("GET /reader", "", 404, true)]
#[case::connect("CONNECT a:80", "", 400, true)]
#[case::trace("TRACE /read/a", "", 400, true)]
#[case::options_star("OPTIONS *", "", 400, true)]
#[case::unknown_tenant("GET /read/a", "x-tenant: nobody\r\n", 403, true)]
#[case::tenant_not_text("GET /read/a", "x-tenant: \u{e9}\r\n", 400, true)]
#[case::two_hosts("GET /read/a", "host: b\r\n", 400, true)]
#[case::both_lengths(
    "POST /read/a",
    "content-length: 5\r\ntransfer-encoding: chunked\r\n",
    400,
    true
)]
#[case::both_lengths_reversed(
    "POST /read/a",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    400,
    true
)]
#[case::equal_lengths(
    "POST /read/a",
    "content-length: 0\r\ncontent-length: 0\r\n",
    400,
    true
)]
#[case::unequal_lengths(
    "POST /read/a",
    "content-length: 1\r\ncontent-length: 2\r\n",
    400,
    false
)]
#[case::length_list("POST /read/a", "content-length: 0, 0\r\n", 400, false)]
#[case::signed_length("POST /read/a", "content-length: +1\r\n", 400, false)]
#[case::negative_length("POST /read/a", "content-length: -1\r\n", 400, false)]
#[case::huge_length("POST /read/a", "content-length: 99999999999999999999\r\n", 400, false)]
#[case::gzip_coding("POST /read/a", "transfer-encoding: gzip, chunked\r\n", 400, true)]
#[case::identity_coding("POST /read/a", "transfer-encoding: identity\r\n", 400, false)]
#[case::connection_host("GET /read/a", "connection: close, Host\r\n", 400, true)]
#[case::connection_key("POST /book/a", "connection: idempotency-key\r\n", 400, true)]
#[case::connection_tenant("GET /read/a", "connection: X-Tenant\r\n", 400, true)]
#[case::deadline("GET /read/a", "request-deadline-ms: soon\r\n", 400, true)]
#[case::space_in_name("GET /read/a", "x y: 1\r\n", 400, false)]
#[case::body_too_large("POST /read/a", "content-length: 100001\r\n", 413, true)]
#[tokio::test]
async fn refuses_bad_heads(
    #[case] line: &str,
    #[case] fields: &str,
    #[case] expected: u16,
    #[case] not_run: bool,
) {
    let (fake, mut requests) = Fake::answering(OK).await;
    let entry = Entry::with(&[fake.addr]).await;
    let request = format!("{line} HTTP/1.1\r\nhost: a\r\n{fields}connection: close\r\n\r\n");
    let answer = call(entry.addr, &request).await;
    assert_eq!(status(&answer), expected, "{answer}");
    assert_eq!(
        field(&answer, "lacewingmoor-outcome") == Some("not-run"),
        not_run
    );
    assert_eq!(field(&answer, "lacewingmoor-reason").is_some(), not_run);
    assert_eq!(field(&answer, "lacewingmoor-request").is_some(), not_run);
    assert!(requests.try_recv().is_err(), "a target saw the request");
}

/// Guards against an unbounded request head.
#[rstest]
#[case::below_the_limit(4_000, 200)]
#[case::above_the_bundle_limit(9_000, 400)]
#[case::above_the_server_limit(200_000, 431)]
#[tokio::test]
async fn limits_the_head(#[case] bytes: usize, #[case] expected: u16) {
    let (fake, _requests) = Fake::answering(OK).await;
    let entry = Entry::with(&[fake.addr]).await;
    let long = "x".repeat(bytes);
    let mut stream = send(entry.addr, "GET /read/a HTTP/1.1\r\nhost: a\r\n").await;
    // The server may close before it has read everything.
    let _ = stream
        .write_all(format!("x-long: {long}\r\nconnection: close\r\n\r\n").as_bytes())
        .await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    assert_eq!(status(&answer), expected, "{answer}");
}

/// Guards against a chunked body that grows past the route's limit: nothing ran as long as no
/// byte was sent, and nobody knows once one was.
#[tokio::test]
async fn limits_bodies_of_unknown_length() {
    let fake = Fake::start(|_, mut stream| async move {
        read_request(&mut stream).await;
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    let head = "POST /book/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\
                connection: close\r\n\r\n";
    let chunk = "x".repeat(60_000);
    let body = format!("ea60\r\n{chunk}\r\n");
    let mut stream = send(entry.addr, &format!("{head}{body}")).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    assert_eq!(status(&answer), 413, "{answer}");
    assert_eq!(
        field(&answer, "lacewingmoor-reason"),
        Some("body-too-large")
    );
    assert!(field(&answer, "lacewingmoor-outcome").is_some());
}

/// Guards against a target that takes a broken-off request body for a whole one.
#[rstest]
#[case::bad_chunk("transfer-encoding: chunked", "5\r\n12345\r\nxyz\r\n", Some(400))]
#[case::short_length("content-length: 10", "12345", None)]
#[tokio::test]
async fn broken_request_bodies_break_the_attempt(
    #[case] framing: &str,
    #[case] body: &str,
    #[case] expected: Option<u16>,
) {
    let (seen, mut requests) = tokio::sync::mpsc::unbounded_channel();
    let fake = Fake::start(move |_, mut stream| {
        let seen = seen.clone();
        async move {
            let mut all = Vec::new();
            let _ = stream.read_to_end(&mut all).await;
            let _ = seen.send(String::from_utf8(all).unwrap());
        }
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    let request = format!("POST /book/a HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n{body}");
    let mut stream = send(entry.addr, &request).await;
    if expected.is_none() {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    if let Some(expected) = expected {
        assert_eq!(status(&answer), expected, "{answer}");
        assert_eq!(
            field(&answer, "lacewingmoor-reason"),
            Some("malformed-body")
        );
    }
    let request = requests.recv().await.unwrap();
    assert!(!request.ends_with("0\r\n\r\n"), "{request}");
    assert!(!request.ends_with("1234567890"), "{request}");
}

/// Guards against a wrong region for requests with home regions, found before the body is sent.
#[tokio::test]
async fn refuses_other_regions_by_the_head() {
    let (fake, mut requests) = Fake::answering(OK).await;
    let mut bundle = bundle(&[fake.addr]);
    bundle
        .regions
        .push(lacewingmoor_bundle::Region { name: "r2".into() });
    bundle.routes[1].home_regions = Some(vec![1]);
    let entry = Entry::start(bundle).await;
    let head = "POST /book/a HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n";
    let mut stream = send(entry.addr, head).await;
    let mut answer = [0; 512];
    let read = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert_eq!(status(&answer), 421, "{answer}");
    assert_eq!(field(&answer, "lacewingmoor-outcome"), Some("not-run"));
    assert!(requests.try_recv().is_err());
}

/// Guards against fields of one connection that pass to the other side, and against callers that
/// forge what targets and entries tell each other.
#[tokio::test]
async fn strips_hop_by_hop_fields_both_ways() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive, x-own\r\n\
        x-own: 1\r\nkeep-alive: timeout=5\r\nupgrade: h2c\r\nproxy-authenticate: Basic\r\n\
        trailer: x\r\nload-report: state=warm in_flight=1 queue=0 start=a\r\nx-kept: 1\r\n\r\nok";
    let (fake, mut requests) = Fake::answering(ANSWER).await;
    let entry = Entry::with(&[fake.addr]).await;
    let request = "POST /read/a HTTP/1.1\r\nHost: lanes.example:81\r\nConnection: close, X-Own\r\n\
        X-Own: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\nTrailer: x\r\nUpgrade: h2c\r\n\
        Proxy-Authorization: x\r\nProxy-Connection: close\r\nExpect: 100-continue\r\n\
        Load-Report: state=cold\r\nRequest-Not-Run: true\r\nX-Forwarded-For: 192.0.2.1\r\n\
        X-Kept: 1\r\nContent-Length: 1\r\n\r\nx";
    let answer = call(entry.addr, request).await;
    let answer = answer
        .strip_prefix("HTTP/1.1 100 Continue\r\n\r\n")
        .unwrap_or(&answer);
    assert_eq!(status(answer), 200, "{answer}");
    let request = requests.recv().await.unwrap();
    let gone = [
        "x-own",
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "proxy-authorization",
        "proxy-connection",
        "proxy-authenticate",
        "expect",
        "load-report",
        "request-not-run",
    ];
    for name in gone {
        assert_eq!(field(&request, name), None, "{name} reached the target");
        assert_eq!(field(answer, name), None, "{name} reached the caller");
    }
    assert_eq!(
        field(&request, "x-forwarded-for"),
        Some("192.0.2.1, 127.0.0.1")
    );
    assert_eq!(field(&request, "host"), Some("lanes.example:81"));
    assert_eq!(
        (field(&request, "x-kept"), field(answer, "x-kept")),
        (Some("1"), Some("1"))
    );
}

/// Guards against a malformed report that fails a good answer or reaches the reducer.
#[rstest]
#[case::full("state=warm in_flight=2 queue=0 start=abc", true)]
#[case::unknown_key("state=cold in_flight=2 queue=0 start=abc extra=1", true)]
#[case::unknown_state("state=hot in_flight=2 queue=0 start=abc", false)]
#[case::negative("state=warm in_flight=-2 queue=0 start=abc", false)]
#[case::missing_key("state=warm in_flight=2", false)]
#[case::no_value("state", false)]
#[case::empty("", false)]
fn parses_load_reports(#[case] text: &str, #[case] good: bool) {
    let field = http::HeaderValue::from_str(text).unwrap();
    assert_eq!(lacewingmoord::head::load_report(&field).is_some(), good);
}

/// Guards against losing track of where a head begins, and thereby missing a conflict or seeing
/// one in a body.
#[rstest]
#[case::none("GET / HTTP/1.1\r\nhost: a\r\n\r\n", 0)]
#[case::one_length("POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nok", 0)]
#[case::both(
    "POST / HTTP/1.1\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
    1
)]
#[case::bare_line_feeds("POST / HTTP/1.1\ncontent-length: 2\nTransfer-Encoding:x\n\n", 1)]
#[case::second_request(
    "POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nokPOST / HTTP/1.1\r\ncontent-length: 0\r\n\
     content-length: 0\r\n\r\n",
    1
)]
#[case::after_chunks(
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nx: y\r\n\r\n\
     POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n",
    1
)]
#[case::in_a_body(
    "POST / HTTP/1.1\r\ncontent-length: 72\r\n\r\n\r\n\r\nPOST / HTTP/1.1\r\n\
     content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
    0
)]
#[case::h2(
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\ncontent-length: 1\r\ntransfer-encoding: x\r\n\r\n",
    0
)]
fn follows_the_framing(#[case] bytes: &str, #[case] conflicts: usize) {
    for step in [1, 2, 3, 7, bytes.len()] {
        let mut framing = Framing::default();
        let seen = bytes.as_bytes().chunks(step).filter(|c| framing.read(c));
        assert_eq!(seen.count(), conflicts, "in steps of {step}");
    }
}
