//! Moves services to new versions: keeps this entry's rules and counts up to date and, on the entry that
//! leads the counts, writes stage records and status. `lacewingmoor_control::rollout` has the decisions.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_control::Timestamp;
use lacewingmoor_control::model::{Record, Target, VersionName};
use lacewingmoor_control::replica::Update;
use lacewingmoor_control::rollout::known::KnownRollout;
use lacewingmoor_control::rollout::local::ReadyTargets;
use lacewingmoor_control::rollout::progress::{Cause, Decision, Hold, Situation, decide};
use lacewingmoor_control::rollout::results::AttemptResult;
use lacewingmoor_control::rollout::verdict::BadVersion;
use lacewingmoor_control::rollout::{RolloutRecord, ServiceName, Stage};
use lacewingmoor_control::shutdown::Phase;
use lacewingmoor_control::view::View;
use lacewingmoor_control::{Map, counts};
use lacewingmoor_platform::registry::{
    ROLLOUT_ORDERS_PREFIX, ROLLOUT_RECORDS_PREFIX, ROLLOUT_STATUS_PREFIX,
};
use lacewingmoor_platform::rollout::{encode_record, encode_status};
use lacewingmoor_platform::store::{self, Consistency};
use metrics::{counter, gauge};
use rand::RngExt as _;
use slog::{info, warn};

use crate::shared_state::SharedState;
use crate::store_client::{Client, Error};
use crate::view_sync;

/// Interval at which rules and counts are updated, besides each change of the view.
const UPDATE_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest time between two updates: registrations of hundreds of targets change the view often.
const UPDATE_PAUSE: Duration = Duration::from_millis(20);

/// Interval at which the leading entry decides.
const DECISION_INTERVAL: Duration = Duration::from_millis(300);

/// Age up to which the counts of all entries are used.
const TOTALS_AGE_MAX: Duration = Duration::from_secs(3);

/// Pauses after a failed write to the store: the first one, doubled up to the last one.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// See [`WRITE_PAUSE`].
const WRITE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Counts a request as in flight at a version of its service until dropped.
pub struct VersionInFlight {
    shared: Rc<SharedState>,
    target: Rc<Target>,
}

impl VersionInFlight {
    /// Begins to count.
    pub fn new(shared: &Rc<SharedState>, target: &Rc<Target>) -> Self {
        let mut rollouts = shared.rollouts.borrow_mut();
        rollouts.begin_in_flight(&target.service, &target.version);
        Self {
            shared: shared.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for VersionInFlight {
    fn drop(&mut self) {
        let mut rollouts = self.shared.rollouts.borrow_mut();
        rollouts.end_in_flight(&self.target.service, &self.target.version);
    }
}

/// Records the result of an attempt when dropped: an attempt that is given up has none of its own.
pub struct PendingResult<'a> {
    shared: &'a SharedState,
    target: &'a Target,
    route: &'a str,
    sent_at: Timestamp,
    expected: Duration,
    is_recorded: bool,
}

impl<'a> PendingResult<'a> {
    /// Starts an attempt that is expected to take `expected`.
    pub fn new(
        shared: &'a SharedState,
        target: &'a Target,
        route: &'a str,
        expected: Duration,
    ) -> Self {
        Self {
            shared,
            target,
            route,
            sent_at: shared.now(),
            expected,
            is_recorded: false,
        }
    }

    /// Records that the attempt got a good response.
    pub fn record_response(&mut self) {
        let latency = self.shared.now().saturating_sub(self.sent_at);
        self.record(Some(AttemptResult::of_response(latency, self.expected)));
    }

    /// Records the result, or that it says nothing about the target.
    pub fn record(&mut self, result: Option<AttemptResult>) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let Some(result) = result else {
            return;
        };
        let shared = self.shared;
        let fault = {
            let mut rollouts = shared.rollouts.borrow_mut();
            rollouts.record_result(shared.now(), self.target, self.route, result)
        };
        if let Some(fault) = fault {
            log_stop(shared, &self.target.service, "own", &fault);
        }
    }
}

impl Drop for PendingResult<'_> {
    fn drop(&mut self) {
        let elapsed = self.shared.now().saturating_sub(self.sent_at);
        self.record(AttemptResult::of_given_up(elapsed, self.expected));
    }
}

/// Keeps rules and counts up to date for as long as the process runs.
pub async fn track(shared: Rc<SharedState>) {
    let mut changes = shared.subscribe_changes();
    loop {
        update(&shared);
        tokio::select! {
            // The sender lives as long as the process.
            _ = changes.changed() => {}
            () = tokio::time::sleep(UPDATE_INTERVAL) => {}
        }
        tokio::time::sleep(UPDATE_PAUSE).await;
    }
}

