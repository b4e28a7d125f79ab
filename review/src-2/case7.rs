//! Case 7: a stop of the entry while a server works on the first part of an upload and has not read the
//! rest yet.

mod common;

use std::io::{self, Write as _};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Answer, Conn, Deployment, Entry, Log, Request, Store, sys};

const HOST: &str = "kiosk.example";

/// Route with the times of the uploads of Fondation Île Connectée, which clients wait 12,000 ms for.
const HOSTS: &str = r#"{"hostname":"kiosk.example","paths":[
    {"name":"r-scan","prefix":"/scan/","kind":"upload","timeoutMs":10000,"targetLatencyMs":3000,
     "priority":1,"service":"kyc-upload-svc","maxAttempts":2}]}"#;

/// Bounds of that deployment.
const GRACE_S: u64 = 6;
const APPLY_MS: u64 = 3000;

const DEADLINE_MS: u64 = 12_000;

/// Length of a document; a body may have 64 MiB.
const SCAN_BYTES: usize = 8_000_000;

/// Part of a document that a server reads first, and the time for which it works on that.
const FIRST_BYTES: usize = 64_000;
const FIRST_WORK: Duration = Duration::from_millis(3800);

/// Time from the upload to the stop.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// From this part of the grace period on, requests that are still running may be broken off.
const LAST_SIXTH: Duration = Duration::from_secs(GRACE_S * 5 / 6);

/// A request at the server.
struct Run {
    id: String,
    began_at: Instant,
    /// What the server has made of it; `None` while it is at work.
    end: Option<(Instant, &'static str)>,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn serve(mut conn: Conn, id: &str, runs: &Runs, log: &Log) -> io::Result<()> {
    while let Some(head) = conn.read_head()? {
        if head.word(1) == "/health" {
            let running = runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.end.is_none())
                .count();
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Instance-Id: {id}\r\nX-Lacewingmoor-Server-Load: {running},0,6,100\r\nX-Lacewingmoor-Warmup-Ms: 0\r\nContent-Length: 0\r\n\r\n"
            );
            conn.stream.write_all(text.as_bytes())?;
            continue;
        }
        let length: usize = head
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while conn.buffer.len() < FIRST_BYTES.min(length) {
            if conn.fill()? == 0 {
                return common::failed("cut before the first part");
            }
        }
        let request = head.attempt_id().to_owned();
        log.line(format!(
            "server {id} runs {request}: works on the first part"
        ));
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run {
                id: request.clone(),
                began_at: Instant::now(),
                end: None,
            });
            runs.len() - 1
        };
        let end =
            |text: &'static str| runs.lock().unwrap()[index].end = Some((Instant::now(), text));
        thread::sleep(FIRST_WORK);
        log.line(format!("server {id} reads the rest of {request}"));
        if let Err(error) = conn.read_request_body(&head) {
            end("lost its connection");
            log.line(format!(
                "server {id}: the connection of {request} is gone: {error}"
            ));
            return Ok(());
        }
        end("is done");
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {request}\r\nX-Lacewingmoor-Server-Seal: {}\r\nX-Lacewingmoor-Server-Load: 1,0,6,100\r\nContent-Length: 4\r\n\r\ndone",
            common::seal(id, &request)
        );
        conn.stream.write_all(text.as_bytes())?;
        log.line(format!("server {id} has answered {request}"));
    }
    Ok(())
}

fn start_server(
    ip: &str,
    id: &'static str,
    store: &Store,
    runs: &Runs,
    log: &Log,
) -> io::Result<()> {
    let listener = TcpListener::bind(format!("{ip}:0"))?;
    let addr = listener.local_addr()?;
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service":"kyc-upload-svc","address":"{addr}","zone":"north-a","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1700000000000}}"#
        ),
    );
    let (runs, log) = (runs.clone(), log.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, log) = (runs.clone(), log.clone());
            thread::spawn(move || {
                if let Err(error) = serve(Conn::new(stream), id, &runs, &log) {
                    log.line(format!("server {id}: {error}"));
                }
            });
        }
    });
    Ok(())
}

fn case(log: &Log) -> io::Result<bool> {
    let with_trouble = common::with_trouble();
    let ip = common::own_ip(1);
    let store = Store::start(&ip)?;
    store.put(
        "op/config",
        &common::config(3, &["kyc-upload-svc"], HOSTS, ""),
    );
    let runs = Runs::default();
    for id in ["kyc-0", "kyc-1"] {
        start_server(&ip, id, &store, &runs, log)?;
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
    let mut conn = Conn::open(entry.front)?;
    let request = Request::post(HOST, "/scan/1", DEADLINE_MS, vec![b'd'; SCAN_BYTES]);
    log.line(format!(
        "client sends upload {} of {SCAN_BYTES} bytes",
        request.id
    ));
    conn.stream.write_all(&request.bytes())?;
    log.line(format!("client has sent {}", request.id));
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
    let answer = conn.read_answer(common::READ_MAX);
    let answered_at = Instant::now();
    let since_stop = answered_at.duration_since(stopped_at);
    log.line(format!(
        "{:.3} s after the stop: {}: {}",
        since_stop.as_secs_f64(),
        request.id,
        answer.text()
    ));
    let is_at_work = {
        let runs = runs.lock().unwrap();
        let run = runs.iter().find(|run| run.id == request.id);
        run.is_some_and(|run| run.began_at < answered_at && run.end.is_none())
    };
    // For the record: what becomes of the work.
    thread::sleep(Duration::from_secs(2));
    for run in &*runs.lock().unwrap() {
        let end = run.end.map_or("is at work", |(_, text)| text);
        log.line(format!("run {}: its server {end}", run.id));
    }
    if with_trouble {
        entry.child.wait()?;
    }
    let is_own = !matches!(&answer, Answer::Whole(head, _)
        if head.get("x-lacewingmoor-server-seal").is_some());
    // Without the stop there is no planned work around which the rule would hold.
    Ok(!(with_trouble && is_own && is_at_work && since_stop < LAST_SIXTH))
}

fn main() {
    common::run(case)
}
