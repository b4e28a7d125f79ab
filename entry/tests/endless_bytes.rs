//! Guards against memory that fills up because another process sends bytes without end: a target, the
//! store, another entry, or callers. `untrusted_targets` has the responses of targets to requests.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{
    EVENT_TIMEOUT, expect_response, fleet, fleet_with_raw_target, lanes, peak_memory_kb, read,
    until,
};
use http::StatusCode;
use lacewingmoor_control::counts::{Counts, CountsUpdate};
use lacewingmoor_control::model::{Record, Revision};
use lacewingmoor_platform::server::encode_page;
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, bundle};
use lacewingmoor_standin::raw_target::{RawTarget, Script};
use lacewingmoor_standin::store::StoreFault;
use lacewingmoord::peer_protocol::{self, EXTENSION_VERSION, Report, Subscribe};
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Memory that an entry may use for all but bodies of requests and responses: six tenths of that of the
/// smallest VM, which has 112 MB.
const MEMORY_MAX_KB: u64 = 67 * 1000;

/// Time for which the bytes come.
const DURATION: Duration = Duration::from_secs(3);

/// Bytes that a kind of sender repeats until its connection is closed.
const PART_BYTES: usize = 16 * 1024;

fn check_memory(fleet: &Fleet) {
    let peak_kb = peak_memory_kb(fleet);
    let log = fleet.entries[0].log_text();
    let last = &log[log.len().saturating_sub(2000)..];
    assert!(peak_kb <= MEMORY_MAX_KB, "peak of {peak_kb} KB\n{last}");
    assert!(!log.contains("panicked"), "{last}");
}

#[rstest]
#[case::head_line("HTTP/1.1 200 OK\r\nX-Long: ", "a")]
#[case::head_lines("HTTP/1.1 200 OK\r\n", "X-More: aaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[case::no_protocol("", "no response at all, and without end. ")]
#[case::empty_lines("", "\r\n")]
#[case::interim_responses("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "a")]
#[case::body_to_the_end("HTTP/1.1 200 OK\r\n\r\n", "a")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\naa\r\n")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4", ";aaaaaaa")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-More: aaaaaaaaaaaaaaaaaaaaaaa\r\n"
)]
#[case::failure(
    "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n",
    "2\r\naa\r\n"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_response_to_a_probe_or_of_the_store_is_cut_off(
    #[case] start: &str,
    #[case] repeated: &str,
    #[values(false, true)] is_store: bool,
) {
    let repeated: &'static str = repeated.repeat(PART_BYTES / repeated.len()).leak();
    let script = Script::Endless(start.to_owned(), repeated);
    if is_store {
        let store = RawTarget::start(([127, 0, 0, 1], 0).into(), "store", script).await;
        let store = store.expect("the store starts");
        let mut fleet = fleet(&lanes(), 0).await;
        fleet
            .start_entry("entry-0", "north-a", store.addr(), Vec::new())
            .expect("the entry starts");
        tokio::time::sleep(DURATION).await;
        until("the entry calls again", async || store.request_count() > 1).await;
        check_memory(&fleet);
        return;
    }
    let (fleet, target) = fleet_with_raw_target(Script::Once(String::new())).await;
    target.set_probe_script(Some(script));
    let ends_at = Instant::now() + DURATION;
    while Instant::now() < ends_at {
        let response = expect_response(&fleet.entries[0], &read("r-1")).await;
        assert!(!response.status.is_success(), "{}", response.status);
    }
    check_memory(&fleet);
}

/// A listing of which each page says that more keys follow.
struct Listing {
    /// Pages that the store returns in turn; the last one from then on.
    pages: usize,
    keys_per_page: usize,
    /// Part of the log line.
    log: &'static str,
}

impl Listing {
    fn page(&self, page: usize) -> Script {
        let records: Vec<Record> = (0..self.keys_per_page)
            .map(|i| Record {
                key: format!("servers/i-{page:03}-{i:03}"),
                revision: Revision { era: 1, number: 1 },
                value: Some(vec![b'a'; 1500]),
            })
            .collect();
        let body = String::from_utf8(encode_page(&records, true, 1)).expect("JSON");
        let length = body.len();
        Script::Once(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
        ))
    }

    fn script(&self) -> Script {
        let last = self.page(self.pages - 1);
        (0..self.pages - 1).rev().fold(last, |rest, page| {
            Script::Then(Box::new(self.page(page)), Box::new(rest))
        })
    }
}

