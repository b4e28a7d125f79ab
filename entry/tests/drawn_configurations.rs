//! Configurations drawn, with a fixed seed, from all that the pages allow. Guards against one that does not
//! come into force, or not with its meaning: ranks in their order, splits in their proportions.

mod common;

use std::time::Duration;

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use lacewingmoor_bundle::{Bundle, Field, KeyDigest, Route};
use lacewingmoor_control::authorization::KeyUse;
use lacewingmoor_control::model::{Record, Revision};
use lacewingmoor_platform::{config, registry};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::fleet::{HOST, get};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::TestRunner;

/// Configurations that are decoded.
const DECODED_COUNT: usize = 400;

/// Configurations that a real entry applies.
const APPLIED_COUNT: u64 = 40;

/// Decimal places of drawn numbers.
const PLACES: i32 = 5;

/// Longest time that entries keep, in milliseconds; a longer one is kept as this one.
const TIME_MS_MAX: f64 = (1_u64 << 53) as f64;

/// A number in one of its forms, with its exact value in units of 10^-5.
#[derive(Clone, Debug)]
struct Number {
    text: String,
    units: u128,
}

impl Number {
    fn value(&self) -> f64 {
        self.units as f64 / 10_f64.powi(PLACES)
    }
}

fn number() -> impl Strategy<Value = Number> {
    let whole = prop_oneof![0..10_u64, 0..5000_u64, any::<u64>(), Just(u64::MAX)];
    let whole = whole.prop_map(|value| Number {
        text: value.to_string(),
        units: u128::from(value) * 10_u128.pow(PLACES as u32),
    });
    let other = (0..1_000_000_u128, -PLACES..=25, 0..3);
    let other = other.prop_map(|(digits, exponent, form)| Number {
        text: match form {
            0 => format!("{digits}e{exponent}"),
            1 => format!("{digits}.0E{exponent:+}"),
            _ if exponent >= 0 => format!("{digits}{}", "0".repeat(exponent as usize)),
            _ => {
                let one = 10_u128.pow(-exponent as u32);
                let places = -exponent as usize;
                format!("{}.{:0places$}", digits / one, digits % one)
            }
        },
        units: digits * 10_u128.pow((exponent + PLACES) as u32),
    });
    prop_oneof![whole, other]
}

fn field<T: Clone + std::fmt::Debug + 'static>(
    value: impl Strategy<Value = T> + 'static,
) -> impl Strategy<Value = Field<T>> {
    prop_oneof![
        Just(Field::Absent),
        Just(Field::Null),
        value.prop_map(Field::Present)
    ]
}

fn name() -> impl Strategy<Value = String> {
    "[a-c .:/%ü中\u{1f409}\"-]{0,4}"
}

fn regions() -> impl Strategy<Value = Field<Vec<String>>> {
    field(vec("north|south|elsewhere".boxed(), 0..3))
}

#[derive(Clone, Debug)]
struct DrawnRoute {
    name: String,
    rank: Field<Number>,
    timeout_ms: Field<Number>,
    objective_ms: Field<Number>,
    attempts: Field<Number>,
    public: Field<bool>,
    regions: Field<Vec<String>>,
    has_service: bool,
    weights: Field<Vec<Number>>,
}

fn route() -> impl Strategy<Value = DrawnRoute> {
    let numbers = (
        field(number()),
        field(number()),
        field(number()),
        field(number()),
    );
    let rest = (
        name(),
        field(any::<bool>()),
        regions(),
        any::<bool>(),
        field(vec(number(), 0..4)),
    );
    (numbers, rest).prop_map(|(numbers, rest)| {
        let (rank, timeout_ms, objective_ms, attempts) = numbers;
        let (name, public, regions, has_service, weights) = rest;
        DrawnRoute {
            name,
            rank,
            timeout_ms,
            objective_ms,
            attempts,
            public,
            regions,
            has_service,
            weights,
        }
    })
}

#[derive(Clone, Debug)]
struct DrawnWorkspace {
    name: String,
    key_count: Field<usize>,
    rank: Field<Number>,
    rate_per_s: Field<Number>,
    burst: Field<Number>,
    regions: Field<Vec<String>>,
}

