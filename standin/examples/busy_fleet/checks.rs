//! Checks of what callers and targets observed.
//!
//! An entry counts for the checks with a time bound only if it was not killed, starved or started from
//! [`CONTACT_TIME`] before a request until its end.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::StatusCode;
use lacewingmoor_standin::caller::RequestResult;

use crate::callers::{Connection, Kind, Observed};
use crate::{Disturbance, GRACE, RETRY_AFTER, Scenario, route_timeout};

/// Time for which an entry must have been undisturbed.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after the route's timeout by which a request must have its response.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Time after which a version of the bundle must be in force, as in the settings of the entries.
const APPLY_DEADLINE: Duration = Duration::from_millis(2000);

/// Time after the sending of a request up to which its connection may close without a response, if no
/// target got it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after the end of the grace period up to which a request counts that a shutdown must not break off.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// Time after SIGTERM up to which a request may be sent that may be broken off in the last sixth of the grace
/// period.
const BREAK_OFF_ARRIVALS: Duration = Duration::from_secs(3);

/// Time after a response which says that a target leaves from which on it must get no request.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);

/// Time after a rejection that names when to come back from which on it holds.
const DECLINE_SLACK: Duration = Duration::from_millis(500);

/// Requests of an entry that may reach a target while it wants none.
const DECLINED_MAX: usize = 2;

/// Late responses above which a seed is broken, if they are more than a quarter of those that were not
/// there by the timeout.
const LATE_MAX: usize = 7;

/// Checks all, and returns a summary.
///
/// # Errors
///
/// Returns what is broken.
pub fn check(scenario: &Scenario, observed: &[Observed]) -> Result<String, String> {
    if let Some(failure) = scenario.process_failures.first() {
        return Err(failure.clone());
    }
    let logs = scenario.fleet.entries.iter().map(|entry| entry.log_text());
    if let Some(log) = logs.into_iter().find(|log| log.contains("panicked")) {
        let line = log.lines().find(|line| line.contains("panicked"));
        return Err(line.unwrap_or_default().to_owned());
    }
    let runs = count_runs(scenario);
    check_outcomes(observed, &runs)?;
    check_stops(scenario, observed, &runs)?;
    check_added_routes(scenario, observed)?;
    check_notices(scenario, observed)?;
    let timeouts = check_timeouts(scenario, observed)?;
    Ok(format!(
        "{} requests, {} versions, {timeouts}",
        observed.len(),
        scenario.written_at.len()
    ))
}

fn count_runs(scenario: &Scenario) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for target in &scenario.fleet.targets {
        for run in target.standin.runs() {
            *counts.entry(run.request_id).or_default() += 1;
        }
    }
    counts
}

fn status(observed: &Observed) -> Option<StatusCode> {
    match &observed.result {
        RequestResult::Response(response) => Some(response.status),
        RequestResult::NoResponse | RequestResult::ConnectFailed => None,
    }
}

/// Returns true if the status means that the request has not run and will not.
fn is_refusal(status: StatusCode) -> bool {
    [408, 421, 429, 503].contains(&status.as_u16())
}

/// Guards against second runs, refusals of requests that ran, and successes that are not valid.
fn check_outcomes(observed: &[Observed], runs: &HashMap<String, usize>) -> Result<(), String> {
    for request in observed {
        let count = runs.get(&request.id).copied().unwrap_or(0);
        if request.kind.runs_once() && count > 1 {
            return Err(format!("{} ran {count} times", request.id));
        }
        let RequestResult::Response(response) = &request.result else {
            continue;
        };
        if is_refusal(response.status) && request.kind.runs_once() && count > 0 {
            return Err(format!(
                "{} was refused as not run but ran: {request:?}",
                request.id
            ));
        }
        let is_valid = response.signed
            && response.id_matches
            && Some(response.body_bytes) == request.kind.response_bytes();
        if response.status == StatusCode::OK && !is_valid {
            return Err(format!(
                "{} got an invalid success: {response:?}",
                request.id
            ));
        }
    }
    Ok(())
}

/// Returns true if the entry was undisturbed, apart from stops, from [`CONTACT_TIME`] before `from` until
/// `to`.
fn is_undisturbed(scenario: &Scenario, entry: usize, from: Instant, to: Instant) -> bool {
    let mut disturbed = scenario.disturbed[entry].iter();
    !disturbed.any(|(disturbance, at)| {
        *disturbance == Disturbance::Unplanned && *at + CONTACT_TIME >= from && *at <= to
    })
}

fn last_stop(scenario: &Scenario, entry: usize, before: Instant) -> Option<Instant> {
    let stops = scenario.disturbed[entry].iter();
    let stops =
        stops.filter(|(disturbance, at)| *disturbance == Disturbance::Stop && *at <= before);
    stops.map(|(_, at)| *at).max()
}

/// Returns true if a request that a target got, or that was read, has no complete response of a target.
fn is_broken_off(request: &Observed, has_run: bool) -> bool {
    let elapsed = request.ended_at - request.sent_at;
    match &request.result {
        // A request on a kept connection may cross its close.
        RequestResult::NoResponse => {
            has_run || (elapsed > LOSS_SLACK && request.connection == Connection::New)
        }
        // The targets of orders have no faults, so each other response is one of the entry.
        RequestResult::Response(response) if request.kind == Kind::Order => {
            has_run && !response.signed && !is_refusal(response.status)
        }
        RequestResult::Response(_) | RequestResult::ConnectFailed => false,
    }
}

