//! What the entry does with targets: nothing is repeated, followed or guessed.

mod common;

use common::{Entry, Fake, call, closed_addr, field, get, post, read_request, status};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a client library that acts on an answer instead of passing it on.
#[rstest]
#[case::redirect(
    "HTTP/1.1 302 Found\r\nlocation: /read/other\r\ncontent-length: 0\r\n\r\n",
    302
)]
#[case::redirect_308(
    "HTTP/1.1 308 X\r\nlocation: /read/b\r\ncontent-length: 0\r\n\r\n",
    308
)]
#[case::error("HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops", 500)]
#[case::unavailable("HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nbusy", 503)]
#[case::auth(
    "HTTP/1.1 401 X\r\nwww-authenticate: Basic\r\ncontent-length: 0\r\n\r\n",
    401
)]
#[case::early_hints("HTTP/1.1 103 Hints\r\nlink: x\r\n\r\nHTTP/1.1 204 No\r\n\r\n", 204)]
#[case::gzip(
    "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nnope",
    200
)]
#[tokio::test]
async fn passes_on_answers_once(#[case] answer: &'static str, #[case] expected: u16) {
    let (fake, mut requests) = Fake::answering(answer).await;
    let entry = Entry::with(&[fake.addr]).await;
    let seen = call(entry.addr, &get("/read/a")).await;
    assert_eq!(status(&seen), expected, "{seen}");
    let body = answer.rsplit("\r\n\r\n").next().unwrap();
    assert!(seen.ends_with(&format!("\r\n\r\n{body}")), "{seen}");
    for name in ["location", "content-encoding", "www-authenticate"] {
        assert_eq!(field(&seen, name), field(answer, name));
    }
    assert_eq!(field(&seen, "lacewingmoor-outcome"), None);
    requests.recv().await.unwrap();
    assert!(requests.try_recv().is_err(), "the request was repeated");
}

/// Guards against opening a connection for every request.
#[tokio::test]
async fn reuses_connections() {
    let (fake, _requests) = Fake::answering(OK).await;
    let entry = Entry::with(&[fake.addr]).await;
    for _ in 0..5 {
        assert_eq!(status(&call(entry.addr, &post("/book/a", "x")).await), 200);
    }
    assert_eq!(fake.connections(), 1);
}

/// What a target does with the second request on a connection.
#[derive(Clone, Copy)]
enum Second {
    /// Reads it whole and closes without an answer.
    Close,
    /// Reads one byte and closes, which resets the connection.
    Reset,
    /// Answers with something that is not HTTP.
    Garbage,
    /// Answers with half a head.
    HalfHead,
}

