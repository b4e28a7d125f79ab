//! Contract of docs/PLATFORM.md. Runs against the stand-ins, or against the implementations whose
//! addresses are in `LACEWINGMOOR_STORE`, `LACEWINGMOOR_VM_LIST` and `LACEWINGMOOR_TARGET`.

use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::Store;
use lacewingmoor_standin::target::{Settings, Target};
use lacewingmoor_standin::vms::{Role, Vm, VmList, VmState};
use reqwest::{Client, Response};

struct Kv {
    url: String,
    client: Client,
    _store: Option<Store>,
}

impl Kv {
    /// Opens the store under test; `area` keeps the keys of tests apart.
    async fn open(area: &str) -> Self {
        let (addr, store) = match std::env::var("LACEWINGMOOR_STORE") {
            Ok(addr) => (addr, None),
            Err(_) => {
                let store = Store::start(ANY_PORT).await.unwrap();
                (store.addr().to_string(), Some(store))
            }
        };
        let unique = std::process::id();
        Self {
            url: format!("http://{addr}/v1/kv/contract/{area}-{unique}"),
            client: Client::new(),
            _store: store,
        }
    }

    async fn get(&self, query: &str) -> Response {
        let url = format!("{}{query}", self.url);
        self.client.get(url).send().await.unwrap()
    }

    async fn put(&self, query: &str, value: Vec<u8>, expected: Option<&str>) -> Response {
        let mut request = self.client.put(format!("{}{query}", self.url)).body(value);
        if let Some(expected) = expected {
            request = request.header("if-revision", expected);
        }
        request.send().await.unwrap()
    }
}

fn revision(response: &Response) -> u64 {
    let value = response.headers().get("store-revision").unwrap();
    value.to_str().unwrap().parse().unwrap()
}

/// Guards against lost updates: a write with an old revision must change nothing.
#[tokio::test]
async fn compare_and_swap() {
    let kv = Kv::open("cas").await;
    let missing = kv.get("").await;
    assert_eq!((missing.status().as_u16(), revision(&missing)), (404, 0));
    let created = kv.put("", b"a".to_vec(), Some("0")).await;
    assert_eq!(created.status(), 200);
    let first = revision(&created);
    assert!(first > 0);
    let again = kv.put("", b"b".to_vec(), Some("0")).await;
    assert_eq!((again.status().as_u16(), revision(&again)), (412, first));
    let changed = kv.put("", b"c".to_vec(), Some(&first.to_string())).await;
    assert_eq!(changed.status(), 200);
    let second = revision(&changed);
    assert!(second > first);
    let read = kv.get("").await;
    assert_eq!((read.status().as_u16(), revision(&read)), (200, second));
    assert_eq!(read.bytes().await.unwrap(), "c");
}

/// Guards against two winners of a race.
#[tokio::test]
async fn one_of_many_racing_writers_wins() {
    let kv = Kv::open("race").await;
    let writes = (0..16_u8).map(|n| kv.put("", vec![n], Some("0")));
    let answers = futures_util::future::join_all(writes).await;
    let won = answers.iter().filter(|a| a.status() == 200).count();
    let lost = answers.iter().filter(|a| a.status() == 412).count();
    assert_eq!((won, lost), (1, 15));
}

/// Guards against a watch that misses a write, and one that never ends.
#[tokio::test]
async fn watch() {
    let kv = Kv::open("watch").await;
    let (seen, created) = tokio::join!(
        kv.get("?wait_revision=0&wait_ms=20000"),
        kv.put("", b"x".to_vec(), None)
    );
    let now = revision(&created);
    assert_eq!((seen.status().as_u16(), revision(&seen)), (200, now));
    let old = kv.get("?wait_revision=0&wait_ms=20000").await;
    assert_eq!((old.status().as_u16(), revision(&old)), (200, now));
    let still = kv.get(&format!("?wait_revision={now}&wait_ms=20")).await;
    assert_eq!((still.status().as_u16(), revision(&still)), (304, now));
}