/// Updates rules and counts.
pub fn update(shared: &SharedState) {
    let now = shared.now();
    let view = shared.view.borrow();
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(bounds) = shared.reloadable().bounds.exposure.clone() else {
        rollouts.clear();
        shared.counts.borrow_mut().set_rollouts(Vec::new());
        return;
    };
    for (service, known) in view.rollouts() {
        let targets = ready_targets(&view, service);
        let rounding = shared.rng.borrow_mut().random();
        let change = rollouts.update(now, service, known, &targets, &bounds, rounding);
        if let Some(stage) = change {
            info!(
                shared.log, "rollout_stage"; "service" => &**service, "stage" => stage.name(),
                "elapsed_ms" => known.elapsed(now).as_millis() as u64,
            );
        }
        if let Some(stage) = rollouts.stage(service) {
            gauge!("lacewingmoor_rollout_stage", "service" => service.to_string())
                .set(f64::from(stage.number()));
        }
    }
    let mut counts = shared.counts.borrow_mut();
    if let Some((totals, age)) = counts.totals(now)
        && age <= TOTALS_AGE_MAX
    {
        for totals in &totals.rollouts {
            if let Some(fault) = rollouts.check_totals(now, totals) {
                log_stop(shared, &totals.service, "all entries", &fault);
            }
        }
    }
    counts.set_rollouts(rollouts.counts(now));
}

fn ready_targets(view: &View, service: &str) -> Vec<Rc<Target>> {
    let ids = view.service_targets(service).iter();
    let targets = ids.filter_map(|id| view.target(id).map(|registered| &registered.target));
    targets.filter(|target| !target.draining).cloned().collect()
}

fn log_stop(shared: &SharedState, service: &str, evidence: &str, fault: &BadVersion) {
    counter!("lacewingmoor_rollout_stops_total", "service" => service.to_owned()).increment(1);
    warn!(
        shared.log, "rollout_stopped"; "service" => service, "evidence" => evidence,
        "route" => fault.route.as_deref().unwrap_or("-"),
        "new_ended" => fault.new_ended, "new_bad" => fault.new_bad,
        "old_ended" => fault.old_ended, "old_bad" => fault.old_bad,
    );
}

/// Writes stage records and status while this entry leads the counts, until the shutdown begins.
pub async fn lead(shared: Rc<SharedState>) {
    let mut client = Client::new(&shared);
    let mut holds: Map<ServiceName, Hold> = Map::default();
    let mut pause = WRITE_PAUSE;
    while shared.phase() == Phase::Running {
        let mut failed = false;
        for service in ordered_services(&shared) {
            // A write takes time, in which orders and counts of the next services change.
            let Some((decision, expected)) = decide_service(&shared, &service) else {
                continue;
            };
            match decision {
                Decision::Keep => {}
                Decision::Hold(Hold::Unsettled) => {}
                Decision::Hold(hold) => {
                    if holds.insert(service.clone(), hold) != Some(hold) {
                        warn!(
                            shared.log, "rollout_held";
                            "service" => &*service, "why" => hold.reason(),
                        );
                    }
                }
                Decision::Write(record, cause) => {
                    holds.remove(&service);
                    let written =
                        write(&shared, &mut client, &service, &record, &cause, &expected).await;
                    if let Err(error) = written {
                        failed = true;
                        warn!(
                            shared.log, "rollout_write_failed";
                            "service" => &*service, "stage" => record.stage.name(),
                            "cause" => %error,
                        );
                    }
                }
            }
        }
        if failed {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(WRITE_PAUSE_MAX);
        } else {
            pause = WRITE_PAUSE;
        }
        tokio::time::sleep(DECISION_INTERVAL).await;
    }
}

/// Returns the services that have or had an order.
fn ordered_services(shared: &SharedState) -> Vec<ServiceName> {
    let view = shared.view.borrow();
    view.rollouts()
        .map(|(service, _)| service.clone())
        .collect()
}

/// Returns what to do with the order of a service, and the revisions of the keys of the store from which
/// that follows. `None` if this entry does not lead the counts, or if the store lost the order.
fn decide_service(
    shared: &SharedState,
    service: &ServiceName,
) -> Option<(Decision, [(String, u64); 2])> {
    let bounds = shared.reloadable().bounds.exposure.clone()?;
    let now = shared.now();
    let totals = shared.counts.borrow().led_totals(now)?;
    let view = shared.view.borrow();
    let known = view.rollout(service)?;
    let (order, record) = known.expected_numbers(shared.era())?;
    let targets = ready_targets(&view, service);
    let version = known
        .order
        .as_ref()
        .map_or("", |order| &*order.order.target_version);
    let decision = decide(&Situation {
        now,
        known,
        totals: totals_of(&totals, service, known),
        entry_count: view.entry_count(),
        ready: ReadyTargets::new(&targets, version),
        bound: bounds.share,
    });
    let expected = [
        (format!("{ROLLOUT_ORDERS_PREFIX}{service}"), order),
        (format!("{ROLLOUT_RECORDS_PREFIX}{service}"), record),
    ];
    Some((decision, expected))
}

