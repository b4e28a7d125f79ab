//! Guards against requests to targets that leave or decline them, against targets that are lost for good,
//! and against all entries that come back at once.

mod common;

use common::ms;
use lacewingmoor_control::notice::{Notice, RetryAfter, TargetNotices};
use rstest::rstest;

const PROCESS: Option<u64> = Some(1);

fn retry_after(text: &str) -> RetryAfter {
    RetryAfter::try_from(text).expect("a valid time")
}

#[rstest]
#[case::zero("0", Some(0))]
#[case::whole("3", Some(3000))]
#[case::fraction("0.25", Some(250))]
#[case::longest("86400", Some(300_000))]
#[case::huge("1e308", Some(300_000))]
#[case::infinite("inf", None)]
#[case::not_a_number("NaN", None)]
#[case::negative("-1", None)]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT", None)]
#[case::empty("", None)]
fn times_to_come_back_are_bounded(#[case] text: &str, #[case] expected_ms: Option<u64>) {
    let time = RetryAfter::try_from(text).ok();
    assert_eq!(time.map(RetryAfter::get), expected_ms.map(ms));
}

struct Case {
    now_ms: u64,
    /// Start of the process that is registered.
    process: Option<u64>,
    spread: f64,
    expected: Notice,
}

/// The target said at 1 s that it declines requests for 3 s, and again at 2 s for 1 s: the later end holds.
#[rstest]
#[case::declined(Case { now_ms: 3900, process: PROCESS, spread: 0.0, expected: Notice::Declined { age: ms(1900), until: ms(4000) } })]
#[case::over(Case { now_ms: 4000, process: PROCESS, spread: 0.0, expected: Notice::Allowed })]
#[case::over_for_some_entries(Case { now_ms: 4000, process: PROCESS, spread: 1.0, expected: Notice::Declined { age: ms(2000), until: ms(4200) } })]
#[case::over_for_all(Case { now_ms: 4200, process: PROCESS, spread: 1.0, expected: Notice::Allowed })]
#[case::another_process(Case { now_ms: 3000, process: Some(2), spread: 0.0, expected: Notice::Allowed })]
fn target_that_declines_gets_nothing_until_its_time_is_over(#[case] case: Case) {
    let mut notices = TargetNotices::default();
    notices.record_declined(ms(1000), PROCESS, retry_after("3"));
    notices.record_declined(ms(2000), PROCESS, retry_after("1"));
    let notice = notices.check(ms(case.now_ms), case.process, 0, case.spread);
    assert_eq!(notice, case.expected);
}

#[rstest]
#[case::at_once(1000, PROCESS, Notice::LastResort)]
#[case::after_a_while(2000, PROCESS, Notice::Leaving { age: ms(1000) })]
#[case::long_after(500_000, PROCESS, Notice::Leaving { age: ms(499_000) })]
#[case::another_process(2000, Some(2), Notice::Allowed)]
fn target_that_leaves_gets_nothing_later(
    #[case] now_ms: u64,
    #[case] process: Option<u64>,
    #[case] expected: Notice,
) {
    let mut notices = TargetNotices::default();
    assert!(notices.record_leaving(ms(1000), PROCESS));
    // Later responses say the same and change nothing.
    assert!(!notices.record_leaving(ms(1500), PROCESS));
    assert_eq!(notices.check(ms(now_ms), process, 0, 0.0), expected);
}

/// A response of the earlier process arrives after one of the later process.
#[test]
fn notice_of_an_earlier_process_replaces_none_of_a_later_one() {
    let mut notices = TargetNotices::default();
    assert!(notices.record_leaving(ms(1000), Some(2)));
    assert!(!notices.record_leaving(ms(1100), Some(1)));
    notices.record_declined(ms(1100), Some(1), retry_after("9"));
    let expected = Notice::Leaving { age: ms(1500) };
    assert_eq!(notices.check(ms(2500), Some(2), 0, 0.0), expected);
}

/// Load pattern: hundreds of entries come back at the same moment.
#[test]
fn requests_to_a_target_that_comes_back_grow_with_those_it_serves() {
    let mut notices = TargetNotices::default();
    notices.record_declined(ms(0), PROCESS, retry_after("1"));
    // Requests that were in flight when it declined say nothing of how much it takes afterwards.
    notices.record_success(ms(500));
    for served in 0..16 {
        let allowed = served + 1;
        let at = ms(2000 + u64::from(served));
        assert_eq!(
            notices.check(at, PROCESS, allowed - 1, 0.0),
            Notice::Allowed
        );
        assert_eq!(notices.check(at, PROCESS, allowed, 0.0), Notice::Returning);
        notices.record_success(at);
    }
    assert_eq!(notices.check(ms(3000), PROCESS, 100, 0.0), Notice::Allowed);
    notices.record_declined(ms(3000), PROCESS, retry_after("1"));
    assert_eq!(notices.check(ms(5000), PROCESS, 1, 0.0), Notice::Returning);
}

#[test]
fn notices_are_forgotten_when_they_can_no_longer_matter() {
    let mut notices = TargetNotices::default();
    assert!(!notices.is_kept(ms(0)));
    notices.record_declined(ms(0), PROCESS, retry_after("2"));
    assert!(notices.is_kept(ms(1999)) && !notices.is_kept(ms(2000)));
    notices.record_leaving(ms(3000), PROCESS);
    assert!(notices.is_kept(ms(602_000)) && !notices.is_kept(ms(603_000)));
}
