//! Beyond the five cases: a version of the configuration raises the longest request head; clients keep their connections.

mod common;

use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::{Conn, Deployment, Entry, Handler, Log, Request, Server, Store};

const HOST: &str = "baths.example";

/// Route with the times of the small deployment of the baths.
const HOSTS: &str = r#"{"hostname":"baths.example","paths":[
    {"name":"r-book","prefix":"/book/","kind":"non_idempotent","timeoutMs":2000,
     "targetLatencyMs":500,"priority":1,"service":"buchung","maxAttempts":2}]}"#;

const GRACE_S: u64 = 6;
const APPLY_MS: u64 = 2000;
const DEADLINE_MS: u64 = 4000;

/// Longest request head of both versions.
const HEAD_BYTES_BEFORE: usize = 16_384;
const HEAD_BYTES_AFTER: usize = 65_536;

/// Length of a field that makes a head longer than the first version allows, and shorter than the second one.
const LONG_FIELD_BYTES: usize = 24_000;

/// Time from the acknowledgement of the version to the requests: more than twice what entries have.
const WAIT: Duration = Duration::from_millis(2 * APPLY_MS + 1000);

const CLIENTS: usize = 12;

/// Requests that may be refused wrongly, besides one in 500.
const DENIED_MAX: usize = 5;

fn put_config(store: &Store, log: &Log, version: u64, head_bytes_max: usize) {
    let text = common::config(version, &["buchung"], HOSTS, "");
    let from = format!(r#""maxHeaderBytes":{HEAD_BYTES_BEFORE}"#);
    store.put(
        "op/config",
        &text.replace(&from, &format!(r#""maxHeaderBytes":{head_bytes_max}"#)),
    );
    log.line(format!(
        "the store acknowledges r{version} with maxHeaderBytes {head_bytes_max}"
    ));
}

fn booking(long: bool) -> (String, Vec<u8>) {
    let request = Request::post(HOST, "/book/1", DEADLINE_MS, b"lane 4".to_vec());
    let bytes = request.bytes();
    if !long {
        return (request.id, bytes);
    }
    let at = common::find(&bytes, b"\r\n").unwrap_or(0) + 2;
    let field = format!("X-Club-Permit: {}\r\n", "p".repeat(LONG_FIELD_BYTES));
    (
        request.id,
        [&bytes[..at], field.as_bytes(), &bytes[at..]].concat(),
    )
}

fn send(log: &Log, conn: &mut Conn, long: bool) -> io::Result<u16> {
    let (id, bytes) = booking(long);
    log.line(format!("client sends {id}, {} bytes", bytes.len()));
    conn.stream.write_all(&bytes)?;
    let answer = conn.read_answer(Duration::from_millis(DEADLINE_MS));
    log.line(format!("client: {id}: {}", answer.text()));
    Ok(answer.status())
}

fn case(log: &Log) -> io::Result<bool> {
    let with_trouble = common::with_trouble();
    let ip = common::own_ip(1);
    let store = Store::start(&ip)?;
    // Without the change, the limit is the same from the beginning.
    let before = match with_trouble {
        true => HEAD_BYTES_BEFORE,
        false => HEAD_BYTES_AFTER,
    };
    put_config(&store, log, 3, before);
    let handler: Arc<Handler> = Arc::new(|arrival, stream| {
        thread::sleep(Duration::from_millis(50));
        let head = arrival
            .server
            .answer_head("200 OK", arrival.head.attempt_id());
        stream.write_all(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    });
    for i in 0..3 {
        Server::start(
            &ip,
            &format!("book-{i}"),
            "buchung",
            "north-a",
            &store,
            log,
            handler.clone(),
        )?;
    }
    let entry = Entry::start(
        &common::temporary_folder(),
        &Deployment {
            ip: common::own_ip(2),
            store: store.addr,
            seeds: Vec::new(),
            name: "edge-1".into(),
            zone: "north-a",
            grace_s: GRACE_S,
            apply_ms: APPLY_MS,
            has_quotas: false,
        },
    )?;
    entry.wait_until_ready()?;
    // The machine is in touch from here on.
    thread::sleep(Duration::from_secs(4));
    let mut conns = Vec::new();
    for _ in 0..CLIENTS {
        let mut conn = Conn::open(entry.front)?;
        if send(log, &mut conn, false)? != 200 {
            return common::failed("a short request was not served");
        }
        conns.push(conn);
    }
    if with_trouble {
        put_config(&store, log, 5, HEAD_BYTES_AFTER);
    }
    thread::sleep(WAIT);
    log.line("a client on a new connection");
    if send(log, &mut Conn::open(entry.front)?, true)? != 200 {
        return common::failed("the version is not in force on new connections either");
    }
    log.line("the clients on their kept connections");
    let mut denied = 0;
    for conn in &mut conns {
        let status = send(log, conn, true)?;
        denied += usize::from((400..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    log.line(format!(
        "{denied} of {CLIENTS} requests on kept connections were refused with a 4xx"
    ));
    Ok(denied <= DENIED_MAX)
}

fn main() {
    common::run(case)
}