/// Guards against a replay on a dead pooled connection: once a byte was written, a request that
/// is not idempotent must not be sent again, and the caller must not be told "not run".
#[rstest]
#[case::close(Second::Close)]
#[case::reset(Second::Reset)]
#[case::garbage(Second::Garbage)]
#[case::half_head(Second::HalfHead)]
#[tokio::test]
async fn does_not_replay_after_a_byte(#[case] second: Second) {
    let fake = Fake::start(move |_, mut stream| async move {
        read_request(&mut stream).await.unwrap();
        stream.write_all(OK.as_bytes()).await.unwrap();
        match second {
            Second::Reset => {
                let mut byte = [0];
                stream.read_exact(&mut byte).await.unwrap();
            }
            Second::Close => {
                read_request(&mut stream).await.unwrap();
            }
            Second::Garbage => {
                read_request(&mut stream).await.unwrap();
                stream.write_all(b"what?\r\n\r\n").await.unwrap();
            }
            Second::HalfHead => {
                read_request(&mut stream).await.unwrap();
                stream.write_all(b"HTTP/1.1 200 OK\r\nconte").await.unwrap();
            }
        }
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    assert_eq!(status(&call(entry.addr, &post("/book/a", "1")).await), 200);
    let answer = call(entry.addr, &post("/book/a", "2")).await;
    assert_eq!(status(&answer), 502, "{answer}");
    assert_eq!(field(&answer, "lacewingmoor-outcome"), Some("unknown"));
    assert_eq!(field(&answer, "lacewingmoor-reason"), Some("broken"));
    assert!(field(&answer, "lacewingmoor-request").is_some());
    assert_eq!(fake.connections(), 1);
}

/// Guards against failing a request only because the target closed an idle connection before.
#[tokio::test]
async fn opens_a_new_connection_when_the_idle_one_was_closed() {
    let fake = Fake::start(|_, mut stream| async move {
        read_request(&mut stream).await.unwrap();
        stream.write_all(OK.as_bytes()).await.unwrap();
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    for expected in 1..4 {
        let answer = call(entry.addr, &post("/book/a", "x")).await;
        // The close may reach the entry while it writes. It then must not claim "not run".
        if status(&answer) != 200 {
            assert_eq!(status(&answer), 502, "{answer}");
            assert_eq!(field(&answer, "lacewingmoor-outcome"), Some("unknown"));
        }
        assert!(fake.connections() <= expected);
    }
}

/// Guards against calling a request "unknown" or failing it although no byte was sent: it goes
/// to another target, and "not run" is reported only when none is left.
#[rstest]
#[case::other_target(true, 200, None)]
#[case::none_left(false, 502, Some("not-run"))]
#[tokio::test]
async fn refused_connections_are_not_run(
    #[case] other: bool,
    #[case] expected: u16,
    #[case] outcome: Option<&str>,
) {
    let (fake, mut requests) = Fake::answering(OK).await;
    let mut addrs = vec![closed_addr().await];
    if other {
        addrs.push(fake.addr);
    }
    let entry = Entry::with(&addrs).await;
    for _ in 0..8 {
        let answer = call(entry.addr, &post("/book/a", "x")).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert_eq!(field(&answer, "lacewingmoor-outcome"), outcome);
        if other {
            assert!(requests.recv().await.unwrap().ends_with("\r\n\r\nx"));
        }
    }
}

/// Guards against a shed request that is reported as run, or not sent elsewhere.
#[rstest]
#[case::all_shed("true", 503, Some("not-run"), Some("shed"))]
#[case::not_declared("false", 503, None, None)]
#[tokio::test]
async fn shed_requests_are_not_run(
    #[case] declared: &str,
    #[case] expected: u16,
    #[case] outcome: Option<&str>,
    #[case] reason: Option<&str>,
) {
    let text =
        format!("HTTP/1.1 503 No\r\nrequest-not-run: {declared}\r\ncontent-length: 0\r\n\r\n");
    let (fake, _requests) = Fake::answering(text.leak()).await;
    let entry = Entry::with(&[fake.addr]).await;
    let answer = call(entry.addr, &post("/book/a", "x")).await;
    assert_eq!(status(&answer), expected, "{answer}");
    assert_eq!(field(&answer, "lacewingmoor-outcome"), outcome);
    assert_eq!(field(&answer, "lacewingmoor-reason"), reason);
    assert_eq!(field(&answer, "request-not-run"), None);
    assert_eq!(field(&answer, "retry-after").is_some(), reason.is_some());
}

/// Guards against a late answer of one request that is taken for the answer of another.
#[tokio::test]
async fn answers_are_not_crossed() {
    let fake = Fake::start(|_, mut stream| async move {
        while let Some(request) = read_request(&mut stream).await {
            let path = request.split(' ').nth(1).unwrap();
            let number: u64 = path.rsplit('/').next().unwrap().parse().unwrap();
            for _ in 0..number % 7 {
                tokio::task::yield_now().await;
            }
            // Bytes after the end of the answer must not become the next answer.
            let extra = if number.is_multiple_of(5) {
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"
            } else {
                ""
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}{extra}",
                path.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    let calls = (0..200).map(|i| async move {
        let path = format!("/read/{i}");
        let answer = call(entry.addr, &get(&path)).await;
        if status(&answer) == 200 {
            assert!(
                answer.ends_with(&format!("\r\n\r\n{path}")),
                "{path}: {answer}"
            );
        } else {
            assert_eq!(status(&answer), 502, "{answer}");
        }
        status(&answer) == 200
    });
    let answered = futures_util::future::join_all(calls).await;
    assert!(answered.iter().filter(|ok| **ok).count() > 100);
}
