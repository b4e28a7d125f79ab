//! Stand-in for a target, with slots, a queue, load reports, signed responses and faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lacewingmoor_platform::headers;
use tokio::sync::Semaphore;

use crate::http_server::{HandlerResult, Server, connection_aborted, read_body, respond};

/// Path of the health endpoint.
pub const HEALTH_PATH: &str = "/health";

/// Fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetFault {
    /// Runs requests and responds.
    #[default]
    None,
    /// Runs requests and closes connections without a response.
    LoseResponses,
    /// Rejects requests and declares that they were not run.
    Reject,
    /// Runs requests and responds with status 500.
    InternalError,
    /// Runs requests and responds with status 503, without a signature and without declaring
    /// whether the request was run.
    Unavailable,
    /// Runs requests and responds without a signature.
    Unsigned,
    /// Runs requests and responds with another request id.
    WrongId,
    /// Starts requests and never responds.
    Hang,
}

/// Properties of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Registration id.
    pub id: String,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Time that it takes to run a request.
    pub service_time: Duration,
    /// True if it reports its load.
    pub reports_load: bool,
    /// Size of a response body in bytes.
    pub response_bytes: usize,
}

/// A request that a target started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Request id.
    pub request_id: String,
    /// Time left until the caller times out, as stated in the request.
    pub caller_timeout: Option<Duration>,
    /// Header fields of the request.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
}

/// A request that reached a target, whether it ran or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Request id.
    pub request_id: String,
    /// Time at which the request arrived.
    pub at: Instant,
    /// True if the response says that the target leaves.
    pub leaving: bool,
    /// True if the response is a rejection that names when to come back.
    pub declined: bool,
}

/// Responses in which a target names its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitScope {
    /// All responses, also those to probes.
    AllResponses,
    /// Responses to requests only.
    Requests,
}

#[derive(Default)]
struct Inner {
    fault: TargetFault,
    healthy: bool,
    load_reports_stopped: bool,
    cold_until: Option<Instant>,
    limit: Option<(HeaderValue, LimitScope)>,
    leaving: bool,
    retry_after: Vec<HeaderValue>,
    arrivals: Vec<Arrival>,
    limit_told: Vec<(String, Instant)>,
    running: u32,
    queued: u32,
    max_running: u32,
    runs: Vec<Run>,
    probe_count: u64,
    cancelled_count: u64,
}

struct Shared {
    settings: TargetSettings,
    slots: Semaphore,
    inner: Mutex<Inner>,
}

/// A running target. Dropping it closes the listener and every connection.
pub struct TargetStandin {
    server: Server,
    shared: Arc<Shared>,
}

impl TargetStandin {
    /// Starts a target on `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(addr: SocketAddr, settings: TargetSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            slots: Semaphore::new(settings.slots as usize),
            settings,
            inner: Mutex::new(Inner {
                healthy: true,
                ..Inner::default()
            }),
        });
        let state = shared.clone();
        let server = Server::start(addr, move |request| handle(state.clone(), request)).await?;
        Ok(Self { server, shared })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the fault of requests that arrive from now on; probes are not affected.
    pub fn set_fault(&self, fault: TargetFault) {
        self.shared.lock().fault = fault;
    }

    /// Sets whether the target reports itself healthy to probes.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.lock().healthy = healthy;
    }

    /// Makes the target cold for a while, which its health responses say. Its registration does not change.
    pub fn set_cold(&self, duration: Duration) {
        self.shared.lock().cold_until = Some(Instant::now() + duration);
    }

    /// Stops load reports: no response from now on has one.
    pub fn stop_load_reports(&self) {
        self.shared.lock().load_reports_stopped = true;
    }

    /// Sets the limit that the target names in its responses from now on, as text, or that it names
    /// none.
    ///
    /// # Panics
    ///
    /// Panics if the text is not valid in a header field.
    pub fn set_limit(&self, limit: Option<(&str, LimitScope)>) {
        let limit = limit.map(|(text, scope)| {
            let value = HeaderValue::from_str(text).expect("valid in a header field");
            (value, scope)
        });
        self.shared.lock().limit = limit;
    }

    /// Sets whether all responses from now on say that the target leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Makes the target reject requests from now on and name when to come back, in one field for each
    /// text; none ends it.
    ///
    /// # Panics
    ///
    /// Panics if a text is not valid in a header field.
    pub fn set_retry_after(&self, texts: &[&str]) {
        let value = |text: &&str| HeaderValue::from_str(text).expect("valid in a header field");
        self.shared.lock().retry_after = texts.iter().map(value).collect();
    }

    /// Returns the ids of requests whose response named the limit and could be used, with the times at which
    /// these were sent.
    pub fn limit_told(&self) -> Vec<(String, Instant)> {
        self.shared.lock().limit_told.clone()
    }

    /// Returns the requests that reached the target, in that order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns the requests that the target started to run, in that order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns the highest number of requests that ran concurrently.
    pub fn max_running(&self) -> u32 {
        self.shared.lock().max_running
    }

    /// Returns the number of probes received so far.
    pub fn probe_count(&self) -> u64 {
        self.shared.lock().probe_count
    }

    /// Returns the number of running requests whose connection was closed before they finished.
    pub fn cancelled_count(&self) -> u64 {
        self.shared.lock().cancelled_count
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }

    /// Closes the listener and every connection.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn add_load(&self, response: &mut Response<Full<Bytes>>) {
        let inner = self.lock();
        if !self.settings.reports_load || inner.load_reports_stopped {
            return;
        }
        // The last number is the slowdown in percent; 100 is normal speed.
        let load = format!(
            "{},{},{},100",
            inner.running, inner.queued, self.settings.slots
        );
        let value = HeaderValue::from_str(&load).expect("digits and commas are valid in a header");
        response.headers_mut().insert(headers::SERVER_LOAD, value);
    }

    fn record_limit_told(&self, request_id: &str) {
        let mut inner = self.lock();
        if inner.limit.is_some() {
            inner
                .limit_told
                .push((request_id.to_owned(), Instant::now()));
        }
    }

    fn add_limit(&self, response: &mut Response<Full<Bytes>>, is_probe: bool) {
        let limit = self.lock().limit.clone();
        if let Some((value, scope)) = limit
            && (!is_probe || scope == LimitScope::AllResponses)
        {
            response.headers_mut().insert(headers::SERVER_LIMIT, value);
        }
    }
}

