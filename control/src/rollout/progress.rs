//! What the entry that leads the counts does with an order.

use std::time::Duration;

use lacewingmoor_derive::value;

use super::known::KnownRollout;
use super::local::ReadyTargets;
use super::schedule::Schedule;
use super::verdict::{BadVersion, find_fault, is_doubtful, is_judged};
use super::{RolloutRecord, Stage};
use crate::Timestamp;
use crate::counts::RolloutCounts;

/// Requests that the share of the trial should have sent to the version by now, above which a version that
/// got none counts as unusable.
const EXPECTED_SENDS_MIN: f64 = 20.0;

/// Part of the version's slots that must do for the requests that are in flight: those up to which targets
/// work at full speed.
const USABLE_SLOTS: f64 = 0.8;

/// Why an order does not go on.
#[value]
#[derive(Copy, Eq)]
pub enum Hold {
    /// No target of the version is ready.
    NoTargets,
    /// The targets of the version have fewer slots than requests are in flight.
    TooFewSlots,
    /// The version has got no requests although its share allows some, or has ended none of them.
    NoSends,
    /// Its responses so far are bad, but all come from one target.
    Doubtful,
    /// The version has not served all requests for long enough to judge it.
    Unsettled,
    /// Entries have not reported, or not that they use the new version only.
    EntriesMissing,
    /// Requests are in flight at targets of other versions.
    InFlightAtOld,
}

impl Hold {
    /// Returns the reason for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoTargets => "no target of the version is ready",
            Self::TooFewSlots => "targets of the version have too few slots",
            Self::Doubtful => "only one target of the version responds, and it is bad",
            Self::Unsettled => "the version has not had all requests for long enough",
            Self::NoSends => "no target of the version takes and ends requests",
            Self::EntriesMissing => "entries have not reported",
            Self::InFlightAtOld => "requests are in flight at the old version",
        }
    }
}

/// Why a record is written.
#[value]
pub enum Cause {
    /// The order is new.
    NewOrder,
    /// The schedule, or all entries use the new version only.
    Progress,
    /// The version is bad, with the counts that show it.
    Bad(BadVersion),
    /// The version proved bad under an earlier order.
    BadBefore,
    /// The order was withdrawn.
    Withdrawn,
    /// The order could not complete before its deadline.
    TooLate,
    /// The store has lost the record, or has an older one.
    Lost,
}

/// Decision on an order.
#[value]
pub enum Decision {
    /// Nothing to do.
    Keep,
    /// The next stage has to wait.
    Hold(Hold),
    /// The record and the status have to be written.
    Write(RolloutRecord, Cause),
}

/// State of the service and of the entries.
pub struct Situation<'a> {
    /// Time.
    pub now: Timestamp,
    /// Order and record.
    pub known: &'a KnownRollout,
    /// Counts of all entries for the order.
    pub totals: Option<&'a RolloutCounts>,
    /// Number of entries.
    pub entry_count: usize,
    /// Targets of the service that are registered and not draining.
    pub ready: ReadyTargets<'a>,
    /// Share of the requests of the exposure bound.
    pub bound: f64,
}

/// Decides what to do with the order of a service.
pub fn decide(situation: &Situation<'_>) -> Decision {
    let known = situation.known;
    let record = known.record.as_ref();
    let Some(order) = &known.order else {
        return match record {
            Some(known) if !known.record.stage.is_final() => {
                let mut next = (*known.record).clone();
                next.stage = Stage::RolledBack;
                let version = next.target_version.clone();
                next.roll_back(&version, false);
                Decision::Write(next, Cause::Withdrawn)
            }
            Some(known) if !known.is_stored => {
                Decision::Write((*known.record).clone(), Cause::Lost)
            }
            _ => Decision::Keep,
        };
    };
    let elapsed = known.elapsed(situation.now);
    let (Some(current), Some(stored)) = (known.current_record(), record) else {
        return first_record(known, elapsed);
    };
    let next = |stage| RolloutRecord {
        stage,
        elapsed,
        ..(**current).clone()
    };
    let rolled_back = |is_bad| {
        let mut next = next(Stage::RolledBack);
        next.roll_back(&order.order.target_version, is_bad);
        next
    };
    let target_count = situation.ready.new_ones().count();
    let results = situation.totals.map_or(&[][..], |totals| &totals.results);
    if !current.stage.is_final()
        && let Some(fault) = find_fault(results, target_count)
    {
        return Decision::Write(rolled_back(true), Cause::Bad(fault));
    }
    if !stored.is_stored {
        return Decision::Write(next(current.stage), Cause::Lost);
    }
    let schedule = Schedule {
        bound: situation.bound,
        duration: order.order.duration,
    };
    let stage = match current.stage {
        Stage::Completed | Stage::RolledBack => return Decision::Keep,
        Stage::All => match find_unmoved(situation, &schedule, target_count) {
            // Fault: all targets of the version are lost after it got all requests.
            Some(Hold::NoTargets | Hold::NoSends) if schedule.is_too_late(elapsed) => {
                return Decision::Write(rolled_back(false), Cause::TooLate);
            }
            Some(hold) => return Decision::Hold(hold),
            None => Stage::Completed,
        },
        stage => {
            let due = schedule.due(elapsed, is_judged(results));
            let hold = match due {
                Stage::All => find_obstacle(situation, &schedule, target_count),
                _ => None,
            };
            match hold {
                _ if schedule.is_too_late(elapsed) => {
                    return Decision::Write(rolled_back(false), Cause::TooLate);
                }
                Some(hold) => return Decision::Hold(hold),
                None if due <= stage => return Decision::Keep,
                None => due,
            }
        }
    };
    Decision::Write(next(stage), Cause::Progress)
}

