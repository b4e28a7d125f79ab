//! Exchanges counts with other entries, on the connections on which they follow each other and, while this
//! entry follows the store, on a connection to the leader of the counts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::counts::{
    ConnectionId, Role, Standing, TOTALS_AGE_MAX, UpdateSelector, entries_before,
};
use lacewingmoor_control::model::{Entry, EntryName};
use lacewingmoor_control::shutdown::Phase;
use metrics::gauge;
use slog::{debug, info, warn};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::peer_protocol::{
    self, EXTENSION_VERSION, Error, Report, STATUS_INTERVAL, StatusExtension,
};
use crate::shared_state::SharedState;
use crate::{peer, workspace_limit};

/// Time after the start of the process from which on it reports. Its demand is underestimated before, and
/// totals of entries that restarted together would show a workspace far below its limit.
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// Timeout for writing a report.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a leader that did not answer is tried again.
const LEADER_BACKOFF: Duration = Duration::from_secs(4);

/// Reports to the entry at the other end of a connection once that has announced that it reads them.
#[derive(Default)]
pub struct Reporter {
    receiver: RefCell<Option<String>>,
}

impl Reporter {
    /// Sets the name of the entry that reads reports; `None` if it reads none.
    pub fn set_receiver(&self, name: Option<&String>) {
        let mut receiver = self.receiver.borrow_mut();
        if receiver.as_ref() != name {
            *receiver = name.cloned();
        }
    }

    /// Reports whenever this entry's counts are updated until that fails, and returns why.
    pub async fn run(&self, shared: &SharedState, mut writer: OwnedWriteHalf) -> Error {
        let mut selector = UpdateSelector::default();
        let mut updates = shared.counts_sender.subscribe();
        loop {
            // The sender lives as long as the process.
            let _ = updates.changed().await;
            let Some(report) = self.next_report(shared, &mut selector) else {
                continue;
            };
            let write = peer_protocol::write(&mut writer, &report);
            match tokio::time::timeout(WRITE_TIMEOUT, write).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error,
                Err(_) => return Error::Timeout("report"),
            }
        }
    }

    fn next_report(&self, shared: &SharedState, selector: &mut UpdateSelector) -> Option<Report> {
        let receiver = self.receiver.borrow();
        let now = shared.now();
        let (counts, depth) = shared.counts.borrow().report(now, receiver.as_deref()?)?;
        Some(Report {
            version: EXTENSION_VERSION,
            update: selector.select(now, &counts, depth),
        })
    }
}

/// Connection on which a follower may report. Its counts are dropped with it.
pub struct CountsConnection {
    shared: Rc<SharedState>,
    follower: EntryName,
    id: ConnectionId,
}

impl CountsConnection {
    /// Creates the state of a new connection.
    pub fn new(shared: &Rc<SharedState>, follower: EntryName) -> Self {
        let id = shared.counts_connections.get() + 1;
        shared.counts_connections.set(id);
        Self {
            shared: shared.clone(),
            follower,
            id,
        }
    }

    /// Receives reports until that fails, and returns why. An entry of an earlier version sends none.
    pub async fn receive(&self, mut reader: OwnedReadHalf) -> Error {
        loop {
            let limit = self.shared.reloadable().bounds.frame_bytes();
            let memory = &self.shared.frame_memory;
            let report = match peer_protocol::read_report(&mut reader, memory, limit).await {
                Ok(report) => report,
                Err(error) => return error,
            };
            let now = self.shared.now();
            let mut counts = self.shared.counts.borrow_mut();
            let recorded = counts.record_report(now, &self.follower, self.id, report.update);
            if let Err(cause) = recorded {
                return Error::Malformed(format!("report of {}: {cause}", self.follower));
            }
        }
    }
}

impl Drop for CountsConnection {
    fn drop(&mut self) {
        let mut counts = self.shared.counts.borrow_mut();
        counts.remove_follower(&self.follower, self.id);
    }
}

/// Returns what follows the status that is sent to a follower; `None` while there is nothing to exchange.
pub fn status_extension(
    shared: &SharedState,
    selector: &mut UpdateSelector,
) -> Option<StatusExtension> {
    let now = shared.now();
    let counts = shared.counts.borrow();
    if !counts.is_active() {
        return None;
    }
    let totals = counts.totals(now);
    let totals = totals.filter(|(_, age)| *age <= TOTALS_AGE_MAX);
    let totals = totals.map(|(totals, age)| {
        let mut update = selector.select(now, totals, 0);
        update.age_ms = age.as_millis() as u32;
        update
    });
    Some(StatusExtension {
        version: EXTENSION_VERSION,
        totals,
    })
}

