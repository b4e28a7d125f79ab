//! Guards against bodies within the limits that together exceed the memory of a VM, whose process is then
//! killed with all its requests.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{
    EVENT_TIMEOUT, expect_response, fleet, lanes, peak_memory_kb, register_raw, until, write,
};
use lacewingmoor_bundle::RawLimits;
use lacewingmoor_standin::caller::{CallerRequest, RequestResult, send_request};
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec, bundle};
use lacewingmoor_standin::raw_target::{RawTarget, Script};
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Memory of a VM that does not state it.
const VM_MEMORY_KB: u64 = 160 * 1024;

/// Memory of the smallest VMs that state it.
const SMALL_VM_MB: u64 = 112;

/// Length of a body that fits, while two of them do not.
const BODY_BYTES: usize = 60 << 20;

/// Starts an entry that takes long bodies, on a VM whose memory is `memory_mb` if that is known.
async fn fleet_for_bodies(spec: &ServiceSpec, memory_mb: Option<u64>) -> Fleet {
    let fleet = fleet(spec, 1).await;
    if let Some(memory_mb) = memory_mb {
        let path = &fleet.entries[0].settings_path;
        let text = std::fs::read_to_string(path).expect("the settings exist");
        let mut settings: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        settings["bounds"] = serde_json::json!({ "memory_mb": memory_mb });
        std::fs::write(path, settings.to_string()).expect("the settings are written");
        fleet.entries[0].signal(libc::SIGHUP);
        until("the settings are in force", async || {
            fleet.entries[0]
                .log_text()
                .contains("event=reload changed=true")
        })
        .await;
    }
    let mut limits = bundle(2, std::slice::from_ref(spec));
    limits.limits = RawLimits {
        body_bytes_max: BODY_BYTES as u64,
        ..limits.limits
    };
    for route in &mut limits.routes {
        route.timeout_ms = 15_000;
    }
    fleet.store.put_bundle(&limits);
    until("the bundle is active", async || {
        let log = fleet.entries[0].log_text();
        log.contains("event=bundle_in_force version=2")
    })
    .await;
    fleet
}

fn upload(id: &str, bytes: usize) -> CallerRequest {
    CallerRequest {
        body: Bytes::from(vec![b'x'; bytes]),
        timeout: EVENT_TIMEOUT,
        ..write(id)
    }
}

/// Announces a body of `announced` bytes and sends `sent` of them.
async fn announce(fleet: &Fleet, id: &str, announced: usize, sent: usize) -> TcpStream {
    let stream = TcpStream::connect(fleet.entries[0].caller_addr).await;
    let mut stream = stream.expect("the entry accepts");
    let head = format!(
        "POST /lanes/write/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\
         Content-Length: {announced}\r\n\r\n"
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the head is written");
    let written = stream.write_all(&vec![b'x'; sent]).await;
    written.expect("a part of the body is written");
    stream
}

/// Guards against callers that announce a long body and do not send it: they kept the bodies of others away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_bytes_that_do_not_come_keep_no_other_body_away() {
    let fleet = fleet_for_bodies(&lanes(), Some(SMALL_VM_MB)).await;
    let mut silent = Vec::new();
    for i in 0..4 {
        silent.push(announce(&fleet, &format!("silent-{i}"), 40_000_000, 1000).await);
    }
    // The entry has read their heads.
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (i, bytes) in [360_000, 360_000, 30_000_000].into_iter().enumerate() {
        let response = expect_response(&fleet.entries[0], &upload(&format!("u-{i}"), bytes)).await;
        let log = fleet.entries[0].log_text();
        assert_eq!(response.status.as_u16(), 200, "{bytes} bytes\n{log}");
    }
}

/// Guards against slow senders that occupy the slots of targets: each would keep a slot for seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_senders_hold_no_slot_of_a_target() {
    let spec = ServiceSpec {
        targets_per_zone: 1,
        slots: 2,
        ..lanes()
    };
    let fleet = fleet_for_bodies(&spec, Some(SMALL_VM_MB)).await;
    let mut slow = Vec::new();
    for i in 0..20 {
        slow.push(announce(&fleet, &format!("slow-{i}"), 360_000, 200_000).await);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for i in 0..10 {
        let response = expect_response(&fleet.entries[0], &write(&format!("r-{i}"))).await;
        assert_eq!(response.status.as_u16(), 200);
    }
    let runs = (0..20).map(|i| common::runs(&fleet, &format!("slow-{i}")));
    assert_eq!(
        runs.sum::<usize>(),
        0,
        "a request ran before its body was whole"
    );
}

