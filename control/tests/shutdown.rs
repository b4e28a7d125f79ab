//! Guards against requests that a shutdown sends to a target and then breaks off.

mod common;

use std::time::Duration;

use common::ms;
use lacewingmoor_control::shutdown::{RequestTimes, SendWindow, Shutdown};
use rstest::rstest;

const SIGNALLED_AT_MS: u64 = 10_000;

struct Case {
    grace_s: u64,
    /// When the last byte of the request was read, after the signal.
    read_after_ms: u64,
    /// When its timeout ends it, after the signal.
    ends_after_ms: u64,
    expected_ms: u64,
    /// Time after the signal up to which it may be sent; `None` if it never may.
    sent_until_ms: Option<u64>,
}

/// The last responses are given a twelfth of the grace period before its end.
#[rstest]
#[case::ends_in_time(Case { grace_s: 6, read_after_ms: 100, ends_after_ms: 5500, expected_ms: 9000, sent_until_ms: Some(u64::MAX) })]
#[case::late_and_ends_in_time(Case { grace_s: 6, read_after_ms: 4000, ends_after_ms: 5500, expected_ms: 9000, sent_until_ms: Some(u64::MAX) })]
#[case::early(Case { grace_s: 6, read_after_ms: 100, ends_after_ms: 8000, expected_ms: 200, sent_until_ms: Some(5100) })]
#[case::early_and_long(Case { grace_s: 6, read_after_ms: 100, ends_after_ms: 8000, expected_ms: 2700, sent_until_ms: Some(100) })]
#[case::longer_than_the_process_runs(Case { grace_s: 6, read_after_ms: 100, ends_after_ms: 90_000, expected_ms: 60_000, sent_until_ms: None })]
#[case::last_accepted(Case { grace_s: 6, read_after_ms: 2699, ends_after_ms: 5501, expected_ms: 200, sent_until_ms: Some(5100) })]
#[case::none_accepted(Case { grace_s: 6, read_after_ms: 2700, ends_after_ms: 5501, expected_ms: 0, sent_until_ms: None })]
#[case::at_the_end(Case { grace_s: 6, read_after_ms: 5800, ends_after_ms: 8000, expected_ms: 0, sent_until_ms: None })]
#[case::long_grace(Case { grace_s: 24, read_after_ms: 4000, ends_after_ms: 22_000, expected_ms: 0, sent_until_ms: Some(u64::MAX) })]
#[case::short_grace(Case { grace_s: 2, read_after_ms: 1700, ends_after_ms: 4000, expected_ms: 20, sent_until_ms: Some(1760) })]
fn request_is_sent_only_if_the_rest_of_the_grace_period_is_enough(#[case] case: Case) {
    let mut shutdown = Shutdown::default();
    let request = RequestTimes {
        read_at: ms(SIGNALLED_AT_MS + case.read_after_ms),
        ends_by: ms(SIGNALLED_AT_MS + case.ends_after_ms),
        expected: ms(case.expected_ms),
    };
    let grace = Duration::from_secs(case.grace_s);
    assert_eq!(
        shutdown.send_window(request, grace),
        SendWindow::Open,
        "nothing is limited before the signal"
    );
    shutdown.begin(ms(SIGNALLED_AT_MS));
    let window = shutdown.send_window(request, grace);
    let allows_after = |after_ms: u64| window.allows(ms(SIGNALLED_AT_MS + after_ms));
    match case.sent_until_ms {
        Some(u64::MAX) => assert_eq!(window, SendWindow::Open),
        Some(until) => {
            assert!(allows_after(until), "{window:?}");
            assert!(!allows_after(until + 1), "{window:?}");
        }
        None => assert!(!allows_after(case.read_after_ms), "{window:?}"),
    }
}
