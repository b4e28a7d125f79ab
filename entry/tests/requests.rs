//! Tests of the request path with real processes: guards against wrong or mixed-up responses,
//! requests that run twice, and responses that misstate whether a request has run.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{expect_response, fleet, lanes, read, runs, until, write};
use http::StatusCode;
use lacewingmoor_standin::caller::{CallerRequest, send_request};
use lacewingmoor_standin::fleet::{ServiceSpec, bundle, get};
use lacewingmoor_standin::target::TargetFault;
use rstest::rstest;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_and_responses_are_forwarded_unchanged() {
    let fleet = fleet(&lanes(), 1).await;
    let got = expect_response(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(
        (got.status, got.signed, got.id_matches),
        (StatusCode::OK, true, true)
    );
    assert_eq!(got.body_bytes, 200);
    let got = expect_response(&fleet.entries[0], &write("w-1")).await;
    assert_eq!(got.status, StatusCode::OK);
    let runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    let written = runs.into_iter().find(|run| run.request_id == "w-1");
    let written = written.expect("the request ran");
    assert_eq!(written.body, Bytes::from_static(b"lane=4"));
    // The target gets the remaining time of the route's timeout, which is shorter than the
    // caller's timeout.
    assert!(written.caller_timeout.expect("a deadline") <= Duration::from_millis(2000));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_responses_are_forwarded_completely() {
    let spec = ServiceSpec {
        response_bytes: 3 << 20,
        ..lanes()
    };
    let fleet = fleet(&spec, 1).await;
    let got = expect_response(&fleet.entries[0], &read("r-1")).await;
    assert_eq!((got.status, got.body_bytes), (StatusCode::OK, 3 << 20));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_route_and_large_bodies_are_refused() {
    let fleet = fleet(&lanes(), 1).await;
    let cases = [
        (
            CallerRequest {
                path: "/other/".into(),
                ..read("r-1")
            },
            StatusCode::NOT_FOUND,
        ),
        (
            CallerRequest {
                // A path prefix of a route ends at a path segment.
                path: "/lanes/readx".into(),
                ..read("r-2")
            },
            StatusCode::NOT_FOUND,
        ),
        (
            CallerRequest {
                host: "other.example".into(),
                ..read("r-3")
            },
            StatusCode::NOT_FOUND,
        ),
        (
            CallerRequest {
                body: vec![0; 2 << 20].into(),
                ..write("w-1")
            },
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
    ];
    for (request, status) in cases {
        assert_eq!(
            expect_response(&fleet.entries[0], &request).await.status,
            status,
            "{}",
            request.id
        );
    }
    assert_eq!(runs(&fleet, "w-1"), 0);
}

struct FaultCase {
    fault: TargetFault,
    status: StatusCode,
    /// Expected number of runs; writes may run at most once.
    runs: usize,
}

#[rstest]
#[case::lost_response(FaultCase { fault: TargetFault::LoseResponses, status: StatusCode::BAD_GATEWAY, runs: 1 })]
#[case::rejected(FaultCase { fault: TargetFault::Reject, status: StatusCode::SERVICE_UNAVAILABLE, runs: 0 })]
#[case::unavailable(FaultCase { fault: TargetFault::Unavailable, status: StatusCode::BAD_GATEWAY, runs: 1 })]
#[case::unsigned(FaultCase { fault: TargetFault::Unsigned, status: StatusCode::BAD_GATEWAY, runs: 1 })]
#[case::wrong_id(FaultCase { fault: TargetFault::WrongId, status: StatusCode::BAD_GATEWAY, runs: 1 })]
#[case::internal_error(FaultCase { fault: TargetFault::InternalError, status: StatusCode::INTERNAL_SERVER_ERROR, runs: 1 })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_state_the_outcome_truly_if_all_targets_fail(#[case] case: FaultCase) {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        target.standin.set_fault(case.fault);
    }
    let got = expect_response(&fleet.entries[0], &write("w-1")).await;
    assert_eq!(got.status, case.status);
    assert_eq!(
        runs(&fleet, "w-1"),
        case.runs,
        "the request runs at most once"
    );
    let refused = got.status == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(
        refused,
        got.retry_after.is_some(),
        "a refusal has a retry-after"
    );
    assert!(!refused || case.runs == 0, "a refused request has not run");
}

#[rstest]
#[case::lost_response(TargetFault::LoseResponses)]
#[case::rejected(TargetFault::Reject)]
#[case::unavailable(TargetFault::Unavailable)]
#[case::unsigned(TargetFault::Unsigned)]
#[case::wrong_id(TargetFault::WrongId)]
#[case::internal_error(TargetFault::InternalError)]
#[case::hang(TargetFault::Hang)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_request_is_retried_on_another_target(#[case] fault: TargetFault) {
    let spec = ServiceSpec {
        // As in `lanes()`; stated because the retry must go to another zone.
        targets_per_zone: 1,
        ..lanes()
    };
    let fleet = fleet(&spec, 1).await;
    fleet.targets[0].standin.set_fault(fault);
    for i in 0..6 {
        let id = format!("r-{i}");
        let got = expect_response(&fleet.entries[0], &read(&id)).await;
        assert_eq!((got.status, got.id_matches), (StatusCode::OK, true), "{id}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_stay_in_the_home_regions_of_their_route() {
    let fleet = fleet(&lanes(), 4).await;
    for (i, entry) in fleet.entries.iter().enumerate() {
        let got = expect_response(entry, &write(&format!("w-{i}"))).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    for target in &fleet.targets {
        let written = target
            .standin
            .runs()
            .iter()
            .any(|r| r.request_id.starts_with("w-"));
        assert!(!written || &*target.registration.region == "north");
    }
}

/// Guards against requests to targets that drain or whose zone is out of service, against writes
/// that leave their home region when it has no targets left, and against an entry that does not use
/// a target that joins later. There is one target per zone: the first, in north-a, drains, and the
/// second is in north-b, which is out of service. They are all targets of north, the home region
/// of writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_targets_and_zones_out_of_service_get_no_requests() {
    let mut fleet = fleet(&lanes(), 1).await;
    let mut leaving = fleet.targets[0].registration.clone();
    leaving.draining = true;
    fleet.store.put_target(&leaving);
    fleet.store.set_zone_out_of_service("north-b", true);
    let entry = &fleet.entries[0];
    until(
        "draining target and zone out of service are known",
        async || {
            let text = entry.log_text();
            text.contains("change=Draining") && text.contains("out=true")
        },
    )
    .await;
    let before: Vec<usize> = fleet
        .targets
        .iter()
        .map(|t| t.standin.runs().len())
        .collect();
    for i in 0..5 {
        expect_response(entry, &read(&format!("r-{i}"))).await;
    }
    for (target, before) in fleet.targets[..2].iter().zip(before) {
        assert_eq!(target.standin.runs().len(), before);
    }
    // No target is left in the home region of writes, so they are refused as not run.
    let request = CallerRequest {
        timeout: Duration::from_millis(800),
        ..write("w-1")
    };
    let got = expect_response(&fleet.entries[0], &request).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(runs(&fleet, "w-1"), 0);
    // A target that joins there gets the writes.
    fleet
        .add_target(&lanes(), "new", "north-a", "north")
        .await
        .expect("the target starts");
    until("the new target serves", async || {
        expect_response(&fleet.entries[0], &write("w-2"))
            .await
            .status
            == StatusCode::OK
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_registration_of_a_reused_address_fails_no_request() {
    let fleet = fleet(&lanes(), 1).await;
    // A stale registration: its target is gone and another target has its address. That one
    // rejects requests meant for the target that is gone.
    let mut stale = fleet.targets[0].registration.clone();
    stale.id = "gone".into();
    fleet.store.put_target(&stale);
    for i in 0..8 {
        let got = expect_response(&fleet.entries[0], &read(&format!("r-{i}"))).await;
        assert_eq!(got.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_is_cancelled_when_the_caller_disconnects() {
    let spec = ServiceSpec {
        service_time: Duration::from_secs(30),
        ..lanes()
    };
    let fleet = fleet(&spec, 1).await;
    let request = CallerRequest {
        timeout: Duration::from_millis(300),
        ..write("w-1")
    };
    send_request(fleet.entries[0].caller_addr, &request).await;
    until("the run is cancelled", async || {
        fleet
            .targets
            .iter()
            .any(|t| t.standin.cancelled_count() > 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_timeout_is_reported_as_unknown_outcome() {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        target.standin.set_fault(TargetFault::Hang);
    }
    let got = expect_response(&fleet.entries[0], &write("w-1")).await;
    assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(runs(&fleet, "w-1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unhealthy_targets_are_used_if_there_are_no_others() {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        target.standin.set_healthy(false);
    }
    let got = expect_response(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(got.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn services_without_load_reports_are_served() {
    let spec = ServiceSpec {
        reports_load: false,
        ..lanes()
    };
    let fleet = fleet(&spec, 1).await;
    for i in 0..10 {
        let got = expect_response(&fleet.entries[0], &read(&format!("r-{i}"))).await;
        assert_eq!(got.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn burst_is_queued_in_the_entry_and_fills_no_target() {
    let spec = ServiceSpec {
        service_time: Duration::from_millis(50),
        ..lanes()
    };
    let fleet = fleet(&spec, 1).await;
    let callers = fleet.entries[0].caller_addr;
    let calls: Vec<_> = (0..60)
        .map(|i| tokio::spawn(async move { send_request(callers, &read(&format!("r-{i}"))).await }))
        .collect();
    for call in calls {
        let result = call.await.expect("the caller does not panic");
        assert!(
            matches!(result, lacewingmoor_standin::caller::RequestResult::Response(a) if a.status == 200)
        );
    }
    for target in &fleet.targets {
        assert!(
            target.standin.max_running() <= 3,
            "the last slot of a target stays free"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_bundle_changes_routes_without_a_restart() {
    let fleet = fleet(&lanes(), 2).await;
    let mut next = bundle(5, &[lanes()]);
    next.routes[0].path_prefix = "/lanes/moved/".into();
    fleet.store.put_bundle(&next);
    let moved = CallerRequest {
        path: "/lanes/moved/1".into(),
        ..read("r-1")
    };
    for entry in &fleet.entries {
        until("the new route is active", async || {
            expect_response(entry, &moved).await.status == StatusCode::OK
        })
        .await;
        assert_eq!(
            expect_response(entry, &read("r-2")).await.status,
            StatusCode::NOT_FOUND
        );
    }
    // An older version changes nothing.
    fleet.store.put_bundle(&bundle(3, &[lanes()]));
    for entry in &fleet.entries {
        until("the old version is ignored", async || {
            entry.log_text().contains("bundle_ignored")
        })
        .await;
        assert_eq!(expect_response(entry, &moved).await.status, StatusCode::OK);
    }
}

/// Guards against an entry that stops probing a service because one response lacks its load report.
/// Here all responses of one target lack it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_response_without_a_load_report_does_not_end_the_probes() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    // In its first seconds an entry shares the probe budget with others that may have started, so
    // that some requests go without probes.
    until("the entry counts itself only", async || {
        let page = get(entry.metrics_addr, "/status").await;
        page.is_some_and(|(_, text)| text.contains("\"members\":1,"))
    })
    .await;
    for i in 0..5 {
        expect_response(entry, &read(&format!("r-{i}"))).await;
    }
    fleet.targets[0].standin.stop_load_reports();
    let probes = || fleet.targets[1].standin.probe_count();
    for i in 5..10 {
        expect_response(entry, &read(&format!("r-{i}"))).await;
    }
    let before = probes();
    for i in 10..20 {
        expect_response(entry, &read(&format!("r-{i}"))).await;
    }
    // Each request probes all targets of its region, of which there are fewer than in a round.
    let probed = probes() - before;
    assert!(
        probed >= 10,
        "the service reports its load, so its targets are probed: {probed} probes of one in 10 requests"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_requests_keep_to_the_allowed_probe_rate() {
    let spec = ServiceSpec {
        service_time: Duration::from_millis(1),
        ..lanes()
    };
    let fleet = fleet(&spec, 1).await;
    let started = Instant::now();
    let calls = |caller: usize| {
        let fleet = &fleet;
        async move {
            for i in 0..500 {
                let got =
                    expect_response(&fleet.entries[0], &read(&format!("r-{caller}-{i}"))).await;
                assert_eq!(got.status, StatusCode::OK);
            }
        }
    };
    tokio::join!(calls(0), calls(1), calls(2), calls(3));
    // Five seconds whose probes the budget can save up, and one because the time is rounded down.
    let seconds = started.elapsed().as_secs() + 6;
    let probes: u64 = fleet.targets.iter().map(|t| t.standin.probe_count()).sum();
    // `probes_per_s` in the settings of the entry: 60 probes per second and target.
    let allowed = 60 * seconds * fleet.targets.len() as u64;
    assert!(probes <= allowed, "{probes} probes, {allowed} allowed");
}

/// Guards against connections that are closed after a probe: each request opened two, because targets that
/// were probed but not selected were taken to be assigned to a queued request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_probes_are_used_again() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    for i in 0..30 {
        let response = expect_response(entry, &read(&format!("r-{i}"))).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    let (_, metrics) = get(entry.metrics_addr, "/metrics").await.expect("metrics");
    let opened = metrics
        .lines()
        .find_map(|line| line.strip_prefix("lacewingmoor_connections_opened_total "));
    let opened: u64 = opened.and_then(|n| n.parse().ok()).expect("a counter");
    assert!(
        opened <= 2 * fleet.targets.len() as u64,
        "{opened} connections"
    );
}
