//! Guards against bodies within the limits that together exceed the memory of a VM, whose process is then
//! killed with all its requests.

mod common;

use bytes::Bytes;
use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, peak_memory_kb, until, write};
use lacewingmoor_bundle::RawLimits;
use lacewingmoor_standin::caller::{CallerRequest, RequestResult, send_request};
use lacewingmoor_standin::fleet::bundle;

/// Memory of the smallest VMs.
const VM_MEMORY_KB: u64 = 160 * 1024;

/// Length of a body that fits, while two of them do not.
const BODY_BYTES: usize = 60 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn several_large_bodies_at_once_leave_the_process_running() {
    let fleet = fleet(&lanes(), 1).await;
    let mut limits = bundle(2, &[lanes()]);
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
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let addr = fleet.entries[0].caller_addr;
    let uploads = (0..4).map(|i| {
        let request = CallerRequest {
            body: body.clone(),
            timeout: EVENT_TIMEOUT,
            ..write(&format!("large-{i}"))
        };
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
    assert!(peak_kb <= VM_MEMORY_KB, "peak of {peak_kb} KB");
}