fn workspace() -> impl Strategy<Value = DrawnWorkspace> {
    let numbers = (field(number()), field(number()), field(number()));
    (name(), field(0..3_usize), numbers, regions()).prop_map(
        |(name, key_count, (rank, rate_per_s, burst), regions)| DrawnWorkspace {
            name,
            key_count,
            rank,
            rate_per_s,
            burst,
            regions,
        },
    )
}

#[derive(Clone, Debug)]
struct Drawn {
    /// Routes of each host.
    hosts: Vec<Vec<DrawnRoute>>,
    workspaces: Field<Vec<DrawnWorkspace>>,
    /// Connections, warm-up time and rate of the service `b`.
    service: [Number; 3],
    idle_timeout_ms: Number,
    body_bytes: Number,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let service = [number(), number(), number()];
    let hosts = vec(vec(route(), 0..5), 1..4);
    (
        hosts,
        field(vec(workspace(), 0..5)),
        service,
        number(),
        number(),
    )
        .prop_map(
            |(hosts, workspaces, service, idle_timeout_ms, body_bytes)| Drawn {
                hosts,
                workspaces,
                service,
                idle_timeout_ms,
                body_bytes,
            },
        )
}

fn text(value: &str) -> String {
    serde_json::to_string(value).expect("a string is valid JSON")
}

fn list(items: impl Iterator<Item = String>) -> String {
    format!("[{}]", items.collect::<Vec<_>>().join(","))
}

/// Returns an optional field of a JSON object, with the comma before it.
fn optional<T>(name: &str, value: &Field<T>, render: impl Fn(&T) -> String) -> String {
    match value {
        Field::Absent => String::new(),
        Field::Null => format!(",\"{name}\":null"),
        Field::Present(value) => format!(",\"{name}\":{}", render(value)),
    }
}

fn of_number(number: &Number) -> String {
    number.text.clone()
}

fn of_regions(regions: &[String]) -> String {
    list(regions.iter().map(|region| text(region)))
}

fn render_route(prefix: &str, route: &DrawnRoute) -> String {
    let split = |weights: &Vec<Number>| {
        let split = |(i, weight): (usize, &Number)| {
            let service = ["a", "b"][i % 2];
            format!("{{\"service\":\"{service}\",\"weight\":{}}}", weight.text)
        };
        list(weights.iter().enumerate().map(split))
    };
    let parts = [
        format!(
            "\"name\":{},\"prefix\":\"{prefix}\",\"kind\":\"idempotent\"",
            text(&route.name)
        ),
        optional("priority", &route.rank, of_number),
        optional("timeoutMs", &route.timeout_ms, of_number),
        optional("targetLatencyMs", &route.objective_ms, of_number),
        optional("maxAttempts", &route.attempts, of_number),
        optional("public", &route.public, bool::to_string),
        optional("allowedRegions", &route.regions, |regions| {
            of_regions(regions)
        }),
        optional("trafficSplit", &route.weights, split),
        if route.has_service {
            ",\"service\":\"a\"".into()
        } else {
            String::new()
        },
    ];
    format!("{{{}}}", parts.concat())
}

fn key(workspace: usize, i: usize) -> String {
    format!("key-{workspace}-{i}")
}

fn render_workspace(id: usize, workspace: &DrawnWorkspace) -> String {
    let keys = |count: &usize| list((0..*count).map(|i| text(&key(id, i))));
    let parts = [
        format!("\"name\":{}", text(&format!("{id}{}", workspace.name))),
        optional("apiKeys", &workspace.key_count, keys),
        optional("priority", &workspace.rank, of_number),
        optional("ratePerS", &workspace.rate_per_s, of_number),
        optional("burst", &workspace.burst, of_number),
        optional("allowedRegions", &workspace.regions, |regions| {
            of_regions(regions)
        }),
    ];
    format!("{{{}}}", parts.concat())
}

