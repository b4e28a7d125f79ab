//! Guards against cut requests at a stop, and against entries that lose touch for good, with real
//! processes.

mod common;

use std::ffi::CString;
use std::fs::File;
use std::io::Write as _;
use std::os::unix::ffi::OsStrExt as _;
use std::time::Duration;

use common::{PATIENCE, answer, fleet, lanes, read, until};
use http::StatusCode;
use lacewingmoor_platform::READY_PATH;
use lacewingmoor_standin::caller::{CallerRequest, RequestResult, send_request};
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, ServiceSpec, bundle, get, get_status};
use lacewingmoor_standin::relay::{NetworkFault, Relay};
use lacewingmoor_standin::store::StoreFault;
use rstest::rstest;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_finishes_what_runs_and_keeps_accepting_for_a_while() {
    let plan = ServiceSpec {
        service_time: Duration::from_millis(1200),
        ..lanes()
    };
    let mut fleet = fleet(&plan, 1).await;
    let callers = fleet.entries[0].callers;
    let running = tokio::spawn(async move { send_request(callers, &read("r-1")).await });
    until("the request runs", async || {
        common::runs(&fleet, "r-1") == 1
    })
    .await;
    fleet.entries[0].signal(libc::SIGTERM);
    let ready = fleet.entries[0].ready;
    until("not ready", async || {
        get_status(ready, READY_PATH).await == Some(503)
    })
    .await;
    // Callers that the platform's balancer still sends here are served.
    let late = answer(&fleet.entries[0], &read("r-2")).await;
    assert_eq!(
        (late.status, late.closes_connection),
        (StatusCode::OK, true)
    );
    let RequestResult::Response(first) = running.await.expect("the caller does not panic") else {
        panic!("the request was cut\n{}", fleet.entries[0].log_text());
    };
    assert_eq!(first.status, StatusCode::OK);
    assert!(
        fleet.entries[0].wait(PATIENCE),
        "ends by itself, without an error"
    );
    let log = fleet.entries[0].log_text();
    assert!(log.contains("event=stopping") && log.contains("event=stopped"));
}

