//! Updates between entries: following another entry, and serving followers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::counts::{TOTALS_AGE_MAX, UpdateSelector};
use lacewingmoor_control::membership::Follower;
use lacewingmoor_control::model::EntryName;
use lacewingmoor_control::shutdown::Phase;
use lacewingmoor_control::source::SourceHealth;
use slog::{debug, info, warn};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::counts::{self, CountsConnection, Reporter};
use crate::peer_protocol::{
    self, EXTENSION_VERSION, Error, Message, STATUS_INTERVAL, SourceStatus, StatusExtension,
    Subscribe, SubscribeExtension,
};
use crate::shared_state::SharedState;
use crate::view_sync;

/// Timeout for opening a connection to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for the next message of a source, and for the first message of a follower: three status
/// intervals.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for the next status of a source, which follows each of its updates.
///
/// Fault: a source sends frames without end, of which none is a status. Its age and path stay unknown.
const STATUS_TIMEOUT: Duration = MESSAGE_TIMEOUT.saturating_mul(2);

/// Timeout for writing a message to a follower.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Follows another entry until `should_leave` returns true after a message. `same_zone` means that it
/// is in the same zone as this entry.
///
/// # Errors
///
/// Returns why the entry failed or is not usable as a source.
pub async fn follow(
    shared: &Rc<SharedState>,
    addr: SocketAddr,
    same_zone: bool,
    should_leave: impl Fn() -> bool,
) -> Result<(), Error> {
    let (mut reader, writer) = subscribe(shared, addr, None).await?;
    let reporter = Reporter::default();
    let mut status_due_at = shared.now() + STATUS_TIMEOUT;
    let receive = async {
        loop {
            match read_message(&mut reader).await? {
                // An entry of an older version passes on keys.
                (Message::Update(mut update), _) => {
                    update.records = view_sync::usable(shared, update.records);
                    view_sync::apply_update(shared, update);
                }
                (Message::Status(status), extension) => {
                    reporter.set_receiver(extension.is_some().then_some(&status.entry));
                    apply_status(shared, status, same_zone)?;
                    counts::apply_totals(shared, extension)?;
                    status_due_at = shared.now() + STATUS_TIMEOUT;
                }
            }
            if should_leave() {
                return Ok(());
            }
            if shared.now() > status_due_at {
                return Err(Error::Timeout("status"));
            }
        }
    };
    tokio::select! {
        end = receive => end,
        error = reporter.run(shared, writer) => Err(error),
    }
}

/// Exchanges counts with the entry at `addr` until `should_leave` returns true after a message. Calls
/// `on_totals` whenever that has sent totals.
///
/// # Errors
///
/// Returns why the connection failed, or that the entry sends no totals.
pub async fn exchange_counts(
    shared: &Rc<SharedState>,
    addr: SocketAddr,
    should_leave: impl Fn() -> bool,
    on_totals: impl Fn(),
) -> Result<(), Error> {
    let extension = SubscribeExtension {
        version: EXTENSION_VERSION,
        counts_only: true,
    };
    let (mut reader, writer) = subscribe(shared, addr, Some(&extension)).await?;
    let reporter = Reporter::default();
    let mut totals_due_at = shared.now() + TOTALS_AGE_MAX;
    let receive = async {
        loop {
            // An entry of an earlier version also sends updates, which this one has from the store.
            if let (Message::Status(status), extension) = read_message(&mut reader).await? {
                reporter.set_receiver(extension.is_some().then_some(&status.entry));
                if counts::apply_totals(shared, extension)? {
                    totals_due_at = shared.now() + TOTALS_AGE_MAX;
                    on_totals();
                }
            }
            if should_leave() {
                return Ok(());
            }
            if shared.now() > totals_due_at {
                return Err(Error::Timeout("totals"));
            }
        }
    };
    tokio::select! {
        end = receive => end,
        error = reporter.run(shared, writer) => Err(error),
    }
}

/// Connects to an entry and subscribes.
async fn subscribe(
    shared: &SharedState,
    addr: SocketAddr,
    extension: Option<&SubscribeExtension>,
) -> Result<(OwnedReadHalf, OwnedWriteHalf), Error> {
    let connect = TcpStream::connect(addr);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| Error::Timeout("connect"))?
        .map_err(|e| Error::Io("connect", e))?;
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("connect", e))?;
    let (reader, mut writer) = stream.into_split();
    let subscribe = Subscribe {
        entry: shared.settings.entry_name.clone(),
        after: shared.replica.borrow().revision(),
        zone: shared.settings.zone.clone(),
        capacity: shared.settings.capacity,
    };
    peer_protocol::write_extended(&mut writer, &subscribe, extension).await?;
    Ok((reader, writer))
}

async fn read_message(
    reader: &mut OwnedReadHalf,
) -> Result<(Message, Option<StatusExtension>), Error> {
    tokio::time::timeout(MESSAGE_TIMEOUT, peer_protocol::read_extended(reader))
        .await
        .map_err(|_| Error::Timeout("read"))?
}