/// An entry kept all pages of a listing whose last one never came.
#[rstest]
#[case::same_page(Listing { pages: 1, keys_per_page: 500, log: "listing does not advance" })]
#[case::empty_page(Listing { pages: 1, keys_per_page: 0, log: "listing does not advance" })]
#[case::more_keys_each_time(Listing { pages: 20, keys_per_page: 500, log: "listing has more than" })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing_without_a_last_page_is_given_up(#[case] listing: Listing) {
    let addr = ([127, 0, 0, 1], 0).into();
    let store = RawTarget::start(addr, "store", listing.script()).await;
    let store = store.expect("the store starts");
    let mut fleet = fleet(&lanes(), 0).await;
    fleet
        .start_entry("entry-0", "north-a", store.addr(), Vec::new())
        .expect("the entry starts");
    tokio::time::sleep(DURATION).await;
    check_memory(&fleet);
    until("the entry says why it gives up", async || {
        fleet.entries[0].log_text().contains(listing.log)
    })
    .await;
}

/// A port of an entry that others connect to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Port {
    Callers,
    Ready,
    Metrics,
    Peers,
}

impl Port {
    fn addr(self, entry: &EntryProcess) -> SocketAddr {
        match self {
            Port::Callers => entry.caller_addr,
            Port::Ready => entry.ready_addr,
            Port::Metrics => entry.metrics_addr,
            Port::Peers => entry.peer_addr,
        }
    }
}

/// Bytes that arrive on many connections at the same time.
struct Inbound {
    port: Port,
    connections: usize,
    start: Vec<u8>,
    repeated: Vec<u8>,
}

impl Inbound {
    fn text(port: Port, start: &str, repeated: &str) -> Self {
        Self {
            port,
            connections: 100,
            start: start.as_bytes().to_vec(),
            repeated: repeated.as_bytes().to_vec(),
        }
    }

    /// Frames of entries that announce `length` bytes after the frames in `start`.
    fn frame(start: Vec<u8>, length: u32, connections: usize) -> Self {
        Self {
            port: Port::Peers,
            connections,
            start: [start, length.to_be_bytes().to_vec()].concat(),
            repeated: vec![0],
        }
    }

    async fn send(port: SocketAddr, start: Vec<u8>, repeated: Vec<u8>, ends_at: Instant) {
        let Ok(mut stream) = TcpStream::connect(port).await else {
            return;
        };
        let send = async {
            stream.write_all(&start).await?;
            loop {
                stream.write_all(&repeated).await?;
            }
        };
        // The connection ends when the entry closes it, or after the time.
        let _: Result<std::io::Result<()>, _> = tokio::time::timeout_at(ends_at.into(), send).await;
    }
}

async fn encoded<T: bincode::Encode>(message: &T) -> Vec<u8> {
    let mut frame = Vec::new();
    let written = peer_protocol::write(&mut frame, message).await;
    written.expect("the message is encoded");
    frame
}

fn subscribe() -> Subscribe {
    Subscribe {
        entry: "follower".into(),
        after: Revision::default(),
        zone: "north-a".into(),
        capacity: 1,
    }
}

const REQUEST: &str = "POST /lanes/write/1 HTTP/1.1\r\nHost: pool.example\r\n";

