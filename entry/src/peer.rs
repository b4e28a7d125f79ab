//! Updates between entries: following another entry, and serving followers.

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

/// Timeout for opening a connection to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for the next message of a source, and for the first message of a follower: three status
/// intervals.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for writing a message to a follower.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Follows another entry until it fails or is not usable as a source. `same_zone` means that it is
/// in the same zone as this entry.
pub async fn follow(shared: &Rc<SharedState>, addr: SocketAddr, same_zone: bool) -> Error {
    match try_follow(shared, addr, same_zone).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn try_follow(
    shared: &Rc<SharedState>,
    addr: SocketAddr,
    same_zone: bool,
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
        entry: shared.settings.entry_name.clone(),
        after: shared.replica.borrow().revision(),
    };
    peer_protocol::write(&mut stream, &subscribe).await?;
    loop {
        let message = tokio::time::timeout(MESSAGE_TIMEOUT, peer_protocol::read(&mut stream))
            .await
            .map_err(|_| Error::Timeout("read"))??;
        match message {
            Message::Update(update) => view_sync::apply_update(shared, update),
            Message::Status(status) => apply_status(shared, status, same_zone)?,
        }
    }
}

/// Records the status of a source, or returns why the source is not usable.
fn apply_status(shared: &SharedState, status: SourceStatus, same_zone: bool) -> Result<(), Error> {
    if status.path.contains(&shared.settings.entry_name) {
        return Err(Error::Circular);
    }
    let health = SourceHealth {
        age: Duration::from_millis(status.age_ms),
        searching: Duration::from_millis(status.searching_ms),
    };
    if !health.is_usable(shared.reloadable().apply_deadline, same_zone) {
        return Err(Error::Stale(health));
    }
    let mut path = status.path;
    path.push(status.entry);
    shared.record_peer_source(path, health);
    if status.has_read_entries {
        shared.view.borrow_mut().mark_entries_read();
    }
    Ok(())
}

/// Accepts followers and sends updates to them.
pub async fn serve(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_follower(&shared, stream).await {
                        debug!(shared.log, "follower_lost"; "cause" => %error);
                    }
                });
            }
            Err(error) => {
                slog::warn!(shared.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_follower(shared: &Rc<SharedState>, mut stream: TcpStream) -> Result<(), Error> {
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("accept", e))?;
    let subscribe: Subscribe =
        tokio::time::timeout(MESSAGE_TIMEOUT, peer_protocol::read(&mut stream))
            .await
            .map_err(|_| Error::Timeout("subscribe"))??;
    info!(shared.log, "follower"; "entry" => subscribe.entry, "after" => subscribe.after);
    let mut after = subscribe.after;
    let mut changes = shared.subscribe_changes();
    loop {
        changes.mark_unchanged();
        let update = shared.replica.borrow().update_since(after);
        if !update.records.is_empty() {
            after = update.revision;
            write(&mut stream, &Message::Update(update)).await?;
        }
        let status = SourceStatus {
            age_ms: shared.view_age().as_millis() as u64,
            searching_ms: shared.searching().as_millis() as u64,
            entry: shared.settings.entry_name.clone(),
            path: shared.source_path.borrow().clone(),
            has_read_entries: shared.view.borrow().has_read_entries(),
        };
        write(&mut stream, &Message::Status(status)).await?;
        // The next status is due after the interval, or at once after a change.
        let _ = tokio::time::timeout(STATUS_INTERVAL, changes.changed()).await;
    }
}

async fn write(stream: &mut TcpStream, message: &Message) -> Result<(), Error> {
    tokio::time::timeout(WRITE_TIMEOUT, peer_protocol::write(stream, message))
        .await
        .map_err(|_| Error::Timeout("write"))?
}
