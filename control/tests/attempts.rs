//! Guards against a second run of a request that may run only once, and against responses that
//! wrongly state that a request was not run.

mod common;

use common::ms;
use lacewingmoor_bundle::Repeat;
use lacewingmoor_control::attempt::{Attempts, FailureAction, Outcome, hedge_at};
use rstest::rstest;

struct Case {
    repeat: Repeat,
    /// Outcomes of the attempts so far; the action after the last one is checked.
    outcomes: &'static [Outcome],
    attempts_max: u32,
    budget: bool,
    action: FailureAction,
}

use Outcome::{Broken, Failed, Misdirected, NotRun, NotSent};
use Repeat::{Idempotent, Once};

#[rstest]
#[case::once_not_sent(Case { repeat: Once, outcomes: &[NotSent], attempts_max: 1, budget: false, action: FailureAction::Retry })]
#[case::once_not_run(Case { repeat: Once, outcomes: &[NotRun], attempts_max: 2, budget: true, action: FailureAction::Retry })]
#[case::once_misdirected(Case { repeat: Once, outcomes: &[Misdirected], attempts_max: 2, budget: true, action: FailureAction::Retry })]
#[case::once_broken(Case { repeat: Once, outcomes: &[Broken], attempts_max: 5, budget: true, action: FailureAction::Unknown })]
#[case::once_failed(Case { repeat: Once, outcomes: &[Failed], attempts_max: 5, budget: true, action: FailureAction::PassOn })]
#[case::once_not_run_no_budget(Case { repeat: Once, outcomes: &[NotRun], attempts_max: 2, budget: false, action: FailureAction::RefuseNotRun })]
#[case::once_not_run_no_attempts_left(Case { repeat: Once, outcomes: &[NotRun, NotRun], attempts_max: 2, budget: true, action: FailureAction::RefuseNotRun })]
#[case::idempotent_broken(Case { repeat: Idempotent, outcomes: &[Broken], attempts_max: 2, budget: true, action: FailureAction::Retry })]
#[case::idempotent_failed(Case { repeat: Idempotent, outcomes: &[Failed], attempts_max: 2, budget: true, action: FailureAction::Retry })]
#[case::idempotent_failed_twice(Case { repeat: Idempotent, outcomes: &[Failed, Failed], attempts_max: 2, budget: true, action: FailureAction::PassOn })]
#[case::idempotent_broken_no_budget(Case { repeat: Idempotent, outcomes: &[Broken], attempts_max: 2, budget: false, action: FailureAction::Unknown })]
#[case::idempotent_not_run_after_broken_is_not_refused(Case { repeat: Idempotent, outcomes: &[Broken, NotRun], attempts_max: 2, budget: true, action: FailureAction::Unknown })]
fn action_follows_from_outcomes_and_limits(#[case] case: Case) {
    let mut attempts = Attempts::default();
    for outcome in case.outcomes {
        attempts.record_send();
        attempts.record_outcome(*outcome);
    }
    let last = *case.outcomes.last().expect("a case has an outcome");
    let action = attempts.after_failure(last, case.repeat, case.attempts_max, || case.budget);
    assert_eq!(action, case.action);
}

#[test]
fn request_that_may_run_once_and_may_have_run_is_neither_refused_nor_retried() {
    let all = [NotSent, NotRun, Misdirected, Failed, Broken];
    for first in all {
        for second in all {
            let mut attempts = Attempts::default();
            for outcome in [first, second] {
                attempts.record_send();
                attempts.record_outcome(outcome);
            }
            if attempts.may_have_run() {
                let action = attempts.after_failure(second, Once, 9, || true);
                assert!(
                    matches!(action, FailureAction::Unknown | FailureAction::PassOn),
                    "{first:?}, {second:?}: {action:?}"
                );
            }
        }
    }
}

/// Guards against hedging a late response: a second run takes a slot that other requests wait for.
#[test]
fn response_that_is_merely_late_is_not_hedged() {
    assert!(hedge_at(ms(1000), ms(100)) >= ms(1200));
    assert!(hedge_at(ms(1000), ms(100)) <= ms(1400));
}
