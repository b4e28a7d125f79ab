//! What passes between caller and target, and what does not.

mod common;

use common::{Entry, Fake, call, field, get, post, status};
use rstest::rstest;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a path that reaches the target in another form than the one that was routed.
#[rstest]
#[case::plain("/read/lanes?day=1&x=%2F")]
#[case::root_of_prefix("/read")]
#[case::dot_segments("/read/../book/./x")]
#[case::encoded_dots("/read/%2e%2e/%2Fbook")]
#[case::double_slash("/read//a//")]
#[case::odd_characters("/read/a|b;c=d,e'f(g)[h]~!$&*+:@?q=[1]&r=^|/?")]
#[case::encoded_nul("/read/%00%ff")]
#[tokio::test]
async fn passes_the_path_unchanged(#[case] path: &str) {
    let (fake, mut requests) = Fake::answering(OK).await;
    let entry = Entry::with(&[fake.addr]).await;
    let answer = call(entry.addr, &get(path)).await;
    assert_eq!(status(&answer), 200, "{answer}");
    let request = requests.recv().await.unwrap();
    assert_eq!(request.split(' ').nth(1), Some(path));
}

/// Guards against a lost or rewritten body in either direction.
#[tokio::test]
async fn passes_head_and_body_both_ways() {
    let (fake, mut requests) = Fake::answering(OK).await;
    let entry = Entry::with(&[fake.addr]).await;
    let answer = call(entry.addr, &post("/book/lane/4", "lane=4")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("\r\n\r\nok"));
    let request = requests.recv().await.unwrap();
    assert!(request.starts_with("POST /book/lane/4 HTTP/1.1\r\n"));
    assert!(request.ends_with("\r\n\r\nlane=4"));
    assert_eq!(field(&request, "host"), Some("lanes.example"));
    assert_eq!(field(&request, "x-forwarded-for"), Some("127.0.0.1"));
    let left_ms: u64 = field(&request, "request-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left_ms <= 20_000);
}