/// Returns the first record of an order.
fn first_record(known: &KnownRollout, elapsed: Duration) -> Decision {
    let Some(order) = &known.order else {
        return Decision::Keep;
    };
    let target_version = &order.order.target_version;
    let previous = known.record.as_ref().map(|known| &known.record);
    let mut next = RolloutRecord {
        order: order.number(),
        target_version: target_version.clone(),
        stage: known.stage(),
        elapsed,
        rolled_back: previous.map_or(Vec::new(), |previous| previous.rolled_back.clone()),
    };
    if let Some(previous) = previous
        && !previous.stage.is_final()
    {
        next.roll_back(&previous.target_version, false);
    }
    for version in &known.superseded {
        next.roll_back(version, false);
    }
    if next.rolled_back(target_version) == Some(true) {
        next.stage = Stage::RolledBack;
        return Decision::Write(next, Cause::BadBefore);
    }
    next.rolled_back
        .retain(|rolled_back| rolled_back.version != *target_version);
    Decision::Write(next, Cause::NewOrder)
}

/// Returns why the version cannot get all requests yet.
///
/// Fault: the version has too few targets, or targets that crash or never become ready.
fn find_obstacle(
    situation: &Situation<'_>,
    schedule: &Schedule,
    target_count: usize,
) -> Option<Hold> {
    if target_count == 0 {
        return Some(Hold::NoTargets);
    }
    let Some(totals) = representative_totals(situation) else {
        return Some(Hold::EntriesMissing);
    };
    let slots: u32 = situation.ready.new_ones().map(|target| target.slots).sum();
    if f64::from(slots) * USABLE_SLOTS < f64::from(totals.in_flight_at_old) {
        return Some(Hold::TooFewSlots);
    }
    if is_doubtful(&totals.results, target_count) {
        return Some(Hold::Doubtful);
    }
    let expected = f64::from(totals.requests) * schedule.share(Stage::Trial);
    let has_none = totals.sent_to_new == 0 && expected >= EXPECTED_SENDS_MIN;
    (has_none || ends_none(totals)).then_some(Hold::NoSends)
}

/// Returns the counts if at least half of the entries have reported them.
///
/// Fault: this entry leads the counts since a moment ago, and few others have reported to it.
fn representative_totals<'a>(situation: &Situation<'a>) -> Option<&'a RolloutCounts> {
    let totals = situation.totals?;
    (totals.entry_count as usize * 2 >= situation.entry_count).then_some(totals)
}

/// Returns true if the version has been sent requests and ended none of the last ones.
///
/// Fault: targets of the version accept requests and never respond.
fn ends_none(totals: &RolloutCounts) -> bool {
    let ended = totals.results.iter().any(|r| r.is_new && r.ended > 0);
    !ended && f64::from(totals.sent_to_new) >= EXPECTED_SENDS_MIN
}

/// Returns why the service has not been moved yet although its version gets all requests.
fn find_unmoved(
    situation: &Situation<'_>,
    schedule: &Schedule,
    target_count: usize,
) -> Option<Hold> {
    if target_count == 0 {
        return Some(Hold::NoTargets);
    }
    let Some(totals) = representative_totals(situation) else {
        return Some(Hold::EntriesMissing);
    };
    if ends_none(totals) {
        return Some(Hold::NoSends);
    }
    if totals.in_flight_at_old > 0 {
        return Some(Hold::InFlightAtOld);
    }
    let has_all = totals.entry_count as usize >= situation.entry_count;
    let elapsed = situation.known.elapsed(situation.now);
    // An entry that reports an earlier stage may still send to the old version.
    let is_moved = totals.stage_min >= Stage::All.number();
    if !is_moved || (!has_all && schedule.awaits_reports(elapsed)) {
        return Some(Hold::EntriesMissing);
    }
    let is_settled = schedule.is_settled(elapsed, is_judged(&totals.results));
    (!is_settled).then_some(Hold::Unsettled)
}
