//! Behaviour of the stand-ins beyond the contract: faults and what they record.

use std::time::Duration;

use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::load::{Driver, Front, Kind, Outcome, Plan};
use lacewingmoor_standin::ports::Reserved;
use lacewingmoor_standin::store::{Store, StoreFaults};
use lacewingmoor_standin::target::{Change, Distribution, Reports, Settings, State, Target};
use lacewingmoor_standin::vms::{Role, Vm, VmList, VmListChange, VmState};
use rstest::rstest;

fn constant(service_ms: f64) -> Settings {
    Settings {
        service_ms,
        distribution: Distribution::Constant,
        ..Settings::default()
    }
}

async fn get(target: &Target, path: &str, id: &str) -> reqwest::Result<reqwest::Response> {
    reqwest::Client::new()
        .get(format!("http://{}{path}", target.addr()))
        .header("request-id", id)
        .send()
        .await
}

/// Guards against faults that do not happen, which would make tests of failures pass for nothing.
#[tokio::test]
async fn store_faults() {
    let store = Store::start(ANY_PORT).await.unwrap();
    let url = format!("http://{}/v1/kv/a", store.addr());
    let client = reqwest::Client::new();
    store.set(StoreFaults {
        lose_next: Some(true),
        ..StoreFaults::default()
    });
    let lost = client.put(&url).body("x").send().await;
    assert!(lost.is_err());
    assert_eq!(store.value("a").unwrap().1, "x", "the write took effect");
    let watch = client.get(format!("{url}?wait_revision=1&wait_ms=30000"));
    let (watch, ()) = tokio::join!(watch.send(), async {
        while store.counts().waiting == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        store.set_down(true);
    });
    assert!(watch.is_err(), "a waiting watch is cut off");
    assert!(client.get(&url).send().await.is_err());
    store.set_down(false);
    assert_eq!(client.get(&url).send().await.unwrap().status(), 200);
    let counts = store.counts();
    assert_eq!(
        (counts.get, counts.watch, counts.put, counts.waiting),
        (1, 1, 1, 0)
    );
}

/// Guards against a lag that shows changes at once.
#[tokio::test]
async fn vm_list_lags() {
    let list = VmList::start(ANY_PORT).await.unwrap();
    let vm = Vm {
        id: "s/t".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z".into(),
        region: "r".into(),
        role: Role::Target,
        state: VmState::Live,
    };
    list.set(vec![vm]);
    list.change(VmListChange {
        lag_ms: Some(600_000),
        ..VmListChange::default()
    });
    list.set_state("s/t", VmState::Leaving);
    let read = async || -> Vec<Vm> {
        let url = format!("http://{}/v1/vms", list.addr());
        reqwest::get(url).await.unwrap().json().await.unwrap()
    };
    assert_eq!(read().await[0].state, VmState::Live);
    list.change(VmListChange {
        lag_ms: Some(0),
        ..VmListChange::default()
    });
    assert_eq!(read().await[0].state, VmState::Leaving);
}

/// Guards against a target that takes any load: slots, queue and shedding have to bind.
#[tokio::test]
async fn slots_queue_and_shedding() {
    let settings = Settings {
        slots: 2,
        queue_max: 3,
        ..constant(300.0)
    };
    let target = Target::start(ANY_PORT, settings).await.unwrap();
    let calls = (0..8).map(|n| get(&target, "/", Box::leak(format!("r{n}").into_boxed_str())));
    let answers = futures_util::future::join_all(calls).await;
    let statuses: Vec<u16> = answers
        .iter()
        .map(|a| a.as_ref().unwrap().status().as_u16())
        .collect();
    assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 5);
    for shed in answers.iter().flatten().filter(|a| a.status() == 503) {
        assert_eq!(shed.headers()["request-not-run"], "true");
    }
    let counts = target.counts();
    assert_eq!((counts.answered, counts.shed, counts.most), (5, 3, 5));
}

/// Guards against a cold start that goes unnoticed.
#[tokio::test]
async fn cold_collapse() {
    let settings = Settings {
        cold: true,
        warmup_ms: 0,
        collapse_factor: 3.0,
        ..constant(100.0)
    };
    let mut target = Target::start(ANY_PORT, settings).await.unwrap();
    let cold = get(&target, "/", "a").await.unwrap();
    let report = cold.headers()["load-report"].to_str().unwrap().to_owned();
    assert!(report.starts_with("state="), "{report}");
    let (b, c) = tokio::join!(get(&target, "/", "b"), get(&target, "/", "c"));
    assert!(b.is_ok() && c.is_ok());
    assert_eq!(target.counts().cold_violations, 0, "warm after an answer");
    target.restart().await.unwrap();
    let (d, e) = tokio::join!(get(&target, "/", "d"), get(&target, "/", "e"));
    assert!(d.is_ok() && e.is_ok());
    assert_eq!(target.counts().cold_violations, 1);
}

