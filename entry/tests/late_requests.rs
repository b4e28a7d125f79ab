//! Guards against requests that come late in a planned shutdown, are passed on to a target and are then
//! broken off when the grace period ends: each path by which a request comes in or waits, with real
//! processes.

mod common;

use std::time::{Duration, Instant};

use common::{EVENT_TIMEOUT, fleet_with_raw_target, lanes, register_raw, until};
use lacewingmoor_standin::fleet::{self, Fleet, HOST};
use lacewingmoor_standin::raw_target::{RawTarget, Script};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Timeout of the routes, longer than what is left of the grace period when the late requests arrive.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after the signal at which the late requests arrive. Requests that are sent in the first 3 s may be
/// broken off at the end of the grace period.
const ARRIVES_AT: Duration = Duration::from_millis(3300);

/// Time after the signal at which requests get their last response, whether a target works on them or not.
const LAST_RESPONSES_AT: Duration = Duration::from_millis(5500);

/// Latency objective of routes whose requests are expected to take a fraction of what is left late in the
/// grace period.
const SHORT_OBJECTIVE: Duration = Duration::from_millis(400);

/// Latency objective of routes whose requests are expected to take 1.6 s.
const LONG_OBJECTIVE: Duration = Duration::from_secs(4);

const SUCCESS_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\
     X-Lacewingmoor-Server-Seal: seal\r\n";

/// Length of the start of a download, more than is read before the head is forwarded.
const DOWNLOAD_START_BYTES: usize = 200_000;

/// Length of an upload, more than fits into the buffers of the sockets.
const UPLOAD_BYTES: usize = 16_000_000;

/// A request that reaches the entry late in the grace period.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Late {
    /// On a connection whose response began before the signal and ends after it.
    AfterDownload,
    /// Sent on such a connection before the signal, behind the request that has this response.
    Pipelined,
    /// A part of its head has come before the signal.
    RestOfHead,
    /// A part of its body has come before the signal.
    RestOfBody,
    /// The first part of a body that goes on for as long as the connection takes it.
    LongBody,
}

impl Late {
    fn follows_download(self) -> bool {
        matches!(self, Late::AfterDownload | Late::Pipelined | Late::LongBody)
    }

    fn request(self) -> String {
        let length = match self {
            Late::LongBody => UPLOAD_BYTES,
            _ => 6,
        };
        format!(
            "POST /lanes/write/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: late\r\n\
             Content-Length: {length}\r\n\r\nlane=4"
        )
    }

    /// Returns the length of the part that is sent before the signal.
    fn sent_before(self, request: &str) -> usize {
        match self {
            Late::AfterDownload | Late::LongBody => 0,
            Late::Pipelined => request.len(),
            Late::RestOfHead => request.len() / 2,
            Late::RestOfBody => request.len() - 3,
        }
    }
}

/// Starts an entry with one target; its routes have [`ROUTE_TIMEOUT`] and this latency objective.
async fn start(script: Script, objective: Duration) -> (Fleet, RawTarget) {
    let (fleet, target) = fleet_with_raw_target(script).await;
    let mut bundle = fleet::bundle(2, std::slice::from_ref(&lanes()));
    for route in &mut bundle.routes {
        route.timeout_ms = ROUTE_TIMEOUT.as_millis() as u64;
        route.objective_ms = objective.as_millis() as u64;
    }
    bundle.limits.body_bytes_max = UPLOAD_BYTES as u64;
    bundle.limits.head_timeout_ms = 2 * ROUTE_TIMEOUT.as_millis() as u64;
    fleet.store.put_bundle(&bundle);
    until("the bundle is active", async || {
        let log = fleet.entries[0].log_text();
        log.contains("event=bundle_in_force version=2")
    })
    .await;
    (fleet, target)
}

async fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.entries[0].caller_addr).await;
    stream.expect("the entry accepts")
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) {
    stream
        .write_all(bytes)
        .await
        .expect("the entry reads the request");
}

/// Reads until `received` ends with `end`.
async fn read_until(stream: &mut TcpStream, received: &mut Vec<u8>, end: &[u8]) {
    let read = async {
        while !received.ends_with(end) {
            let mut bytes = vec![0; 64 * 1024];
            let length = stream.read(&mut bytes).await.expect("the response comes");
            assert!(length > 0, "the connection has ended");
            received.extend_from_slice(&bytes[..length]);
        }
    };
    let read = tokio::time::timeout(EVENT_TIMEOUT, read).await;
    read.expect("the response ends");
}

