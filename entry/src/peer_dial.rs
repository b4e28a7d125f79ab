//! The dialling side of a peer link: connects, proves itself, sends messages and fetches.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use lacewingmoor_control::PeerAddr;
use rand::RngExt as _;
use rand::rngs::StdRng;
use slog::{Logger, debug, info};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::peer::{
    FETCH_PATH, Fetch, Fetched, HANDSHAKE_TIMEOUT, Local, SESSION_PATH, count, kind,
};
use crate::peer_auth::{Hello, Session, Welcome, nonce};
use crate::peer_codec::{FRAME_BYTES_MAX, FrameKey, HANDSHAKE_BYTES_MAX};
use crate::peer_queue::Queue;
use crate::peer_stream::{Error, Reader, Writer};

/// First pause before dialling again; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);

const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Time between the answer to one ping and the next ping.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which a ping must be answered. A peer that is frozen or gone is dialled again
/// instead of filling its connection with old messages.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Window for a part of the largest size, so that distance does not slow down its fetch.
const WINDOW_BYTES: u32 = 1 << 20;

/// What the task of one link works with.
pub struct Dialler {
    /// This entry.
    pub local: Local,
    /// The peer.
    pub peer: PeerAddr,
    /// Messages to send.
    pub queue: Arc<Queue>,
    /// Set while there is a session.
    pub open: Arc<Mutex<Option<Open>>>,
    /// Log.
    pub log: Logger,
}

/// An authenticated connection, for fetches.
#[derive(Clone)]
pub struct Open {
    requests: SendRequest<Bytes>,
    session: Session,
}

impl Open {
    /// Fetches a manifest or part on a stream of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream or connection fails or the answer is not authentic.
    pub async fn fetch(&self, fetch: &Fetch) -> Result<Fetched, Error> {
        let key = Some(self.session.dialler.clone());
        let mut stream = Stream::open(self.requests.clone(), FETCH_PATH, key).await?;
        let sent = stream.writer.write(fetch).await?;
        stream.writer.finish()?;
        count("out", "fetch", sent);
        let mut reader = stream.answer(Some(self.session.listener.clone())).await?;
        let (fetched, received) = reader.next(FRAME_BYTES_MAX).await?;
        count("in", "fetched", received);
        Ok(fetched)
    }
}

struct Stream {
    writer: Writer,
    response: h2::client::ResponseFuture,
}

impl Stream {
    async fn open(
        requests: SendRequest<Bytes>,
        path: &'static str,
        key: Option<FrameKey>,
    ) -> Result<Self, Error> {
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(path);
        let mut requests = requests.ready().await?;
        let (response, stream) = requests.send_request(request, false)?;
        Ok(Self {
            writer: Writer::new(stream, key),
            response,
        })
    }

    async fn answer(self, key: Option<FrameKey>) -> Result<Reader, Error> {
        let (_, response) = (self.writer, self.response.await?);
        match response.status() {
            StatusCode::OK => Ok(Reader::new(response.into_body(), key)),
            status => Err(Error::Status(status)),
        }
    }
}

/// Keeps the link up until the task is aborted.
pub async fn run(dialler: Dialler, mut rng: StdRng) {
    let mut pause = PAUSE_MIN;
    let peer = format!("{:016x}", dialler.peer.node);
    loop {
        let error = match connect(&dialler).await {
            Ok(connected) => {
                pause = PAUSE_MIN;
                info!(dialler.log, "peer connected"; "peer" => &peer);
                serve(&dialler, connected).await
            }
            Err(error) => error,
        };
        debug!(dialler.log, "peer link down"; "peer" => &peer, "error" => %error);
        sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

struct Connected {
    writer: Writer,
    open: Open,
    driver: Driver,
}

type H2Connection = h2::client::Connection<TcpStream, Bytes>;

/// Drives a connection; dropping it closes the connection.
struct Driver(tokio::task::JoinHandle<Result<(), h2::Error>>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn connect(dialler: &Dialler) -> Result<Connected, Error> {
    timeout(HANDSHAKE_TIMEOUT, handshake(dialler))
        .await
        .map_err(|_| Error::Timeout("handshake"))?
}

async fn handshake(dialler: &Dialler) -> Result<Connected, Error> {
    let tcp = TcpStream::connect(dialler.peer.addr).await?;
    tcp.set_nodelay(true)?;
    let (requests, mut connection): (_, H2Connection) = h2::client::Builder::new()
        .enable_push(false)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(2 * WINDOW_BYTES)
        .handshake(tcp)
        .await?;
    let ping = connection.ping_pong();
    let driver = Driver(tokio::spawn(async move {
        match ping {
            Some(ping) => drive(connection, ping).await,
            None => connection.await,
        }
    }));
    let mut stream = Stream::open(requests.clone(), SESSION_PATH, None).await?;
    let hello = Hello {
        from: dialler.local.own,
        to: dialler.peer.node,
        nonce: nonce(),
    };
    stream.writer.write(&hello).await?;
    let Stream {
        mut writer,
        response,
    } = stream;
    let response = response.await?;
    let mut reader = Reader::new(response.into_body(), None);
    let (welcome, _): (Welcome, _) = reader.next(HANDSHAKE_BYTES_MAX).await?;
    let (proof, session) = dialler
        .local
        .fleet_key
        .prove(hello, &welcome)
        .ok_or(Error::Unauthenticated)?;
    writer.write(&proof).await?;
    writer.authenticate(session.dialler.clone());
    Ok(Connected {
        writer,
        open: Open { requests, session },
        driver,
    })
}

/// Runs the connection until it ends or a ping stays unanswered.
async fn drive(connection: H2Connection, mut ping: h2::PingPong) -> Result<(), h2::Error> {
    let pings = async {
        loop {
            sleep(PING_INTERVAL).await;
            let pong = timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await;
            match pong {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
                Err(_) => return Ok(()),
            }
        }
    };
    tokio::select! {
        result = connection => result,
        result = pings => result,
    }
}

/// Sends messages until the connection ends.
async fn serve(dialler: &Dialler, connected: Connected) -> Error {
    let Connected {
        mut writer,
        open,
        mut driver,
    } = connected;
    dialler.queue.reset();
    set_open(dialler, Some(open));
    let messages = async {
        loop {
            let message = dialler.queue.pop().await;
            match writer.write(&message).await {
                Ok(bytes) => count("out", kind(&message), bytes),
                Err(error) => return error,
            }
        }
    };
    let error = tokio::select! {
        error = messages => error,
        result = &mut driver.0 => match result {
            Ok(Err(error)) => Error::H2(error),
            _ => Error::Closed,
        },
    };
    set_open(dialler, None);
    error
}

fn set_open(dialler: &Dialler, open: Option<Open>) {
    *dialler.open.lock().expect("no holder of the lock panics") = open;
}
