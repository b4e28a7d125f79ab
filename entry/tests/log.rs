//! Tests of the log. They guard against request lines without the route, target and estimate that
//! explain the result, and against logs that grow without bound, hide that lines were left out, or
//! can be forged by callers.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};

use common::{expect_response, fleet, lanes, read, until};
use lacewingmoor_standin::caller::{CallerRequest, send_request};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_log_line_has_route_target_and_estimate() {
    let fleet = fleet(&lanes(), 1).await;
    expect_response(&fleet.entries[0], &read("r-1")).await;
    until("the request is logged", async || {
        fleet.entries[0].log_text().contains("request=r-1")
    })
    .await;
    let log = fleet.entries[0].log_text();
    let line = log
        .lines()
        .find(|l| l.contains("event=request") && l.contains("request=r-1"));
    let line = line.expect("the request is logged");
    for key in [
        "route=",
        "version=1",
        "status=200",
        "target=",
        "ahead=",
        "pace=",
        "ms=",
    ] {
        assert!(line.contains(key), "{key} in {line}");
    }
    assert!(log.contains("event=start") && log.contains("event=bundle_in_force"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lines_above_the_rate_are_left_out_and_counted() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let text = std::fs::read_to_string(&entry.settings_path).expect("the settings are readable");
    let mut settings: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    settings["log"] = serde_json::json!({ "lines_per_s": 5 });
    std::fs::write(&entry.settings_path, settings.to_string())
        .expect("the settings file is writable");
    entry.signal(libc::SIGHUP);
    until("the reload is applied", async || {
        entry.log_text().contains("event=reload")
    })
    .await;
    let sent = AtomicU64::new(0);
    until("lines are left out", async || {
        for _ in 0..50 {
            let id = format!("r-{}", sent.fetch_add(1, Ordering::Relaxed));
            expect_response(entry, &read(&id)).await;
        }
        entry.log_text().contains("event=log_lines_left_out")
    })
    .await;
    let written = entry.log_text().matches("event=request ").count() as u64;
    assert!(written < sent.load(Ordering::Relaxed));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_text_cannot_forge_log_lines() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let request = CallerRequest {
        id: "x event=start \"y".into(),
        ..read("")
    };
    send_request(entry.caller_addr, &request).await;
    until("the request is logged", async || {
        entry.log_text().contains("event=request ")
    })
    .await;
    assert!(entry.log_text().contains("request=\"x event=start \\\"y\""));
}

/// The reader of standard output, a pipe, stands still. The process stopped with it as soon as the pipe was
/// full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reader_of_the_log_that_stands_still_stops_no_request() {
    let mut fleet = fleet(&lanes(), 1).await;
    let reader = fleet.entries[0]
        .restart_with_pipe()
        .expect("the entry starts");
    fleet
        .wait_ready(common::EVENT_TIMEOUT)
        .await
        .expect("the entry is ready");
    // A pipe and the buffer of the process have 64 KiB each, a line has more than 200 bytes.
    for i in 0..1200 {
        let response = expect_response(&fleet.entries[0], &read(&format!("r-{i}"))).await;
        assert_eq!(response.status.as_u16(), 200);
    }
    let text = reader.read_until("event=log_lines_left_out");
    assert!(text.contains("event=start "), "{text}");
}