/// Records the status of a source, or returns why the source is not usable.
fn apply_status(shared: &SharedState, status: SourceStatus, same_zone: bool) -> Result<(), Error> {
    if status.entry.is_empty() {
        // Frames of another kind can be decoded as a status.
        return Err(Error::Malformed("status without a name".into()));
    }
    let now = shared.now();
    shared
        .reported_count
        .borrow_mut()
        .record(now, status.entry_count as usize);
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
    if status.appointed {
        shared.request_registration();
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
                    match serve_follower(&shared, stream).await {
                        Err(error @ (Error::Malformed(_) | Error::NoMemory)) => {
                            warn!(shared.log, "follower_rejected"; "cause" => %error);
                        }
                        Err(error) => debug!(shared.log, "follower_lost"; "cause" => %error),
                        Ok(()) => {}
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

/// Counts a connection of a follower until dropped.
struct FollowerConnection {
    shared: Rc<SharedState>,
    name: EntryName,
}

impl FollowerConnection {
    fn new(shared: &Rc<SharedState>, subscribe: &Subscribe) -> Self {
        let name: EntryName = subscribe.entry.as_str().into();
        shared.followers.borrow_mut().connect(Follower {
            name: name.clone(),
            zone: subscribe.zone.as_str().into(),
            capacity: subscribe.capacity,
        });
        let shared = shared.clone();
        Self { shared, name }
    }

    /// Returns true if the follower should register.
    fn is_appointed(&self) -> bool {
        self.shared.followers.borrow().is_appointed(&self.name)
    }
}

impl Drop for FollowerConnection {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared
            .followers
            .borrow_mut()
            .disconnect(now, &self.name);
    }
}

/// Waits until this entry has data, but not longer than a follower waits for its first message.
///
/// Load pattern: all entries restart at the same time. Followers would reject a source that has
/// nothing yet as stale, and follow the store instead.
async fn wait_for_data(shared: &SharedState) {
    let mut changes = shared.subscribe_changes();
    let wait = async {
        while !shared.has_data() {
            // The sender lives as long as the process.
            let _ = changes.changed().await;
        }
    };
    // Without data, the status tells the follower that this source is stale.
    let _ = tokio::time::timeout(MESSAGE_TIMEOUT / 2, wait).await;
}

async fn serve_follower(shared: &Rc<SharedState>, mut stream: TcpStream) -> Result<(), Error> {
    stream
        .set_nodelay(true)
        .map_err(|e| Error::Io("accept", e))?;
    let subscription = peer_protocol::read_subscription(&mut stream);
    let (subscribe, extension) = tokio::time::timeout(MESSAGE_TIMEOUT, subscription)
        .await
        .map_err(|_| Error::Timeout("subscribe"))??;
    let counts_only = extension.is_some_and(|extension| extension.counts_only);
    let counts_connection = CountsConnection::new(shared, subscribe.entry.as_str().into());
    let (reader, writer) = stream.into_split();
    let reports = counts_connection.receive(reader);
    match counts_only {
        true => tokio::select! {
            end = send_counts(shared, writer) => end,
            error = reports => Err(error),
        },
        false => tokio::select! {
            end = send_changes(shared, writer, subscribe) => end,
            error = reports => Err(error),
        },
    }
}

/// Sends updates and status to a follower.
async fn send_changes(
    shared: &Rc<SharedState>,
    mut writer: OwnedWriteHalf,
    subscribe: Subscribe,
) -> Result<(), Error> {
    let connection = FollowerConnection::new(shared, &subscribe);
    info!(shared.log, "follower"; "entry" => subscribe.entry, "after" => %subscribe.after);
    wait_for_data(shared).await;
    let mut after = subscribe.after;
    let mut totals = UpdateSelector::default();
    let mut changes = shared.subscribe_changes();
    loop {
        changes.mark_unchanged();
        let update = shared.replica.borrow().update_since(after);
        if !update.records.is_empty() || update.is_snapshot {
            after = update.revision;
            write(&mut writer, &Message::Update(update), None).await?;
        }
        let status = source_status(shared, connection.is_appointed());
        let extension = counts::status_extension(shared, &mut totals);
        write(&mut writer, &Message::Status(status), extension).await?;
        // The next status is due after the interval, or at once after a change.
        let _ = tokio::time::timeout(STATUS_INTERVAL, changes.changed()).await;
    }
}

/// Sends totals to an entry that follows the store, until the shutdown begins: another entry leads then.
async fn send_counts(shared: &Rc<SharedState>, mut writer: OwnedWriteHalf) -> Result<(), Error> {
    let mut totals = UpdateSelector::default();
    while shared.phase() == Phase::Running {
        let status = source_status(shared, false);
        let extension = counts::status_extension(shared, &mut totals);
        write(&mut writer, &Message::Status(status), extension).await?;
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
    Ok(())
}

fn source_status(shared: &SharedState, appointed: bool) -> SourceStatus {
    SourceStatus {
        age_ms: shared.view_age().as_millis() as u64,
        searching_ms: shared.searching().as_millis() as u64,
        entry: shared.settings.entry_name.clone(),
        path: shared.source_path.borrow().clone(),
        has_read_entries: shared.view.borrow().has_read_entries(),
        appointed,
        entry_count: shared.known_entry_count() as u32,
    }
}

async fn write(
    writer: &mut OwnedWriteHalf,
    message: &Message,
    extension: Option<StatusExtension>,
) -> Result<(), Error> {
    let write = peer_protocol::write_extended(writer, message, extension.as_ref());
    tokio::time::timeout(WRITE_TIMEOUT, write)
        .await
        .map_err(|_| Error::Timeout("write"))?
}
