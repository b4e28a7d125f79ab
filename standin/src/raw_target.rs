//! Stand-in for a target that writes bytes as scripted, valid or not.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lacewingmoor_platform::headers;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::target::HEALTH_PATH;

/// Pause between two repetitions of endless bytes.
const REPEAT_PAUSE: Duration = Duration::from_micros(200);

/// Time between the last bytes and a reset.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Why the locks are never poisoned.
const NO_PANIC: &str = "no task panics with the lock";

/// What a target sends in response to a request; `{id}` stands for the id of the request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Sends these bytes and keeps the connection open.
    Once(String),
    /// Sends the first bytes, and then the second ones over and over until the connection is closed.
    Endless(String, &'static str),
    /// Sends these bytes, and once more when the next request arrives on the connection, before the
    /// response to that one.
    SecondCopy(String),
    /// Sends these bytes, and once more before the response to the next request on the connection,
    /// probes not counted.
    LateCopy(String),
    /// Sends these bytes and closes the connection.
    Close(String),
    /// Sends these bytes and resets the connection a moment later.
    Reset(String),
    /// Sends each of these bytes after its pause, and then follows the script.
    Paced(Vec<(Duration, String)>, Box<Script>),
    /// Follows the first script for the first request that it gets, and the second one from then on.
    Then(Box<Script>, Box<Script>),
    /// Sends nothing, not even in response to probes.
    Silent,
}

/// State that the connections of a target share, and those of all targets with the same script.
struct Shared {
    script: Mutex<Script>,
    load: Mutex<&'static str>,
    /// What probes get instead of a valid response.
    probe_script: Mutex<Option<Script>>,
    request_count: AtomicU64,
    open_requests: AtomicU64,
}

/// A running target. Dropping it closes the listener.
pub struct RawTarget {
    addr: SocketAddr,
    accept_task: tokio::task::JoinHandle<()>,
    shared: Arc<Shared>,
}