fn totals_of<'a>(
    totals: &'a counts::Counts,
    service: &str,
    known: &KnownRollout,
) -> Option<&'a counts::RolloutCounts> {
    let number = known.order.as_ref()?.number();
    let mut rollouts = totals.rollouts.iter();
    rollouts.find(|counts| counts.service == service && counts.order.number == number)
}

/// Writes a record and the status that follows from it, unless the order or the record has another revision
/// than the `expected` one, at which the decision was made. The result is read back if it is not known.
async fn write(
    shared: &Rc<SharedState>,
    client: &mut Client,
    service: &ServiceName,
    record: &RolloutRecord,
    cause: &Cause,
    expected: &[(String, u64)],
) -> Result<(), Error> {
    let key = format!("{ROLLOUT_RECORDS_PREFIX}{service}");
    let value = encode_record(record);
    let status_key = format!("{ROLLOUT_STATUS_PREFIX}{service}");
    let writes = [
        (key.clone(), value.clone()),
        (status_key, encode_status(record)),
    ];
    let request = store::put_if(&client.host(), expected, &writes);
    let written = match client.call("rollout", request, Duration::ZERO).await {
        Ok(reply) => {
            let era = reply.era.unwrap_or_else(|| shared.era());
            store::decode_written(reply.status, &reply.body, era).map_err(Error::from)
        }
        Err(error) => Err(error),
    };
    match written {
        Ok(revision) => {
            log_written(shared, service, record, cause);
            apply(shared, key, revision, Some(value));
            Ok(())
        }
        Err(error) => {
            // Another entry may have written the record, or the response was lost.
            read_back(shared, client, key).await?;
            if is_known(shared, service, record) {
                log_written(shared, service, record, cause);
                return Ok(());
            }
            Err(error)
        }
    }
}

/// Returns true if the store has the record, as far as this entry knows.
fn is_known(shared: &SharedState, service: &str, record: &RolloutRecord) -> bool {
    let view = shared.view.borrow();
    let known = view
        .rollout(service)
        .and_then(|known| known.record.as_ref());
    known.is_some_and(|known| {
        let of = |record: &RolloutRecord| (record.order, record.stage);
        known.is_stored && of(&known.record) == of(record)
    })
}

async fn read_back(
    shared: &Rc<SharedState>,
    client: &mut Client,
    key: String,
) -> Result<(), Error> {
    let request = store::read(&client.host(), &key, Consistency::Latest);
    let reply = client.call("read", request, Duration::ZERO).await?;
    let era = reply.era.unwrap_or_else(|| shared.era());
    match store::decode_leased_record(reply.status, &reply.body, era) {
        Ok(leased) => {
            apply(shared, key, leased.record.revision, leased.record.value);
            Ok(())
        }
        // The watch reports the removal of a record that existed.
        Err(store::Error::Missing) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

/// Applies a record of the store before the watch reports it, so that the next decision knows of it.
fn apply(
    shared: &Rc<SharedState>,
    key: String,
    revision: lacewingmoor_control::model::Revision,
    value: Option<Vec<u8>>,
) {
    let known = shared.replica.borrow().revision();
    if revision.era != known.era {
        // The replica begins an era with a listing of all keys.
        return;
    }
    let record = Record {
        key,
        revision,
        value,
    };
    view_sync::apply_update(
        shared,
        Update {
            revision: known,
            is_snapshot: false,
            records: vec![record],
        },
    );
}

fn log_written(shared: &SharedState, service: &str, record: &RolloutRecord, cause: &Cause) {
    let stage = record.stage;
    let version: &VersionName = &record.target_version;
    counter!("lacewingmoor_rollout_writes_total", "stage" => stage.name()).increment(1);
    info!(
        shared.log, "rollout_written";
        "service" => service, "target_version" => &**version, "stage" => stage.name(),
        "order" => record.order, "elapsed_ms" => record.elapsed.as_millis() as u64,
    );
    if !matches!(stage, Stage::Completed | Stage::RolledBack) {
        return;
    }
    let (why, fault) = match cause {
        Cause::Bad(fault) => ("bad", Some(fault)),
        Cause::BadBefore => ("bad under an earlier order", None),
        Cause::Withdrawn => ("withdrawn", None),
        Cause::TooLate => ("not complete in time", None),
        Cause::Lost => ("written again", None),
        Cause::NewOrder | Cause::Progress => ("moved", None),
    };
    info!(
        shared.log, "rollout_verdict";
        "service" => service, "target_version" => &**version, "stage" => stage.name(), "why" => why,
        "route" => fault.and_then(|fault| fault.route.as_deref()).unwrap_or("-"),
        "new_ended" => fault.map_or(0, |fault| fault.new_ended),
        "new_bad" => fault.map_or(0, |fault| fault.new_bad),
        "old_ended" => fault.map_or(0, |fault| fault.old_ended),
        "old_bad" => fault.map_or(0, |fault| fault.old_bad),
    );
}