/// Guards against a key that outlives its lease, and a lease that removes a later write.
#[tokio::test]
async fn lease() {
    let kv = Kv::open("lease").await;
    let leased = kv.put("?lease_ms=50", b"x".to_vec(), Some("0")).await;
    let first = revision(&leased);
    let gone = kv
        .get(&format!("?wait_revision={first}&wait_ms=20000"))
        .await;
    assert_eq!((gone.status().as_u16(), revision(&gone)), (404, 0));
    let leased = kv.put("?lease_ms=1000", b"y".to_vec(), Some("0")).await;
    let second = revision(&leased);
    assert!(second > first, "a revision is never given twice");
    let kept = kv
        .put("", b"z".to_vec(), Some(&second.to_string()))
        .await
        .error_for_status()
        .map(|r| revision(&r))
        .unwrap();
    let same = kv.get(&format!("?wait_revision={kept}&wait_ms=1300")).await;
    assert_eq!(same.status(), 304);
}

/// Guards against a partial effect of refused writes.
#[tokio::test]
async fn refused_writes() {
    let kv = Kv::open("refused").await;
    let long = kv.put("", vec![0; 1024 * 1024 + 1], None).await;
    assert_eq!(long.status(), 413);
    let malformed = kv.put("", b"x".to_vec(), Some("one")).await;
    assert_eq!(malformed.status(), 400);
    assert_eq!(kv.get("").await.status(), 404);
    let longest = kv.put("", vec![7; 1024 * 1024], None).await;
    assert_eq!(longest.status(), 200);
    assert_eq!(
        kv.get("").await.bytes().await.unwrap(),
        vec![7; 1024 * 1024]
    );
}

/// Guards against a list in another form than the entries read.
#[tokio::test]
async fn vm_list() {
    let mut list = None;
    let addr = match std::env::var("LACEWINGMOOR_VM_LIST") {
        Ok(addr) => addr,
        Err(_) => {
            let standin = VmList::start(ANY_PORT).await.unwrap();
            standin.set(vec![Vm {
                id: "entry-1".into(),
                address: "127.0.0.1:7001".parse().unwrap(),
                zone: "oberland-a".into(),
                region: "oberland".into(),
                role: Role::Entry,
                state: VmState::Live,
            }]);
            list.insert(standin).addr().to_string()
        }
    };
    let answer = reqwest::get(format!("http://{addr}/v1/vms")).await.unwrap();
    assert_eq!(answer.status(), 200);
    let vms: Vec<serde_json::Value> = answer.json().await.unwrap();
    for vm in &vms {
        assert!(vm["id"].is_string() && vm["zone"].is_string() && vm["region"].is_string());
        let address = vm["address"].as_str().unwrap();
        assert!(address.parse::<std::net::SocketAddr>().is_ok());
        assert!(["entry", "target"].contains(&vm["role"].as_str().unwrap()));
        assert!(["live", "leaving"].contains(&vm["state"].as_str().unwrap()));
    }
    assert!(list.is_none() || vms.len() == 1);
}

/// Guards against load reports in another form than the entries read.
#[tokio::test]
async fn target_reports() {
    let mut target = None;
    let addr = match std::env::var("LACEWINGMOOR_TARGET") {
        Ok(addr) => addr,
        Err(_) => {
            let standin = Target::start(ANY_PORT, Settings::default()).await.unwrap();
            target.insert(standin).addr().to_string()
        }
    };
    let states = ["cold", "warming", "warm", "shedding", "draining"];
    let answer = reqwest::get(format!("http://{addr}/")).await.unwrap();
    if let Some(report) = answer.headers().get("load-report") {
        let fields: std::collections::HashMap<_, _> = report
            .to_str()
            .unwrap()
            .split(' ')
            .map(|field| field.split_once('=').unwrap())
            .collect();
        assert!(states.contains(&fields["state"]));
        assert!(fields["in_flight"].parse::<u32>().is_ok());
        assert!(fields["queue"].parse::<u32>().is_ok());
        assert!(!fields["start"].is_empty());
    }
    let load = reqwest::get(format!("http://{addr}/load")).await.unwrap();
    if load.status() == 200 {
        let load: serde_json::Value = load.json().await.unwrap();
        assert!(states.contains(&load["state"].as_str().unwrap()));
        assert!(load["in_flight"].is_u64() && load["queue"].is_u64() && load["slots"].is_u64());
        assert!(load["start_id"].is_string());
    }
    drop(target);
}
