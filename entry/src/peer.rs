//! Both ends of a feed between entries.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::source::SourceHealth;
use slog::{debug, info};
use tokio::net::{TcpListener, TcpStream};

use crate::peer_protocol::{self, Error, Message, STATUS_INTERVAL, SourceStatus, Subscribe};
use crate::shared_state::SharedState;
use crate::view_sync;

/// Time to open a connection to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a message after which a source counts as lost.
const SILENCE_MAX: Duration = Duration::from_millis(900);

/// Time that a follower may take to read a message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Follows another entry until it fails. `in_zone` tells that it is of the own zone.
pub async fn follow(shared: &Rc<SharedState>, addr: SocketAddr, in_zone: bool) -> Error {
    match try_follow(shared, addr, in_zone).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn try_follow(
    shared: &Rc<SharedState>,
    addr: SocketAddr,
    in_zone: bool,
) -> Result<Infallible, Error> {
    let connect = TcpStream::connect(addr);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| Error::Timeout("connect"))?
        .map_err(|e| Error::Io("connect", e))?;
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("connect", e))?;
    let subscribe = Subscribe {
        entry: shared.settings.node.clone(),
        after: shared.replica.borrow().revision(),
    };
    peer_protocol::write(&mut stream, &subscribe).await?;
    loop {
        let message = tokio::time::timeout(SILENCE_MAX, peer_protocol::read(&mut stream))
            .await
            .map_err(|_| Error::Timeout("read"))??;
        match message {
            Message::Update(update) => view_sync::apply_update(shared, update),
            Message::Status(status) => check(shared, status, in_zone)?,
        }
    }
}

/// Decides whether the source is still worth following.
fn check(shared: &SharedState, status: SourceStatus, in_zone: bool) -> Result<(), Error> {
    if status.path.contains(&shared.settings.node) {
        return Err(Error::Circular);
    }
    let state = SourceHealth {
        age: Duration::from_millis(status.age_ms),
        searching: Duration::from_millis(status.searching_ms),
    };
    if !state.is_usable(shared.reloadable().apply_deadline, in_zone) {
        return Err(Error::Stale(state));
    }
    let mut path = status.path;
    path.push(status.entry);
    shared.record_peer_source(path, state);
    if status.has_read_entries {
        shared.view.borrow_mut().mark_entries_read();
    }
    Ok(())
}

/// Serves followers.
pub async fn serve(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = feed_one(&shared, stream).await {
                        debug!(shared.log, "follower_lost"; "cause" => %error);
                    }
                });
            }
            Err(error) => {
                slog::warn!(shared.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn feed_one(shared: &Rc<SharedState>, mut stream: TcpStream) -> Result<(), Error> {
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("accept", e))?;
    let subscribe: Subscribe = tokio::time::timeout(SILENCE_MAX, peer_protocol::read(&mut stream))
        .await
        .map_err(|_| Error::Timeout("subscribe"))??;
    info!(shared.log, "follower"; "entry" => subscribe.entry, "after" => subscribe.after);
    let mut after = subscribe.after;
    let mut news = shared.subscribe_updates();
    loop {
        news.mark_unchanged();
        let update = shared.replica.borrow().update_since(after);
        if !update.records.is_empty() {
            after = update.revision;
            write(&mut stream, &Message::Update(update)).await?;
        }
        let status = SourceStatus {
            age_ms: shared.view_age().as_millis() as u64,
            searching_ms: shared.searching().as_millis() as u64,
            entry: shared.settings.node.clone(),
            path: shared.source_path.borrow().clone(),
            has_read_entries: shared.view.borrow().has_read_entries(),
        };
        write(&mut stream, &Message::Status(status)).await?;
        // Ends with the interval or with news.
        let _ = tokio::time::timeout(STATUS_INTERVAL, news.changed()).await;
    }
}

async fn write(stream: &mut TcpStream, message: &Message) -> Result<(), Error> {
    tokio::time::timeout(WRITE_TIMEOUT, peer_protocol::write(stream, message))
        .await
        .map_err(|_| Error::Timeout("write"))?
}