impl RawTarget {
    /// Starts a target with registration id `id` on `addr`. It answers probes as a healthy target
    /// does.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(addr: SocketAddr, id: &str, script: Script) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            script: Mutex::new(script),
            load: Mutex::new("0,0,4,100"),
            probe_script: Mutex::default(),
            request_count: AtomicU64::new(0),
            open_requests: AtomicU64::new(0),
        });
        Self::start_sharing(addr, id, shared).await
    }

    /// Starts another target that shares script, load and counts with this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_another(&self, addr: SocketAddr, id: &str) -> io::Result<Self> {
        Self::start_sharing(addr, id, self.shared.clone()).await
    }

    async fn start_sharing(addr: SocketAddr, id: &str, shared: Arc<Shared>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (state, id) = (shared.clone(), id.to_owned());
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, id) = (state.clone(), id.clone());
                // An error means that the other end has closed the connection.
                tokio::spawn(async move { serve(stream, &id, &state).await.ok() });
            }
        });
        Ok(Self {
            addr,
            accept_task,
            shared,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of requests received so far, without probes.
    pub fn request_count(&self) -> u64 {
        self.shared.request_count.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose connection is open and has brought no further request.
    pub fn open_requests(&self) -> u64 {
        self.shared.open_requests.load(Ordering::Relaxed)
    }

    /// Replaces the script for requests that arrive from now on.
    ///
    /// # Panics
    ///
    /// Panics if a connection task panicked while it read the script.
    pub fn set_script(&self, script: Script) {
        *self.shared.script.lock().expect(NO_PANIC) = script;
    }

    /// Sets what probes get instead of a valid response.
    ///
    /// # Panics
    ///
    /// Panics if a connection task panicked while it read the script.
    pub fn set_probe_script(&self, script: Option<Script>) {
        *self.shared.probe_script.lock().expect(NO_PANIC) = script;
    }

    /// Sets the load that the target reports to probes, in the form of the header field; none if it is
    /// empty.
    ///
    /// # Panics
    ///
    /// Panics if a connection task panicked while it read the load.
    pub fn set_load(&self, load: &'static str) {
        *self.shared.load.lock().expect(NO_PANIC) = load;
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Counts a request as open until dropped.
struct OpenRequest<'a>(&'a Shared);

impl<'a> OpenRequest<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.request_count.fetch_add(1, Ordering::Relaxed);
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the script for the next request.
fn next_script(shared: &Shared) -> Script {
    let mut script = shared.script.lock().expect(NO_PANIC);
    match script.clone() {
        Script::Then(first, rest) => {
            *script = *rest;
            *first
        }
        other => other,
    }
}

/// What a connection still has to send, of the scripts that it has followed.
#[derive(Default)]
struct Copies {
    /// Before the response to the next request or probe.
    second: Option<String>,
    /// Before the response to the next request.
    late: Option<String>,
}

async fn serve(mut stream: TcpStream, id: &str, shared: &Shared) -> io::Result<()> {
    let mut copies = Copies::default();
    let mut _open_request = None;
    loop {
        let head = read_head(&mut stream).await?;
        if let Some(copy) = copies.second.take() {
            stream.write_all(copy.as_bytes()).await?;
        }
        let is_silent = matches!(*shared.script.lock().expect(NO_PANIC), Script::Silent);
        let script = if !head.starts_with(&format!("GET {HEALTH_PATH} ")) {
            _open_request = Some(OpenRequest::new(shared));
            if let Some(copy) = copies.late.take() {
                stream.write_all(copy.as_bytes()).await?;
            }
            next_script(shared)
        } else if is_silent {
            Script::Silent
        } else {
            let probe_script = shared.probe_script.lock().expect(NO_PANIC).clone();
            probe_script.unwrap_or_else(|| Script::Once(health_response(id, shared)))
        };
        if !follow(&mut stream, script, request_id(&head), &mut copies).await? {
            return Ok(());
        }
    }
}

fn health_response(id: &str, shared: &Shared) -> String {
    let load = match *shared.load.lock().expect(NO_PANIC) {
        "" => String::new(),
        load => format!("{}: {load}\r\n", headers::SERVER_LOAD),
    };
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{load}Content-Length: 0\r\n\r\n",
        headers::INSTANCE_ID,
    )
}

/// Sends what the script says in response to the request with this id. Returns false if the connection ends
/// then.
async fn follow(
    stream: &mut TcpStream,
    mut script: Script,
    request_id: &str,
    copies: &mut Copies,
) -> io::Result<bool> {
    let fill_in = |text: &str| text.replace("{id}", request_id);
    while let Script::Paced(parts, rest) = script {
        for (pause, text) in parts {
            tokio::time::sleep(pause).await;
            stream.write_all(fill_in(&text).as_bytes()).await?;
        }
        script = *rest;
    }
    match script {
        Script::Once(text) => stream.write_all(fill_in(&text).as_bytes()).await?,
        Script::SecondCopy(text) => {
            let text = fill_in(&text);
            stream.write_all(text.as_bytes()).await?;
            copies.second = Some(text);
        }
        Script::Endless(text, repeated) => {
            stream.write_all(fill_in(&text).as_bytes()).await?;
            loop {
                stream.write_all(repeated.as_bytes()).await?;
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
        }
        Script::LateCopy(text) => {
            let text = fill_in(&text);
            stream.write_all(text.as_bytes()).await?;
            copies.late = Some(text);
        }
        Script::Reset(text) => {
            stream.write_all(fill_in(&text).as_bytes()).await?;
            // What has been sent before is read first.
            tokio::time::sleep(RESET_DELAY).await;
            stream.set_zero_linger()?;
            return Ok(false);
        }
        Script::Close(text) => {
            stream.write_all(fill_in(&text).as_bytes()).await?;
            stream.shutdown().await?;
            return Ok(false);
        }
        Script::Paced(..) | Script::Then(..) | Script::Silent => {}
    }
    Ok(true)
}

/// Reads a request without a body up to the end of its head.
async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn request_id(head: &str) -> &str {
    let line = head
        .lines()
        .find_map(|line| line.split_once(": ").filter(|(name, _)| is_id(name)));
    line.map_or("-", |(_, id)| id)
}

fn is_id(name: &str) -> bool {
    name.eq_ignore_ascii_case(headers::ATTEMPT_ID.as_str())
}
