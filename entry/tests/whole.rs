//! A caller gets the whole answer or sees that it is broken.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{Entry, Fake, call, get, read_request, send, status};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

/// Sends GET over h2 with prior knowledge and returns status and body, or the stream's error.
async fn call_h2(addr: std::net::SocketAddr, path: &str) -> Result<(u16, Vec<u8>), h2::Error> {
    let tcp = common::connect(addr).await;
    let (client, connection) = h2::client::handshake(tcp).await?;
    tokio::spawn(connection);
    let request = http::Request::get(format!("http://lanes.example{path}"))
        .body(())
        .unwrap();
    let (response, _) = client.ready().await?.send_request(request, true)?;
    let response = response.await?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        let _ = body.flow_control().release_capacity(chunk.len());
        bytes.extend_from_slice(&chunk);
    }
    Ok((status, bytes))
}

/// True if an HTTP/1.1 answer is complete by its own framing.
fn well_formed(answer: &str) -> bool {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    match common::field(head, "content-length") {
        Some(length) => body.len() == length.parse::<usize>().unwrap(),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Guards against a short answer of a target that reaches the caller as a complete one.
#[rstest]
#[case::content_length("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345", false)]
#[case::no_body_byte("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", false)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n",
    false
)]
#[case::cut_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n12345",
    false
)]
#[case::bad_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\nxyz\r\n",
    false
)]
#[case::whole("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345", true)]
#[case::whole_chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
    true
)]
#[tokio::test]
async fn cut_answers_break_the_caller(#[case] answer: &'static str, #[case] whole: bool) {
    let fake = Fake::start(move |_, mut stream| async move {
        read_request(&mut stream).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    // Not closing on request, so that a well-formed end would leave the connection open.
    let request = "GET /read/a HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut stream = send(entry.addr, request).await;
    if whole {
        let mut seen = String::new();
        while !seen.contains("\r\n\r\n") || !well_formed(&seen) {
            let mut buffer = [0; 512];
            let read = stream.read(&mut buffer).await.unwrap();
            assert_ne!(read, 0, "closed early: {seen}");
            seen.push_str(std::str::from_utf8(&buffer[..read]).unwrap());
        }
        assert_eq!(
            call_h2(entry.addr, "/read/a").await.unwrap(),
            (200, b"12345".to_vec())
        );
    } else {
        let mut seen = Vec::new();
        let _ = stream.read_to_end(&mut seen).await;
        let seen = String::from_utf8(seen).unwrap();
        assert!(seen.is_empty() || !well_formed(&seen), "{seen}");
        call_h2(entry.addr, "/read/a").await.unwrap_err();
    }
}

/// Guards against bodies or lengths that are made up where HTTP has none.
#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", Some("10"))]
#[case::no_content("GET", "HTTP/1.1 204 No\r\n\r\n", None)]
#[case::not_modified("GET", "HTTP/1.1 304 No\r\netag: x\r\n\r\n", None)]
#[case::empty("GET", "HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n", Some("0"))]
#[tokio::test]
async fn answers_without_a_body(
    #[case] method: &str,
    #[case] answer: &'static str,
    #[case] length: Option<&str>,
) {
    let (fake, _requests) = Fake::answering(answer).await;
    let entry = Entry::with(&[fake.addr]).await;
    for _ in 0..2 {
        let request = format!("{method} /read/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let seen = call(entry.addr, &request).await;
        assert_eq!(status(&seen), status(answer), "{seen}");
        assert!(seen.ends_with("\r\n\r\n"), "{seen}");
        assert_eq!(common::field(&seen, "content-length"), length);
    }
    assert_eq!(fake.connections(), 1);
}

/// Guards against an answer that is buffered without bound for a slow reader, and against a slow
/// reader that holds up others. The target counts what it could write while nobody read.
#[rstest]
#[case::http1(false)]
#[case::h2(true)]
#[tokio::test]
async fn slow_readers_stop_the_target(#[case] h2: bool) {
    const TOTAL: u64 = 256 * 1024 * 1024;
    const HELD_MAX: u64 = 32 * 1024 * 1024;
    let written = Arc::new(AtomicU64::new(0));
    let count = written.clone();
    let fake = Fake::start(move |connection, mut stream| {
        let count = count.clone();
        async move {
            read_request(&mut stream).await.unwrap();
            if connection > 0 {
                let _ = stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx")
                    .await;
                return;
            }
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {TOTAL}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            let chunk = vec![b'x'; 64 * 1024];
            while count.load(Ordering::SeqCst) < TOTAL && stream.write_all(&chunk).await.is_ok() {
                count.fetch_add(chunk.len() as u64, Ordering::SeqCst);
            }
        }
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    let slow = if h2 {
        let tcp = common::connect(entry.addr).await;
        let (client, connection) = h2::client::handshake(tcp).await.unwrap();
        tokio::spawn(connection);
        let request = http::Request::get("http://a/read/a").body(()).unwrap();
        let (response, _) = client
            .ready()
            .await
            .unwrap()
            .send_request(request, true)
            .unwrap();
        Slow::H2(response.await.unwrap())
    } else {
        let mut stream = send(entry.addr, "GET /read/a HTTP/1.1\r\nhost: a\r\n\r\n").await;
        stream.read_exact(&mut [0]).await.unwrap();
        Slow::H1(stream)
    };
    // Wait until the target can write no more: nothing changes over many other answers.
    let mut held = u64::MAX;
    while held != written.load(Ordering::SeqCst) {
        held = written.load(Ordering::SeqCst);
        for _ in 0..50 {
            assert_eq!(status(&call(entry.addr, &get("/read/b")).await), 200);
        }
    }
    assert!(held < HELD_MAX, "{held} bytes were taken from the target");
    assert_eq!(slow.read_all().await, TOTAL);
}

enum Slow {
    H1(TcpStream),
    H2(http::Response<h2::RecvStream>),
}

impl Slow {
    /// Reads the rest and returns the length of the body.
    async fn read_all(self) -> u64 {
        let mut total = 0;
        match self {
            Self::H1(mut stream) => {
                let mut buffer = vec![0; 256 * 1024];
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    head.push(stream.read_u8().await.unwrap());
                }
                let text = String::from_utf8(head).unwrap();
                // The first byte, `H`, was read before.
                let length = common::field(&text, "content-length").unwrap();
                let length: u64 = length.parse().unwrap();
                while total < length {
                    let read = stream.read(&mut buffer).await.unwrap();
                    assert_ne!(read, 0);
                    total += read as u64;
                }
            }
            Self::H2(response) => {
                let mut body = response.into_body();
                while let Some(chunk) = body.data().await {
                    let chunk = chunk.unwrap();
                    body.flow_control().release_capacity(chunk.len()).unwrap();
                    total += chunk.len() as u64;
                }
            }
        }
        total
    }
}

/// When the caller goes away.
#[derive(Clone, Copy)]
enum Leave {
    BeforeHead,
    InBody,
}

/// Guards against work at the target for a caller that has gone.
#[rstest]
#[case::http1_before_head(false, Leave::BeforeHead)]
#[case::http1_in_body(false, Leave::InBody)]
#[case::h2_before_head(true, Leave::BeforeHead)]
#[case::h2_in_body(true, Leave::InBody)]
#[tokio::test]
async fn caller_gone_cancels_the_attempt(#[case] h2: bool, #[case] leave: Leave) {
    let (closed, mut target_closed) = mpsc::unbounded_channel();
    let arrived = Arc::new(Notify::new());
    let notify = arrived.clone();
    let fake = Fake::start(move |_, mut stream| {
        let (closed, notify) = (closed.clone(), notify.clone());
        async move {
            read_request(&mut stream).await.unwrap();
            if let Leave::InBody = leave {
                let part = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n1234";
                stream.write_all(part.as_bytes()).await.unwrap();
            }
            notify.notify_one();
            let _ = stream.read(&mut [0]).await;
            let _ = closed.send(());
        }
    })
    .await;
    let entry = Entry::with(&[fake.addr]).await;
    if h2 {
        let tcp = common::connect(entry.addr).await;
        let (client, connection) = h2::client::handshake(tcp).await.unwrap();
        tokio::spawn(connection);
        let request = http::Request::get("http://a/read/a").body(()).unwrap();
        let mut client = client.ready().await.unwrap();
        let (response, _) = client.send_request(request, true).unwrap();
        arrived.notified().await;
        if let Leave::InBody = leave {
            let mut body = response.await.unwrap().into_body();
            body.data().await.unwrap().unwrap();
        } else {
            drop(response);
        }
        // Dropping the response resets the stream; the connection stays open.
        target_closed.recv().await.unwrap();
        drop(client);
    } else {
        let mut stream = send(entry.addr, "GET /read/a HTTP/1.1\r\nhost: a\r\n\r\n").await;
        arrived.notified().await;
        if let Leave::InBody = leave {
            stream.read_exact(&mut [0]).await.unwrap();
        }
        drop(stream);
        target_closed.recv().await.unwrap();
    }
}
