//! Guards against requests that get no response in time, whatever they wait for: each state of a request
//! against each event that ends it, with real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{EVENT_TIMEOUT, fleet_with_raw_target, lanes, register_raw, until};
use lacewingmoor_standin::fleet::{self, Fleet, HOST};
use lacewingmoor_standin::raw_target::{RawTarget, Script};
use rstest::rstest;
use socket2::{Domain, SockAddr, Socket, Type};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Timeout that ends the request, of the route or of the caller; the other one is [`LONG_TIMEOUT`].
const SHORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout that ends no request of these tests.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after its route's timeout by which a request must have its response.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Time after its caller has left by which no target may be at work on a request.
const LEAVE_SLACK: Duration = Duration::from_millis(500);

/// Grace period of the entries.
const GRACE: Duration = Duration::from_secs(6);

const SUCCESS_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\
     X-Lacewingmoor-Server-Seal: seal\r\n";

/// Length of the body in [`State::Streaming`], more than is read before the head is forwarded.
const STREAMED_BYTES: usize = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The caller has sent a part of the request's body.
    BodyComingIn,
    /// All targets are full.
    Queued,
    /// No target accepts connections.
    Connecting,
    /// Targets accept connections and answer no probe.
    Probing,
    /// A target has the request and sends nothing.
    Sent,
    /// A target has sent a part of its response's head.
    HeadPart,
    /// A target has sent a part of its response's body.
    BodyPart,
    /// A first target has broken off, a second one sends nothing.
    Retried,
    /// Two targets have the request and send nothing.
    Hedged,
    /// A target has sent a part of a body of which the caller gets what has arrived.
    Streaming,
}

impl State {
    fn script(self) -> Script {
        match self {
            State::BodyComingIn | State::Queued | State::Sent | State::Hedged => {
                Script::Once(String::new())
            }
            State::Connecting | State::Probing => Script::Silent,
            State::HeadPart => Script::Once("HTTP/1.1 200 OK\r\nX-Lacew".into()),
            State::BodyPart => Script::Once(format!("{SUCCESS_HEAD}Content-Length: 10\r\n\r\nabc")),
            State::Retried => Script::Then(
                Box::new(Script::Close(String::new())),
                Box::new(Script::Once(String::new())),
            ),
            State::Streaming => Script::Once(format!(
                "{SUCCESS_HEAD}Content-Length: {STREAMED_BYTES}\r\n\r\n{}",
                "a".repeat(STREAMED_BYTES / 2)
            )),
        }
    }

    /// Returns the number of requests that targets get.
    fn sends(self) -> u64 {
        match self {
            State::BodyComingIn | State::Queued | State::Connecting | State::Probing => 0,
            State::Sent | State::HeadPart | State::BodyPart | State::Streaming => 1,
            State::Retried | State::Hedged => 2,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    RouteTimeout,
    CallerTimeout,
    CallerLeaves,
    Stop,
}

impl Event {
    fn route_timeout(self) -> Duration {
        match self {
            Event::RouteTimeout => SHORT_TIMEOUT,
            Event::CallerTimeout | Event::CallerLeaves | Event::Stop => LONG_TIMEOUT,
        }
    }

    fn caller_timeout(self) -> Duration {
        match self {
            Event::CallerTimeout => SHORT_TIMEOUT,
            Event::RouteTimeout | Event::CallerLeaves | Event::Stop => LONG_TIMEOUT,
        }
    }
}

/// A listener whose queue of new connections is full, so that further ones are not answered.
struct FullListener {
    addr: SocketAddr,
    _sockets: Vec<Socket>,
}

impl FullListener {
    fn new() -> std::io::Result<Self> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0))))?;
        listener.listen(0)?;
        let addr = listener.local_addr()?;
        let mut sockets = vec![listener];
        for _ in 0..4 {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // Reports that the connection is in progress.
            let _ = filler.connect(&addr);
            sockets.push(filler);
        }
        Ok(Self {
            addr: addr.as_socket().expect("an IPv4 address"),
            _sockets: sockets,
        })
    }
}

