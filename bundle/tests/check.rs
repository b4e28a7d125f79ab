//! Faults and warnings of bundle documents, and differences between them.

use lacewingmoor_bundle::{Bundle, Error, Fault, RawBundle, diff};
use rstest::rstest;

const SMALL: &str = include_str!("data/small.yaml");

const LANES_AGAIN: &str = "  - name: lanes
    slots: 1
    cold_slots: 1
    warmup_ms: 0
    connections_max: 1
    targets:
      - { name: t1, addr: '127.0.0.1:23001', zone: north-a }
routes:
";

/// Replaces the first occurrence.
fn change(from: &str, to: &str) -> String {
    let text = SMALL.replacen(from, to, 1);
    assert_ne!(text, SMALL, "{from} is not in the document");
    text
}

fn faults(text: &str) -> Vec<Fault> {
    match Bundle::from_yaml(text) {
        Err(Error::Invalid(faults)) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

/// Each case breaks one rule. Guards against a bundle that entries cannot follow, and against
/// messages that point to the wrong place.
#[rstest]
#[case::version("version: 3", "version: 0", "version", "out of range")]
#[case::version_beyond_json("version: 3", "version: 9007199254740992", "version", "out of range")]
#[case::store_region(
    "store_region: north",
    "store_region: west",
    "store_region",
    "north or south"
)]
#[case::zone_name(
    "name: north-b",
    "name: North",
    "regions[0].zones[1].name",
    "not a name"
)]
#[case::region_twice(
    "name: south\n",
    "name: north\n",
    "regions[1].name",
    "as regions[0].name"
)]
#[case::zone_twice(
    "name: north-b",
    "name: south-a",
    "regions[1].zones[0].name",
    "regions[0].zones[1].name"
)]
#[case::slots("slots: 4", "slots: 0", "services[0].slots", "use 1 to")]
#[case::cold_slots(
    "cold_slots: 1",
    "cold_slots: 5",
    "services[0].cold_slots",
    "use 1 to 4"
)]
#[case::no_cold_slot(
    "cold_slots: 1",
    "cold_slots: 0",
    "services[0].cold_slots",
    "use 1 to 4"
)]
#[case::connections(
    "connections_max: 250",
    "connections_max: 3",
    "services[0].connections_max",
    "at least 4"
)]
#[case::warmup("warmup_ms: 4000", "warmup_ms: 3600001", "services[0].warmup_ms", "ms")]
#[case::probe_path("path: /load", "path: load", "services[0].probe.path", "start with /")]
#[case::probe_cost("cost_ms: 6", "cost_ms: 0", "services[0].probe.cost_ms", "ms")]
#[case::probe_budget(
    "budget_permille: 10",
    "budget_permille: 1001",
    "services[0].probe.budget_permille",
    "1 to 1000"
)]
#[case::service_twice("routes:\n", LANES_AGAIN, "services[2].name", "services[0].name")]
#[case::target_twice(
    "name: t2",
    "name: t1",
    "services[0].targets[1].name",
    "targets[0].name"
)]
#[case::target_zone(
    "21002\", zone: south-a",
    "21002\", zone: x",
    "services[0].targets[1].zone",
    "no zone"
)]
#[case::addr_text(
    "127.0.0.1:21002",
    "localhost:80",
    "services[0].targets[1].addr",
    "IP:PORT"
)]
#[case::addr_port(
    "127.0.0.1:21002",
    "127.0.0.1:0",
    "services[0].targets[1].addr",
    "one server"
)]
#[case::addr_any(
    "127.0.0.1:21002",
    "0.0.0.0:80",
    "services[0].targets[1].addr",
    "one server"
)]
#[case::addr_in_two_services(
    "127.0.0.1:22001",
    "127.0.0.1:21001",
    "services[1].targets[0].addr",
    "services[0].targets[0].addr"
)]
#[case::route_service("service: billing", "service: bill", "routes[1].service", "no service")]
#[case::route_name("name: book", "name: schedule", "routes[1].name", "routes[0].name")]
#[case::method("[POST]", "[post]", "routes[1].methods[0]", "upper-case")]
#[case::connect("[POST]", "[CONNECT]", "routes[1].methods[0]", "not forwarded")]
#[case::no_method("[POST]", "[]", "routes[1].methods", "at least one method")]
#[case::method_twice(
    "[POST]",
    "[POST, POST]",
    "routes[1].methods[1]",
    "routes[1].methods[0]"
)]
#[case::path_dots("/lanes/bookings", "/lanes/../x", "routes[1].path_prefix", "segment")]
#[case::path_empty_segment("/lanes/bookings", "//lanes", "routes[1].path_prefix", "segment")]
#[case::path_escape("/lanes/bookings", "/lanes%2f", "routes[1].path_prefix", "'%'")]
#[case::hedge(
    "idempotent: false",
    "idempotent: false\n    hedge: true",
    "routes[1].hedge",
    "twice"
)]
#[case::weight("weight: 10", "weight: 0", "routes[1].weight", "use 1 to")]
#[case::deadline("deadline_ms: 800", "deadline_ms: 0", "routes[0].deadline_ms", "ms")]
#[case::home_unknown(
    "[north]\ntenants",
    "[west]\ntenants",
    "routes[1].home_regions[0]",
    "no region"
)]
#[case::home_empty(
    "[north]\ntenants",
    "[]\ntenants",
    "routes[1].home_regions",
    "leave the field out"
)]
#[case::home_twice(
    "[north]\ntenants",
    "[north, north]\ntenants",
    "routes[1].home_regions[1]",
    "routes[1].home_regions[0]"
)]
#[case::home_without_target(
    "[north]\ntenants",
    "[south]\ntenants",
    "routes[1].home_regions",
    "billing has no target"
)]
#[case::tenant_name("name: club", "name: \"a b\"", "tenants[0].name", "not a tenant name")]
#[case::share("share: 2", "share: 0", "tenants[0].share", "use 1 to")]
#[case::tenant_header("x-tenant", "Tenant", "limits.tenant_header", "lower-case")]
#[case::reserved_header("x-tenant", "host", "limits.tenant_header", "another meaning")]
#[case::head(
    "head_bytes_max: 16384",
    "head_bytes_max: 10",
    "limits.head_bytes_max",
    "bytes"
)]
#[case::retry(
    "retry_percent: 10",
    "retry_percent: 101",
    "limits.retry_percent",
    "0 to 100"
)]
#[case::hedges(
    "hedge_percent: 5",
    "hedge_percent: 101",
    "limits.hedge_percent",
    "0 to 100"
)]
fn one_broken_rule_is_one_fault(
    #[case] from: &str,
    #[case] to: &str,
    #[case] path: &str,
    #[case] message: &str,
) {
    let found = faults(&change(from, to));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].path, path, "{found:?}");
    assert!(found[0].message.contains(message), "{found:?}");
}

