//! Guards against bundles that would misroute, and against faults that are found one at a time.

use lacewingmoor_bundle::{Bundle, Error, RawBundle, diff};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../examples/pool.bundle.yaml");

fn faults(text: &str) -> Vec<String> {
    match Bundle::from_yaml(text) {
        Ok(_) => Vec::new(),
        Err(Error::Invalid(faults)) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn example_is_valid() {
    assert_eq!(faults(EXAMPLE), Vec::<String>::new());
}

struct Case {
    from: &'static str,
    to: &'static str,
    fault: &'static str,
}

#[rstest]
#[case::version(Case { from: "version: 1", to: "version: 0", fault: "version: 0 is out of range" })]
#[case::unknown_service(Case { from: "service: booking", to: "service: bookings", fault: "routes[1].destinations[0].service" })]
#[case::prefix_without_end(Case { from: "path_prefix: /lanes/", to: "path_prefix: /lanes", fault: "does not end with /" })]
#[case::prefix_with_query(Case { from: "path_prefix: /lanes/", to: "path_prefix: /lanes?x/", fault: "is not a path" })]
#[case::no_weight(Case { from: "{ service: booking, weight: 1 }", to: "{ service: booking, weight: 0 }", fault: "no destination has a weight" })]
#[case::name_twice(Case { from: "name: season-plan", to: "name: lane-lookup", fault: "is used twice" })]
#[case::no_time(Case { from: "timeout_ms: 1500", to: "timeout_ms: 0", fault: "routes[0].timeout_ms" })]
#[case::negative_rate(Case { from: "{ name: lanes, health_path: /health, connections_max: 250, warmup_ms: 3000, warmup_per_s: 7 }", to: "{ name: lanes, health_path: /health, connections_max: 250, warmup_ms: 3000, warmup_per_s: -7 }", fault: "is not a rate" })]
#[case::unknown_field(Case { from: "priority: 1\n", to: "prio: 1\n", fault: "unknown field" })]
#[case::unknown_repeat(Case { from: "repeat: once", to: "repeat: twice", fault: "unknown variant" })]
fn fault_is_named_with_its_place(#[case] case: Case) {
    assert!(EXAMPLE.contains(case.from), "the case fits the example");
    let found = faults(&EXAMPLE.replacen(case.from, case.to, 1));
    assert!(found.iter().any(|f| f.contains(case.fault)), "{found:?}");
}

#[test]
fn all_faults_are_found_at_once() {
    let text = EXAMPLE
        .replacen("version: 1", "version: 0", 1)
        .replacen("service: booking", "service: x", 1)
        .replacen("timeout_ms: 3000", "timeout_ms: 0", 1);
    assert_eq!(faults(&text).len(), 3);
}

#[rstest]
#[case::empty("")]
#[case::list("[]")]
#[case::open_bracket("a: [")]
#[case::control("\u{1}")]
fn documents_of_another_form_are_refused(#[case] text: &str) {
    assert!(!faults(text).is_empty());
}

#[test]
fn deep_nesting_is_refused_without_parsing() {
    let found = faults(&"[".repeat(100_000));
    assert!(found[0].contains("brackets"), "{found:?}");
}

#[test]
fn differences_are_shown_by_name() {
    let old = RawBundle::from_yaml(EXAMPLE).expect("it is a bundle");
    let text = EXAMPLE.replacen("timeout_ms: 2000", "timeout_ms: 2500", 1);
    let new = RawBundle::from_yaml(&text).expect("it is a bundle");
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["~ routes[lane-booking].timeout_ms: 2000 -> 2500"]);
    assert!(diff(&old, &old).is_empty());
}
