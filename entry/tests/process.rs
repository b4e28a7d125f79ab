//! A whole process: start, signals, graceful shutdown. The process is this test binary, run again
//! with `LACEWINGMOOR_TEST_TARGET` set; it serves a bundle for that target without a store.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use common::{Fake, WAIT_STEP, WAIT_STEPS, call, get, read_request, send, status};
use lacewingmoor_control::Event;
use lacewingmoord::process::run_with;
use lacewingmoord::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Ends a test whose process does not log what it should; without it the test would hang.
const LOG_WAIT_MAX: Duration = Duration::from_secs(60);

const TARGET: &str = "LACEWINGMOOR_TEST_TARGET";

fn settings() -> String {
    let key = lacewingmoor_bundle::SecretKey::from_seed(&[1; 32]);
    let key = key.public().to_base64();
    format!(
        "node: e1\nzone: z1\nregion: r1\nlisten: 127.0.0.1:0\nadmin: 127.0.0.1:0\n\
         peer: 127.0.0.1:0\nstore: 127.0.0.1:1\nvm_list: 127.0.0.1:1\nunready_ms: 200\nseed: 1\npolicy: random\n\
         operator_keys: [\"{key}\"]\n\
         fleet_key: \"AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=\"\n"
    )
}

/// Not a test of its own: the process under test. Returns at once in a normal run.
#[test]
fn child() {
    let Ok(target) = std::env::var(TARGET) else {
        return;
    };
    let settings = Settings::parse(&settings()).unwrap();
    let bundle = Arc::new(common::bundle(&[target.parse().unwrap()]));
    run_with(settings, |_, control, _, _| {
        common::confirm(control, &bundle);
        control.send(Event::Bundle(bundle));
        Ok(None)
    })
    .unwrap();
}

struct Process {
    child: Child,
    log: mpsc::Receiver<String>,
    listen: SocketAddr,
    admin: SocketAddr,
}

impl Process {
    async fn start(target: SocketAddr) -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "child", "--nocapture"])
            .env(TARGET, target.to_string())
            // Nothing listens on port 1, so a request that follows these would fail.
            .env("HTTP_PROXY", "http://127.0.0.1:1")
            .env("http_proxy", "http://127.0.0.1:1")
            .env("ALL_PROXY", "http://127.0.0.1:1")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (lines, log) = mpsc::channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let _ = lines.send(line);
            }
        });
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut process = Self {
            child,
            log,
            listen: unknown,
            admin: unknown,
        };
        let line = process.log_line("event=started");
        process.listen = value(&line, "listen").parse().unwrap();
        process.admin = value(&line, "admin").parse().unwrap();
        // The log line about readiness may come before or after the one about the start.
        for _ in 0..WAIT_STEPS {
            if status(&call(process.admin, &get("/ready")).await) == 200 {
                return process;
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
        panic!("the process did not become ready");
    }

    /// Reads the log up to a line that holds `text`.
    fn log_line(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LOG_WAIT_MAX);
            let line = line.unwrap_or_else(|_| panic!("the process did not log {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    line.split_whitespace()
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
        .unwrap()
}

/// Guards against proxies taken from the environment.
#[tokio::test(flavor = "multi_thread")]
async fn ignores_proxies_of_the_environment() {
    let (fake, _requests) = Fake::answering("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    let process = Process::start(fake.addr).await;
    let answer = call(process.listen, &get("/read/a")).await;
    assert_eq!(status(&answer), 200, "{answer}");
}

/// Guards against a planned stop that cuts off a slow download, takes new work after the
/// listeners are closed, hangs on idle connections, or does not exit with 0.
#[tokio::test(flavor = "multi_thread")]
async fn finishes_a_slow_download_after_sigterm() {
    let go_on = Arc::new(Notify::new());
    let wait = go_on.clone();
    let fake = Fake::start(move |_, mut stream| {
        let wait = wait.clone();
        async move {
            while let Some(request) = read_request(&mut stream).await {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                if request.starts_with("GET /read/slow") {
                    stream.write_all(b"12345").await.unwrap();
                    wait.notified().await;
                    stream.write_all(b"67890").await.unwrap();
                } else {
                    stream.write_all(b"1234567890").await.unwrap();
                }
            }
        }
    })
    .await;
    let mut process = Process::start(fake.addr).await;
    assert_eq!(status(&call(process.admin, &get("/ready")).await), 200);

    let mut slow = send(process.listen, "GET /read/slow HTTP/1.1\r\nhost: a\r\n\r\n").await;
    let mut seen = vec![0; 1];
    slow.read_exact(&mut seen).await.unwrap();
    // An open connection without any request, and one that is idle after a request.
    let mut silent = TcpStream::connect(process.listen).await.unwrap();
    let mut idle = send(process.listen, "GET /read/a HTTP/1.1\r\nhost: a\r\n\r\n").await;
    let mut answered = Vec::new();
    while !answered.ends_with(b"1234567890") {
        answered.push(idle.read_u8().await.unwrap());
    }

    process.signal("-TERM");
    process.log_line("event=stopping");
    process.log_line("event=ready ready=false");
    assert_eq!(status(&call(process.admin, &get("/ready")).await), 503);
    assert_eq!(status(&call(process.admin, &get("/live")).await), 200);
    process.signal("-TERM");
    process.log_line("event=signal_ignored");
    process.log_line("event=listeners_closed");

    assert_eq!(silent.read(&mut [0]).await.unwrap_or(0), 0);
    assert_eq!(idle.read(&mut [0]).await.unwrap_or(0), 0);
    // The listener closes right after the line was logged.
    while TcpStream::connect(process.listen).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(process.child.try_wait().unwrap().is_none());
    go_on.notify_one();
    slow.read_to_end(&mut seen).await.unwrap();
    let answer = String::from_utf8(seen).unwrap();
    assert!(answer.ends_with("\r\n\r\n1234567890"), "{answer}");
    process.log_line("event=stopped");
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
}
