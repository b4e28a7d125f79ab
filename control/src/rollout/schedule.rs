//! When an order reaches which stage, and the share of requests in each stage.

use std::time::Duration;

use lacewingmoor_derive::value;

use super::Stage;

/// Part of the exposure bound that sends to the new version may use until it gets all requests. The rest
/// covers entries that die with sends that nobody counts any more.
const BOUND_UTILIZATION: f64 = 0.9;

/// Multiple of the exposure bound that the version gets in the last stage before all requests, for a tenth
/// of the duration: as much as at least two targets need for about normal load if the version has eight or
/// more, so that a version that is bad under load shows it before it gets everything.
const RAISED_FACTOR: f64 = 3.0;

/// Start of the stage, as a part of the duration, and the same while the responses of the version are too
/// few to judge it. The planned cumulative share is 0.57 of the exposure bound when the version gets all
/// requests, and a fifth of the duration is left then in any case.
const STARTS: [(Stage, f64, f64); 4] = [
    (Stage::All, 0.75, 0.8),
    (Stage::Raised, 0.65, 0.72),
    (Stage::Rising, 0.55, 0.63),
    (Stage::Trial, 0.04, 0.04),
];

/// Part of the duration at which an order that has not reached all requests is rolled back.
const LAST_CALL: f64 = 0.95;

/// Part of the duration before which an order does not complete. The version gets all requests for a tenth
/// of the duration at least, with results that are judged as before.
///
/// Fault: a version that is bad under full load only. Without this time it would complete within the time
/// that its first slow responses take.
const SETTLED: f64 = 0.85;

/// Part of the duration from which entries that do not report no longer hold back the completion.
const REPORTS_AWAITED: f64 = 0.92;

/// Schedule of one order.
#[value]
#[derive(Copy)]
pub struct Schedule {
    /// Share of the requests of the exposure bound.
    pub bound: f64,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

impl Schedule {
    /// Returns the share of requests that go to the new version in a stage.
    pub fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::None | Stage::RolledBack => 0.0,
            Stage::Trial => self.bound / 3.0,
            Stage::Rising => self.bound,
            Stage::Raised => (self.bound * RAISED_FACTOR).min(1.0),
            Stage::All | Stage::Completed => 1.0,
        }
    }

    /// Returns the share of all requests since the order that may have gone to the new version while it
    /// does not get all.
    pub fn cumulative_share(&self) -> f64 {
        self.bound * BOUND_UTILIZATION
    }

    /// Returns the stage that is due after `elapsed`, at most [`Stage::All`].
    pub fn due(&self, elapsed: Duration, is_judged: bool) -> Stage {
        let mut starts = STARTS.iter();
        let due = starts.find(|(_, start, without_judgement)| {
            let start = match is_judged {
                true => *start,
                false => *without_judgement,
            };
            self.is_after(elapsed, start)
        });
        due.map_or(Stage::None, |(stage, ..)| *stage)
    }

    /// Returns true once an order that has not reached all requests cannot complete in time.
    pub fn is_too_late(&self, elapsed: Duration) -> bool {
        self.is_after(elapsed, LAST_CALL)
    }

    /// Returns true if the order may complete as far as its results are concerned.
    pub fn is_settled(&self, elapsed: Duration, is_judged: bool) -> bool {
        self.is_after(elapsed, SETTLED) && (is_judged || !self.awaits_reports(elapsed))
    }

    /// Returns true while the completion waits for entries that do not report.
    pub fn awaits_reports(&self, elapsed: Duration) -> bool {
        !self.is_after(elapsed, REPORTS_AWAITED)
    }

    fn is_after(&self, elapsed: Duration, part: f64) -> bool {
        elapsed >= self.duration.mul_f64(part)
    }
}