/// Holds the slot of a running request. A guard that is dropped before the request has finished
/// counts it as cancelled.
struct RunGuard {
    shared: Arc<Shared>,
    finished: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.slots.add_permits(1);
        let mut inner = self.shared.lock();
        inner.running -= 1;
        inner.cancelled_count += u64::from(!self.finished);
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let mut response = respond_to(&shared, request).await?;
    if shared.lock().leaving {
        let fields = response.headers_mut();
        fields.insert(headers::SERVER_LEAVING, HeaderValue::from_static("1"));
    }
    Ok(response)
}

async fn respond_to(shared: &Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    if request.uri().path() == HEALTH_PATH {
        return Ok(health(shared));
    }
    let (head, body) = request.into_parts();
    let expected = head.headers.get(headers::EXPECT_INSTANCE);
    if expected.is_some_and(|id| id.as_bytes() != shared.settings.id.as_bytes()) {
        let mut response = respond(StatusCode::MISDIRECTED_REQUEST, "");
        echo_request_id(&head.headers, &mut response);
        return Ok(response);
    }
    let body = read_body(body).await?;
    let run = Run {
        request_id: headers::request_id(&head.headers)
            .unwrap_or_default()
            .to_owned(),
        caller_timeout: headers::caller_timeout(&head.headers),
        headers: head.headers.clone(),
        body,
        arrived_at: Instant::now(),
    };
    let (fault, retry_after) = {
        let mut inner = shared.lock();
        let arrival = Arrival {
            request_id: run.request_id.clone(),
            at: run.arrived_at,
            leaving: inner.leaving,
            declined: !inner.retry_after.is_empty(),
        };
        inner.arrivals.push(arrival);
        (inner.fault, inner.retry_after.clone())
    };
    if fault == TargetFault::Reject || !retry_after.is_empty() {
        let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "");
        let not_executed = HeaderValue::from_static("1");
        response
            .headers_mut()
            .insert(headers::NOT_EXECUTED, not_executed);
        for value in retry_after {
            response.headers_mut().append(RETRY_AFTER, value);
        }
        echo_request_id(&head.headers, &mut response);
        shared.add_limit(&mut response, false);
        shared.record_limit_told(&run.request_id);
        return Ok(response);
    }
    let request_id = run.request_id.clone();
    let mut running = start(shared, run).await;
    if fault == TargetFault::Hang {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(shared.settings.service_time).await;
    let response = finish(shared, fault, &request_id);
    running.finished = true;
    response
}

fn echo_request_id(request: &HeaderMap, response: &mut Response<Full<Bytes>>) {
    if let Some(id) = request.get(headers::ATTEMPT_ID) {
        let fields = response.headers_mut();
        fields.insert(headers::ATTEMPT_ID, id.clone());
    }
}

async fn start(shared: &Arc<Shared>, run: Run) -> RunGuard {
    shared.lock().queued += 1;
    let permit = shared.slots.acquire().await;
    permit.expect("the semaphore is never closed").forget();
    let mut inner = shared.lock();
    inner.queued -= 1;
    inner.running += 1;
    inner.max_running = inner.max_running.max(inner.running);
    inner.runs.push(run);
    RunGuard {
        shared: shared.clone(),
        finished: false,
    }
}

fn finish(shared: &Arc<Shared>, fault: TargetFault, request_id: &str) -> HandlerResult {
    let status = match fault {
        TargetFault::LoseResponses => return Err(connection_aborted()),
        TargetFault::InternalError => StatusCode::INTERNAL_SERVER_ERROR,
        TargetFault::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    let mut response = respond(status, vec![b'x'; shared.settings.response_bytes]);
    let id = match fault {
        TargetFault::WrongId => "another",
        _ => request_id,
    };
    let fields = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        fields.insert(headers::ATTEMPT_ID, id);
    }
    if fault != TargetFault::Unsigned && fault != TargetFault::Unavailable {
        fields.insert(headers::SERVER_SEAL, HeaderValue::from_static("seal"));
    }
    shared.add_load(&mut response);
    shared.add_limit(&mut response, false);
    if fault != TargetFault::WrongId {
        shared.record_limit_told(request_id);
    }
    Ok(response)
}

fn health(shared: &Shared) -> Response<Full<Bytes>> {
    let status = {
        let mut inner = shared.lock();
        inner.probe_count += 1;
        match inner.healthy {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }
    };
    let mut response = respond(status, "");
    let fields = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&shared.settings.id) {
        fields.insert(headers::INSTANCE_ID, id);
    }
    let cold_until = shared.lock().cold_until;
    let cold_for = cold_until.map(|until| until.saturating_duration_since(Instant::now()));
    let warmup_ms = cold_for.map_or(0, |duration| duration.as_millis() as u64);
    fields.insert(headers::WARMUP_MS, warmup_ms.into());
    shared.add_load(&mut response);
    shared.add_limit(&mut response, true);
    response
}