/// Guards against an operator having to repair one fault a run.
#[test]
fn all_faults_are_reported_at_once() {
    let text = change("cold_slots: 1", "cold_slots: 9").replace("22001", "0");
    let text = text.replace("share: 2", "share: 0");
    let found = faults(&text);
    let paths: Vec<&str> = found.iter().map(|f| f.path.as_str()).collect();
    let expected = [
        "services[0].cold_slots",
        "services[1].targets[0].addr",
        "tenants[0].share",
    ];
    assert_eq!(paths, expected);
}

/// Guards against faults of form that hide one another or lose their place.
#[test]
fn faults_of_form_have_path_and_line() {
    let text = change("zone: south-a }", "zone: south-a, rack: 4 }");
    let text = text.replace("hedge: true", "hege: true");
    let found = faults(&text);
    assert_eq!(found.len(), 2, "{found:?}");
    let line = text.lines().position(|l| l.contains("rack")).expect("line") + 1;
    assert_eq!(found[0].path, "services[0].targets[1]");
    assert_eq!(found[0].line, Some(line), "{found:?}");
    assert!(
        found[0].message.contains("unknown field `rack`"),
        "{found:?}"
    );
    assert_eq!(found[1].path, "routes[0]");
    assert!(
        found[1].message.contains("unknown field `hege`"),
        "{found:?}"
    );
}

/// Guards against a document that occupies the parser for minutes.
#[test]
fn deeply_nested_brackets_are_refused() {
    let found = faults(&format!("services: {}", "[{a: ".repeat(3000)));
    assert!(found[0].message.contains("brackets are open"), "{found:?}");
}

/// Guards against a version that no entry can fetch because a part exceeds the store's value size.
#[test]
fn a_part_larger_than_a_store_value_is_a_fault() {
    let mut raw = RawBundle::from_yaml(SMALL).expect("valid form");
    let target = raw.services[1].targets[0].clone();
    raw.services[1].targets = (0..20_000)
        .map(|i| {
            let mut target = target.clone();
            target.name = format!("target-{i}");
            target.addr = format!("10.1.{}.{}:80", i / 250, i % 250);
            target
        })
        .collect();
    let Err(Error::Invalid(found)) = Bundle::try_from(raw) else {
        panic!("expected a fault");
    };
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].path, "services[1]");
    assert!(found[0].message.contains("the store holds"), "{found:?}");
}

