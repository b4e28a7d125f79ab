//! The listening side of peer links: authenticates, takes messages and answers fetches.

use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream};
use http::{Request, Response};
use lacewingmoor_bundle::{Map, NodeId};
use lacewingmoor_control::{Event, Message};
use slog::{Logger, debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::bundle_sync::Library;
use crate::events::Events;
use crate::peer::{FETCH_TIMEOUT, Fetch, Fetched, HANDSHAKE_TIMEOUT, Local, SESSION_PATH};
use crate::peer::{count, kind};
use crate::peer_auth::{Hello, Identity, Proof, Session};
use crate::peer_codec::{FRAME_BYTES_MAX, HANDSHAKE_BYTES_MAX};
use crate::peer_stream::{Error, Reader, Writer};

/// Connections that are being authenticated at a time; others are closed at once.
const HANDSHAKES_MAX: usize = 64;

/// Fetches that one peer may run at a time.
const FETCHES_MAX: u32 = 16;

/// Longest request head of a stream in bytes.
const HEAD_BYTES_MAX: u32 = 1024;

/// Time without a message after which a peer is gone; many heartbeat intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What connections of peers work with.
pub struct Listener {
    local: Local,
    library: Library,
    events: Arc<dyn Events>,
    log: Logger,
    sessions: Mutex<Sessions>,
}

#[derive(Default)]
struct Sessions {
    next: u64,
    /// Newest session of each peer; dropping the sender ends the session.
    current: Map<NodeId, (u64, Identity, oneshot::Sender<()>)>,
}

impl Listener {
    /// Creates a listener that answers fetches from `library`.
    pub fn new(local: Local, library: Library, events: Arc<dyn Events>, log: Logger) -> Self {
        Self {
            local,
            library,
            events,
            log,
            sessions: Mutex::default(),
        }
    }

    fn sessions(&self) -> std::sync::MutexGuard<'_, Sessions> {
        self.sessions.lock().expect("no holder of the lock panics")
    }

    /// Registers a session in place of an older one of the same node.
    fn begin(&self, peer: Identity) -> (Registered<'_>, oneshot::Receiver<()>) {
        let (end, ended) = oneshot::channel();
        let mut sessions = self.sessions();
        sessions.next += 1;
        let number = sessions.next;
        let older = sessions.current.insert(peer.node, (number, peer, end));
        if older.is_some_and(|(_, older, _)| older.incarnation != peer.incarnation) {
            info!(self.log, "peer restarted"; "peer" => format!("{:016x}", peer.node));
        }
        let registered = Registered {
            listener: self,
            peer,
            number,
        };
        (registered, ended)
    }
}

/// A session in [`Sessions`]. It is removed on drop, because a session also ends when its
/// connection does and its task is dropped.
struct Registered<'a> {
    listener: &'a Listener,
    peer: Identity,
    number: u64,
}

impl Drop for Registered<'_> {
    /// Tells the reducer, unless a newer session has taken this one's place.
    fn drop(&mut self) {
        let node = self.peer.node;
        let mut sessions = self.listener.sessions();
        let current = sessions.current.get(&node);
        if current.is_some_and(|(number, _, _)| *number == self.number) {
            sessions.current.remove(&node);
            self.listener.events.send(Event::PeerDown { node });
        }
    }
}

