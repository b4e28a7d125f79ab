//! Entries with configurations whose values no page forbids, with real processes. Guards against one value
//! that keeps the whole configuration out of force, keeps entries from getting ready after a restart or
//! ends them, and against rejections that nobody sees.

mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use lacewingmoor_platform::config;
use lacewingmoor_platform::registry::CONFIG_KEY;
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::fleet::{Fleet, HOST, ServiceSpec, bundle, get};
use rstest::rstest;
use serde_json::{Value, json};

/// Returns the configuration of the fleet in the platform's format, with an added route `/added/`.
fn configuration(version: u64, services: &[ServiceSpec]) -> Value {
    let mut bundle = bundle(version, services);
    let mut added = bundle.routes[0].clone();
    added.name = "added".into();
    added.path_prefix = "/added/".into();
    bundle.routes.push(added);
    serde_json::from_slice(&config::encode(&bundle)).expect("the configuration is JSON")
}

fn added_route(config: &mut Value) -> &mut Value {
    let hosts = config["virtualHosts"].as_array_mut().expect("a list");
    &mut hosts.last_mut().expect("a host")["paths"][0]
}

fn added(id: &str) -> CallerRequest {
    CallerRequest {
        host: format!("{HOST}:8443"),
        path: "/added/1".into(),
        key: Some("key-a".into()),
        ..read(id)
    }
}

async fn put(fleet: &Fleet, config: &Value) {
    fleet.store.put(CONFIG_KEY, config.to_string().into_bytes());
    until("the configuration is active", async || {
        let log = fleet.entries[0].log_text();
        log.contains("event=bundle_in_force version=2")
    })
    .await;
}

struct Case {
    edit: fn(&mut Value),
    /// Status of requests on the added route.
    status: u16,
}

fn served(edit: fn(&mut Value)) -> Case {
    Case { edit, status: 200 }
}

/// The route is there, so requests are not refused with 404, but nothing may run.
fn closed(edit: fn(&mut Value)) -> Case {
    Case { edit, status: 503 }
}

fn tenant(config: &mut Value, fields: Value) {
    let mut tenant = json!({ "name": "a", "apiKeys": ["key-a"] });
    let fields = fields.as_object().expect("an object").clone();
    tenant.as_object_mut().expect("an object").extend(fields);
    config["tenants"] = json!([tenant]);
}

#[rstest]
#[case::rank_above_1000(served(|c| added_route(c)["priority"] = json!(1100)))]
#[case::fractional_rank(served(|c| added_route(c)["priority"] = json!(0.5)))]
#[case::one_name_under_two_hosts(served(|c| added_route(c)["name"] = c["virtualHosts"][0]["paths"][0]["name"].clone()))]
#[case::times_with_point(served(|c| added_route(c)["timeoutMs"] = json!(2000.0)))]
#[case::longest_times(served(|c| {
    added_route(c)["timeoutMs"] = json!(u64::MAX);
    added_route(c)["targetLatencyMs"] = json!(u64::MAX);
    c["limits"]["idleTimeoutMs"] = json!(1e300);
    c["limits"]["headerTimeoutMs"] = json!(u64::MAX);
    c["services"][0]["warmupS"] = json!(1e300);
}))]
#[case::greatest_sizes(served(|c| {
    c["limits"]["maxHeaderBytes"] = json!(u64::MAX);
    c["limits"]["maxBodyBytes"] = json!(u64::MAX);
    c["services"][0]["maxConns"] = json!(u64::MAX);
    added_route(c)["maxAttempts"] = json!(u64::MAX);
}))]
#[case::host_with_port(served(|c| {
    let host = c["virtualHosts"].as_array_mut().expect("a list").last_mut().expect("a host");
    host["hostname"] = json!(format!("{HOST}:8443"));
}))]
#[case::objective_0(served(|c| added_route(c)["targetLatencyMs"] = json!(0)))]
#[case::objective_0_with_limit(served(|c| {
    added_route(c)["targetLatencyMs"] = json!(0);
    tenant(c, json!({ "ratePerS": 100, "burst": 100 }));
}))]
#[case::kind_null(served(|c| added_route(c)["kind"] = Value::Null))]
#[case::idle_timeout_of_two_hours(served(|c| c["limits"]["idleTimeoutMs"] = json!(7_200_000)))]
#[case::lists_null(served(|c| {
    added_route(c)["allowedRegions"] = Value::Null;
    c["virtualHosts"][0]["paths"] = Value::Null;
}))]
#[case::greatest_weights(served(|c| {
    let split = added_route(c)["trafficSplit"][0].clone();
    added_route(c)["trafficSplit"] = json!([split, split]);
    added_route(c)["trafficSplit"][0]["weight"] = json!(u64::MAX);
    added_route(c)["trafficSplit"][1]["weight"] = json!(1e300);
}))]
#[case::name_with_space(served(|c| tenant(c, json!({ "name": "swim club" }))))]
#[case::greatest_limit(served(|c| tenant(c, json!({ "priority": u64::MAX, "ratePerS": 1e300, "burst": 1e300 }))))]
#[case::smallest_limit(served(|c| tenant(c, json!({ "ratePerS": 1e-300, "burst": 50 }))))]
#[case::empty_key(served(|c| tenant(c, json!({ "apiKeys": ["", "key-a"] }))))]
#[case::no_attempt(closed(|c| added_route(c)["maxAttempts"] = json!(0)))]
#[case::no_time(closed(|c| added_route(c)["timeoutMs"] = json!(0)))]
#[case::no_weight(closed(|c| added_route(c)["trafficSplit"][0]["weight"] = json!(0)))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_applies_what_no_page_forbids(#[case] case: Case) {
    let mut fleet = fleet(&lanes(), 1).await;
    let mut config = configuration(2, &[lanes()]);
    (case.edit)(&mut config);
    put(&fleet, &config).await;
    for start in ["running", "restarted"] {
        let entry = &fleet.entries[0];
        for i in 0..3 {
            let sent_at = Instant::now();
            let response = expect_response(entry, &added(&format!("{start}-{i}"))).await;
            assert_eq!(
                response.status.as_u16(),
                case.status,
                "{}",
                entry.log_text()
            );
            if case.status == 503 {
                assert!(
                    response.retry_after.is_some(),
                    "the caller learns when to retry"
                );
                assert!(
                    sent_at.elapsed() < Duration::from_secs(1),
                    "refused at once"
                );
            }
        }
        if start == "running" {
            let entry = &mut fleet.entries[0];
            entry.signal(libc::SIGKILL);
            assert!(!entry.wait(EVENT_TIMEOUT), "the entry is killed");
            entry.restart().expect("the entry starts");
            let ready = fleet.wait_ready(EVENT_TIMEOUT).await;
            ready.expect("the entry is ready");
        }
    }
    assert!(!fleet.entries[0].log_text().contains("panicked"));
}

