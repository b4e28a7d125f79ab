//! Guards against a second run of what may run once, and against untrue refusals.

mod common;

use common::ms;
use lacewingmoor_bundle::Repeat;
use lacewingmoor_control::attempt::{Attempts, Next, Outcome, hedge_at};
use rstest::rstest;

struct Case {
    repeat: Repeat,
    /// Outcomes of the sends so far; the last one is decided on.
    outcomes: &'static [Outcome],
    attempts_max: u32,
    budget: bool,
    next: Next,
}

use Outcome::{Broken, Failed, Misdirected, NotRun, NotSent};
use Repeat::{Idempotent, Once};

#[rstest]
#[case::once_not_sent(Case { repeat: Once, outcomes: &[NotSent], attempts_max: 1, budget: false, next: Next::Retry })]
#[case::once_shed(Case { repeat: Once, outcomes: &[NotRun], attempts_max: 2, budget: true, next: Next::Retry })]
#[case::once_other_target(Case { repeat: Once, outcomes: &[Misdirected], attempts_max: 2, budget: true, next: Next::Retry })]
#[case::once_broken(Case { repeat: Once, outcomes: &[Broken], attempts_max: 5, budget: true, next: Next::Unknown })]
#[case::once_failed(Case { repeat: Once, outcomes: &[Failed], attempts_max: 5, budget: true, next: Next::PassOn })]
#[case::once_shed_no_budget(Case { repeat: Once, outcomes: &[NotRun], attempts_max: 2, budget: false, next: Next::RefuseNotRun })]
#[case::once_shed_no_attempts(Case { repeat: Once, outcomes: &[NotRun, NotRun], attempts_max: 2, budget: true, next: Next::RefuseNotRun })]
#[case::many_broken(Case { repeat: Idempotent, outcomes: &[Broken], attempts_max: 2, budget: true, next: Next::Retry })]
#[case::many_failed(Case { repeat: Idempotent, outcomes: &[Failed], attempts_max: 2, budget: true, next: Next::Retry })]
#[case::many_failed_twice(Case { repeat: Idempotent, outcomes: &[Failed, Failed], attempts_max: 2, budget: true, next: Next::PassOn })]
#[case::many_broken_no_budget(Case { repeat: Idempotent, outcomes: &[Broken], attempts_max: 2, budget: false, next: Next::Unknown })]
#[case::shed_after_broken_is_not_a_refusal(Case { repeat: Idempotent, outcomes: &[Broken, NotRun], attempts_max: 2, budget: true, next: Next::Unknown })]
fn next_step_follows_what_is_known(#[case] case: Case) {
    let mut attempts = Attempts::default();
    for outcome in case.outcomes {
        attempts.send();
        attempts.ended(*outcome);
    }
    let last = *case.outcomes.last().expect("a case has an outcome");
    let next = attempts.next(last, case.repeat, case.attempts_max, || case.budget);
    assert_eq!(next, case.next);
}

#[test]
fn request_that_may_have_run_is_never_refused_or_sent_again_if_once() {
    let all = [NotSent, NotRun, Misdirected, Failed, Broken];
    for first in all {
        for second in all {
            let mut attempts = Attempts::default();
            for outcome in [first, second] {
                attempts.send();
                attempts.ended(outcome);
            }
            if attempts.may_have_run() {
                let next = attempts.next(second, Once, 9, || true);
                assert!(
                    matches!(next, Next::Unknown | Next::PassOn),
                    "{first:?}, {second:?}: {next:?}"
                );
            }
        }
    }
}

#[test]
fn hedge_waits_until_a_target_has_fallen_silent() {
    assert!(hedge_at(ms(1000), ms(100)) >= ms(1200));
    assert!(hedge_at(ms(1000), ms(100)) <= ms(1400));
}
