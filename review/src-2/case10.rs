//! Case 10: a server of a service that does not tell its load becomes cold again while it gets orders.

mod common;

use std::io::{self, Write as _};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Conn, Deployment, Entry, Log, Request, Store, sys};

const HOST: &str = "baths.example";

/// Route with the times of the small deployment of the baths.
const HOSTS: &str = r#"{"hostname":"baths.example","paths":[
    {"name":"r-book","prefix":"/book/","kind":"non_idempotent","timeoutMs":2000,
     "targetLatencyMs":500,"priority":1,"service":"buchung","maxAttempts":2}]}"#;

const GRACE_S: u64 = 6;
const APPLY_MS: u64 = 2000;
const DEADLINE_MS: u64 = 4000;
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// `warmupPerS` of the configuration, and `warmupFactor` and `warmupSlack` of the deployment.
const WARMUP_PER_S: f64 = 4.5;
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;

/// Requests in a second at which a cold server crashes: well above its rate, and above the bound.
const CRASH_FACTOR: f64 = 1.25;

const SERVERS: usize = 4;
const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(150);

/// Orders of all clients, and for how long they send.
const ORDERS_PER_S: u64 = 80;
const SEND_TIME: Duration = Duration::from_secs(9);

/// When the server becomes cold, counted from the first order, and for how long.
const COLD_AFTER: Duration = Duration::from_secs(4);
const COLD_TIME: Duration = Duration::from_secs(3);

struct Server {
    id: String,
    cold_until: Mutex<Option<Instant>>,
    cold_arrivals: Mutex<Vec<Instant>>,
    running: Mutex<Vec<String>>,
    lost: Mutex<Vec<String>>,
    has_crashed: AtomicBool,
    beats: AtomicU64,
    log: Log,
}

fn bound() -> f64 {
    WARMUP_PER_S * WARMUP_FACTOR + WARMUP_SLACK
}

/// Returns the greatest number of arrivals in one second.
fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let counts = arrivals.iter().map(|from| {
        arrivals
            .iter()
            .filter(|at| **at >= *from && at.duration_since(*from) < second)
            .count()
    });
    counts.max().unwrap_or(0)
}

impl Server {
    fn cold_ms(&self) -> u128 {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(0, |until| {
            until.saturating_duration_since(Instant::now()).as_millis()
        })
    }

    fn start(ip: &str, id: &str, store: &Store, log: &Log) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let addr = listener.local_addr()?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            cold_until: Mutex::default(),
            cold_arrivals: Mutex::default(),
            running: Mutex::default(),
            lost: Mutex::default(),
            has_crashed: AtomicBool::new(false),
            beats: AtomicU64::new(0),
            log: log.clone(),
        });
        let (beating, beat_store) = (server.clone(), store.clone());
        let beat = move || {
            let sequence = beating.beats.fetch_add(1, Ordering::Relaxed) + 1;
            let warmup_ms = beating.cold_ms();
            let value = format!(
                r#"{{"service":"buchung","address":"{addr}","zone":"north-a","version":"v1","slots":{SLOTS},"state":"ready","warmupLeftMs":{warmup_ms},"sequence":{sequence},"born":1700000000000}}"#
            );
            beat_store.put(&format!("servers/{}", beating.id), &value);
        };
        beat();
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.has_crashed.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                beat();
            }
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || {
                    // An error means that the other end has closed the connection.
                    let _ = server.serve(Conn::new(stream));
                });
            }
        });
        Ok(server)
    }

    /// Waits until the server has just written its registration, and makes it cold a moment later.
    fn become_cold(&self) {
        let beats = self.beats.load(Ordering::Relaxed);
        while self.beats.load(Ordering::Relaxed) == beats {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(100));
        *self.cold_until.lock().unwrap() = Some(Instant::now() + COLD_TIME);
        self.log.line(format!(
            "server {} is cold for {} ms, and says so in its health",
            self.id,
            COLD_TIME.as_millis()
        ));
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.read_head()? {
            conn.read_request_body(&head)?;
            if self.has_crashed.load(Ordering::Relaxed) {
                sys::reset_on_close(&conn.stream);
                return Ok(());
            }
            if head.word(1) == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Instance-Id: {}\r\nX-Lacewingmoor-Warmup-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.cold_ms()
                );
                conn.stream.write_all(text.as_bytes())?;
                continue;
            }
            let id = head.attempt_id().to_owned();
            if self.cold_ms() > 0 {
                let mut arrivals = self.cold_arrivals.lock().unwrap();
                arrivals.push(Instant::now());
                self.log
                    .line(format!("server {} gets {id} while it is cold", self.id));
                if most_in_a_second(&arrivals) as f64 > CRASH_FACTOR * bound() {
                    self.has_crashed.store(true, Ordering::Relaxed);
                    let running = std::mem::take(&mut *self.running.lock().unwrap());
                    self.log.line(format!(
                        "server {} crashes with {} running orders",
                        self.id,
                        running.len()
                    ));
                    self.lost.lock().unwrap().extend(running);
                }
            }
            self.running.lock().unwrap().push(id.clone());
            thread::sleep(WORK);
            if self.has_crashed.load(Ordering::Relaxed) {
                sys::reset_on_close(&conn.stream);
                return Ok(());
            }
            self.running
                .lock()
                .unwrap()
                .retain(|running| *running != id);
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {id}\r\nX-Lacewingmoor-Server-Seal: {}\r\nContent-Length: 4\r\n\r\ndone",
                common::seal(&self.id, &id)
            );
            conn.stream.write_all(text.as_bytes())?;
        }
        Ok(())
    }
}

fn case(log: &Log) -> io::Result<bool> {
    let with_trouble = common::with_trouble();
    let ip = common::own_ip(1);
    let store = Store::start(&ip)?;
    store.put("op/config", &common::config(3, &["buchung"], HOSTS, ""));
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        servers.push(Server::start(&ip, &format!("book-{i}"), &store, log)?);
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
    if with_trouble {
        let server = servers[0].clone();
        thread::spawn(move || {
            thread::sleep(COLD_AFTER);
            server.become_cold();
        });
    }
    let unserved = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < SEND_TIME {
        let (log, front, unserved) = (log.clone(), entry.front, unserved.clone());
        clients.push(thread::spawn(move || -> io::Result<()> {
            let request = Request::post(HOST, "/book/1", DEADLINE_MS, b"lane 4".to_vec());
            let mut conn = Conn::open(front)?;
            conn.stream.write_all(&request.bytes())?;
            let answer = conn.read_answer(Duration::from_millis(DEADLINE_MS));
            if answer.status() != 200 {
                log.line(format!("client: {}: {}", request.id, answer.text()));
                unserved.lock().unwrap().push(request.id);
            }
            Ok(())
        }));
        sent += 1;
        let next = start + Duration::from_millis(sent * 1000 / ORDERS_PER_S);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for client in clients {
        client
            .join()
            .unwrap_or_else(|_| common::failed("a client panicked"))?;
    }
    let most = most_in_a_second(&servers[0].cold_arrivals.lock().unwrap());
    let lost = servers[0].lost.lock().unwrap().len();
    log.line(format!(
        "{sent} orders, {} of them not served; at most {most} in one second at the cold server, allowed {:.2}; {lost} running orders lost in its crash",
        unserved.lock().unwrap().len(), bound()
    ));
    Ok(most as f64 <= bound())
}

fn main() {
    common::run(case)
}