/// A restart of the whole fleet cost two writes of the store an entry, and a planned one three.
#[rstest]
#[case::killed(libc::SIGKILL)]
#[case::stopped(libc::SIGTERM)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_entry_takes_its_registration_over(#[case] signal: i32) {
    let mut fleet = fleet(&lanes(), 2).await;
    let entries = |fleet: &Fleet| fleet.store.keys("lacewingmoor/entries/").len();
    until("both are registered", async || entries(&fleet) == 2).await;
    let entry = &mut fleet.entries[1];
    entry.signal(signal);
    entry.wait(PATIENCE);
    let registered = |entry: &EntryProcess| entry.log_text().matches("event=registered").count();
    let before = registered(entry);
    entry.restart().expect("the entry starts");
    until("it is registered again", async || {
        registered(&fleet.entries[1]) > before
    })
    .await;
    assert_eq!((entries(&fleet), fleet.store.leases_created()), (2, 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registration_ends_with_the_lease_of_a_process_that_is_gone() {
    let mut fleet = fleet(&lanes(), 2).await;
    let entries = |fleet: &Fleet| fleet.store.keys("lacewingmoor/entries/").len();
    until("both are registered", async || entries(&fleet) == 2).await;
    fleet.entries[1].signal(libc::SIGTERM);
    assert!(fleet.entries[1].wait(PATIENCE));
    fleet.store.expire_leases();
    assert_eq!(entries(&fleet), 0);
    until("the one that is left registers anew", async || {
        entries(&fleet) == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unusable_settings_end_the_start_and_lose_nothing_on_reload() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let good = std::fs::read_to_string(&entry.settings_path).expect("the settings are there");
    std::fs::write(&entry.settings_path, "node: [").expect("the file is writable");
    entry.signal(libc::SIGHUP);
    until("the reload fails", async || {
        entry.log_text().contains("event=reload_failed")
    })
    .await;
    assert_eq!(answer(entry, &read("r-1")).await.status, StatusCode::OK);
    let changed = good.replace("\"extra\":64.0", "\"extra\":10.0");
    std::fs::write(&entry.settings_path, changed).expect("the file is writable");
    entry.signal(libc::SIGHUP);
    until("the reload is applied", async || {
        entry.log_text().contains("changed=true")
    })
    .await;
    assert_eq!(answer(entry, &read("r-2")).await.status, StatusCode::OK);
}

#[rstest]
#[case::reset(StoreFault::Reset)]
#[case::silent(StoreFault::Hang)]
#[case::busy(StoreFault::TooManyRequests)]
#[case::loses_answers(StoreFault::LoseResponses)]
#[case::slow(StoreFault::Delay(Duration::from_millis(300)))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_trouble_stops_no_service_and_ends_without_help(#[case] fault: StoreFault) {
    let fleet = fleet(&lanes(), 2).await;
    fleet.store.set_fault(fault);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for entry in &fleet.entries {
        assert_eq!(answer(entry, &read("r-1")).await.status, StatusCode::OK);
        assert_eq!(get_status(entry.ready, READY_PATH).await, Some(200));
    }
    fleet.store.set_fault(StoreFault::None);
    fleet.store.compact();
    let mut next = bundle(5, &[lanes()]);
    next.routes[0].path_prefix = "/lanes/moved/".into();
    fleet.store.put_bundle(&next);
    let moved = CallerRequest {
        path: "/lanes/moved/1".into(),
        ..read("r-2")
    };
    for entry in &fleet.entries {
        until("the change arrives", async || {
            answer(entry, &moved).await.status == StatusCode::OK
        })
        .await;
    }
}

/// An entry behind a relay to the store, beside one that reaches the store directly.
async fn one_behind_relay() -> (Fleet, Relay) {
    let mut fleet = fleet(&lanes(), 1).await;
    let relay = Relay::start(fleet.store.addr())
        .await
        .expect("the relay starts");
    fleet
        .add_entry("entry-x", "north-b", relay.addr())
        .expect("the entry starts");
    fleet.wait_ready(PATIENCE).await.expect("it is ready");
    (fleet, relay)
}

#[rstest]
#[case::silence(NetworkFault::Stall)]
#[case::one_way(NetworkFault::StallFromClient)]
#[case::reset(NetworkFault::Reset)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_is_cut_from_the_store_learns_from_another(#[case] harm: NetworkFault) {
    let (fleet, relay) = one_behind_relay().await;
    relay.set_fault(harm);
    fleet.store.set_zone_out_of_service("south-a", true);
    until("the entry learns of it", async || {
        let status = get(fleet.entries[1].metrics, "/status").await;
        status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_go_on_when_their_source_dies() {
    let mut fleet = fleet(&lanes(), 3).await;
    until("the second follows the first", async || {
        fleet.entries[1]
            .log_text()
            .contains("Peer(\\\"entry-0\\\")")
    })
    .await;
    fleet.entries[0].signal(libc::SIGKILL);
    fleet.entries[0].wait(PATIENCE);
    fleet.store.set_zone_out_of_service("south-a", true);
    for entry in &fleet.entries[1..] {
        until("the entry learns of it", async || {
            let status = get(entry.metrics, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_leave_a_source_that_stands_still() {
    let fleet = fleet(&lanes(), 2).await;
    until("the second follows the first", async || {
        fleet.entries[1]
            .log_text()
            .contains("Peer(\\\"entry-0\\\")")
    })
    .await;
    fleet.entries[0].signal(libc::SIGSTOP);
    fleet.store.set_zone_out_of_service("south-a", true);
    until("the second learns of it", async || {
        let status = get(fleet.entries[1].metrics, "/status").await;
        status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
    })
    .await;
    fleet.entries[0].signal(libc::SIGCONT);
    until("the first catches up", async || {
        let status = get(fleet.entries[0].metrics, "/status").await;
        status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_starts_while_the_store_is_away_learns_from_a_seed() {
    let mut fleet = fleet(&lanes(), 1).await;
    fleet.store.set_fault(StoreFault::Hang);
    fleet
        .add_entry("entry-late", "north-b", fleet.store.addr())
        .expect("the entry starts");
    fleet.wait_ready(PATIENCE).await.expect("it is ready");
    assert_eq!(
        answer(&fleet.entries[1], &read("r-1")).await.status,
        StatusCode::OK
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_without_a_bundle_refuses_as_not_run() {
    let fleet = Fleet::start(
        std::path::Path::new(env!("CARGO_BIN_EXE_lacewingmoord")),
        &[],
        0,
    );
    let mut fleet = fleet.await.expect("the store starts");
    fleet.store.set_fault(StoreFault::Hang);
    fleet
        .add_entry("entry-0", "north-a", fleet.store.addr())
        .expect("the entry starts");
    let ready = fleet.entries[0].ready;
    until("it listens", async || {
        get_status(ready, READY_PATH).await == Some(503)
    })
    .await;
    let got = answer(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(got.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_lapsed_with_the_store_are_back_or_gone_after_it_returns() {
    let fleet = fleet(&lanes(), 1).await;
    fleet.store.set_fault(StoreFault::Hang);
    until("the entry has lost the store", async || {
        fleet.entries[0].log_text().contains("event=source_lost")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2600)).await;
    for target in &fleet.targets[1..] {
        fleet.store.remove_target(&target.registration.id);
    }
    fleet.store.set_fault(StoreFault::None);
    until("lapsed targets are kept", async || {
        fleet.entries[0].log_text().contains("change=Lapsed")
    })
    .await;
    fleet.store.put_target(&fleet.targets[1].registration);
    until("those that do not come back are dropped", async || {
        let log = fleet.entries[0].log_text();
        log.matches("change=Left").count() == 2
    })
    .await;
    assert_eq!(
        answer(&fleet.entries[0], &read("r-1")).await.status,
        StatusCode::OK
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_waits_until_a_slow_caller_has_the_whole_answer() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let plan = ServiceSpec {
        response_bytes: 16 << 20,
        ..lanes()
    };
    let mut fleet = fleet(&plan, 1).await;
    let stream = tokio::net::TcpStream::connect(fleet.entries[0].callers).await;
    let mut stream = stream.expect("the entry accepts");
    let head = format!(
        "GET /lanes/read/1 HTTP/1.1\r\nHost: {}\r\nX-Lacewingmoor-Attempt-Id: r-1\r\n\r\n",
        lacewingmoor_standin::fleet::HOST
    );
    stream.write_all(head.as_bytes()).await.expect("it is read");
    until("the request runs", async || {
        common::runs(&fleet, "r-1") == 1
    })
    .await;
    fleet.entries[0].signal(libc::SIGTERM);
    // Longer than the time for which connections are accepted.
    tokio::time::sleep(Duration::from_millis(3200)).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    assert!(read.is_ok(), "{read:?}");
    assert!(bytes.len() > 16 << 20, "{} bytes came", bytes.len());
    assert!(fleet.entries[0].wait(PATIENCE));
}

/// Soak seed 5: a reload that was asked for right after a start ended the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_during_the_start_does_not_end_the_process() {
    let mut fleet = fleet(&lanes(), 1).await;
    let entry = &mut fleet.entries[0];
    entry.signal(libc::SIGKILL);
    entry.wait(PATIENCE);
    // The start waits until the settings are written into the pipe.
    let settings = std::fs::read(&entry.settings_path).expect("the settings are there");
    std::fs::remove_file(&entry.settings_path).expect("the file can be replaced");
    let path =
        CString::new(entry.settings_path.as_os_str().as_bytes()).expect("a path has no zero");
    // SAFETY: the path is a valid C string for the time of the call.
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    entry.restart().expect("the entry starts");
    let mut pipe = File::options().write(true).open(&entry.settings_path);
    entry.signal(libc::SIGHUP);
    // The reload finds a file again.
    std::fs::remove_file(&entry.settings_path).expect("the pipe can be replaced");
    std::fs::write(&entry.settings_path, &settings).expect("the file can be written");
    let written = pipe.as_mut().map(|pipe| pipe.write_all(&settings));
    written.expect("the entry reads").expect("it reads all");
    drop(pipe);
    fleet
        .wait_ready(PATIENCE)
        .await
        .expect("the entry is ready");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_while_changes_arrive_does_not_end_the_process() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    for _ in 0..40 {
        fleet.store.put_target(&fleet.targets[0].registration);
        tokio::time::sleep(Duration::from_millis(15)).await;
        entry.signal(libc::SIGHUP);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    assert_eq!(answer(entry, &read("r-1")).await.status, StatusCode::OK);
    assert!(
        !entry.log_text().contains("panicked"),
        "{}",
        entry.log_text()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_starts_during_an_outage_does_not_pass_for_a_good_source() {
    let mut fleet = fleet(&lanes(), 1).await;
    fleet.store.set_fault(StoreFault::Hang);
    until(
        "the first has been without the store for long",
        async || age_ms(&fleet, 0).await > 3000,
    )
    .await;
    fleet
        .add_entry("entry-late", "north-a", fleet.store.addr())
        .expect("the entry starts");
    fleet.wait_ready(PATIENCE).await.expect("it is ready");
    let age_ms = age_ms(&fleet, 1).await;
    assert!(
        age_ms > 1_000_000,
        "nobody has confirmed what it knows: {age_ms} ms"
    );
}

/// Returns the age of an entry's knowledge that its status tells.
async fn age_ms(fleet: &Fleet, entry: usize) -> u64 {
    let status = get(fleet.entries[entry].metrics, "/status").await;
    let (_, text) = status.expect("a status");
    let status: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    status["knowledge_age_ms"].as_u64().expect("an age")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_arrives_before_the_first_bundle_is_served() {
    let mut fleet = fleet(&lanes(), 1).await;
    fleet
        .store
        .set_fault(StoreFault::Delay(Duration::from_millis(120)));
    fleet
        .add_entry("entry-slow", "north-a", fleet.store.addr())
        .expect("the entry starts");
    let ready = fleet.entries[1].ready;
    until("it listens", async || {
        get_status(ready, READY_PATH).await.is_some()
    })
    .await;
    let got = answer(&fleet.entries[1], &read("r-1")).await;
    assert_eq!(got.status, StatusCode::OK);
}
