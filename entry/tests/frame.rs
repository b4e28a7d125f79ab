//! Settings, logs and the admin listener.

mod common;

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, UNIX_EPOCH};

use common::{Entry, Fake, bundle, call, get, status};
use lacewingmoor_control::{Decision, DecisionKind};
use lacewingmoord::acceptor::{ClosingAcceptor, Connections};
use lacewingmoord::admin::Admin;
use lacewingmoord::log::{DecisionLog, Pipeline, decision_line, logger};
use lacewingmoord::settings::Settings;
use rstest::rstest;

const METRICS: &str = include_str!("../../docs/METRICS.md");

fn settings() -> String {
    let key = lacewingmoor_bundle::SecretKey::from_seed(&[1; 32]);
    format!(
        "node: e1\nzone: z1\nregion: r1\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\n\
         peer: 127.0.0.1:3\nstore: 127.0.0.1:4\nvm_list: 127.0.0.1:5\nseed: 1\n\
         operator_keys: [\"{}\"]\n\
         fleet_key: \"AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=\"\n",
        key.public().to_base64()
    )
}

/// Guards against an entry that starts with settings that it misunderstands, and against errors
/// that are reported one at a time.
#[rstest]
#[case::good("", "", &[])]
#[case::unknown_field("node: e1", "node: e1\nnodes: x", &["unknown field `nodes`"])]
#[case::missing("zone: z1\n", "", &["zone: is missing"])]
#[case::bad_name("node: e1", "node: \"e 1\"", &["node: may only hold"])]
#[case::host_name("127.0.0.1:4", "store.example:4", &["store: \"store.example:4\" is not"])]
#[case::same_address("127.0.0.1:2", "127.0.0.1:1", &["admin: 127.0.0.1:1 is already used"])]
#[case::short_key("AQEBAQEB", "AQ", &["fleet_key: "])]
#[case::policy("seed: 1", "policy: best", &["unknown variant `best`"])]
#[case::unready("seed: 1", "unready_ms: 9999999", &["unready_ms: 9999999 is above"])]
#[case::level("seed: 1", "log: {level: loud}", &["log.level: \"loud\" is not a level"])]
#[case::several(
    "node: e1\nzone: z1\n",
    "zone: \"\"\n",
    &["node: is missing", "zone: is missing"]
)]
fn checks_settings(#[case] from: &str, #[case] to: &str, #[case] errors: &[&str]) {
    let text = settings().replacen(from, to, usize::from(!from.is_empty()));
    match Settings::parse(&text) {
        Ok(settings) => {
            assert!(errors.is_empty(), "{settings:?}");
            assert_eq!(settings.unready, Duration::from_secs(2));
            assert!(settings.log_decisions);
        }
        Err(error) => {
            let error = error.to_string();
            assert!(!errors.is_empty(), "{error}");
            for expected in errors {
                assert!(error.contains(expected), "{error}");
            }
        }
    }
}

fn decision(reason: &'static str) -> Decision {
    Decision {
        kind: DecisionKind::Dispatch,
        request: Some(7),
        attempt: Some(1),
        route: Some("a \"b\"\nevent=forged".into()),
        target: Some("svc/t0".into()),
        zone: None,
        state: None,
        reason,
        version: 3,
    }
}

/// Guards against values that forge keys or lines.
#[test]
fn writes_one_line_per_decision() {
    let mut line = String::new();
    decision_line(&mut line, UNIX_EPOCH, &decision("credit"));
    assert_eq!(
        line,
        "time_ms=0 level=info event=decision kind=Dispatch request=7 attempt=1 \
         route=\"a \\\"b\\\"\\nevent=forged\" target=svc/t0 reason=credit version=3\n"
    );
}

/// An output that accepts nothing until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<Output>);

#[derive(Default)]
struct Output {
    open: Mutex<bool>,
    opened: Condvar,
    text: Mutex<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut open = self.0.open.lock().unwrap();
        while !*open {
            open = self.0.opened.wait(open).unwrap();
        }
        self.0.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a log that stalls traffic when its output does, or drops lines silently.
#[test]
fn a_stalled_log_drops_and_counts() {
    const LINES: usize = 10_000;
    let output = Gate::default();
    let pipeline = Pipeline::start(output.clone(), 100);
    let decisions = DecisionLog::new(&pipeline, true);
    let log = logger(&pipeline, slog::Level::Info, "e1");
    for _ in 0..LINES {
        decisions.write(decision("credit"));
    }
    let dropped = pipeline.dropped();
    assert!(dropped > 0);
    *output.0.open.lock().unwrap() = true;
    output.0.opened.notify_all();
    let text = || String::from_utf8(output.0.text.lock().unwrap().clone()).unwrap();
    // Lines are accepted again once the thread has caught up.
    while !text().contains("event=probe") || !text().contains("event=log_lines_dropped") {
        slog::info!(log, "probe"; "text" => "a b");
        pipeline.flush(Duration::from_secs(60));
    }
    let text = text();
    assert!(
        text.contains(" event=probe text=\"a b\" node=e1\n"),
        "{text}"
    );
    let reported: usize = text
        .lines()
        .filter_map(|line| line.split("event=log_lines_dropped count=").nth(1))
        .map(|count| count.parse::<usize>().unwrap())
        .sum();
    let written = text.matches("event=decision").count();
    assert_eq!(written + dropped as usize, LINES);
    assert!(reported >= dropped as usize);
}

/// Guards against a status that operators' tools cannot read, and an explanation of another
/// route than the one that requests take.
#[tokio::test]
async fn admin_paths() {
    let metrics = lacewingmoord::metrics::install();
    let (fake, _requests) = Fake::answering("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    let mut bundle = bundle(&[fake.addr]);
    bundle.digest = [0xab; 32];
    let entry = Entry::start(bundle).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let admin = Admin {
        settings: Arc::new(Settings::parse(&settings()).unwrap()),
        control: entry.control.clone(),
        readiness: entry.readiness.clone(),
        metrics,
    };
    let acceptor = ClosingAcceptor::new(listener, Arc::new(Connections::default())).unwrap();
    tokio::spawn(salvo::Server::new(acceptor).serve(admin.router()));
    assert_eq!(status(&call(entry.addr, &get("/read/a")).await), 200);

    let body = |answer: String| answer.split_once("\r\n\r\n").unwrap().1.to_owned();
    let json = |answer| serde_json::from_str::<serde_json::Value>(&body(answer)).unwrap();
    let seen = json(call(addr, &get("/status")).await);
    assert_eq!(seen["node"], "e1");
    assert_eq!(seen["version"], 1);
    assert_eq!(seen["digest"], "ab".repeat(32));
    assert_eq!(seen["fresh"], true);
    assert_eq!(seen["targets"][0]["target"], "svc/t0");
    assert!(seen["targets"][0]["cap"].is_u64());
    assert!(seen["targets"][0]["state"].is_string());
    let seen = json(call(addr, &get("/explain?path=/read/a&tenant=pool")).await);
    assert_eq!(seen["route"], "read");
    assert_eq!(status(&call(addr, &get("/explain")).await), 400);
    assert_eq!(status(&call(addr, &get("/nothing")).await), 404);
    let text = body(call(addr, &get("/metrics")).await);
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = names.map(|line| line.split(' ').next().unwrap()).collect();
    assert!(names.contains(&"lacewingmoor_requests_total"), "{text}");
    for name in names {
        assert!(
            METRICS.contains(&format!("`{name}`")),
            "{name} is not documented"
        );
    }
}