/// Records the totals that a source sent. Returns true if it sent any.
///
/// # Errors
///
/// Returns an error if they are not valid.
pub fn apply_totals(
    shared: &SharedState,
    extension: Option<StatusExtension>,
) -> Result<bool, Error> {
    let Some(totals) = extension.and_then(|extension| extension.totals) else {
        return Ok(false);
    };
    let mut counts = shared.counts.borrow_mut();
    let recorded = counts.record_totals(shared.now(), totals);
    recorded.map_err(|cause| Error::Malformed(format!("totals: {cause}")))?;
    Ok(true)
}

/// Updates this entry's counts, its role and the shares of rate limits, for as long as the process runs.
pub async fn run(shared: Rc<SharedState>) {
    loop {
        tokio::time::sleep(STATUS_INTERVAL).await;
        update(&shared);
        shared.counts_sender.send_replace(());
    }
}

fn update(shared: &SharedState) {
    let now = shared.now();
    let demand = workspace_limit::report(shared);
    let standing = standing(shared);
    let mut counts = shared.counts.borrow_mut();
    counts.set_has_limits(demand.is_some() && now >= REPORT_AFTER);
    counts.set_demand(demand.unwrap_or_default());
    let was = counts.role();
    counts.refresh(now, &standing);
    let role = counts.role();
    let is_active = counts.is_active();
    if let (true, Some((totals, age))) = (is_active, counts.totals(now)) {
        gauge!("lacewingmoor_counts_age_seconds").set(age.as_secs_f64());
        gauge!("lacewingmoor_counts_entries").set(f64::from(totals.entry_count));
    }
    drop(counts);
    gauge!("lacewingmoor_counts_leader").set(f64::from(u8::from(role == Role::Leads)));
    if was != role && is_active {
        info!(shared.log, "counts_role"; "role" => ?role);
    }
    workspace_limit::apply_totals(shared);
}

fn standing(shared: &SharedState) -> Standing {
    let view = shared.view.borrow();
    let mut unreachable = shared.unreachable_leaders.borrow_mut();
    unreachable.retain(|name, _| view.entry(name).is_some());
    let is_registered = shared.is_registered();
    let forwarding_count = shared.source_path.borrow().len();
    let mut before = entries_before(&view, &shared.own_entry).into_iter();
    let ranks_first = match is_registered {
        true => before.all(|entry| unreachable.contains_key(&entry.name)),
        false => before.next().is_none() && forwarding_count == 0,
    };
    Standing {
        // An entry that shuts down decides nothing any more.
        ranks_first: ranks_first && shared.phase() == Phase::Running,
        entry_count: shared.known_entry_count().max(1 + forwarding_count),
        store_view_age: follows_store(shared).then(|| shared.view_age()),
    }
}

fn follows_store(shared: &SharedState) -> bool {
    shared.has_data() && shared.source_path.borrow().is_empty() && shared.searching().is_zero()
}

/// Exchanges counts with their leader while this entry follows the store and another one leads.
pub async fn follow_leader(shared: Rc<SharedState>) {
    loop {
        tokio::time::sleep(STATUS_INTERVAL).await;
        let Some(leader) = select_leader(&shared) else {
            continue;
        };
        let name = leader.name.clone();
        let has_totals = Cell::new(false);
        let should_leave = || select_leader(&shared).is_none_or(|leader| leader.name != name);
        let on_totals = || {
            if !has_totals.replace(true) {
                info!(shared.log, "counts_leader"; "leader" => &*name);
            }
            shared.unreachable_leaders.borrow_mut().remove(&name);
        };
        let end = peer::exchange_counts(&shared, leader.addr, should_leave, on_totals).await;
        if let Err(error) = end {
            let retry_at: Timestamp = shared.now() + LEADER_BACKOFF;
            let mut unreachable = shared.unreachable_leaders.borrow_mut();
            // Tries that keep failing are logged once.
            match unreachable.insert(name.clone(), retry_at) {
                None => {
                    warn!(shared.log, "counts_leader_lost"; "leader" => &*name, "cause" => %error)
                }
                Some(_) => {
                    debug!(shared.log, "counts_leader_lost"; "leader" => &*name, "cause" => %error);
                }
            }
        }
    }
}

/// Returns the entry to exchange counts with: the first by rank, without those that did not answer
/// recently.
fn select_leader(shared: &SharedState) -> Option<Entry> {
    if !follows_store(shared) || !shared.counts.borrow().is_active() {
        return None;
    }
    let now = shared.now();
    let view = shared.view.borrow();
    let unreachable = shared.unreachable_leaders.borrow();
    let is_due = |entry: &&&Entry| unreachable.get(&entry.name).is_none_or(|at| *at <= now);
    let before = entries_before(&view, &shared.own_entry);
    before.iter().find(is_due).map(|entry| (*entry).clone())
}