#[rstest]
#[case::request_line(Inbound::text(Port::Callers, "GET /", "a"))]
#[case::head_line(Inbound::text(Port::Callers, "GET / HTTP/1.1\r\nX-Long: ", "a"))]
#[case::head_lines(Inbound::text(Port::Callers, "GET / HTTP/1.1\r\n", "X-More: aaaaaaaaa\r\n"))]
#[case::no_protocol(Inbound::text(Port::Callers, "", "no request at all. "))]
#[case::empty_lines(Inbound::text(Port::Callers, "", "\r\n"))]
#[case::chunks(Inbound::text(Port::Callers, &format!("{REQUEST}Transfer-Encoding: chunked\r\n\r\n"), "2\r\naa\r\n"))]
#[case::chunk_extension(Inbound::text(Port::Callers, &format!("{REQUEST}Transfer-Encoding: chunked\r\n\r\n4"), ";aaaaaaa"))]
#[case::trailers(Inbound::text(Port::Callers, &format!("{REQUEST}Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-More: aaaaaaaaa\r\n"))]
#[case::requests_without_reading(Inbound::text(
    Port::Callers,
    "",
    "GET /lanes/read/1 HTTP/1.1\r\nHost: pool.example\r\n\r\n"
))]
#[case::ready_head(Inbound::text(Port::Ready, "GET / HTTP/1.1\r\n", "X-More: aaaaaaaaa\r\n"))]
#[case::ready_body(Inbound::text(
    Port::Ready,
    "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
    "a"
))]
#[case::ready_requests_without_reading(Inbound::text(
    Port::Ready,
    "",
    "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
))]
#[case::metrics_requests_without_reading(Inbound::text(
    Port::Metrics,
    "",
    "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
))]
#[case::peer_no_protocol(Inbound::text(Port::Peers, "", "no frame at all. "))]
#[case::peer_first_frame(Inbound::frame(Vec::new(), 8 << 20, 30))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_bytes_on_many_connections_use_little_memory(#[case] case: Inbound) {
    check_inbound(case).await;
}

#[rstest]
#[case::report(512 << 10, 300)]
#[case::longest_frame(8 << 20, 30)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_reports_of_followers_use_little_memory(
    #[case] length: u32,
    #[case] connections: usize,
) {
    let start = encoded(&subscribe()).await;
    check_inbound(Inbound::frame(start, length, connections)).await;
}

async fn check_inbound(case: Inbound) {
    let fleet = fleet(&lanes(), 1).await;
    let addr = case.port.addr(&fleet.entries[0]);
    let ends_at = Instant::now() + DURATION;
    let repeated = case
        .repeated
        .repeat((PART_BYTES / case.repeated.len()).max(1));
    let senders = (0..case.connections).map(|_| {
        tokio::spawn(Inbound::send(
            addr,
            case.start.clone(),
            repeated.clone(),
            ends_at,
        ))
    });
    for sender in senders.collect::<Vec<_>>() {
        sender.await.expect("the sender does not panic");
    }
    check_memory(&fleet);
    let response = expect_response(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(response.status, StatusCode::OK);
}

/// What an entry sends that is followed.
#[derive(Clone, Copy, Debug)]
enum SourceBytes {
    /// Bytes of another protocol.
    NoProtocol,
    /// A frame of the greatest length, of which each byte comes.
    LongFrame,
    /// Reports, which no source sends.
    Reports,
}

/// An entry followed a source that sent frames without end and never its status, and had no bundle.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn source_that_sends_no_status_is_left_and_uses_little_memory(
    #[values(SourceBytes::NoProtocol, SourceBytes::LongFrame, SourceBytes::Reports)]
    bytes: SourceBytes,
) {
    let repeated = match bytes {
        SourceBytes::NoProtocol => b"no frame at all. ".repeat(1000),
        SourceBytes::LongFrame => [&(8_u32 << 20).to_be_bytes()[..], &vec![0; 8 << 20]].concat(),
        SourceBytes::Reports => {
            let update = CountsUpdate {
                is_full: true,
                counts: Counts {
                    entry_count: 1,
                    ..Counts::default()
                },
                ..CountsUpdate::default()
            };
            let report = Report {
                version: EXTENSION_VERSION,
                update,
            };
            encoded(&report).await.repeat(1000)
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let seed = listener.local_addr().expect("an address");
    let serve = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let repeated = repeated.clone();
            tokio::spawn(async move { while stream.write_all(&repeated).await.is_ok() {} });
        }
    });
    let mut fleet = fleet(&lanes(), 0).await;
    fleet.store.set_fault(StoreFault::Reset);
    fleet
        .add_entry_with_seeds("entry-0", "north-a", vec![seed])
        .expect("the entry starts");
    tokio::time::sleep(DURATION).await;
    check_memory(&fleet);
    fleet.store.set_fault(StoreFault::None);
    fleet.store.put_bundle(&bundle(2, &[lanes()]));
    serve.abort();
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("the entry follows the store again");
}
