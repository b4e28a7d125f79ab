//! Guards against requests to targets that said in a response that they leave, or when to come back.

mod common;

use std::time::{Duration, Instant};

use common::{expect_response, fleet, lanes, read, until};
use lacewingmoor_standin::fleet::{Fleet, ServiceSpec};
use rstest::rstest;

/// Time after a response which says that a target leaves from which on it must get no request.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);

/// Time after a rejection that names when to come back from which on it holds.
const RETRY_AFTER_GRACE: Duration = Duration::from_millis(500);

/// Requests that may reach a target before it may be sent to again.
const EARLY_MAX: usize = 2;

/// Starts a fleet with one entry and `targets` targets of its region.
async fn fleet_with(targets: usize) -> Fleet {
    let spec = ServiceSpec {
        targets_per_zone: 0,
        ..lanes()
    };
    let mut fleet = fleet(&spec, 1).await;
    for i in 0..targets {
        let id = format!("t-{i}");
        let added = fleet.add_target(&spec, &id, "north-a", "north").await;
        added.expect("the target starts");
        until("the entry knows the target", async || {
            fleet.entries[0]
                .log_text()
                .contains(&format!("target={id} change=Joined"))
        })
        .await;
    }
    fleet
}

/// Sends `count` requests one after the other.
async fn send(fleet: &Fleet, prefix: &str, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for i in 0..count {
        let request = read(&format!("{prefix}-{i}"));
        let response = expect_response(&fleet.entries[0], &request).await;
        statuses.push(response.status.as_u16());
    }
    statuses
}

/// Returns the number of requests whose id begins with `prefix` that reached a target.
fn arrivals(fleet: &Fleet, target: usize, prefix: &str) -> usize {
    let arrivals = fleet.targets[target].standin.arrivals();
    arrivals
        .iter()
        .filter(|a| a.request_id.starts_with(prefix))
        .count()
}

/// Sends requests until one has reached the first target.
async fn reach_first(fleet: &Fleet, prefix: &str) {
    until("a request reaches the target", async || {
        send(fleet, prefix, 1).await;
        arrivals(fleet, 0, prefix) > 0
    })
    .await;
}

/// Sends requests until a response to one of them, or to a probe, has told the entry that the first target
/// leaves.
async fn learn_of_leaving(fleet: &Fleet) {
    until("the entry knows", async || {
        send(fleet, "first", 1).await;
        let log = fleet.entries[0].log_text();
        log.contains("event=target_leaving target=t-0") || arrivals(fleet, 0, "first") > 0
    })
    .await;
}

/// What the store says of the target afterwards.
#[derive(Clone, Copy)]
enum Registration {
    Unchanged,
    WrittenAgain,
    RemovedAndWrittenAgain,
}

