//! Tests of restart, reload and store faults, with real processes. They guard against entries that lose
//! contact with the store and with each other permanently.

mod common;

use std::ffi::CString;
use std::fs::File;
use std::io::Write as _;
use std::os::unix::ffi::OsStrExt as _;
use std::time::Duration;

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use http::StatusCode;
use lacewingmoor_platform::READY_PATH;
use lacewingmoor_platform::registry::ENTRIES_PREFIX;
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, bundle, get, get_status};
use lacewingmoor_standin::relay::{NetworkFault, Relay};
use lacewingmoor_standin::store::StoreFault;
use rstest::rstest;

/// Guards against needless writes to the store.
///
/// Load pattern: a restart of all entries. Without the takeover, each entry wrote a new lease and a
/// new registration, two writes; with the removal at shutdown, a planned restart took a third.
#[rstest]
#[case::killed(libc::SIGKILL)]
#[case::stopped(libc::SIGTERM)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_entry_takes_over_its_registration(#[case] signal: i32) {
    let mut fleet = fleet(&lanes(), 2).await;
    let entry_count = |fleet: &Fleet| fleet.store.keys("lacewingmoor/entries/").len();
    until("both are registered", async || entry_count(&fleet) == 2).await;
    let entry = &mut fleet.entries[1];
    entry.signal(signal);
    entry.wait(EVENT_TIMEOUT);
    let registration_count =
        |entry: &EntryProcess| entry.log_text().matches("event=registered").count();
    let count_before = registration_count(entry);
    entry.restart().expect("the entry starts");
    until("the restarted entry is registered again", async || {
        registration_count(&fleet.entries[1]) > count_before
    })
    .await;
    assert_eq!(
        (entry_count(&fleet), fleet.store.created_lease_count()),
        (2, 2)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registration_of_a_stopped_entry_is_removed_with_its_lease() {
    let mut fleet = fleet(&lanes(), 2).await;
    let entry_count = |fleet: &Fleet| fleet.store.keys("lacewingmoor/entries/").len();
    until("both are registered", async || entry_count(&fleet) == 2).await;
    fleet.entries[1].signal(libc::SIGTERM);
    assert!(fleet.entries[1].wait(EVENT_TIMEOUT));
    fleet.store.expire_leases();
    assert_eq!(entry_count(&fleet), 0);
    until("the remaining entry registers again", async || {
        entry_count(&fleet) == 1
    })
    .await;
}

/// Guards against records that a process had before its restart, or that it gets from an entry which has
/// outdated ones: a target that left, and a zone that went out of service meanwhile.
#[rstest]
#[case::entries_up_to_date(false)]
#[case::other_entry_cut_off(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_entry_does_not_use_what_was_withdrawn_meanwhile(#[case] cut_off: bool) {
    let (mut fleet, relay) = fleet_with_relay().await;
    fleet.entries[0].signal(libc::SIGKILL);
    fleet.entries[0].wait(EVENT_TIMEOUT);
    if cut_off {
        relay.set_fault(NetworkFault::Stall);
    }
    fleet.store.remove_target("lanes-north-a-0");
    fleet.store.set_zone_out_of_service("north-b", true);
    fleet.entries[0].restart().expect("the entry starts");
    let ready = fleet.entries[0].ready_addr;
    until("the entry is ready", async || {
        get_status(ready, READY_PATH).await == Some(200)
    })
    .await;
    for i in 0..20 {
        let response = expect_response(&fleet.entries[0], &read(&format!("r-{i}"))).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    for target in &fleet.targets[..2] {
        let id = &target.registration.id;
        assert!(target.standin.runs().is_empty(), "{id} got requests");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_settings_on_reload_are_rejected_and_valid_ones_applied() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let valid = std::fs::read_to_string(&entry.settings_path).expect("the settings can be read");
    std::fs::write(&entry.settings_path, "node: [").expect("the settings can be written");
    entry.signal(libc::SIGHUP);
    until("the reload fails", async || {
        entry.log_text().contains("event=reload_failed")
    })
    .await;
    assert_eq!(
        expect_response(entry, &read("r-1")).await.status,
        StatusCode::OK
    );
    let changed = valid.replace("\"extra\":64.0", "\"extra\":10.0");
    std::fs::write(&entry.settings_path, changed).expect("the settings can be written");
    entry.signal(libc::SIGHUP);
    until("the reload is applied", async || {
        entry.log_text().contains("changed=true")
    })
    .await;
    assert_eq!(
        expect_response(entry, &read("r-2")).await.status,
        StatusCode::OK
    );
}

#[rstest]
#[case::reset(StoreFault::Reset)]
#[case::hang(StoreFault::Hang)]
#[case::too_many_requests(StoreFault::TooManyRequests)]
#[case::lost_responses(StoreFault::LoseResponses)]
#[case::slow(StoreFault::Delay(Duration::from_millis(300)))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_serve_during_a_store_fault_and_get_changes_after_it(#[case] fault: StoreFault) {
    let fleet = fleet(&lanes(), 2).await;
    fleet.store.set_fault(fault);
    // Longer than a watch that gets no response takes to fail.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for entry in &fleet.entries {
        assert_eq!(
            expect_response(entry, &read("r-1")).await.status,
            StatusCode::OK
        );
        assert_eq!(get_status(entry.ready_addr, READY_PATH).await, Some(200));
    }
    fleet.store.set_fault(StoreFault::None);
    // An entry whose revision is older than the store's cannot continue its watch and has to list
    // all keys.
    fleet.store.compact();
    let mut next_bundle = bundle(5, &[lanes()]);
    next_bundle.routes[0].path_prefix = "/lanes/moved/".into();
    fleet.store.put_bundle(&next_bundle);
    let moved_request = CallerRequest {
        path: "/lanes/moved/1".into(),
        ..read("r-2")
    };
    for entry in &fleet.entries {
        until("the entry applies the new bundle", async || {
            expect_response(entry, &moved_request).await.status == StatusCode::OK
        })
        .await;
    }
}