/// Guards against reports that are more honest than they are set to be.
#[rstest]
#[case::honest(Reports::Honest, 0, Some("state=draining"))]
#[case::lagging(Reports::Honest, 600_000, Some("state=warm"))]
#[case::lying(Reports::Idle, 0, Some("state=warm in_flight=0 queue=0"))]
#[case::off(Reports::Off, 0, None)]
#[tokio::test]
async fn load_reports(
    #[case] reports: Reports,
    #[case] lag_ms: u64,
    #[case] expected: Option<&str>,
) {
    let settings = Settings {
        reports,
        report_lag_ms: lag_ms,
        ..constant(1.0)
    };
    let target = Target::start(ANY_PORT, settings).await.unwrap();
    get(&target, "/", "a").await.unwrap();
    target.set_draining(true);
    let answer = get(&target, "/", "b").await.unwrap();
    let report = answer.headers().get("load-report");
    let report = report.map(|r| r.to_str().unwrap());
    assert_eq!(report.is_some(), expected.is_some());
    assert!(report.unwrap_or("").starts_with(expected.unwrap_or("")));
    assert_eq!(target.counts().while_draining, 1);
    assert_eq!(State::Draining.name(), "draining");
}

/// Guards against cuts and double runs that the record does not show.
#[tokio::test]
async fn cuts_and_runs() {
    let target = Target::start(ANY_PORT, constant(1.0)).await.unwrap();
    assert!(get(&target, "/?cut=head", "a").await.is_err());
    let half = get(&target, "/?bytes=100000&cut=body", "b").await.unwrap();
    assert!(half.bytes().await.is_err());
    target.change(Change {
        cut_next: Some(true),
        ..Change::default()
    });
    assert!(get(&target, "/", "c").await.is_err());
    let whole = get(&target, "/?bytes=100000", "c").await.unwrap();
    assert_eq!(whole.bytes().await.unwrap().len(), 100_000);
    assert!(target.wait_idle(Duration::from_secs(10)).await);
    let complete = |id| -> Vec<bool> { target.runs(id).iter().map(|r| r.complete).collect() };
    assert_eq!(complete("a"), [false]);
    assert_eq!(complete("b"), [false]);
    assert_eq!(complete("c"), [false, true]);
}

/// Guards against a driver that takes a foreign, short or altered answer for the right one.
#[rstest]
#[case::echo(Kind { body_bytes: Some(5000), ..Kind::get("k", "/") }, true)]
#[case::generated(Kind { answer_bytes: Some(70_000), ..Kind::get("k", "/") }, true)]
#[case::length(Kind { answer_bytes: Some(70_000), ..Kind::get("k", "/?bytes=69999") }, false)]
#[case::cut(Kind { answer_bytes: Some(70_000), ..Kind::get("k", "/?cut=body") }, false)]
#[case::other_body(Kind { answer_bytes: None, ..Kind::get("k", "/?bytes=3") }, false)]
#[tokio::test]
async fn driver_checks_answers(#[case] kind: Kind, #[case] good: bool) {
    let target = Target::start(ANY_PORT, constant(0.0)).await.unwrap();
    let plan = Plan::new(200.0, Duration::from_millis(200), kind);
    let report = Driver::new()
        .run(plan, Front::new(vec![target.addr()]))
        .await;
    assert!(report.offered() > 10);
    let answered = report.answered();
    assert_eq!(answered, if good { report.offered() } else { 0 });
}

/// Guards against a driver that waits for answers before it sends more.
#[tokio::test]
async fn driver_is_open_loop_and_bounded() {
    let settings = Settings {
        slots: 8,
        ..constant(0.0)
    };
    let target = Target::start(ANY_PORT, settings).await.unwrap();
    let slow = Kind::get("slow", "/?service_ms=2000");
    let plan = Plan {
        open_max: 8,
        ..Plan::new(200.0, Duration::from_millis(300), slow)
    };
    let report = Driver::new()
        .run(plan, Front::new(vec![target.addr()]))
        .await;
    assert_eq!(report.answered(), 8);
    assert_eq!(
        report.count(|o| *o == Outcome::Unsent),
        report.offered() - 8
    );
}

/// Guards against a reserved port that goes to someone else or that its owner cannot use.
#[tokio::test]
async fn reserved_port() {
    let reserved = Reserved::new().unwrap();
    for _ in 0..2 {
        let listener = tokio::net::TcpListener::bind(reserved.addr())
            .await
            .unwrap();
        tokio::net::TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
    }
    let refused = tokio::net::TcpStream::connect(reserved.addr()).await;
    assert!(refused.is_err());
}
