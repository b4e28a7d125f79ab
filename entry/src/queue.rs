//! Requests that wait for a target, and the search on their behalf.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Route, Service};
use lacewingmoor_control::admission::{DequeueRate, PendingRequest, Rank, select_queued};
use lacewingmoor_control::model::TargetId;
use lacewingmoor_control::{Map, Timestamp};
use tokio::sync::oneshot;

use crate::shared_state::SharedState;
use crate::target_search::{self, Candidate, TargetSearch};

/// Pause between two questions on behalf of waiting requests.
const SEARCH_PAUSE: Duration = Duration::from_millis(12);

/// Targets asked at the same time on behalf of waiting requests.
const SEARCH_ASKED: usize = 2;

struct Entry {
    pending: PendingRequest,
    bundle: Rc<Bundle>,
    route: usize,
    tried: Vec<TargetId>,
    reply: oneshot::Sender<Candidate>,
}

impl Entry {
    fn route(&self) -> &Route {
        &self.bundle.routes[self.route]
    }

    fn accepts(&self, now: Timestamp, placed: &Candidate) -> bool {
        !self.tried.contains(&placed.target.id)
            && self.route().allows(&placed.target.region)
            && self.pending.may_send_to(now, &placed.estimate)
    }
}

#[derive(Default)]
struct Line {
    entries: Vec<Entry>,
    flow: DequeueRate,
    searching: bool,
}

/// Waiting requests by service.
#[derive(Default)]
pub struct Queue {
    lines: RefCell<Map<String, Line>>,
}

impl Queue {
    /// Returns the number of requests that wait for a service.
    pub fn len(&self, service: &str) -> usize {
        self.lines
            .borrow()
            .get(service)
            .map_or(0, |line| line.entries.len())
    }

    /// Returns true if no request waits for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.len(service) == 0
    }

    /// Hands a target over to the first waiting request that may use it; returns it if there is
    /// none.
    fn hand_over(
        &self,
        shared: &SharedState,
        service: &str,
        mut placed: Candidate,
    ) -> Option<Candidate> {
        loop {
            let entry = {
                let mut lines = self.lines.borrow_mut();
                let line = lines.get_mut(service)?;
                line.entries.retain(|entry| !entry.reply.is_closed());
                let now = shared.now();
                let expected = placed.estimate.expected_latency;
                let first = (0..line.entries.len())
                    .filter(|i| line.entries[*i].accepts(now, &placed))
                    .min_by_key(|i| line.entries[*i].pending.rank(now, expected));
                match first {
                    Some(i) => {
                        line.flow.record_dequeue(now, line.entries.len() - 1);
                        line.entries.swap_remove(i)
                    }
                    None => return Some(placed),
                }
            };
            match entry.reply.send(placed) {
                Ok(()) => return None,
                Err(unsent) => placed = unsent,
            }
        }
    }
}

/// Offers a target that has room to the waiting requests, or keeps the connection.
pub fn offer(shared: &Rc<SharedState>, service: &str, placed: Candidate) {
    let placed = match placed.estimate.has_capacity {
        true => shared.queue.hand_over(shared, service, placed),
        false => Some(placed),
    };
    if let Some(placed) = placed {
        shared.pool.put(placed.connection);
    }
}

/// Waits for a target until `seeking` has to give up.
///
/// # Errors
///
/// Returns the time after which the caller may come back.
pub async fn wait(
    shared: &Rc<SharedState>,
    seeking: &TargetSearch<'_>,
    work: Duration,
) -> Result<Candidate, Duration> {
    let (reply, handed) = oneshot::channel();
    let pending = seeking.pending.clone();
    let start_search = {
        let mut lines = shared.queue.lines.borrow_mut();
        let line = lines.entry(seeking.service.name.clone()).or_default();
        line.entries.retain(|entry| !entry.reply.is_closed());
        let now = shared.now();
        let own = pending.rank(now, work);
        let before = |entry: &&Entry| entry.pending.rank(now, work) <= own;
        let ahead = line.entries.iter().filter(before).count();
        pending.check_queue_wait(now, ahead, &line.flow, work)?;
        line.entries.push(Entry {
            pending: pending.clone(),
            bundle: seeking.bundle.clone(),
            route: seeking.route_id,
            tried: seeking.tried.clone(),
            reply,
        });
        !std::mem::replace(&mut line.searching, true)
    };
    if start_search {
        let service = seeking.service.clone();
        tokio::task::spawn_local(search(shared.clone(), service));
    }
    let give_up = shared.instant(pending.queue_deadline(work));
    match tokio::time::timeout_at(give_up, handed).await {
        Ok(Ok(placed)) => Ok(placed),
        _ => Err(pending.retry_after(shared.now(), seeking.caller_deadline)),
    }
}

/// Asks targets for as long as requests wait.
async fn search(shared: Rc<SharedState>, service: Service) {
    for turn in 0.. {
        let asked_for = {
            let mut lines = shared.queue.lines.borrow_mut();
            let Some(line) = lines.get_mut(&service.name) else {
                return;
            };
            line.entries.retain(|entry| !entry.reply.is_closed());
            let now = shared.now();
            let entries = line.entries.iter();
            let ranks: Vec<Rank> = entries
                .map(|entry| entry.pending.rank(now, Duration::ZERO))
                .collect();
            match select_queued(&ranks, turn) {
                Some(i) => {
                    let entry = &line.entries[i];
                    (entry.bundle.clone(), entry.route, entry.tried.clone())
                }
                None => {
                    line.searching = false;
                    return;
                }
            }
        };
        let (bundle, route, tried) = asked_for;
        target_search::probe_for_queue(
            &shared,
            &service,
            &bundle.routes[route],
            tried,
            SEARCH_ASKED,
        )
        .await;
        tokio::time::sleep(SEARCH_PAUSE).await;
    }
}