/// Accepts connections of peers until the task is aborted.
pub async fn listen(tcp: TcpListener, listener: Arc<Listener>) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = tcp.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Ok(permit) = handshakes.clone().try_acquire_owned() {
                    connections.spawn(connection(stream, listener.clone(), permit));
                }
            }
            Err(error) => {
                warn!(listener.log, "peer not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(tcp: TcpStream, listener: Arc<Listener>, permit: OwnedSemaphorePermit) {
    if let Err(error) = try_connection(tcp, &listener, permit).await {
        debug!(listener.log, "peer connection closed"; "error" => %error);
    }
}

async fn try_connection(
    tcp: TcpStream,
    listener: &Listener,
    permit: OwnedSemaphorePermit,
) -> Result<(), Error> {
    tcp.set_nodelay(true)?;
    let first = async {
        let mut connection: Connection<TcpStream, Bytes> = h2::server::Builder::new()
            .max_concurrent_streams(FETCHES_MAX + 1)
            .max_header_list_size(HEAD_BYTES_MAX)
            .handshake(tcp)
            .await?;
        let (request, respond) = connection.accept().await.ok_or(Error::Closed)??;
        Ok::<_, Error>((connection, request, respond))
    };
    let (connection, request, respond) = timeout(HANDSHAKE_TIMEOUT, first)
        .await
        .map_err(|_| Error::Timeout("handshake"))??;
    if request.uri().path() != SESSION_PATH {
        return Err(Error::Unauthenticated);
    }
    let session = OnceLock::new();
    tokio::select! {
        result = messages(listener, request, respond, &session, permit) => result,
        result = fetches(listener, connection, &session) => result,
    }
}

/// Authenticates the peer and passes on its messages.
async fn messages(
    listener: &Listener,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    session: &OnceLock<Session>,
    permit: OwnedSemaphorePermit,
) -> Result<(), Error> {
    let mut reader = Reader::new(request.into_body(), None);
    let handshake = handshake(listener, &mut reader, respond);
    // The writer stays open, because the end of the answer would look like a lost session.
    let (authenticated, _writer) = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| Error::Timeout("handshake"))??;
    drop(permit);
    reader.authenticate(authenticated.dialler.clone());
    let peer = authenticated.peer;
    let _ = session.set(authenticated);
    let (_registered, replaced) = listener.begin(peer);
    tokio::select! {
        error = receive(listener, peer, &mut reader) => Err(error),
        _ = replaced => Ok(()),
    }
}

async fn handshake(
    listener: &Listener,
    reader: &mut Reader,
    mut respond: SendResponse<Bytes>,
) -> Result<(Session, Writer), Error> {
    let (hello, _): (Hello, _) = reader.next(HANDSHAKE_BYTES_MAX).await?;
    let local = &listener.local;
    let (welcome, transcript) = local
        .fleet_key
        .welcome(local.own, hello)
        .ok_or(Error::Unauthenticated)?;
    let stream = respond.send_response(Response::new(()), false)?;
    let mut writer = Writer::new(stream, None);
    writer.write(&welcome).await?;
    let (proof, _): (Proof, _) = reader.next(HANDSHAKE_BYTES_MAX).await?;
    let session = local.fleet_key.accept(&transcript, &proof);
    Ok((session.ok_or(Error::Unauthenticated)?, writer))
}

async fn receive(listener: &Listener, peer: Identity, reader: &mut Reader) -> Error {
    loop {
        let next = timeout(IDLE_TIMEOUT, reader.next::<Message>(FRAME_BYTES_MAX));
        match next.await {
            Ok(Ok((message, bytes))) => {
                count("in", kind(&message), bytes);
                listener.events.send(Event::Peer {
                    from: peer.node,
                    incarnation: peer.incarnation,
                    message,
                });
            }
            Ok(Err(error)) => return error,
            Err(_) => return Error::Timeout("message"),
        }
    }
}

/// Drives the connection and answers fetches once the peer is authenticated.
async fn fetches(
    listener: &Listener,
    mut connection: Connection<TcpStream, Bytes>,
    session: &OnceLock<Session>,
) -> Result<(), Error> {
    let mut answers = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            Some(_) = answers.join_next() => continue,
        };
        let Some(accepted) = accepted else {
            return Err(Error::Closed);
        };
        let (request, mut respond) = accepted?;
        match session.get() {
            None => respond.send_reset(Reason::REFUSED_STREAM),
            Some(session) => {
                let (session, library) = (session.clone(), listener.library.clone());
                let answer = answer(session, library, request, respond);
                answers.spawn(async move { timeout(FETCH_TIMEOUT, answer).await });
            }
        }
    }
}

async fn answer(
    session: Session,
    library: Library,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), Error> {
    let mut reader = Reader::new(request.into_body(), Some(session.dialler));
    let (fetch, received) = reader.next(HANDSHAKE_BYTES_MAX).await?;
    count("in", "fetch", received);
    let found = match fetch {
        Fetch::Manifest => library.manifest(),
        Fetch::Part(digest) => library.part(&digest),
    };
    let stream = respond.send_response(Response::new(()), false)?;
    let mut writer = Writer::new(stream, Some(session.listener));
    let fetched = Fetched(found.map(|bytes| bytes.to_vec()));
    count("out", "fetched", writer.write(&fetched).await?);
    writer.finish()
}