/// Guards against refusing a bundle that takes a zone out in an emergency, and against doing so
/// without telling which work stops.
#[rstest]
#[case::none("version: 3", "version: 4", &[])]
#[case::last_zone_of_a_service(
    "north-a, state: in",
    "north-a, state: out",
    &["service billing", "route book"],
)]
#[case::no_route("service: lanes", "service: billing", &["service lanes"])]
#[case::tenant_refused("home_regions: [north] }", "home_regions: [south] }", &["tenant club"])]
fn warnings_do_not_refuse(#[case] from: &str, #[case] to: &str, #[case] paths: &[&str]) {
    let bundle = Bundle::from_yaml(&change(from, to)).expect("valid");
    let found = bundle.warnings();
    let found: Vec<&str> = found.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(found, paths);
}

/// Guards against differences that are not shown, or shown in a form that operators cannot read.
#[rstest]
#[case::equal("version: 3", "version: 3 # note", &[])]
#[case::number("slots: 4", "slots: 5", &["~ services[lanes].slots: 4 -> 5"])]
#[case::zone(
    "north-b, state: out",
    "north-b, state: in",
    &["~ regions[north].zones[north-b].state: out -> in"],
)]
#[case::removed(
    "      - { name: t2, addr: \"127.0.0.1:21002\", zone: south-a }\n",
    "",
    &["- services[lanes].targets[t2]: addr=127.0.0.1:21002 zone=south-a"]
)]
#[case::home(
    "hedge: true",
    "hedge: true\n    home_regions: [north, south]",
    &["+ routes[schedule].home_regions: [north, south]"],
)]
#[case::renamed("name: club", "name: team", &[
    "- tenants[club]: home_regions=[north] share=2",
    "+ tenants[team]: home_regions=[north] share=2",
])]
fn diff_is_readable(#[case] from: &str, #[case] to: &str, #[case] lines: &[&str]) {
    let old = RawBundle::from_yaml(SMALL).expect("valid form");
    let new = RawBundle::from_yaml(&change(from, to)).expect("valid form");
    let found: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(found, lines);
}

/// Guards against two documents with different digests and no difference shown.
#[test]
fn diff_shows_a_changed_order() {
    let old = RawBundle::from_yaml(SMALL).expect("valid form");
    let mut new = old.clone();
    new.services.reverse();
    let found: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        found,
        ["~ services (order): lanes billing -> billing lanes"]
    );
}

struct Example {
    text: &'static str,
    targets: &'static [usize],
    slots: u32,
    connections_max: u32,
    run_once: &'static [&'static str],
}

/// Guards against examples that no longer pass the checks or have other sizes than the design page.
#[rstest]
#[case::isarbrunn(Example {
    text: include_str!("../../examples/isarbrunn.bundle.yaml"),
    targets: &[20, 15, 10],
    slots: 4,
    connections_max: 250,
    run_once: &["book-lane", "cancel-booking", "pay"],
})]
#[case::pinhaus(Example {
    text: include_str!("../../examples/pinhaus.bundle.yaml"),
    targets: &[13, 12, 12],
    slots: 6,
    connections_max: 220,
    run_once: &["order-repair", "refund"],
})]
fn examples_are_valid(#[case] case: Example) {
    let bundle = Bundle::from_yaml(case.text).expect("valid");
    assert_eq!(bundle.warnings(), []);
    assert_eq!((bundle.regions.len(), bundle.zones.len()), (3, 6));
    let targets: Vec<usize> = bundle.services.iter().map(|s| s.targets.len()).collect();
    assert_eq!(targets, case.targets);
    for service in &bundle.services {
        assert_eq!(service.slots, case.slots);
        assert_eq!(service.connections_max, case.connections_max);
        let zones = (0..6).filter(|z| service.targets.iter().any(|t| t.zone == *z));
        assert_eq!(zones.count(), 6, "{}", service.name);
    }
    let run_once = bundle.routes.iter().filter(|r| !r.idempotent);
    let run_once: Vec<&str> = run_once.map(|r| r.name.as_str()).collect();
    assert_eq!(run_once, case.run_once);
}
