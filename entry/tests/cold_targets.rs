//! Guards against targets that become cold between two of their heartbeats and are overrun: they crash with
//! the requests that they run.

mod common;

use std::time::{Duration, Instant};

use common::{fleet, lanes, write};
use lacewingmoor_standin::caller::send_request;
use lacewingmoor_standin::fleet::ServiceSpec;
use rstest::rstest;

/// Requests per second that reach the fleet.
const REQUESTS_PER_S: u32 = 100;

/// Time for which requests are sent before a target becomes cold.
const WARM_TIME: Duration = Duration::from_millis(1500);

/// Time for which a target is cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests that a cold target may get in a second: 1.5 times its rate of 7, and 5.
const COLD_REQUESTS_MAX: usize = 15;

/// Returns the greatest number of times within a second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let within = |from: Instant| {
        let in_window = times
            .iter()
            .filter(|at| (from..from + Duration::from_secs(1)).contains(*at));
        in_window.count()
    };
    times.iter().map(|at| within(*at)).max().unwrap_or(0)
}

/// A target of a service that reports no load was never probed: its registration told a heartbeat later.
#[rstest]
#[case::one_entry(1, false)]
#[case::four_entries(4, false)]
#[case::reports_load(1, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn target_that_becomes_cold_under_load_gets_no_more_than_it_can_take(
    #[case] entry_count: usize,
    #[case] reports_load: bool,
) {
    let spec = ServiceSpec {
        reports_load,
        slots: 8,
        service_time: Duration::from_millis(50),
        ..lanes()
    };
    let fleet = fleet(&spec, entry_count).await;
    let started_at = Instant::now();
    let mut cold_at = None;
    let mut callers = Vec::new();
    for i in 0.. {
        if started_at.elapsed() > WARM_TIME && cold_at.is_none() {
            fleet.targets[0].standin.set_cold(COLD_TIME);
            cold_at = Some(Instant::now());
        }
        if started_at.elapsed() > WARM_TIME + COLD_TIME {
            break;
        }
        let addr = fleet.entries[i % entry_count].caller_addr;
        callers.push(tokio::spawn(async move {
            send_request(addr, &write(&format!("r-{i}"))).await
        }));
        tokio::time::sleep_until(
            (started_at + i as u32 * Duration::from_secs(1) / REQUESTS_PER_S).into(),
        )
        .await;
    }
    for caller in callers {
        caller.await.expect("the caller does not panic");
    }
    let runs = fleet.targets[0].standin.runs();
    let times: Vec<Instant> = runs.iter().map(|run| run.arrived_at).collect();
    let cold_at = cold_at.expect("the target became cold");
    let warm: Vec<Instant> = times.iter().copied().filter(|at| *at < cold_at).collect();
    let cold: Vec<Instant> = times.iter().copied().filter(|at| *at >= cold_at).collect();
    assert!(
        most_in_a_second(&warm) > COLD_REQUESTS_MAX,
        "the load would not overrun it"
    );
    let most = most_in_a_second(&cold);
    assert!(most <= COLD_REQUESTS_MAX, "{most} requests in a second");
    assert!(!cold.is_empty(), "a cold target gets some requests");
}