/// Renders a configuration, with `host` in addition to the drawn ones.
fn render(version: u64, drawn: &Drawn, host: &str) -> String {
    let paths = |(h, routes): (usize, &Vec<DrawnRoute>)| {
        let paths = routes.iter().enumerate();
        let paths = list(paths.map(|(i, route)| render_route(&format!("/{i}/"), route)));
        format!(",{{\"hostname\":\"h{h}.example\",\"paths\":{paths}}}")
    };
    let hosts: String = drawn.hosts.iter().enumerate().map(paths).collect();
    let workspaces = |workspaces: &Vec<DrawnWorkspace>| {
        let workspaces = workspaces.iter().enumerate();
        list(workspaces.map(|(id, workspace)| render_workspace(id, workspace)))
    };
    let [connections, warmup_s, warmup_per_s] = drawn.service.each_ref().map(of_number);
    let service = |name: &str, rest: String| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",{rest}}}")
    };
    let drawn_service =
        format!("\"maxConns\":{connections},\"warmupS\":{warmup_s},\"warmupPerS\":{warmup_per_s}");
    let services = [
        service("a", "\"maxConns\":10".into()),
        service("b", drawn_service),
        service(
            "lanes",
            "\"maxConns\":200,\"warmupS\":3,\"warmupPerS\":7".into(),
        ),
    ];
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"virtualHosts\":[{host}{hosts}]{},\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":{}}}}}",
        services.join(","),
        optional("tenants", &drawn.workspaces, workspaces),
        drawn.body_bytes.text,
        drawn.idle_timeout_ms.text,
    )
}

const EMPTY_HOST: &str = "{\"hostname\":\"empty.example\",\"paths\":null}";

/// Returns the units of a rank; a field without a number is 0.
fn units(rank: &Field<Number>) -> u128 {
    rank.value().map_or(0, |rank| rank.units)
}

fn check_time(decoded: Duration, drawn: Option<&Number>, default_ms: f64) {
    let drawn_ms = drawn.map_or(default_ms, Number::value);
    let decoded_ms = decoded.as_secs_f64() * 1000.0;
    assert_eq!(decoded.is_zero(), drawn_ms == 0.0, "{drawn:?}");
    let expected_ms = drawn_ms.min(TIME_MS_MAX);
    assert!(
        (decoded_ms - expected_ms).abs() <= 1.0_f64.max(expected_ms * 1e-9),
        "{decoded:?} for {drawn:?}"
    );
}

fn check_regions(allows: impl Fn(&str) -> bool, drawn: &Field<Vec<String>>) {
    let drawn = drawn.value().filter(|regions| !regions.is_empty());
    for region in ["north", "south"] {
        let expected = drawn.is_none_or(|drawn| drawn.iter().any(|home| home == region));
        assert_eq!(allows(region), expected, "{region} in {drawn:?}");
    }
}

fn check_route(bundle: &Bundle, route: &Route, drawn: &DrawnRoute) {
    assert_eq!(
        (&route.name, route.public),
        (&drawn.name, drawn.public.value() == Some(&true))
    );
    check_time(route.timeout, drawn.timeout_ms.value(), 30_000.0);
    check_time(route.objective, drawn.objective_ms.value(), 1000.0);
    check_regions(|region| route.allows(region), &drawn.regions);
    let attempts = drawn.attempts.value().map_or(1.0, Number::value).floor();
    assert_eq!(
        f64::from(route.attempts_max),
        attempts.min(f64::from(u32::MAX))
    );
    let one = [Number {
        text: String::new(),
        units: 1,
    }];
    let weights = match drawn.weights.value() {
        Some(weights) if !weights.is_empty() => &weights[..],
        _ if drawn.has_service => &one,
        _ => &[],
    };
    assert_eq!(route.destinations.len(), weights.len());
    let drawn_sum: f64 = weights.iter().map(Number::value).sum();
    let sum: f64 = route.destinations.iter().map(|d| d.weight as f64).sum();
    for (i, (destination, weight)) in route.destinations.iter().zip(weights).enumerate() {
        assert_eq!(bundle.services[destination.service].name, ["a", "b"][i % 2]);
        assert_eq!(destination.weight == 0, weight.units == 0, "{weights:?}");
        let difference = destination.weight as f64 / sum - weight.value() / drawn_sum;
        assert!(
            weight.units == 0 || difference.abs() < 1e-9,
            "{weights:?}: {route:?}"
        );
    }
}