/// Starts a fleet of two entries; the second reaches the store through a relay.
async fn fleet_with_relay() -> (Fleet, Relay) {
    let mut fleet = fleet(&lanes(), 1).await;
    let relay = Relay::start(fleet.store.addr())
        .await
        .expect("the relay starts");
    fleet
        .add_entry("entry-x", "north-b", relay.addr())
        .expect("the entry starts");
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("the entry is ready");
    (fleet, relay)
}

#[rstest]
#[case::stall(NetworkFault::Stall)]
#[case::stall_one_way(NetworkFault::StallFromClient)]
#[case::reset(NetworkFault::Reset)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_cut_off_from_the_store_gets_changes_from_another_entry(#[case] fault: NetworkFault) {
    let (fleet, relay) = fleet_with_relay().await;
    relay.set_fault(fault);
    fleet.store.set_zone_out_of_service("south-a", true);
    until("the entry takes the zone out of service", async || {
        let status = get(fleet.entries[1].metrics_addr, "/status").await;
        status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_still_get_changes_after_their_source_is_killed() {
    let mut fleet = fleet(&lanes(), 3).await;
    until("the second entry follows the first", async || {
        fleet.entries[1]
            .log_text()
            .contains("Peer(\\\"entry-0\\\")")
    })
    .await;
    fleet.entries[0].signal(libc::SIGKILL);
    fleet.entries[0].wait(EVENT_TIMEOUT);
    fleet.store.set_zone_out_of_service("south-a", true);
    for entry in &fleet.entries[1..] {
        until("the entry takes the zone out of service", async || {
            let status = get(entry.metrics_addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_leaves_a_suspended_source() {
    let fleet = fleet(&lanes(), 2).await;
    until("the second entry follows the first", async || {
        fleet.entries[1]
            .log_text()
            .contains("Peer(\\\"entry-0\\\")")
    })
    .await;
    fleet.entries[0].signal(libc::SIGSTOP);
    fleet.store.set_zone_out_of_service("south-a", true);
    until(
        "the second entry takes the zone out of service",
        async || {
            let status = get(fleet.entries[1].metrics_addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
        },
    )
    .await;
    fleet.entries[0].signal(libc::SIGCONT);
    until(
        "the first entry takes the zone out of service",
        async || {
            let status = get(fleet.entries[0].metrics_addr, "/status").await;
            status.is_some_and(|(_, text)| text.contains("\"zones_out\":[\"south-a\"]"))
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_starts_during_a_store_outage_follows_a_seed() {
    let mut fleet = fleet(&lanes(), 1).await;
    fleet.store.set_fault(StoreFault::Hang);
    fleet
        .add_entry("entry-late", "north-b", fleet.store.addr())
        .expect("the entry starts");
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("the entry is ready");
    assert_eq!(
        expect_response(&fleet.entries[1], &read("r-1"))
            .await
            .status,
        StatusCode::OK
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_without_a_bundle_responds_that_requests_were_not_run() {
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
    let ready = fleet.entries[0].ready_addr;
    until("the entry listens", async || {
        get_status(ready, READY_PATH).await == Some(503)
    })
    .await;
    let response = expect_response(&fleet.entries[0], &read("r-1")).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after.is_some());
}

/// Guards against losing all targets at once when their registrations expired during a store
/// outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lapsed_targets_are_kept_then_dropped_unless_they_register_again() {
    let fleet = fleet(&lanes(), 1).await;
    fleet.store.set_fault(StoreFault::Hang);
    until("the entry has lost the store", async || {
        fleet.entries[0].log_text().contains("event=source_lost")
    })
    .await;
    // Longer than `OUTAGE_MIN` of `view_sync`, so that the outage counts.
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
    until(
        "targets that do not register again are dropped",
        async || {
            let log = fleet.entries[0].log_text();
            log.matches("change=Left").count() == 2
        },
    )
    .await;
    assert_eq!(
        expect_response(&fleet.entries[0], &read("r-1"))
            .await
            .status,
        StatusCode::OK
    );
}

/// Guards against signal handlers that are installed only after the settings are read, so that
/// SIGHUP kills a process that is still starting. Found by the soak run with seed 5.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_signal_during_startup_does_not_end_the_process() {
    let mut fleet = fleet(&lanes(), 1).await;
    let entry = &mut fleet.entries[0];
    entry.signal(libc::SIGKILL);
    entry.wait(EVENT_TIMEOUT);
    // The settings file becomes a pipe, so that startup waits until the settings are written to it.
    let settings = std::fs::read(&entry.settings_path).expect("the settings can be read");
    std::fs::remove_file(&entry.settings_path).expect("the file can be replaced");
    let path = CString::new(entry.settings_path.as_os_str().as_bytes())
        .expect("the path contains no NUL byte");
    // SAFETY: `path` is a valid C string that lives until the call returns.
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    entry.restart().expect("the entry starts");
    let mut pipe = File::options().write(true).open(&entry.settings_path);
    entry.signal(libc::SIGHUP);
    // The reload reads a regular file again.
    std::fs::remove_file(&entry.settings_path).expect("the pipe can be replaced");
    std::fs::write(&entry.settings_path, &settings).expect("the file can be written");
    let write_result = pipe.as_mut().map(|pipe| pipe.write_all(&settings));
    write_result
        .expect("the entry opens the pipe")
        .expect("the entry reads all settings");
    drop(pipe);
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("the entry is ready");
}

/// Guards against a panic when the settings are reloaded while changes of the store are applied.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_while_updates_arrive_does_not_end_the_process() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    for _ in 0..40 {
        fleet.store.put_target(&fleet.targets[0].registration);
        tokio::time::sleep(Duration::from_millis(15)).await;
        entry.signal(libc::SIGHUP);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    assert_eq!(
        expect_response(entry, &read("r-1")).await.status,
        StatusCode::OK
    );
    assert!(
        !entry.log_text().contains("panicked"),
        "{}",
        entry.log_text()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_starts_during_a_store_outage_does_not_report_a_fresh_view() {
    let mut fleet = fleet(&lanes(), 1).await;
    fleet.store.set_fault(StoreFault::Hang);
    until(
        "the first entry has been without the store for 3 s",
        async || view_age_ms(&fleet, 0).await > 3000,
    )
    .await;
    fleet
        .add_entry("entry-late", "north-a", fleet.store.addr())
        .expect("the entry starts");
    fleet
        .wait_ready(EVENT_TIMEOUT)
        .await
        .expect("the entry is ready");
    let age_ms = view_age_ms(&fleet, 1).await;
    assert!(
        age_ms > 1_000_000,
        "the store has not confirmed the view, but its age is {age_ms} ms"
    );
}

/// Returns the age of an entry's view as its status page reports it.
async fn view_age_ms(fleet: &Fleet, entry: usize) -> u64 {
    let status = get(fleet.entries[entry].metrics_addr, "/status").await;
    let (_, text) = status.expect("a status");
    let status: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    status["knowledge_age_ms"].as_u64().expect("an age")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_arrives_before_the_first_bundle_is_served() {
    let mut fleet = fleet(&lanes(), 1).await;
    // Otherwise the other entry finds nobody to follow, and waits before it lists all keys itself.
    until("the entry is registered", async || {
        !fleet.store.keys(ENTRIES_PREFIX).is_empty()
    })
    .await;
    // Shorter than `BUNDLE_WAIT` of `request`, so that the bundle arrives while the request waits.
    fleet
        .store
        .set_fault(StoreFault::Delay(Duration::from_millis(120)));
    fleet
        .add_entry("entry-slow", "north-a", fleet.store.addr())
        .expect("the entry starts");
    let ready = fleet.entries[1].ready_addr;
    until("the entry listens", async || {
        get_status(ready, READY_PATH).await.is_some()
    })
    .await;
    let response = expect_response(&fleet.entries[1], &read("r-1")).await;
    assert_eq!(response.status, StatusCode::OK);
}