/// An entry and targets that hold a request in one state.
struct Setup {
    fleet: Fleet,
    target: RawTarget,
    _second: Option<RawTarget>,
    _full: Option<FullListener>,
}

impl Setup {
    async fn new(state: State, event: Event) -> Self {
        let (fleet, target) = fleet_with_raw_target(state.script()).await;
        let mut bundle = fleet::bundle(2, std::slice::from_ref(&lanes()));
        for route in &mut bundle.routes {
            route.timeout_ms = event.route_timeout().as_millis() as u64;
        }
        fleet.store.put_bundle(&bundle);
        let mut second = None;
        let mut full = None;
        match state {
            State::Queued => target.set_load("4,0,4,100"),
            State::Retried | State::Hedged => {
                let another = target
                    .start_another(([127, 0, 0, 1], 0).into(), "second")
                    .await;
                let another = another.expect("the target starts");
                register_raw(&fleet, "second", another.addr()).await;
                second = Some(another);
            }
            State::Connecting => {
                let listener = FullListener::new().expect("the listener starts");
                // Moves the only target to the address that does not answer.
                let mut registration = common::raw_registration("raw", listener.addr);
                registration.started_unix_ms = Some(2);
                fleet.store.put_target(&registration);
                until("the entry knows the address", async || {
                    fleet.entries[0].log_text().contains("change=Restarted")
                })
                .await;
                full = Some(listener);
            }
            _ => {}
        }
        until("the bundle is active", async || {
            let log = fleet.entries[0].log_text();
            log.contains("event=bundle_in_force version=2")
        })
        .await;
        Self {
            fleet,
            target,
            _second: second,
            _full: full,
        }
    }

    /// Sends a request and waits until it is in its state.
    async fn send(&self, state: State, event: Event) -> TcpStream {
        let (method, path) = match state {
            // Only these are sent twice.
            State::Retried | State::Hedged => ("GET", "/lanes/read/1"),
            _ => ("POST", "/lanes/write/1"),
        };
        let length = match state {
            State::BodyComingIn => 10,
            _ => 0,
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: r-1\r\n\
             X-Lacewingmoor-Deadline-Ms: {}\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{}",
            event.caller_timeout().as_millis(),
            &"abc"[..length.min(3)],
        );
        let stream = TcpStream::connect(self.fleet.entries[0].caller_addr).await;
        let mut stream = stream.expect("the entry accepts");
        let written = stream.write_all(head.as_bytes()).await;
        written.expect("the request is written");
        // Counted until the head of the response is forwarded.
        let in_flight = if state == State::Streaming { "0" } else { "1" };
        until("the request is in its state", async || {
            self.target.request_count() == state.sends() && self.in_flight().await == in_flight
        })
        .await;
        stream
    }

    /// Returns the number of requests in flight in the entry, as its metrics show it.
    async fn in_flight(&self) -> String {
        let addr = self.fleet.entries[0].metrics_addr;
        let Some((_, text)) = fleet::get(addr, "/metrics").await else {
            return String::new();
        };
        let value = |line: &str| {
            let value = line.strip_prefix("lacewingmoor_requests_in_flight ");
            value.map(ToOwned::to_owned)
        };
        text.lines().find_map(value).unwrap_or_default()
    }
}

/// What a caller has received when its connection ends.
struct Received {
    text: String,
    after: Duration,
}

