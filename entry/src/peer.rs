//! Both ends of a feed between entries.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::source::SourceHealth;
use slog::{debug, info};
use tokio::net::{TcpListener, TcpStream};

use crate::peer_protocol::{self, Error, Message, STATUS_INTERVAL, Status, Subscribe};
use crate::shared_state::Node;
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
pub async fn follow(node: &Rc<Node>, addr: SocketAddr, in_zone: bool) -> Error {
    match try_follow(node, addr, in_zone).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn try_follow(node: &Rc<Node>, addr: SocketAddr, in_zone: bool) -> Result<Infallible, Error> {
    let connect = TcpStream::connect(addr);
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| Error::Silent("connect"))?
        .map_err(|e| Error::Io("connect", e))?;
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("connect", e))?;
    let subscribe = Subscribe {
        node: node.settings.node.clone(),
        after: node.replica.borrow().revision(),
    };
    peer_protocol::write(&mut stream, &subscribe).await?;
    loop {
        let message = tokio::time::timeout(SILENCE_MAX, peer_protocol::read(&mut stream))
            .await
            .map_err(|_| Error::Silent("read"))??;
        match message {
            Message::Update(update) => view_sync::learn(node, update),
            Message::Status(status) => check(node, status, in_zone)?,
        }
    }
}

/// Decides whether the source is still worth following.
fn check(node: &Node, status: Status, in_zone: bool) -> Result<(), Error> {
    if status.path.contains(&node.settings.node) {
        return Err(Error::Circular);
    }
    let state = SourceHealth {
        age: Duration::from_millis(status.age_ms),
        searching: Duration::from_millis(status.searching_ms),
    };
    if !state.is_usable(node.tuning().apply, in_zone) {
        return Err(Error::Old(state));
    }
    let mut path = status.path;
    path.push(status.node);
    node.follows_peer(path, state);
    if status.has_read_entries {
        node.view.borrow_mut().mark_entries_read();
    }
    Ok(())
}

/// Serves followers.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = feed_one(&node, stream).await {
                        debug!(node.log, "follower_lost"; "cause" => %error);
                    }
                });
            }
            Err(error) => {
                slog::warn!(node.log, "accept_failed"; "cause" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn feed_one(node: &Rc<Node>, mut stream: TcpStream) -> Result<(), Error> {
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("accept", e))?;
    let subscribe: Subscribe = tokio::time::timeout(SILENCE_MAX, peer_protocol::read(&mut stream))
        .await
        .map_err(|_| Error::Silent("subscribe"))??;
    info!(node.log, "follower"; "entry" => subscribe.node, "after" => subscribe.after);
    let mut after = subscribe.after;
    let mut news = node.news();
    loop {
        news.mark_unchanged();
        let update = node.replica.borrow().update_since(after);
        if !update.records.is_empty() {
            after = update.revision;
            write(&mut stream, &Message::Update(update)).await?;
        }
        let status = Status {
            age_ms: node.knowledge_age().as_millis() as u64,
            searching_ms: node.searching().as_millis() as u64,
            node: node.settings.node.clone(),
            path: node.path.borrow().clone(),
            has_read_entries: node.view.borrow().has_read_entries(),
        };
        write(&mut stream, &Message::Status(status)).await?;
        // Ends with the interval or with news.
        let _ = tokio::time::timeout(STATUS_INTERVAL, news.changed()).await;
    }
}

async fn write(stream: &mut TcpStream, message: &Message) -> Result<(), Error> {
    tokio::time::timeout(WRITE_TIMEOUT, peer_protocol::write(stream, message))
        .await
        .map_err(|_| Error::Silent("write"))?
}
