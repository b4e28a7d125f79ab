//! Guards against wrong, mixed, repeated and untrue answers, with real processes.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{answer, fleet, lanes, read, runs, until, write};
use http::StatusCode;
use lacewingmoor_standin::caller::{CallerRequest, send_request};
use lacewingmoor_standin::fleet::{ServiceSpec, bundle};
use lacewingmoor_standin::target::TargetFault;
use rstest::rstest;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_reach_a_target_unchanged_and_answers_the_caller() {
    let fleet = fleet(&lanes(), 1).await;
    let got = answer(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(
        (got.status, got.signed, got.id_matches),
        (StatusCode::OK, true, true)
    );
    assert_eq!(got.body_bytes, 200);
    let got = answer(&fleet.entries[0], &write("w-1")).await;
    assert_eq!(got.status, StatusCode::OK);
    let runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    let written = runs.into_iter().find(|run| run.request_id == "w-1");
    let written = written.expect("the request ran");
    assert_eq!(written.body, Bytes::from_static(b"lane=4"));
    // The target is told what is left of the route's timeout, which is shorter than the caller's.
    assert!(written.deadline.expect("a deadline") <= Duration::from_millis(2000));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_pass_whole() {
    let plan = ServiceSpec {
        response_bytes: 3 << 20,
        ..lanes()
    };
    let fleet = fleet(&plan, 1).await;
    let got = answer(&fleet.entries[0], &read("r-1")).await;
    assert_eq!((got.status, got.body_bytes), (StatusCode::OK, 3 << 20));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_no_route_allows_is_refused() {
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
            answer(&fleet.entries[0], &request).await.status,
            status,
            "{}",
            request.id
        );
    }
    assert_eq!(runs(&fleet, "w-1"), 0);
}

struct FaultCase {
    fault: TargetFault,
    once: StatusCode,
    /// Runs of a request that may run once.
    once_runs: usize,
}

#[rstest]
#[case::lost(FaultCase { fault: TargetFault::LoseResponses, once: StatusCode::BAD_GATEWAY, once_runs: 1 })]
#[case::sheds(FaultCase { fault: TargetFault::Reject, once: StatusCode::SERVICE_UNAVAILABLE, once_runs: 0 })]
#[case::busy(FaultCase { fault: TargetFault::Unavailable, once: StatusCode::BAD_GATEWAY, once_runs: 1 })]
#[case::unsigned(FaultCase { fault: TargetFault::Unsigned, once: StatusCode::BAD_GATEWAY, once_runs: 1 })]
#[case::other_id(FaultCase { fault: TargetFault::WrongId, once: StatusCode::BAD_GATEWAY, once_runs: 1 })]
#[case::errors(FaultCase { fault: TargetFault::InternalError, once: StatusCode::INTERNAL_SERVER_ERROR, once_runs: 1 })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_of_all_targets_are_told_truly(#[case] case: FaultCase) {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        target.standin.set_fault(case.fault);
    }
    let got = answer(&fleet.entries[0], &write("w-1")).await;
    assert_eq!(got.status, case.once);
    assert_eq!(runs(&fleet, "w-1"), case.once_runs, "runs once at most");
    let refused = got.status == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(
        refused,
        got.retry_after.is_some(),
        "a refusal says when to come back"
    );
    assert!(!refused || case.once_runs == 0, "a refusal is true");
}

