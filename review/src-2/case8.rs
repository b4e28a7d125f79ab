//! Case 8: a server whose answers have no length breaks one off with a reset.

mod common;

use std::collections::HashMap;
use std::io::{self, Write as _};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{Answer, Conn, Deployment, Entry, Handler, Log, Request, Server, Store, sys};

const HOST: &str = "baths.example";

/// Route with the times of the small deployment of the baths.
const HOSTS: &str = r#"{"hostname":"baths.example","paths":[
    {"name":"r-plan","prefix":"/plan/","kind":"download","timeoutMs":2000,"targetLatencyMs":500,
     "priority":2,"service":"planarchiv","maxAttempts":2}]}"#;

const GRACE_S: u64 = 6;
const APPLY_MS: u64 = 2000;
const DEADLINE_MS: u64 = 3000;

/// Length of a plan, and where an answer is broken off.
const PLAN_BYTES: usize = 240_000;
const CUT_AT: usize = 180_000;

/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(30);

/// Time between the last bytes and the reset, so that they are not lost with it.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// One of three servers is faulty, and breaks off one of this many answers.
const SERVERS: usize = 3;
const CUT_EVERY: usize = 20;

const CLIENTS: usize = 6;
const DOWNLOADS_PER_CLIENT: usize = 50;

/// Status line, seal and whether it is whole, of each answer that servers gave.
type Given = Arc<Mutex<HashMap<String, bool>>>;

fn sound() -> Arc<Handler> {
    Arc::new(|arrival, stream| {
        thread::sleep(WORK);
        let head = arrival
            .server
            .answer_head("200 OK", arrival.head.attempt_id());
        stream.write_all(format!("{head}Content-Length: {PLAN_BYTES}\r\n\r\n").as_bytes())?;
        stream.write_all(&[b'p'; PLAN_BYTES])?;
        Ok(true)
    })
}

/// Answers end with their connection. The status line is the one that such answers have had from the
/// beginning.
fn without_length(given: Given, with_trouble: bool, log: Log) -> Arc<Handler> {
    let count = AtomicUsize::new(0);
    Arc::new(move |arrival, stream| {
        thread::sleep(WORK);
        let (server, id) = (arrival.server, arrival.head.attempt_id());
        let head = server
            .answer_head("200 OK", id)
            .replacen("HTTP/1.1", "HTTP/1.0", 1);
        let is_cut =
            with_trouble && count.fetch_add(1, Ordering::Relaxed) % CUT_EVERY == CUT_EVERY / 2;
        given
            .lock()
            .unwrap()
            .insert(common::seal(&server.id, id), !is_cut);
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        if !is_cut {
            stream.write_all(&[b'p'; PLAN_BYTES])?;
            return Ok(false);
        }
        stream.write_all(&[b'p'; CUT_AT])?;
        thread::sleep(RESET_DELAY);
        sys::reset_on_close(stream);
        log.line(format!(
            "server {} resets the answer to {id} after {CUT_AT} of {PLAN_BYTES} bytes",
            server.id
        ));
        Ok(false)
    })
}

fn download(
    log: &Log,
    conn: &mut Conn,
    broken: &AtomicUsize,
    whole: &AtomicUsize,
) -> io::Result<bool> {
    let request = Request::get(HOST, "/plan/spring", DEADLINE_MS);
    conn.stream.write_all(&request.bytes())?;
    let answer = conn.read_answer(Duration::from_millis(DEADLINE_MS));
    let Answer::Whole(head, body) = &answer else {
        log.line(format!("client: {}: {}", request.id, answer.text()));
        return Ok(false);
    };
    let is_success = (200..300).contains(&head.status());
    if is_success && body.len() == PLAN_BYTES {
        whole.fetch_add(1, Ordering::Relaxed);
    } else if is_success {
        broken.fetch_add(1, Ordering::Relaxed);
        log.line(format!(
            "client: {}: {}, of {PLAN_BYTES}: {}",
            request.id,
            answer.text(),
            head.first_line
        ));
    } else {
        log.line(format!("client: {}: {}", request.id, answer.text()));
    }
    let stays_open = head.first_line.starts_with("HTTP/1.1")
        && head
            .get("connection")
            .is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    Ok(stays_open)
}

fn case(log: &Log) -> io::Result<bool> {
    let with_trouble = common::with_trouble();
    let ip = common::own_ip(1);
    let store = Store::start(&ip)?;
    store.put("op/config", &common::config(3, &["planarchiv"], HOSTS, ""));
    let given = Given::default();
    for i in 0..SERVERS {
        let handler = match i {
            0 => without_length(given.clone(), with_trouble, log.clone()),
            _ => sound(),
        };
        Server::start(
            &ip,
            &format!("plan-{i}"),
            "planarchiv",
            "north-a",
            &store,
            log,
            handler,
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
    thread::sleep(Duration::from_secs(2));
    let (broken, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (log, front) = (log.clone(), entry.front);
            let (broken, whole) = (broken.clone(), whole.clone());
            thread::spawn(move || -> io::Result<()> {
                let mut conn = Conn::open(front)?;
                for _ in 0..DOWNLOADS_PER_CLIENT {
                    // A connection that ended meanwhile is replaced.
                    if !download(&log, &mut conn, &broken, &whole).unwrap_or(false) {
                        conn = Conn::open(front)?;
                    }
                }
                Ok(())
            })
        })
        .collect();
    for client in clients {
        client
            .join()
            .unwrap_or_else(|_| common::failed("a client panicked"))?;
    }
    let given = given.lock().unwrap();
    let cut = given.values().filter(|is_whole| !**is_whole).count();
    let (broken, whole) = (
        broken.load(Ordering::Relaxed),
        whole.load(Ordering::Relaxed),
    );
    log.line(format!(
        "{} answers without a length, {cut} of them broken off; clients got {whole} whole bodies and {broken} that looked whole and were not",
        given.len()
    ));
    match (with_trouble, cut, whole) {
        (true, 0, _) | (_, _, 0) => common::failed("the faulty server got too few requests"),
        _ => Ok(broken == 0),
    }
}

fn main() {
    common::run(case)
}
