//! Guards against a 401 for a key that the configuration may allow by now, and against requests that run
//! with a key that was withdrawn.

mod common;

use std::time::Duration;

use common::{bundle, ms};
use lacewingmoor_bundle::FieldState;
use lacewingmoor_control::authorization::KeyDecision::{
    self, Anonymous, ForWorkspace, Refuse, RefuseUnconfirmed,
};
use lacewingmoor_control::authorization::{KeyFacts, KeyUse, SendDecision, decide_send};
use lacewingmoor_control::bounds::KeyBounds;
use rstest::rstest;

const LENIENT: KeyBounds = KeyBounds {
    strict: false,
    withdrawn_within: Some(Duration::from_millis(5000)),
};
const STRICT: KeyBounds = KeyBounds {
    strict: true,
    ..LENIENT
};
const STRICT_ONLY: KeyBounds = KeyBounds {
    strict: true,
    withdrawn_within: None,
};

/// With an apply deadline of 3 s: known keys, the age of the view, and the decisions on a route that needs
/// a key and on one that needs none.
#[rstest]
#[case::unknown(LENIENT, false, 3000, Refuse, Anonymous)]
#[case::unknown_cut_off(LENIENT, false, 3001, RefuseUnconfirmed, Anonymous)]
#[case::known(LENIENT, true, 0, ForWorkspace, ForWorkspace)]
#[case::known_cut_off(LENIENT, true, 3_600_000, ForWorkspace, ForWorkspace)]
#[case::strict_known(STRICT, true, 5000, ForWorkspace, ForWorkspace)]
#[case::strict_cut_off(STRICT, true, 5001, RefuseUnconfirmed, Anonymous)]
#[case::strict_unknown(STRICT, false, 3000, Refuse, Anonymous)]
#[case::strict_unknown_cut_off(STRICT, false, 3001, RefuseUnconfirmed, Anonymous)]
#[case::strict_only(STRICT_ONLY, true, 3000, ForWorkspace, ForWorkspace)]
#[case::strict_only_cut_off(STRICT_ONLY, true, 3001, RefuseUnconfirmed, Anonymous)]
fn age_of_the_view_decides_about_keys(
    #[case] bounds: KeyBounds,
    #[case] is_known: bool,
    #[case] view_age_ms: u64,
    #[case] private: KeyDecision,
    #[case] public: KeyDecision,
) {
    for (is_public, expected) in [(false, private), (true, public)] {
        let facts = KeyFacts {
            key_use: KeyUse::Required,
            is_known,
            is_public,
            view_age: ms(view_age_ms),
            apply_deadline: ms(3000),
        };
        assert_eq!(facts.decide(&bounds), expected, "public: {is_public}");
    }
}

/// A bundle whose last workspace was removed admitted everybody.
#[rstest]
#[case::absent(FieldState::Absent, KeyUse::Unused, Anonymous)]
#[case::null(FieldState::Null, KeyUse::Required, Refuse)]
#[case::empty(FieldState::Present, KeyUse::Required, Refuse)]
fn only_a_bundle_without_the_list_needs_no_key(
    #[case] field: FieldState,
    #[case] key_use: KeyUse,
    #[case] decision: KeyDecision,
) {
    let mut bundle = (*bundle(1, &[])).clone();
    bundle.workspaces_field = field;
    assert_eq!(KeyUse::of(&bundle), key_use);
    let facts = KeyFacts {
        key_use,
        is_known: false,
        is_public: false,
        view_age: Duration::ZERO,
        apply_deadline: ms(3000),
    };
    assert_eq!(facts.decide(&STRICT), decision);
}

#[rstest]
#[case::same(ForWorkspace, Some("a"), SendDecision::Send)]
#[case::moved(ForWorkspace, Some("b"), SendDecision::Moved)]
#[case::withdrawn(Refuse, None, SendDecision::Withdrawn)]
#[case::withdrawn_on_public_route(Anonymous, None, SendDecision::Moved)]
#[case::cut_off(RefuseUnconfirmed, Some("a"), SendDecision::Unconfirmed)]
fn request_is_sent_only_for_the_workspace_that_its_key_belongs_to(
    #[case] decision: KeyDecision,
    #[case] current: Option<&str>,
    #[case] expected: SendDecision,
) {
    assert_eq!(decide_send(decision, "a", current), expected);
}