#[rstest]
#[case::lost(TargetFault::LoseResponses)]
#[case::sheds(TargetFault::Reject)]
#[case::busy(TargetFault::Unavailable)]
#[case::unsigned(TargetFault::Unsigned)]
#[case::other_id(TargetFault::WrongId)]
#[case::errors(TargetFault::InternalError)]
#[case::hangs(TargetFault::Hang)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_request_is_answered_by_another_target(#[case] fault: TargetFault) {
    let plan = ServiceSpec {
        // The other region has no targets of the route's first choice left.
        targets_per_zone: 1,
        ..lanes()
    };
    let fleet = fleet(&plan, 1).await;
    fleet.targets[0].standin.set_fault(fault);
    for i in 0..6 {
        let id = format!("r-{i}");
        let got = answer(&fleet.entries[0], &read(&id)).await;
        assert_eq!((got.status, got.id_matches), (StatusCode::OK, true), "{id}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn home_regions_bind() {
    let fleet = fleet(&lanes(), 4).await;
    for (i, entry) in fleet.entries.iter().enumerate() {
        let got = answer(entry, &write(&format!("w-{i}"))).await;
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_targets_and_zones_out_get_nothing() {
    let mut fleet = fleet(&lanes(), 1).await;
    let mut leaving = fleet.targets[0].registration.clone();
    leaving.draining = true;
    fleet.store.put_target(&leaving);
    fleet.store.set_zone_out_of_service("north-b", true);
    let entry = &fleet.entries[0];
    until("zone out and target leaving are known", async || {
        let text = entry.log_text();
        text.contains("change=Draining") && text.contains("out=true")
    })
    .await;
    let before: Vec<usize> = fleet
        .targets
        .iter()
        .map(|t| t.standin.runs().len())
        .collect();
    for i in 0..5 {
        answer(entry, &read(&format!("r-{i}"))).await;
    }
    for (target, before) in fleet.targets[..2].iter().zip(before) {
        assert_eq!(target.standin.runs().len(), before);
    }
    // Nothing is left in the home region of writes, so they are refused as not run.
    let request = CallerRequest {
        timeout: Duration::from_millis(800),
        ..write("w-1")
    };
    let got = answer(&fleet.entries[0], &request).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(runs(&fleet, "w-1"), 0);
    // A target that joins takes the work over.
    fleet
        .add_target(&lanes(), "new", "north-a", "north")
        .await
        .expect("it starts");
    until("the new target serves", async || {
        answer(&fleet.entries[0], &write("w-2")).await.status == StatusCode::OK
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reused_address_does_not_run_the_request_of_another_target() {
    let fleet = fleet(&lanes(), 1).await;
    // The registration names an address at which another target answers.
    let mut moved = fleet.targets[0].registration.clone();
    moved.id = "gone".into();
    fleet.store.put_target(&moved);
    for i in 0..8 {
        let got = answer(&fleet.entries[0], &read(&format!("r-{i}"))).await;
        assert_eq!(got.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_leaves_ends_the_run() {
    let plan = ServiceSpec {
        service_time: Duration::from_secs(30),
        ..lanes()
    };
    let fleet = fleet(&plan, 1).await;
    let request = CallerRequest {
        timeout: Duration::from_millis(300),
        ..write("w-1")
    };
    send_request(fleet.entries[0].callers, &request).await;
    until("the run is cancelled", async || {
        fleet
            .targets
            .iter()
            .any(|t| t.standin.cancelled_count() > 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_timeout_ends_the_wait_as_unknown() {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        target.standin.set_fault(TargetFault::Hang);
    }
    let got = answer(&fleet.entries[0], &write("w-1")).await;
    assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(runs(&fleet, "w-1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_all_say_they_are_ill_are_used_all_the_same() {
    let fleet = fleet(&lanes(), 1).await;
    for target in &fleet.targets {
        target.standin.set_healthy(false);
    }
    let got = answer(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(got.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn services_without_load_reports_are_served() {
    let plan = ServiceSpec {
        reports_load: false,
        ..lanes()
    };
    let fleet = fleet(&plan, 1).await;
    for i in 0..10 {
        let got = answer(&fleet.entries[0], &read(&format!("r-{i}"))).await;
        assert_eq!(got.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn burst_waits_at_the_entry_and_never_fills_a_target() {
    let plan = ServiceSpec {
        service_time: Duration::from_millis(50),
        ..lanes()
    };
    let fleet = fleet(&plan, 1).await;
    let callers = fleet.entries[0].callers;
    let calls: Vec<_> = (0..60)
        .map(|i| tokio::spawn(async move { send_request(callers, &read(&format!("r-{i}"))).await }))
        .collect();
    for ended in calls {
        let end = ended.await.expect("the caller does not panic");
        assert!(
            matches!(end, lacewingmoor_standin::caller::RequestResult::Response(a) if a.status == 200)
        );
    }
    for target in &fleet.targets {
        assert!(
            target.standin.max_running() <= 3,
            "the last slot is left free"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_bundle_moves_routes_without_a_restart() {
    let fleet = fleet(&lanes(), 2).await;
    let mut next = bundle(5, &[lanes()]);
    next.routes[0].path_prefix = "/lanes/moved/".into();
    fleet.store.put_bundle(&next);
    let moved = CallerRequest {
        path: "/lanes/moved/1".into(),
        ..read("r-1")
    };
    for entry in &fleet.entries {
        until("the new route is in force", async || {
            answer(entry, &moved).await.status == StatusCode::OK
        })
        .await;
        assert_eq!(
            answer(entry, &read("r-2")).await.status,
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
        assert_eq!(answer(entry, &moved).await.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_answer_without_a_report_does_not_end_the_questions() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    for i in 0..5 {
        answer(entry, &read(&format!("r-{i}"))).await;
    }
    fleet.targets[0].standin.omit_load();
    let probes = || fleet.targets[1].standin.probe_count();
    for i in 5..10 {
        answer(entry, &read(&format!("r-{i}"))).await;
    }
    let before = probes();
    for i in 10..20 {
        answer(entry, &read(&format!("r-{i}"))).await;
    }
    assert!(
        probes() > before,
        "the service reports its load, so it is asked"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_requests_are_served_within_the_questions_that_targets_may_be_asked() {
    let plan = ServiceSpec {
        service_time: Duration::from_millis(1),
        ..lanes()
    };
    let fleet = fleet(&plan, 1).await;
    let started = Instant::now();
    let calls = |caller: usize| {
        let fleet = &fleet;
        async move {
            for i in 0..500 {
                let got = answer(&fleet.entries[0], &read(&format!("r-{caller}-{i}"))).await;
                assert_eq!(got.status, StatusCode::OK);
            }
        }
    };
    tokio::join!(calls(0), calls(1), calls(2), calls(3));
    // What the settings allow, with five seconds saved up.
    let seconds = started.elapsed().as_secs() + 6;
    let asked: u64 = fleet.targets.iter().map(|t| t.standin.probe_count()).sum();
    let allowed = 60 * seconds * fleet.targets.len() as u64;
    assert!(asked <= allowed, "{asked} questions, {allowed} allowed");
}
