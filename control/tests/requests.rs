//! Requests from arrival to end under the baseline policies.

mod common;

use std::sync::Arc;

use common::*;
use lacewingmoor_control::*;
use rstest::rstest;

const TARGETS: &[(&str, usize)] = &[("t1", 0), ("t2", 1), ("t3", 2)];

struct Refused {
    guards: &'static str,
    method: &'static str,
    path: &'static str,
    tenant: Option<&'static str>,
    body: Option<u64>,
    reason: Reason,
}

#[rstest]
#[case(Refused { guards: "a request without a route reaches a target",
    method: "GET", path: "/nothing", tenant: None, body: None, reason: Reason::NoRoute })]
#[case(Refused { guards: "the method is not matched",
    method: "PUT", path: "/find", tenant: None, body: None, reason: Reason::NoRoute })]
#[case(Refused { guards: "an unknown tenant escapes its home regions",
    method: "GET", path: "/find", tenant: Some("x"), body: None, reason: Reason::UnknownTenant })]
#[case(Refused { guards: "a request is served outside its home regions",
    method: "GET", path: "/away", tenant: None, body: None, reason: Reason::WrongRegion })]
#[case(Refused { guards: "a body that is declared too long is sent",
    method: "POST", path: "/book", tenant: None, body: Some(1001), reason: Reason::BodyTooLarge })]
fn refuses_at_arrival(#[case] case: Refused) {
    let mut entry = Entry::start(Policy::Random, bundle(1, TARGETS));
    let effects = entry.apply(Event::Arrived(Arrival {
        request: 1,
        method: case.method.into(),
        path: case.path.into(),
        tenant: case.tenant.map(Into::into),
        body_bytes: case.body,
        deadline: None,
        replayable: true,
    }));
    let expected = Some((Fate::NotRun, case.reason));
    assert_eq!(refusal(&effects), expected, "guards: {}", case.guards);
    assert!(dispatches(&effects).is_empty());
}

/// Guards against requests that are taken before any rules are known.
#[test]
fn refuses_without_a_bundle() {
    let mut state = State::new(setup("e1", Policy::Random));
    let effects = state.apply(
        MS,
        Event::Arrived(Arrival {
            request: 1,
            method: "GET".into(),
            path: "/find".into(),
            tenant: None,
            body_bytes: None,
            deadline: None,
            replayable: true,
        }),
    );
    assert_eq!(refusal(&effects), Some((Fate::NotRun, Reason::NoBundle)));
}

struct AfterEnd {
    guards: &'static str,
    method: &'static str,
    path: &'static str,
    outcome: Outcome,
    /// The refusal, or `None` if another attempt is expected.
    refusal: Option<(Fate, Reason)>,
}

#[rstest]
#[case(AfterEnd { guards: "a request that no target has seen is not retried",
    method: "POST", path: "/book", outcome: Outcome::NotSent, refusal: None })]
#[case(AfterEnd { guards: "a request that was shed unrun is not retried",
    method: "POST", path: "/book", outcome: Outcome::Shed, refusal: None })]
#[case(AfterEnd { guards: "a booking that may have run is sent again",
    method: "POST", path: "/book", outcome: Outcome::Broken,
    refusal: Some((Fate::Unknown, Reason::Broken)) })]
#[case(AfterEnd { guards: "a look-up is not retried after a broken connection",
    method: "GET", path: "/find", outcome: Outcome::Broken, refusal: None })]
fn retries_only_when_safe(
    #[case] case: AfterEnd,
    #[values(Policy::Random, Policy::TwoChoices, Policy::StaticShare)] policy: Policy,
) {
    let mut entry = Entry::start(policy, bundle(1, TARGETS));
    let first = entry.arrive(1, case.method, case.path);
    let first = dispatches(&first)[0].target;
    let effects = entry.ended(1, 1, case.outcome);
    assert_eq!(refusal(&effects), case.refusal, "guards: {}", case.guards);
    let again = dispatches(&effects);
    assert_eq!(again.len(), usize::from(case.refusal.is_none()));
    assert!(again.iter().all(|d| d.attempt == 2 && d.target != first));
}

