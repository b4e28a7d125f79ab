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
}

/// A running target. Dropping it closes the listener.
pub struct RawTarget {
    addr: SocketAddr,
    accept_task: tokio::task::JoinHandle<()>,
    request_count: Arc<AtomicU64>,
    script: Arc<Mutex<Script>>,
}

impl RawTarget {
    /// Starts a target with registration id `id` on `addr`. It answers probes as a healthy target
    /// does.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(addr: SocketAddr, id: &str, script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let request_count = Arc::new(AtomicU64::new(0));
        let script = Arc::new(Mutex::new(script));
        let (count, current, id) = (request_count.clone(), script.clone(), id.to_owned());
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (count, current, id) = (count.clone(), current.clone(), id.clone());
                // An error means that the other end has closed the connection.
                tokio::spawn(async move { serve(stream, &id, &current, &count).await.ok() });
            }
        });
        Ok(Self {
            addr,
            accept_task,
            request_count,
            script,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of requests received so far, without probes.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Replaces the script for requests that arrive from now on.
    ///
    /// # Panics
    ///
    /// Panics if a connection task panicked while it read the script.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().expect("no task panics with the lock") = script;
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    id: &str,
    script: &Mutex<Script>,
    request_count: &AtomicU64,
) -> io::Result<()> {
    let mut second_copy = None;
    loop {
        let head = read_head(&mut stream).await?;
        if let Some(copy) = second_copy.take() {
            let copy: String = copy;
            stream.write_all(copy.as_bytes()).await?;
        }
        if head.starts_with(&format!("GET {HEALTH_PATH} ")) {
            let response = format!(
                "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: 0,0,4,100\r\nContent-Length: 0\r\n\r\n",
                headers::INSTANCE_ID,
                headers::SERVER_LOAD,
            );
            stream.write_all(response.as_bytes()).await?;
            continue;
        }
        request_count.fetch_add(1, Ordering::Relaxed);
        let script = script.lock().expect("no task panics with the lock").clone();
        let fill_in = |text: &str| text.replace("{id}", request_id(&head));
        match script {
            Script::Once(text) => stream.write_all(fill_in(&text).as_bytes()).await?,
            Script::SecondCopy(text) => {
                let text = fill_in(&text);
                stream.write_all(text.as_bytes()).await?;
                second_copy = Some(text);
            }
            Script::Endless(text, repeated) => {
                stream.write_all(fill_in(&text).as_bytes()).await?;
                loop {
                    stream.write_all(repeated.as_bytes()).await?;
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
            }
        }
    }
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