/// Load pattern: many uploads of the usual lengths arrive at once at the smallest VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_uploads_at_once_fit_on_the_smallest_vm() {
    let spec = ServiceSpec {
        targets_per_zone: 4,
        slots: 64,
        ..lanes()
    };
    let fleet = fleet_for_bodies(&spec, Some(SMALL_VM_MB)).await;
    let addr = fleet.entries[0].caller_addr;
    let uploads = (0..100).map(|i| {
        let request = upload(&format!("u-{i}"), [60_000, 120_000, 360_000][i % 3]);
        tokio::spawn(async move { send_request(addr, &request).await })
    });
    for upload in uploads.collect::<Vec<_>>() {
        let result = upload.await.expect("the caller does not panic");
        let RequestResult::Response(response) = result else {
            panic!("{result:?}\n{}", fleet.entries[0].log_text());
        };
        let log = fleet.entries[0].log_text();
        assert_eq!(response.status.as_u16(), 200, "{log}");
    }
    let peak_kb = peak_memory_kb(&fleet);
    assert!(
        peak_kb <= SMALL_VM_MB * 1000 * 3 / 4,
        "peak of {peak_kb} KB"
    );
}

#[rstest]
#[case::unknown_memory(None, BODY_BYTES, VM_MEMORY_KB)]
#[case::smallest_vm(Some(SMALL_VM_MB), 30_000_000, SMALL_VM_MB * 1000 * 3 / 4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn several_large_bodies_at_once_leave_the_process_running(
    #[case] memory_mb: Option<u64>,
    #[case] body_bytes: usize,
    #[case] peak_kb_max: u64,
) {
    let fleet = fleet_for_bodies(&lanes(), memory_mb).await;
    let addr = fleet.entries[0].caller_addr;
    let uploads = (0..4).map(|i| {
        let request = upload(&format!("large-{i}"), body_bytes);
        tokio::spawn(async move { send_request(addr, &request).await })
    });
    let uploads: Vec<_> = uploads.collect();
    for i in 0..20 {
        let response = expect_response(&fleet.entries[0], &write(&format!("small-{i}"))).await;
        assert_eq!(
            response.status.as_u16(),
            200,
            "{}",
            fleet.entries[0].log_text()
        );
    }
    let mut served = 0;
    for upload in uploads {
        let result = upload.await.expect("the caller does not panic");
        // One that is refused while it sends may lose the response with its connection.
        if let RequestResult::Response(response) = result {
            assert!(
                [200, 503].contains(&response.status.as_u16()),
                "{response:?}"
            );
            served += u32::from(response.status == 200);
        }
    }
    assert!(served >= 1, "{}", fleet.entries[0].log_text());
    let peak_kb = peak_memory_kb(&fleet);
    assert!(peak_kb <= peak_kb_max, "peak of {peak_kb} KB");
}

/// Time for which a target works on the first part of an upload before it reads on. Longer than any timeout
/// for data that a dead peer does not acknowledge.
const FIRST_PART_TIME: Duration = Duration::from_secs(4);

/// Guards against uploads that are broken off because their target does not read for a while: it announces a
/// window of zero and acknowledges all that has arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upload_to_a_target_that_reads_late_gets_its_response() {
    let no_targets = ServiceSpec {
        targets_per_zone: 0,
        ..lanes()
    };
    let fleet = fleet_for_bodies(&no_targets, None).await;
    let response = "HTTP/1.1 200 OK\r\nX-Lacewingmoor-Attempt-Id: {id}\r\n\
         X-Lacewingmoor-Server-Seal: seal\r\nContent-Length: 4\r\n\r\ndone";
    let script = Script::Paced(
        vec![(FIRST_PART_TIME, String::new())],
        Box::new(Script::Once(response.into())),
    );
    let target = RawTarget::start(([127, 0, 0, 1], 0).into(), "raw", script).await;
    let target = target.expect("the target starts");
    register_raw(&fleet, "raw", target.addr()).await;
    let response = expect_response(&fleet.entries[0], &upload("r-1", 16 << 20)).await;
    let log = fleet.entries[0].log_text();
    assert_eq!(response.status.as_u16(), 200, "{log}");
    assert_eq!(target.request_count(), 1);
}