/// Guards against requests that a stop breaks off.
fn check_stops(
    scenario: &Scenario,
    observed: &[Observed],
    runs: &HashMap<String, usize>,
) -> Result<(), String> {
    for request in observed {
        let elapsed = request.ended_at - request.sent_at;
        let Some(stopped_at) = last_stop(scenario, request.entry, request.ended_at) else {
            continue;
        };
        let is_around_stop = request.sent_at < stopped_at + GRACE + STOP_SLACK;
        let may_be_broken_off = request.sent_at <= stopped_at + BREAK_OFF_ARRIVALS
            && request.ended_at >= stopped_at + GRACE * 5 / 6;
        if is_broken_off(request, runs.contains_key(&request.id))
            && is_around_stop
            && !may_be_broken_off
            && elapsed < route_timeout(request.kind)
            && is_undisturbed(scenario, request.entry, request.sent_at, request.ended_at)
        {
            let sent = request.sent_at.saturating_duration_since(stopped_at);
            let after = request.ended_at - stopped_at;
            return Err(format!(
                "sent {sent:?} and broken off {after:?} after SIGTERM: {request:?}"
            ));
        }
    }
    Ok(())
}

/// Guards against versions of the bundle that are not in force in time, or no longer.
fn check_added_routes(scenario: &Scenario, observed: &[Observed]) -> Result<(), String> {
    for request in observed {
        let Kind::Added(version) = request.kind else {
            continue;
        };
        let due_at = scenario.written_at[version - 1] + APPLY_DEADLINE;
        let is_calm = is_undisturbed(scenario, request.entry, request.sent_at, request.ended_at)
            && last_stop(scenario, request.entry, request.ended_at)
                .is_none_or(|at| at + CONTACT_TIME < request.sent_at);
        if status(request) == Some(StatusCode::NOT_FOUND) && request.sent_at > due_at && is_calm {
            let late = request.sent_at - due_at;
            return Err(format!(
                "version {version} is not in force {late:?} after its deadline: {request:?}"
            ));
        }
    }
    Ok(())
}

/// Guards against requests to targets that told the entry that they leave, or that they want none for a
/// while.
fn check_notices(scenario: &Scenario, observed: &[Observed]) -> Result<(), String> {
    let by_id: HashMap<&str, &Observed> = observed.iter().map(|o| (o.id.as_str(), o)).collect();
    let relayed = scenario.fleet.targets.iter().zip(&scenario.relay_faults);
    for (i, (target, relay_faults)) in relayed.enumerate() {
        let mut told_leaving: HashMap<usize, Instant> = HashMap::new();
        let mut told_declined: HashMap<usize, (Instant, usize)> = HashMap::new();
        for arrival in target.standin.arrivals() {
            let Some(request) = by_id.get(arrival.request_id.as_str()) else {
                continue;
            };
            let entry = request.entry;
            let mut faults = relay_faults.iter();
            let is_harmed = faults.any(|(from, to)| {
                *from <= arrival.at && to.is_none_or(|to| to + CONTACT_TIME >= arrival.at)
            });
            let mut restarts = scenario.target_restarts[i].iter();
            let has_just_restarted =
                restarts.any(|at| *at <= arrival.at && *at + CONTACT_TIME >= request.sent_at);
            // A response may not have arrived, or may be that of the process before.
            if is_harmed || has_just_restarted {
                continue;
            }
            let is_same_process = |since: Instant| {
                let mut restarts = scenario.target_restarts[i].iter();
                let mut disturbed = scenario.disturbed[entry].iter();
                !restarts.any(|at| *at >= since && *at <= arrival.at)
                    && !disturbed.any(|(what, at)| {
                        *what == Disturbance::Unplanned && *at >= since && *at <= arrival.at
                    })
            };
            if let Some(at) = told_leaving.get(&entry).copied()
                && request.sent_at > at + DRAIN_PERIOD
                && is_same_process(at)
            {
                return Err(format!(
                    "{} got {request:?} after it left",
                    target.registration.id
                ));
            }
            if let Some((at, count)) = told_declined.get_mut(&entry)
                && (*at + DECLINE_SLACK..*at + RETRY_AFTER).contains(&arrival.at)
                && is_same_process(*at)
            {
                *count += 1;
                if *count > DECLINED_MAX {
                    return Err(format!(
                        "{} got {request:?} too early",
                        target.registration.id
                    ));
                }
            }
            let was_passed_on = status(request) == Some(StatusCode::OK);
            if arrival.leaving && was_passed_on {
                let told_at = told_leaving.entry(entry).or_insert(request.ended_at);
                if !is_same_process(*told_at) {
                    *told_at = request.ended_at;
                }
            }
            if arrival.declined {
                let told = told_declined.entry(entry).or_insert((arrival.at, 0));
                if arrival.at > told.0 + RETRY_AFTER || !is_same_process(told.0) {
                    *told = (arrival.at, 0);
                }
            }
        }
    }
    Ok(())
}

/// Guards against requests that have no response after the timeout of their route.
fn check_timeouts(scenario: &Scenario, observed: &[Observed]) -> Result<String, String> {
    let mut unanswered = 0;
    let mut late = Vec::new();
    for request in observed {
        let elapsed = request.ended_at - request.sent_at;
        let timeout = route_timeout(request.kind);
        let to = request.sent_at + timeout + RESPONSE_SLACK;
        if elapsed < timeout
            || request.result == RequestResult::ConnectFailed
            || !is_undisturbed(scenario, request.entry, request.sent_at, to)
        {
            continue;
        }
        unanswered += 1;
        if elapsed > timeout + RESPONSE_SLACK {
            late.push(request);
        }
    }
    if late.len() > LATE_MAX && late.len() * 4 > unanswered {
        return Err(format!(
            "{} of {unanswered} requests beyond their timeout had no response {RESPONSE_SLACK:?} later, \
             such as {:?}",
            late.len(),
            late[0]
        ));
    }
    Ok(format!(
        "{unanswered} beyond their timeout, {} of them late",
        late.len()
    ))
}
