//! Guards against accepting bundles that would route requests wrongly, and against reporting only
//! the first of several errors.

use lacewingmoor_bundle::{Bundle, Error, RawBundle, diff};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../examples/pool.bundle.yaml");

fn errors(text: &str) -> Vec<String> {
    match Bundle::from_yaml(text) {
        Ok(_) => Vec::new(),
        Err(Error::Invalid(errors)) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn example_is_valid() {
    assert_eq!(errors(EXAMPLE), Vec::<String>::new());
}

struct Case {
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

#[rstest]
#[case::version(Case { from: "version: 1", to: "version: 0", error: "version: 0 is out of range" })]
#[case::unknown_service(Case { from: "service: booking", to: "service: bookings", error: "routes[1].destinations[0].service" })]
#[case::prefix_without_trailing_slash(Case { from: "path_prefix: /lanes/", to: "path_prefix: /lanes", error: "does not end with /" })]
#[case::prefix_with_query(Case { from: "path_prefix: /lanes/", to: "path_prefix: /lanes?x/", error: "is not a path" })]
#[case::zero_weights(Case { from: "{ service: booking, weight: 1 }", to: "{ service: booking, weight: 0 }", error: "no destination has a weight" })]
#[case::name_twice(Case { from: "name: season-plan", to: "name: lane-lookup", error: "is used twice" })]
#[case::zero_timeout(Case { from: "timeout_ms: 1500", to: "timeout_ms: 0", error: "routes[0].timeout_ms" })]
#[case::negative_rate(Case { from: "{ name: lanes, health_path: /health, connections_max: 250, warmup_ms: 3000, warmup_per_s: 7 }", to: "{ name: lanes, health_path: /health, connections_max: 250, warmup_ms: 3000, warmup_per_s: -7 }", error: "is not a rate" })]
#[case::rank_above_1000(Case { from: "priority: 1\n", to: "priority: 1001\n", error: "priority: 1001 is out of range" })]
#[case::name_with_space(Case { from: "name: season-plan", to: "name: season plan", error: "without whitespace" })]
#[case::health_path_with_query(Case { from: "health_path: /health", to: "health_path: /health?x", error: "omit the query" })]
#[case::idle_timeout_of_two_hours(Case { from: "idle_timeout_ms: 15000", to: "idle_timeout_ms: 7200000", error: "limits.idle_timeout_ms" })]
#[case::no_attempt(Case { from: "attempts_max: 2", to: "attempts_max: 0", error: "attempts_max: 0 is out of range" })]
#[case::no_connection(Case { from: "connections_max: 250", to: "connections_max: 0", error: "connections_max: 0 is out of range" })]
#[case::workspaces_null(Case { from: "limits:", to: "workspaces:\nlimits:", error: "workspaces: is null" })]
#[case::unknown_field(Case { from: "priority: 1\n", to: "prio: 1\n", error: "unknown field" })]
#[case::unknown_repeat(Case { from: "repeat: once", to: "repeat: twice", error: "unknown variant" })]
fn invalid_bundle_is_rejected_with_path_or_reason(#[case] case: Case) {
    assert!(
        EXAMPLE.contains(case.from),
        "text to replace is missing in the example"
    );
    let found = errors(&EXAMPLE.replacen(case.from, case.to, 1));
    assert!(
        found.iter().any(|error| error.contains(case.error)),
        "{found:?}"
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = EXAMPLE
        .replacen("version: 1", "version: 0", 1)
        .replacen("service: booking", "service: x", 1)
        .replacen("timeout_ms: 3000", "timeout_ms: 0", 1);
    assert_eq!(errors(&text).len(), 3);
}

#[rstest]
#[case::empty("")]
#[case::list("[]")]
#[case::open_bracket("a: [")]
#[case::control_character("\u{1}")]
fn documents_that_are_not_bundles_are_rejected(#[case] text: &str) {
    assert!(!errors(text).is_empty());
}

/// Parsing takes a time that grows with the square of the nesting depth, so a short document could
/// occupy the parser for long.
#[test]
fn deep_nesting_is_rejected_before_parsing() {
    let found = errors(&"[".repeat(100_000));
    assert!(found[0].contains("brackets"), "{found:?}");
}

#[test]
fn diff_identifies_list_items_by_name() {
    let old = RawBundle::from_yaml(EXAMPLE).expect("text is a bundle");
    let text = EXAMPLE.replacen("timeout_ms: 2000", "timeout_ms: 2500", 1);
    let new = RawBundle::from_yaml(&text).expect("text is a bundle");
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["~ routes[lane-booking].timeout_ms: 2000 -> 2500"]);
    assert!(diff(&old, &old).is_empty());
}

const WORKSPACES: &str = "
workspaces:
  - name: a
    keys: [secret, secret]
  - name: b
    keys: [other]
";

/// Guards against keys in error messages and differences, also of documents in which they are in the wrong
/// place.
#[rstest]
#[case::same_key("other", "secret", "key 2bb80d53 is also one of \"a\"")]
#[case::empty_key("other", "''", "is empty")]
#[case::nested("[other]", "[[secret]]", "a key must be a text")]
#[case::text_for_a_list("[other]", "secret", "expected a sequence")]
#[case::field("keys: [other]", "secret: 1", "expected one of")]
#[case::priority("keys: [other]", "priority: secret", "expected u64")]
#[case::whole_list("- name: b\n    keys: [other]", "- secret", "expected struct")]
fn errors_name_no_key(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = format!("{EXAMPLE}{WORKSPACES}").replacen(from, to, 1);
    let found = errors(&text);
    assert!(
        found.iter().any(|error| error.contains(message)),
        "{found:?}"
    );
    assert!(
        !found.iter().any(|error| error.contains("secret")),
        "{found:?}"
    );
}

#[test]
fn differences_show_fingerprints_of_keys() {
    let text = format!("{EXAMPLE}{WORKSPACES}");
    let old = RawBundle::from_yaml(&text).expect("text is a bundle");
    let new = text.replacen("[other]", "[other, third]", 1);
    let new = RawBundle::from_yaml(&new).expect("text is a bundle");
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    let [change] = &changes[..] else {
        panic!("{changes:?}");
    };
    assert!(
        change.starts_with("~ workspaces[b].keys: [key ") && change.len() < 90,
        "{change}"
    );
}
