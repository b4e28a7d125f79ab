//! Stand-in of a target: slots, a queue, load reports, a signature and faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lacewingmoor_platform::headers;
use tokio::sync::Semaphore;

use crate::server::{Reply, Server, answer, cut, read_body};

/// Path of the health endpoint.
pub const HEALTH_PATH: &str = "/health";

/// How a target treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Answers.
    #[default]
    None,
    /// Runs requests and closes the connection without an answer.
    LosesAnswers,
    /// Declares that it does not run requests.
    Sheds,
    /// Answers 500.
    Errors,
    /// Answers 503 without stating whether the request has run.
    Busy,
    /// Answers without a signature.
    Unsigned,
    /// Answers with the id of another request.
    OtherId,
    /// Never answers.
    Hangs,
}

/// A target's properties.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Registration id.
    pub id: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Whether it reports its load.
    pub reports_load: bool,
    /// Bytes of an answer.
    pub answer_bytes: usize,
}

/// A request that a target ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the request.
    pub request_id: String,
    /// Deadline that came with it.
    pub deadline: Option<Duration>,
    /// Body that came with it.
    pub body: Bytes,
}

#[derive(Default)]
struct Inner {
    fault: Fault,
    healthy: bool,
    hides_load: bool,
    running: u32,
    waiting: u32,
    most_running: u32,
    runs: Vec<Run>,
    probes: u64,
    cancelled: u64,
}

struct Shared {
    settings: Settings,
    slots: Semaphore,
    inner: Mutex<Inner>,
}

/// A running target.
pub struct TargetStandin {
    server: Server,
    shared: Arc<Shared>,
}

impl TargetStandin {
    /// Starts a target on `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr, settings: Settings) -> io::Result<Self> {
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

    /// Sets how requests are treated.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Sets what health checks say.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.lock().healthy = healthy;
    }

    /// Makes a target that reports its load leave the report out.
    pub fn hide_load(&self) {
        self.shared.lock().hides_load = true;
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns the highest number of requests that ran at a time.
    pub fn most_running(&self) -> u32 {
        self.shared.lock().most_running
    }

    /// Returns the number of health checks.
    pub fn probes(&self) -> u64 {
        self.shared.lock().probes
    }

    /// Returns the number of requests whose sender went away.
    pub fn cancelled(&self) -> u64 {
        self.shared.lock().cancelled
    }

    /// Stops serving; connections are closed.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    fn add_load(&self, response: &mut Response<Full<Bytes>>) {
        let inner = self.lock();
        if !self.settings.reports_load || inner.hides_load {
            return;
        }
        let load = format!(
            "{},{},{},100",
            inner.running, inner.waiting, self.settings.slots
        );
        let value = HeaderValue::from_str(&load).expect("digits and commas are valid");
        response.headers_mut().insert(headers::SERVER_LOAD, value);
    }
}

/// Counts a running request; a dropped one was cancelled.
struct Running {
    shared: Arc<Shared>,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.slots.add_permits(1);
        let mut inner = self.shared.lock();
        inner.running -= 1;
        inner.cancelled += u64::from(!self.done);
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    if request.uri().path() == HEALTH_PATH {
        return Ok(health(&shared));
    }
    let (head, body) = request.into_parts();
    let expected = head.headers.get(headers::EXPECT_INSTANCE);
    if expected.is_some_and(|id| id.as_bytes() != shared.settings.id.as_bytes()) {
        return Ok(answer(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    let body = read_body(body).await?;
    let run = Run {
        request_id: headers::request_id(&head.headers)
            .unwrap_or_default()
            .to_owned(),
        deadline: headers::deadline(&head.headers),
        body,
    };
    let fault = shared.lock().fault;
    if fault == Fault::Sheds {
        let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "");
        let stated = HeaderValue::from_static("1");
        response.headers_mut().insert(headers::NOT_EXECUTED, stated);
        return Ok(response);
    }
    let request_id = run.request_id.clone();
    let mut running = start(&shared, run).await;
    if fault == Fault::Hangs {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(shared.settings.work).await;
    let response = finish(&shared, fault, &request_id);
    running.done = true;
    response
}

async fn start(shared: &Arc<Shared>, run: Run) -> Running {
    shared.lock().waiting += 1;
    let permit = shared.slots.acquire().await;
    permit.expect("the semaphore is never closed").forget();
    let mut inner = shared.lock();
    inner.waiting -= 1;
    inner.running += 1;
    inner.most_running = inner.most_running.max(inner.running);
    inner.runs.push(run);
    Running {
        shared: shared.clone(),
        done: false,
    }
}

fn finish(shared: &Arc<Shared>, fault: Fault, request_id: &str) -> Reply {
    let status = match fault {
        Fault::LosesAnswers => return Err(cut()),
        Fault::Errors => StatusCode::INTERNAL_SERVER_ERROR,
        Fault::Busy => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    let mut response = answer(status, vec![b'x'; shared.settings.answer_bytes]);
    let id = match fault {
        Fault::OtherId => "another",
        _ => request_id,
    };
    let fields = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        fields.insert(headers::ATTEMPT_ID, id);
    }
    if fault != Fault::Unsigned && fault != Fault::Busy {
        fields.insert(headers::SERVER_SEAL, HeaderValue::from_static("seal"));
    }
    shared.add_load(&mut response);
    Ok(response)
}

fn health(shared: &Shared) -> Response<Full<Bytes>> {
    let status = {
        let mut inner = shared.lock();
        inner.probes += 1;
        match inner.healthy {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }
    };
    let mut response = answer(status, "");
    let fields = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&shared.settings.id) {
        fields.insert(headers::INSTANCE_ID, id);
    }
    fields.insert(headers::WARMUP_MS, HeaderValue::from_static("0"));
    shared.add_load(&mut response);
    response
}