/// Checks that the bundle has the meaning of the drawn configuration.
fn check(bundle: &Bundle, drawn: &Drawn) {
    let mut ranks = vec![(0, 0)];
    for (h, routes) in drawn.hosts.iter().enumerate() {
        for (i, drawn) in routes.iter().enumerate() {
            let id = bundle.route(&format!("h{h}.example"), &format!("/{i}/x"));
            let route = &bundle.routes[id.expect("the route exists")];
            check_route(bundle, route, drawn);
            ranks.push((route.priority, units(&drawn.rank)));
        }
    }
    let is_absent = drawn.workspaces.is_absent();
    assert_eq!(KeyUse::of(bundle) == KeyUse::Unused, is_absent);
    let workspaces = drawn.workspaces.value().map_or(&[][..], Vec::as_slice);
    assert_eq!(bundle.workspaces.len(), workspaces.len());
    for (id, (workspace, drawn)) in bundle.workspaces.iter().zip(workspaces).enumerate() {
        assert_eq!(*workspace.name, format!("{id}{}", drawn.name));
        ranks.push((workspace.priority, units(&drawn.rank)));
        check_regions(|region| workspace.allows(region), &drawn.regions);
        for i in 0..drawn.key_count.value().copied().unwrap_or_default() {
            assert_eq!(bundle.workspace(&KeyDigest::of(&key(id, i))), Some(id));
        }
        let rate_per_s = drawn.rate_per_s.value().map_or(0.0, Number::value);
        let limit = workspace.rate_limit;
        assert_eq!(limit.is_some(), rate_per_s > 0.0);
        let is_kept = |rate: f64| (rate - rate_per_s.min(1e12)).abs() <= 1e-9 * rate;
        assert!(
            limit.is_none_or(|limit| is_kept(limit.rate_per_s)),
            "{limit:?}"
        );
    }
    for (a, drawn_a) in &ranks {
        for (b, drawn_b) in &ranks {
            assert_eq!(a.cmp(b), drawn_a.cmp(drawn_b), "{drawn:#?}");
        }
    }
    check_time(
        bundle.limits.idle_timeout,
        Some(&drawn.idle_timeout_ms),
        0.0,
    );
}

fn draw(runner: &mut TestRunner) -> Drawn {
    let tree = drawn().new_tree(runner);
    tree.expect("the strategy has values").current()
}

/// Returns the value that entries keep and send to each other.
fn kept(value: &str) -> Vec<u8> {
    let record = Record {
        key: registry::CONFIG_KEY.into(),
        revision: Revision::default(),
        value: Some(value.into()),
    };
    let record = registry::without_unused(record).expect("entries use the key");
    record.value.expect("the value is kept")
}

#[test]
fn drawn_configurations_keep_their_meaning() {
    let mut runner = TestRunner::deterministic();
    for _ in 0..DECODED_COUNT {
        let drawn = draw(&mut runner);
        let text = render(3, &drawn, EMPTY_HOST);
        for value in [text.clone().into_bytes(), kept(&text)] {
            match config::decode(&value) {
                Ok(bundle) => check(&bundle, &drawn),
                Err(error) => panic!("{error}: {text}"),
            }
        }
    }
}

/// Each configuration comes into force beside a route that requests can use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drawn_configurations_come_into_force() {
    let mut fleet = fleet(&lanes(), 1).await;
    let path = "{\"name\":\"\",\"prefix\":\"/lanes/\",\"kind\":\"idempotent\",\"service\":\"lanes\",\"maxAttempts\":2}";
    let host = format!("{{\"hostname\":\"{HOST}\",\"paths\":[{path}]}}");
    let mut runner = TestRunner::deterministic();
    for version in 2..2 + APPLIED_COUNT {
        let drawn = draw(&mut runner);
        let text = render(version, &drawn, &host);
        fleet
            .store
            .put(registry::CONFIG_KEY, text.clone().into_bytes());
        until(&format!("in force: {text}"), async || {
            let status = get(fleet.entries[0].metrics_addr, "/status").await;
            let version = format!("\"bundle_version\":{version},");
            status.is_some_and(|(_, status)| status.contains(&version))
        })
        .await;
        let request = CallerRequest {
            key: Some("unknown".into()),
            ..read(&format!("r-{version}"))
        };
        let response = expect_response(&fleet.entries[0], &request).await;
        let expected = if drawn.workspaces.is_absent() {
            200
        } else {
            401
        };
        assert_eq!(response.status.as_u16(), expected, "{text}");
        assert!(!fleet.entries[0].has_exited());
    }
    fleet.entries[0].signal(libc::SIGKILL);
    assert!(!fleet.entries[0].wait(EVENT_TIMEOUT), "the entry is killed");
    fleet.entries[0].restart().expect("the entry starts");
    let ready = fleet.wait_ready(EVENT_TIMEOUT).await;
    ready.expect("the entry is ready");
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}
