//! Several attempts of one request: retries, hedges, bodies that are sent again.

mod common;

use std::sync::Arc;

use common::{Entry, Fake, bundle, call, get, post, read_request, send, status};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, mpsc};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A target whose connection `broken` is closed after the request was read, and the requests seen.
async fn breaks_once() -> (Fake, mpsc::UnboundedReceiver<String>) {
    let (seen, requests) = mpsc::unbounded_channel();
    let fake = Fake::start(move |connection, mut stream| {
        let seen = seen.clone();
        async move {
            while let Some(request) = read_request(&mut stream).await {
                let _ = seen.send(request);
                if connection == 0 {
                    return;
                }
                stream.write_all(OK.as_bytes()).await.unwrap();
            }
        }
    })
    .await;
    (fake, requests)
}

/// Guards against a retry that sends half a body, and against a retry of a request that is not
/// idempotent or whose body was not kept.
#[rstest]
#[case::empty("/read/a", 0, 200, 2)]
#[case::small("/read/a", 10, 200, 2)]
#[case::largest_kept("/read/a", 64 * 1024, 200, 2)]
#[case::not_kept("/read/a", 64 * 1024 + 1, 502, 1)]
#[case::not_idempotent("/book/a", 10, 502, 1)]
#[tokio::test]
async fn retries_with_the_whole_body(
    #[case] path: &str,
    #[case] length: usize,
    #[case] expected: u16,
    #[case] sent: usize,
) {
    let (first, mut requests) = breaks_once().await;
    let (second, mut others) = Fake::answering(OK).await;
    let entry = Entry::with(&[first.addr, second.addr]).await;
    let body: String = ('a'..='z').cycle().take(length).collect();
    // The policy of the tests chooses at random; ask until the first target was chosen.
    let mut answer = call(entry.addr, &post(path, &body)).await;
    let mut seen = Vec::new();
    while seen.is_empty() {
        if let Ok(request) = requests.try_recv() {
            seen.push(request);
        } else {
            others.try_recv().unwrap();
            answer = call(entry.addr, &post(path, &body)).await;
        }
    }
    while let Ok(request) = requests.try_recv() {
        seen.push(request);
    }
    while let Ok(request) = others.try_recv() {
        seen.push(request);
    }
    assert_eq!(status(&answer), expected, "{answer}");
    assert_eq!(seen.len(), sent);
    for request in seen {
        assert_eq!(request.split_once("\r\n\r\n").unwrap().1, body);
    }
}

/// Guards against a hedge whose loser goes on at its target, whose answer is mixed with the
/// winner's, or whose body is incomplete.
#[tokio::test]
async fn a_hedge_cancels_the_loser() {
    let lost = Arc::new(Notify::new());
    let (seen, mut requests) = mpsc::unbounded_channel();
    let mut fakes = Vec::new();
    let stall = Arc::new(std::sync::atomic::AtomicBool::new(false));
    for _ in 0..2 {
        let (lost, seen, stall) = (lost.clone(), seen.clone(), stall.clone());
        fakes.push(
            Fake::start(move |_, mut stream| {
                let (lost, seen, stall) = (lost.clone(), seen.clone(), stall.clone());
                async move {
                    while let Some(request) = read_request(&mut stream).await {
                        let _ = seen.send(request);
                        // The first request after the flag was set gets no answer.
                        if stall.swap(false, std::sync::atomic::Ordering::SeqCst) {
                            assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
                            lost.notify_one();
                            return;
                        }
                        stream.write_all(OK.as_bytes()).await.unwrap();
                    }
                }
            })
            .await,
        );
    }
    let mut bundle = bundle(&[fakes[0].addr, fakes[1].addr]);
    bundle.routes[0].hedge = true;
    let entry = Entry::owner(bundle).await;
    // Hedges are started from the latency of earlier answers and paid from a budget.
    for _ in 0..100 {
        assert_eq!(status(&call(entry.addr, &get("/read/a")).await), 200);
        requests.recv().await.unwrap();
    }
    while requests.try_recv().is_ok() {}
    stall.store(true, std::sync::atomic::Ordering::SeqCst);
    let answer = call(entry.addr, &post("/read/a", "body")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("\r\n\r\nok"));
    lost.notified().await;
    for _ in 0..2 {
        assert!(requests.recv().await.unwrap().ends_with("\r\n\r\nbody"));
    }
}

/// Guards against a body that is kept in memory while it streams: an upload far above the kept
/// size passes whole.
#[tokio::test]
async fn streams_uploads() {
    const CHUNK: usize = 50_000;
    const CHUNKS: usize = 200;
    let fake = Fake::start(|_, mut stream| async move {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let mut body = vec![0; CHUNK * CHUNKS];
        stream.read_exact(&mut body).await.unwrap();
        assert!(body.iter().all(|b| *b == b'x'));
        stream.write_all(OK.as_bytes()).await.unwrap();
    })
    .await;
    let mut bundle = bundle(&[fake.addr]);
    bundle.routes[1].body_bytes_max = u64::MAX;
    let entry = Entry::start(bundle).await;
    let head = format!(
        "POST /book/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        CHUNK * CHUNKS
    );
    let mut stream = send(entry.addr, &head).await;
    let chunk = vec![b'x'; CHUNK];
    for _ in 0..CHUNKS {
        stream.write_all(&chunk).await.unwrap();
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
}
