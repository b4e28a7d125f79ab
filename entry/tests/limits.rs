//! Guards against limits that hold for all entries together and are exceeded, with real processes.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read};
use http::StatusCode;
use lacewingmoor_standin::caller::{RequestResult, send_request};
use lacewingmoor_standin::fleet::{Fleet, bundle};
use lacewingmoor_standin::target::LimitScope;
use rstest::rstest;

/// Time after the response that told an entry of a limit from which on the entry must keep to it.
const TOLD_GRACE: Duration = Duration::from_millis(500);

/// Time after a target first named a limit from which on the limit is checked.
const CONTACT: Duration = Duration::from_secs(3);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Pause between two requests of a caller to the same entry.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);

/// Sends requests to every entry, one after the other, for `duration`. The id of a request starts with
/// the index of its entry. Returns the numbers of requests that were served and that were not.
async fn send_for(fleet: &Fleet, prefix: &str, duration: Duration) -> (usize, usize) {
    let until = Instant::now() + duration;
    let tasks = fleet.entries.iter().enumerate().map(|(i, entry)| {
        let addr = entry.caller_addr;
        let prefix: Arc<str> = format!("{i}-{prefix}").into();
        tokio::spawn(async move {
            let (mut served, mut failed) = (0, 0);
            while Instant::now() < until {
                let request = read(&format!("{prefix}-{}", served + failed));
                match send_request(addr, &request).await {
                    RequestResult::Response(response) if response.status.is_success() => {
                        served += 1;
                    }
                    _ => failed += 1,
                }
                tokio::time::sleep(REQUEST_PAUSE).await;
            }
            (served, failed)
        })
    });
    let mut total = (0, 0);
    for task in tasks.collect::<Vec<_>>() {
        let (served, failed) = task.await.expect("the caller does not panic");
        total = (total.0 + served, total.1 + failed);
    }
    total
}

/// Returns the arrivals at a target, after `from`, from entries that had been told of its limit.
fn arrivals_from_told_entries(fleet: &Fleet, target: usize, from: Instant) -> Vec<Instant> {
    let mut told_at: HashMap<String, Instant> = HashMap::new();
    let mut counted = Vec::new();
    for run in fleet.targets[target].standin.runs() {
        if run.arrived_at < from {
            continue;
        }
        let (entry, _) = run.request_id.split_once('-').expect("an entry's index");
        let told = told_at.entry(entry.to_owned()).or_insert(run.arrived_at);
        if run.arrived_at >= *told + TOLD_GRACE {
            counted.push(run.arrived_at);
        }
    }
    counted
}

/// Time after which an entry has probes for all targets.
const PROBES_AVAILABLE_AFTER: Duration = Duration::from_secs(1);

/// Returns the largest number of arrivals in a window that starts at `from` or later.
fn most_in_a_window(arrivals: &[Instant], from: Instant) -> usize {
    let counts = arrivals.iter().enumerate().map(|(i, start)| {
        let in_window = arrivals[i..].iter().take_while(|at| **at < *start + WINDOW);
        match *start >= from {
            true => in_window.count(),
            false => 0,
        }
    });
    counts.max().unwrap_or(0)
}

#[rstest]
#[case::named_in_all_responses(LimitScope::AllResponses)]
#[case::named_in_responses_to_requests(LimitScope::Requests)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_gets_no_more_from_all_entries_than_the_limit_that_it_names(
    #[case] scope: LimitScope,
) {
    let fleet = fleet(&lanes(), 8).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let limited_from = Instant::now();
    fleet.targets[0].standin.set_limit(Some(("1.0", scope)));
    let (served, failed) = send_for(&fleet, "r", CONTACT + WINDOW + WINDOW).await;
    assert!(served > 0 && failed == 0, "{served} served, {failed} not");
    let arrivals = arrivals_from_told_entries(&fleet, 0, limited_from);
    let most = most_in_a_window(&arrivals, limited_from + CONTACT);
    let allowed = 1.5 * 1.0 * WINDOW.as_secs_f64() + 5.0;
    assert!(
        most as f64 <= allowed,
        "{most} requests in a window, allowed {allowed}"
    );
}

/// Requests that no target may get must not wait until their timeout: the caller could retry at another
/// entry meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beyond_the_limits_of_all_targets_are_refused_at_once() {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        let limit = Some(("0", LimitScope::AllResponses));
        target.standin.set_limit(limit);
    }
    // In the first milliseconds of its process, an entry has too few probes to ask every target, and sends
    // a request to one that has not told it its limit.
    tokio::time::sleep(PROBES_AVAILABLE_AFTER).await;
    // Each would wait for nearly two seconds, the timeout of the route.
    let requests = async {
        for i in 0..30 {
            let got = expect_response(&fleet.entries[0], &read(&format!("r-{i}"))).await;
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(got.retry_after.is_some(), "a refusal has a retry-after");
        }
    };
    let done = tokio::time::timeout(EVENT_TIMEOUT, requests).await;
    assert!(done.is_ok(), "30 requests are refused in time");
    let runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    assert_eq!(runs.count(), 0, "no request ran");
}

/// Idle connections of hundreds of entries would take all that a target accepts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_of_all_entries_leave_room_at_a_target() {
    let fleet = fleet(&lanes(), 8).await;
    let mut bundle = bundle(2, &[lanes()]);
    bundle.services[0].connections_max = 2;
    fleet.store.put_bundle(&bundle);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (served, failed) = send_for(&fleet, "r", Duration::from_secs(2)).await;
    assert!(served > 0 && failed == 0, "{served} served, {failed} not");
    // Shorter than the time after which an idle connection is closed in any case.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let open = fleet.targets.iter().map(|t| t.standin.open_connections());
    let open: Vec<usize> = open.collect();
    assert!(open.iter().all(|open| *open <= 2), "{open:?}");
}