#[rstest]
#[case::unchanged(Registration::Unchanged)]
#[case::written_again(Registration::WrittenAgain)]
#[case::removed_and_written_again(Registration::RemovedAndWrittenAgain)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_that_said_that_it_leaves_gets_no_request(#[case] then: Registration) {
    let fleet = fleet_with(2).await;
    fleet.targets[0].standin.set_leaving(true);
    learn_of_leaving(&fleet).await;
    let registration = &fleet.targets[0].registration;
    if matches!(then, Registration::RemovedAndWrittenAgain) {
        fleet.store.remove_target(&registration.id);
        until("the target has left", async || {
            fleet.entries[0]
                .log_text()
                .contains("target=t-0 change=Left")
        })
        .await;
    }
    if !matches!(then, Registration::Unchanged) {
        let mut again = registration.clone();
        again.sequence = Some(7);
        fleet.store.put_target(&again);
    }
    tokio::time::sleep(DRAIN_PERIOD).await;
    let statuses = send(&fleet, "later", 30).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(arrivals(&fleet, 0, "later"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_that_starts_again_under_its_id_is_used_again() {
    let fleet = fleet_with(2).await;
    fleet.targets[0].standin.set_leaving(true);
    learn_of_leaving(&fleet).await;
    fleet.targets[0].standin.set_leaving(false);
    let mut restarted = fleet.targets[0].registration.clone();
    restarted.started_unix_ms = restarted.started_unix_ms.map(|at| at + 1000);
    fleet.store.put_target(&restarted);
    until("the target has restarted", async || {
        fleet.entries[0]
            .log_text()
            .contains("target=t-0 change=Restarted")
    })
    .await;
    reach_first(&fleet, "again").await;
}

/// Targets that leave go on serving: while no other is left they are used for a part of the drain period.
/// Then requests are refused at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_whose_targets_all_leave_is_served_for_a_while_and_then_refused_at_once() {
    let fleet = fleet_with(2).await;
    for target in &fleet.targets {
        target.standin.set_leaving(true);
    }
    let statuses = send(&fleet, "first", 10).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    tokio::time::sleep(DRAIN_PERIOD).await;
    let response = expect_response(&fleet.entries[0], &read("later")).await;
    assert_eq!(response.status.as_u16(), 503);
    assert!(response.retry_after.is_some());
    assert!(
        response.latency < Duration::from_secs(1),
        "{:?}",
        response.latency
    );
    let log = fleet.entries[0].log_text();
    assert!(
        log.contains("leaving"),
        "the log line names the reason\n{log}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn target_gets_no_request_before_it_wants_one_and_some_after() {
    let fleet = fleet_with(2).await;
    fleet.targets[0].standin.set_retry_after(&["3"]);
    reach_first(&fleet, "first").await;
    let rejected_at = fleet.targets[0].standin.arrivals()[0].at;
    let mut i = 0;
    while rejected_at.elapsed() < Duration::from_secs(3) {
        send(&fleet, &format!("meanwhile-{i}"), 1).await;
        i += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals_meanwhile = fleet.targets[0].standin.arrivals();
    let early = arrivals_meanwhile.iter().filter(|arrival| {
        let after = arrival.at.saturating_duration_since(rejected_at);
        (RETRY_AFTER_GRACE..Duration::from_secs(3)).contains(&after)
    });
    let early = early.count();
    assert!(early <= EARLY_MAX, "{early} requests before the end");
    fleet.targets[0].standin.set_retry_after(&[]);
    reach_first(&fleet, "after").await;
}

/// A request that cannot be served in time is refused at once, with the time at which targets come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_while_all_targets_want_none() {
    let fleet = fleet_with(2).await;
    for target in &fleet.targets {
        target.standin.set_retry_after(&["6"]);
    }
    // Each target gets one request to tell it.
    until("all targets have told it", async || {
        send(&fleet, "first", 1).await;
        (0..2).all(|target| arrivals(&fleet, target, "first") > 0)
    })
    .await;
    tokio::time::sleep(RETRY_AFTER_GRACE).await;
    let started = Instant::now();
    let response = expect_response(&fleet.entries[0], &read("later")).await;
    assert_eq!(response.status.as_u16(), 503);
    let retry_after = response
        .retry_after
        .expect("a refusal says when to come back");
    assert!(retry_after > Duration::from_secs(3), "{retry_after:?}");
    // The timeout of the route is 2 s.
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(
        arrivals(&fleet, 0, "later") + arrivals(&fleet, 1, "later"),
        0
    );
    let log = fleet.entries[0].log_text();
    assert!(
        log.contains("declined"),
        "the log line names the reason\n{log}"
    );
}

/// A request that can be served after the first target comes back waits for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_wait_for_a_target_that_wants_one_in_time() {
    let fleet = fleet_with(1).await;
    fleet.targets[0].standin.set_retry_after(&["1"]);
    reach_first(&fleet, "first").await;
    fleet.targets[0].standin.set_retry_after(&[]);
    let response = expect_response(&fleet.entries[0], &read("later")).await;
    assert_eq!(
        response.status.as_u16(),
        200,
        "{}",
        fleet.entries[0].log_text()
    );
}

#[rstest]
#[case::zero(&["0"])]
#[case::negative(&["-3"])]
#[case::not_a_number(&["NaN"])]
#[case::too_large(&["1e308"])]
#[case::date(&["Wed, 21 Oct 2026 07:28:00 GMT"])]
#[case::words(&["soon"])]
#[case::empty(&[""])]
#[case::two_fields(&["0.2", "0.4"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_times_to_come_back_end_nothing(#[case] texts: &'static [&'static str]) {
    let mut fleet = fleet_with(2).await;
    fleet.targets[0].standin.set_retry_after(texts);
    reach_first(&fleet, "first").await;
    fleet.targets[0].standin.set_retry_after(&[]);
    let statuses = send(&fleet, "later", 5).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(!fleet.entries[0].has_exited());
    assert!(!fleet.entries[0].log_text().contains("panicked"));
    until("a log line tells", async || {
        let log = fleet.entries[0].log_text();
        log.contains("event=target_declined") || log.contains("event=target_retry_after_unusable")
    })
    .await;
    if texts != ["1e308"] {
        reach_first(&fleet, "again").await;
    }
}