/// An order that came after a download was passed on 4.5 s after the signal and answered with 502 a second
/// later, while its target was at work.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_may_not_end_in_the_grace_period_is_refused_at_once(
    #[values(
        Late::AfterDownload,
        Late::Pipelined,
        Late::RestOfHead,
        Late::RestOfBody,
        Late::LongBody
    )]
    late: Late,
) {
    let start_of_download = format!(
        "{SUCCESS_HEAD}Content-Length: {}\r\n\r\n{}",
        DOWNLOAD_START_BYTES + 3,
        "a".repeat(DOWNLOAD_START_BYTES)
    );
    let download = Script::Paced(
        vec![
            (Duration::ZERO, start_of_download),
            (ARRIVES_AT, String::new()),
        ],
        Box::new(Script::Once("end".into())),
    );
    // The target takes the late request and works on it without end.
    let works = Script::Once(String::new());
    let script = match late.follows_download() {
        true => Script::Then(Box::new(download), Box::new(works)),
        false => works,
    };
    let (mut fleet, target) = start(script, SHORT_OBJECTIVE).await;
    let mut stream = connect(&fleet).await;
    let request = late.request();
    let (before, after) = request.as_bytes().split_at(late.sent_before(&request));
    let mut received = Vec::new();
    if late.follows_download() {
        let head = format!(
            "GET /lanes/read/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: first\r\n\r\n"
        );
        write(&mut stream, head.as_bytes()).await;
        read_until(&mut stream, &mut received, b"a").await;
    }
    write(&mut stream, before).await;
    // The entry has read what was sent.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let signalled_at = Instant::now();
    fleet.entries[0].signal(libc::SIGTERM);
    if late.follows_download() {
        read_until(&mut stream, &mut received, b"end").await;
        received.clear();
    } else {
        tokio::time::sleep(ARRIVES_AT).await;
    }
    let (mut reader, mut writer) = stream.into_split();
    let after = [
        after,
        &vec![
            b'x';
            if late == Late::LongBody {
                UPLOAD_BYTES
            } else {
                0
            }
        ],
    ]
    .concat();
    // A caller whose request was refused meanwhile may not be able to write the rest.
    let rest = tokio::spawn(async move {
        let written = writer.write_all(&after).await;
        (written, writer)
    });
    let read = tokio::time::timeout(EVENT_TIMEOUT, reader.read_to_end(&mut received)).await;
    let ended_after = signalled_at.elapsed();
    rest.abort();
    let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
    let log = fleet.entries[0].log_text();
    let sent = target.request_count();
    assert_eq!(sent, u64::from(late.follows_download()), "{text}\n{log}");
    assert!(text.starts_with("http/1.1 503"), "{read:?} {text}\n{log}");
    assert!(text.contains("connection: close"), "{text}");
    assert!(text.contains("retry-after: 0.050"), "{text}");
    assert!(matches!(read, Ok(Ok(_))), "{read:?} {text}\n{log}");
    assert!(ended_after < LAST_RESPONSES_AT, "{ended_after:?}");
    assert!(fleet.entries[0].wait(EVENT_TIMEOUT), "a clean exit");
}

/// A request that came before the signal and would be sent to a target late in the grace period.
struct Waiting {
    method: &'static str,
    path: &'static str,
    objective: Duration,
    /// What the first target does; the second one works without end.
    first: Script,
    /// Time after the signal at which the targets have a free slot.
    free_at: Duration,
    /// Number of targets that get the request.
    sends: u64,
    status: &'static str,
}

#[rstest]
#[case::queued(Waiting {
    method: "POST",
    path: "/lanes/write/1",
    objective: LONG_OBJECTIVE,
    first: Script::Once(String::new()),
    free_at: Duration::from_secs(3),
    sends: 0,
    status: "503",
})]
#[case::retried(Waiting {
    method: "POST",
    path: "/lanes/write/1",
    objective: SHORT_OBJECTIVE,
    first: Script::Paced(
        vec![(Duration::from_millis(5500), String::new())],
        Box::new(Script::Once(
            "HTTP/1.1 503 Full\r\nX-Lacewingmoor-Not-Executed: 1\r\n\
             X-Lacewingmoor-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                .into(),
        )),
    ),
    free_at: Duration::ZERO,
    sends: 1,
    status: "503",
})]
#[case::hedged(Waiting {
    method: "GET",
    path: "/lanes/read/1",
    objective: LONG_OBJECTIVE,
    first: Script::Once(String::new()),
    free_at: Duration::ZERO,
    sends: 1,
    status: "502",
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_request_is_not_sent_when_its_expected_time_exceeds_the_rest(
    #[case] case: Waiting,
) {
    let works = Script::Once(String::new());
    let script = Script::Then(Box::new(case.first), Box::new(works));
    let (mut fleet, target) = start(script, case.objective).await;
    let second = target.start_another(([127, 0, 0, 1], 0).into(), "second");
    let second = second.await.expect("the target starts");
    register_raw(&fleet, "second", second.addr()).await;
    let is_full = !case.free_at.is_zero();
    if is_full {
        target.set_load("4,0,4,100");
    }
    let mut stream = connect(&fleet).await;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: waiting\r\n\r\n",
        case.method, case.path
    );
    write(&mut stream, head.as_bytes()).await;
    // The request is queued, or a target has it.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.entries[0].signal(libc::SIGTERM);
    tokio::time::sleep(case.free_at).await;
    target.set_load("0,0,4,100");
    let mut received = Vec::new();
    let read = tokio::time::timeout(EVENT_TIMEOUT, stream.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received);
    let log = fleet.entries[0].log_text();
    assert!(matches!(read, Ok(Ok(_))), "{read:?} {text}\n{log}");
    assert_eq!(target.request_count(), case.sends, "{text}\n{log}");
    assert_eq!(text.split(' ').nth(1), Some(case.status), "{text}\n{log}");
    assert!(fleet.entries[0].wait(EVENT_TIMEOUT), "a clean exit");
}