/// Two routes with one name shared the turns of their splits, so neither kept its weights.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_with_one_name_keep_their_own_splits() {
    let other = ServiceSpec {
        name: "other",
        ..lanes()
    };
    let services = [lanes(), other];
    let binary = Path::new(env!("CARGO_BIN_EXE_lacewingmoord"));
    let fleet = Fleet::start(binary, &services, 1)
        .await
        .expect("the fleet starts");
    let ready = fleet.wait_ready(EVENT_TIMEOUT).await;
    ready.expect("the entry is ready");
    let mut config = configuration(2, &services);
    let split = json!([{ "service": "lanes", "weight": 1 }, { "service": "other", "weight": 1 }]);
    added_route(&mut config)["trafficSplit"] = split.clone();
    added_route(&mut config)["name"] = json!("same");
    config["virtualHosts"][0]["paths"][0]["trafficSplit"] = split;
    config["virtualHosts"][0]["paths"][0]["name"] = json!("same");
    put(&fleet, &config).await;
    for i in 0..20 {
        expect_response(&fleet.entries[0], &added(&format!("added-{i}"))).await;
        expect_response(&fleet.entries[0], &read(&format!("read-{i}"))).await;
    }
    for start in ["added", "read"] {
        let of_other = fleet
            .targets
            .iter()
            .filter(|t| t.registration.service == "other");
        let runs = of_other.flat_map(|target| target.standin.runs());
        let count = runs.filter(|run| run.request_id.starts_with(start)).count();
        assert!((9..=11).contains(&count), "{count} of 20 {start} requests");
    }
}

/// Operators learned only that some value was unusable, not which, nor which version stayed in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejected_configuration_is_reported_with_its_field() {
    let fleet = fleet(&lanes(), 1).await;
    let entry = &fleet.entries[0];
    let mut config = configuration(2, &[lanes()]);
    added_route(&mut config)["priority"] = json!("first");
    fleet.store.put(CONFIG_KEY, config.to_string().into_bytes());
    until("the configuration is rejected", async || {
        entry.log_text().contains("event=store_item_unusable")
    })
    .await;
    let log = entry.log_text();
    let line = log
        .lines()
        .find(|line| line.contains("event=store_item_unusable"));
    let line = line.expect("a line");
    for part in [
        "version=2",
        "kept_version=1",
        "field=virtualHosts[2].paths[0].priority",
    ] {
        assert!(line.contains(part), "{line}");
    }
    let (_, metrics) = get(entry.metrics_addr, "/metrics").await.expect("a page");
    let rejected = "lacewingmoor_bundles_rejected_total{field=\"virtualHosts.paths.priority\"} 1";
    assert!(metrics.contains(rejected), "{metrics}");
    assert!(
        metrics.contains("lacewingmoor_bundle_version 1\n"),
        "{metrics}"
    );
    let (_, status) = get(entry.metrics_addr, "/status").await.expect("a page");
    assert!(status.contains("\"rejected_bundle_version\":2"), "{status}");
    put(&fleet, &configuration(2, &[lanes()])).await;
    let (_, status) = get(entry.metrics_addr, "/status").await.expect("a page");
    assert!(
        status.contains("\"rejected_bundle_version\":null"),
        "{status}"
    );
}