impl Received {
    async fn read(mut stream: TcpStream, since: Instant) -> Self {
        let mut bytes = Vec::new();
        let read = tokio::time::timeout(EVENT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
        assert!(read.is_ok(), "the connection does not end");
        Self {
            text: String::from_utf8_lossy(&bytes).into_owned(),
            after: since.elapsed(),
        }
    }

    fn status(&self) -> &str {
        self.text.split(' ').nth(1).unwrap_or("none")
    }

    /// Checks that the response is complete and true.
    fn check(&self, state: State, event: Event, setup: &Setup) {
        let log = setup.fleet.entries[0].log_text();
        if state == State::Streaming {
            assert_eq!(self.status(), "200", "{log}");
            assert!(self.text.len() < STREAMED_BYTES, "the body is cut off");
            return;
        }
        let expected = match (state, event) {
            (State::BodyComingIn, Event::RouteTimeout | Event::CallerTimeout) => "408",
            (_, Event::Stop) if state.sends() > 0 => "502",
            _ if state.sends() > 0 => "504",
            _ => "503",
        };
        assert_eq!(self.status(), expected, "{log}");
        if expected == "503" {
            assert!(self.text.contains("retry-after: "), "{}", self.text);
        }
        assert_eq!(setup.target.request_count(), state.sends());
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_has_its_response_by_its_timeout(
    #[values(
        State::BodyComingIn,
        State::Queued,
        State::Connecting,
        State::Probing,
        State::Sent,
        State::HeadPart,
        State::BodyPart,
        State::Retried,
        State::Hedged,
        State::Streaming
    )]
    state: State,
    #[values(Event::RouteTimeout, Event::CallerTimeout)] event: Event,
) {
    let setup = Setup::new(state, event).await;
    let sent_at = Instant::now();
    let stream = setup.send(state, event).await;
    let received = Received::read(stream, sent_at).await;
    received.check(state, event, &setup);
    let limit = SHORT_TIMEOUT + RESPONSE_SLACK;
    assert!(received.after <= limit, "{:?}", received.after);
}

#[rstest]
#[case::body_coming_in(State::BodyComingIn)]
#[case::queued(State::Queued)]
#[case::connecting(State::Connecting)]
#[case::probing(State::Probing)]
#[case::sent(State::Sent)]
#[case::head_part(State::HeadPart)]
#[case::body_part(State::BodyPart)]
#[case::retried(State::Retried)]
#[case::hedged(State::Hedged)]
#[case::streaming(State::Streaming)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_has_its_response_before_a_stop_ends(#[case] state: State) {
    let mut setup = Setup::new(state, Event::Stop).await;
    let stream = setup.send(state, Event::Stop).await;
    let signalled_at = Instant::now();
    setup.fleet.entries[0].signal(libc::SIGTERM);
    let received = Received::read(stream, signalled_at).await;
    received.check(state, Event::Stop, &setup);
    assert!(received.after <= GRACE, "{:?}", received.after);
    if state.sends() > 0 {
        // A target that is at work is left to it until the last sixth of the grace period.
        assert!(received.after >= GRACE * 5 / 6, "{:?}", received.after);
    }
    assert!(setup.fleet.entries[0].wait(EVENT_TIMEOUT), "a clean exit");
    if state != State::Streaming {
        let log = setup.fleet.entries[0].log_text();
        assert!(log.contains("event=stopped in_flight=0"), "{log}");
    }
}

#[rstest]
#[case::body_coming_in(State::BodyComingIn)]
#[case::queued(State::Queued)]
#[case::connecting(State::Connecting)]
#[case::probing(State::Probing)]
#[case::sent(State::Sent)]
#[case::head_part(State::HeadPart)]
#[case::body_part(State::BodyPart)]
#[case::retried(State::Retried)]
#[case::hedged(State::Hedged)]
#[case::streaming(State::Streaming)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_works_on_a_request_whose_caller_has_left(#[case] state: State) {
    let setup = Setup::new(state, Event::CallerLeaves).await;
    let stream = setup.send(state, Event::CallerLeaves).await;
    drop(stream);
    tokio::time::sleep(LEAVE_SLACK).await;
    assert_eq!(setup.in_flight().await, "0");
    assert_eq!(setup.target.open_requests(), 0);
    // Those that would have been sent later are not.
    assert_eq!(setup.target.request_count(), state.sends());
}