/// Guards against "not run" being claimed, or a slot being kept, after the deadline passed.
#[test]
fn reports_a_timeout_as_unknown_and_cancels() {
    let mut entry = Entry::start(Policy::Random, bundle(1, TARGETS));
    entry.arrive(1, "GET", "/find");
    let effects = entry.pass(ms(2100));
    assert_eq!(refusal(&effects), Some((Fate::Unknown, Reason::Timeout)));
    let cancelled = effects.iter().any(|e| {
        matches!(
            e,
            Effect::Cancel {
                request: 1,
                attempt: 1
            }
        )
    });
    assert!(cancelled);
    assert!(refusal(&entry.ended(1, 1, Outcome::Cancelled)).is_none());
}

/// Guards against slots that are lost when callers go away: with all slots used by callers that
/// went away, the next request must still be served.
#[test]
fn caller_gone_frees_the_slot() {
    let mut entry = Entry::start(Policy::StaticShare, bundle(1, &[("t1", 0)]));
    for id in 1..=4 {
        assert_eq!(dispatches(&entry.arrive(id, "GET", "/find")).len(), 1);
    }
    assert!(dispatches(&entry.arrive(5, "GET", "/find")).is_empty());
    let effects = entry.apply(Event::CallerGone { request: 1 });
    assert!(dispatches(&effects).is_empty(), "the slot is still in use");
    assert_eq!(dispatches(&entry.ended(1, 1, Outcome::Cancelled)).len(), 1);
}

/// Guards against an unbounded queue, and against a noisy tenant that fills it for the others.
#[test]
fn queue_is_bounded_and_fair() {
    let mut entry = Entry::start(Policy::StaticShare, bundle(1, &[("t1", 0)]));
    for id in 1..=8 {
        entry.arrive_as(id, "GET", "/find", Some("noisy"));
    }
    let effects = entry.arrive_as(9, "GET", "/find", Some("noisy"));
    assert_eq!(refusal(&effects), Some((Fate::NotRun, Reason::QueueFull)));
    let effects = entry.arrive_as(10, "GET", "/find", Some("club"));
    let refused = effects.iter().find_map(|e| match e {
        Effect::Refuse(r) => Some(r.request),
        _ => None,
    });
    assert_eq!(
        refused,
        Some(8),
        "the last request of the noisy tenant gives way"
    );
    entry.head(1, 1);
    let served = entry.ended(1, 1, Outcome::Complete);
    assert_eq!(dispatches(&served)[0].request, 5);
    entry.head(2, 1);
    let served = entry.ended(2, 1, Outcome::Complete);
    assert_eq!(dispatches(&served)[0].request, 10);
}

/// Guards against new work for targets that operators, the platform or the target itself closed.
#[rstest]
fn closed_targets_get_no_new_work(
    #[values("out", "leaving", "draining")] closed: &str,
    #[values(
        Policy::Random,
        Policy::TwoChoices,
        Policy::StaticShare,
        Policy::Credits
    )]
    policy: Policy,
) {
    let targets = &[("t1", 0), ("t2", 1)];
    let mut entry = Entry::start(policy, bundle(1, targets));
    let closed_id = lacewingmoor_bundle::target_id("pool", "t2");
    match closed {
        "out" => {
            let mut next = bundle(2, targets);
            next.zones[1].in_service = false;
            entry.apply(Event::Bundle(Arc::new(next)));
        }
        "leaving" => {
            entry.apply(Event::VmList(vm_list(&["e1"], &["t2"])));
        }
        _ => {
            entry.apply(Event::Probed {
                target: closed_id,
                report: Some(LoadReport {
                    state: TargetState::Draining,
                    in_flight: 0,
                    queue: 0,
                    start: 1,
                }),
            });
        }
    }
    for id in 1..40 {
        let effects = entry.arrive(id, "GET", "/find");
        assert!(dispatches(&effects).iter().all(|d| d.target != closed_id));
        entry.head(id, 1);
        entry.ended(id, 1, Outcome::Complete);
    }
}
