//! Case 6: a stop of the entry while a download is on its way, and an order on the same connection
//! after it.

mod common;

use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{Answer, Conn, Deployment, Entry, Handler, Log, Request, Server, Store, sys};

const HOST: &str = "shop.example";

/// Routes with the times of the grown deployment of Pinhaus: 8,000 ms that clients wait, of which the
/// routes allow a part.
const HOSTS: &str = r#"{"hostname":"shop.example","paths":[
    {"name":"r-guide","prefix":"/guide/","kind":"download","timeoutMs":6000,"targetLatencyMs":2000,
     "priority":2,"service":"guidevault","maxAttempts":2},
    {"name":"r-order","prefix":"/order/","kind":"non_idempotent","timeoutMs":4000,
     "targetLatencyMs":2000,"priority":1,"service":"benchorder","maxAttempts":2}]}"#;

/// Bounds of that deployment.
const GRACE_S: u64 = 6;
const APPLY_MS: u64 = 3000;

/// Time that clients wait for an answer.
const DEADLINE_MS: u64 = 8000;

/// A download has this many bytes at once and the rest over some seconds.
const GUIDE_FIRST_BYTES: usize = 120_000;
const GUIDE_REST_PARTS: usize = 50;
const GUIDE_PART_BYTES: usize = 4_000;
const GUIDE_PART_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a server works on an order.
const ORDER_WORK: Duration = Duration::from_millis(1200);

/// Time from the start of the downloads to the stop.
const STOP_AFTER: Duration = Duration::from_millis(500);

/// Requests that were sent no later than this after the stop may be broken off at the end of the grace
/// period.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);

const CLIENTS: usize = 3;

fn guide() -> Arc<Handler> {
    Arc::new(|arrival, stream| {
        let length = GUIDE_FIRST_BYTES + GUIDE_REST_PARTS * GUIDE_PART_BYTES;
        let head = arrival
            .server
            .answer_head("200 OK", arrival.head.attempt_id());
        stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes())?;
        stream.write_all(&[b'g'; GUIDE_FIRST_BYTES])?;
        for _ in 0..GUIDE_REST_PARTS {
            thread::sleep(GUIDE_PART_INTERVAL);
            stream.write_all(&[b'g'; GUIDE_PART_BYTES])?;
        }
        Ok(true)
    })
}

fn order(log: Log) -> Arc<Handler> {
    Arc::new(move |arrival, stream| {
        thread::sleep(ORDER_WORK);
        let id = arrival.head.attempt_id();
        log.line(format!("server {} has done {id}", arrival.server.id));
        let head = arrival.server.answer_head("200 OK", id);
        stream.write_all(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    })
}

/// Downloads a guide and sends an order on the same connection if the answer leaves it open. Returns false
/// if the order was broken off.
fn client(
    log: &Log,
    mut conn: Conn,
    stopped_at: Instant,
    orders: &[Server],
    with_trouble: bool,
) -> io::Result<bool> {
    let answer = conn.read_answer(common::READ_MAX);
    let since_stop = || stopped_at.elapsed().as_secs_f64();
    let Answer::Whole(head, _) = &answer else {
        return common::failed(format!("download: {}", answer.text()));
    };
    let closes = head
        .get("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    log.line(format!(
        "{:.3} s after the stop: download: {}",
        since_stop(),
        answer.text()
    ));
    if closes {
        log.line("the answer closes the connection, so the client does not use it again");
        return Ok(true);
    }
    let request = Request::post(HOST, "/order/1", DEADLINE_MS, b"one clasp".to_vec());
    let sent_after = stopped_at.elapsed();
    log.line(format!(
        "{:.3} s after the stop: client sends order {}",
        since_stop(),
        request.id
    ));
    if conn.stream.write_all(&request.bytes()).is_err() {
        log.line("the connection was closed before");
        return Ok(true);
    }
    let answer = conn.read_answer(common::READ_MAX);
    log.line(format!(
        "{:.3} s after the stop: {}: {}",
        since_stop(),
        request.id,
        answer.text()
    ));
    let runs = orders
        .iter()
        .flat_map(|server| server.runs.lock().unwrap().clone());
    let has_run = runs.into_iter().any(|(id, _)| id == request.id);
    if !with_trouble {
        return match answer.status() {
            200 => Ok(true),
            _ => common::failed("an order failed without the stop"),
        };
    }
    // Broken off: a server is at work on it, and the client gets an answer of the entry's own or none.
    let is_broken_off = has_run
        && !matches!(&answer, Answer::Whole(head, _)
        if head.get("x-lacewingmoor-server-seal").is_some());
    Ok(!is_broken_off || sent_after <= EXCUSED_UNTIL)
}

fn case(log: &Log) -> io::Result<bool> {
    let with_trouble = common::with_trouble();
    let ip = common::own_ip(1);
    let store = Store::start(&ip)?;
    store.put(
        "op/config",
        &common::config(3, &["guidevault", "benchorder"], HOSTS, ""),
    );
    let mut orders = Vec::new();
    for i in 0..4 {
        Server::start(
            &ip,
            &format!("guide-{i}"),
            "guidevault",
            "north-a",
            &store,
            log,
            guide(),
        )?;
        let id = format!("order-{i}");
        orders.push(Server::start(
            &ip,
            &id,
            "benchorder",
            "north-a",
            &store,
            log,
            order(log.clone()),
        )?);
    }
    let mut entry = Entry::start(
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
        let request = Request::get(HOST, "/guide/1", DEADLINE_MS);
        log.line(format!("client sends download {}", request.id));
        conn.stream.write_all(&request.bytes())?;
        conns.push(conn);
    }
    thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    if with_trouble {
        log.line("SIGTERM");
        entry.signal(sys::SIGTERM);
        // SIGKILL follows after the grace period.
        let pid = entry.child.id();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(GRACE_S));
            sys::send(pid, sys::SIGKILL);
        });
    }
    let clients: Vec<_> = conns
        .into_iter()
        .map(|conn| {
            let (log, orders) = (log.clone(), orders.clone());
            thread::spawn(move || client(&log, conn, stopped_at, &orders, with_trouble))
        })
        .collect();
    let mut held = true;
    for client in clients {
        held &= client
            .join()
            .unwrap_or_else(|_| common::failed("a client panicked"))?;
    }
    if with_trouble {
        entry.child.wait()?;
        log.line(format!(
            "{:.3} s after the stop: the entry has ended",
            stopped_at.elapsed().as_secs_f64()
        ));
    }
    Ok(held)
}

fn main() {
    common::run(case)
}
