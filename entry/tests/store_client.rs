//! The store client and the fetch of bundle versions from the store.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use fake::*;
use lacewingmoor_bundle::{MANIFEST_KEY, SecretKey, part_key};
use lacewingmoor_control::Event;
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::store::{Store, StoreFaults};
use lacewingmoord::bundle_sync::{BundleSync, Library};
use lacewingmoord::log::discard;
use lacewingmoord::peer::Links;
use lacewingmoord::store::{HttpStore, Store as _};
use lacewingmoord::store_watch;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;

async fn start() -> (Store, Arc<Recorder>, Arc<BundleSync>) {
    let store = Store::start(ANY_PORT).await.unwrap();
    let events = Recorder::start();
    let links = Arc::new(Links::new(local(1, 1, 1), 1, discard()));
    let sync = sync(store.addr(), links, &Library::default(), events.clone());
    (store, events, sync)
}

#[derive(Debug, PartialEq)]
enum Seen {
    Bundle(u64),
    Reached(u64),
    Failed,
}

fn seen(event: &Event) -> Seen {
    match event {
        Event::Bundle(bundle) => Seen::Bundle(bundle.version),
        Event::StoreReached { version, .. } => Seen::Reached(*version),
        Event::StoreFailed => Seen::Failed,
        other => panic!("{other:?}"),
    }
}

enum Fault {
    None,
    Empty,
    Down,
    Slow,
    WrongKey,
    TamperedManifest,
    MissingPart,
    TamperedPart,
}

struct Read {
    guards: &'static str,
    fault: Fault,
    seen: &'static [Seen],
}

#[rstest]
#[case(Read { guards: "a good version is not put in force before it is confirmed",
    fault: Fault::None, seen: &[Seen::Bundle(3), Seen::Reached(3)] })]
#[case(Read { guards: "an empty store looks like an outage",
    fault: Fault::Empty, seen: &[Seen::Reached(0)] })]
#[case(Read { guards: "an outage goes unnoticed", fault: Fault::Down, seen: &[Seen::Failed] })]
#[case(Read { guards: "slowness goes unnoticed, or hides a version",
    fault: Fault::Slow, seen: &[Seen::Failed, Seen::Bundle(3), Seen::Reached(3)] })]
#[case(Read { guards: "a version signed by somebody else comes into force",
    fault: Fault::WrongKey, seen: &[Seen::Failed] })]
#[case(Read { guards: "a manifest changed after signing comes into force",
    fault: Fault::TamperedManifest, seen: &[Seen::Failed] })]
#[case(Read { guards: "an accepted version that cannot be fetched looks like an outage",
    fault: Fault::MissingPart, seen: &[Seen::Reached(3)] })]
#[case(Read { guards: "a changed part comes into force",
    fault: Fault::TamperedPart, seen: &[Seen::Reached(3)] })]
#[tokio::test]
async fn reads_the_store(#[case] case: Read) {
    let (store, events, sync) = start().await;
    if !matches!(case.fault, Fault::Empty) {
        publish(store.addr(), 3).await;
    }
    let (mut manifest, parts) = signed(3, &operator());
    let part = part_key(&parts[1].digest);
    match case.fault {
        Fault::None | Fault::Empty => {}
        Fault::Down => store.set_down(true),
        Fault::Slow => store.set(StoreFaults {
            slow_ms: Some(1000),
            ..StoreFaults::default()
        }),
        Fault::WrongKey => {
            let (manifest, _) = signed(3, &SecretKey::from_seed(&[2; 32]));
            put(store.addr(), MANIFEST_KEY, manifest).await;
        }
        Fault::TamperedManifest => {
            let (other, _) = signed(4, &operator());
            let field = |bytes: &[u8]| {
                let json: serde_json::Value = serde_json::from_slice(bytes).unwrap();
                json["manifest"].as_str().unwrap().to_owned()
            };
            let text = String::from_utf8(manifest.clone()).unwrap();
            manifest = text.replace(&field(&manifest), &field(&other)).into_bytes();
            put(store.addr(), MANIFEST_KEY, manifest).await;
        }
        Fault::MissingPart => {
            let url = format!("http://{}/v1/kv/{part}?lease_ms=1", store.addr());
            let put = reqwest::Client::new().put(url).send().await.unwrap();
            assert!(put.status().is_success());
            while store.value(&part).is_some() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        Fault::TamperedPart => put(store.addr(), &part, parts[0].bytes.clone()).await,
    }
    store_watch::read(&sync).await;
    for expected in case.seen {
        assert_eq!(
            seen(&events.next().await),
            *expected,
            "guards: {}",
            case.guards
        );
    }
    assert!(events.rest().await.is_empty(), "guards: {}", case.guards);
    if matches!(case.fault, Fault::MissingPart | Fault::TamperedPart) {
        publish(store.addr(), 3).await;
        store_watch::read(&sync).await;
        let next = seen(&events.next().await);
        assert_eq!(next, Seen::Bundle(3), "guards: a bad part is kept");
    }
}

/// Guards against a watch that misses changes, parts that come late, or the end of an outage.
#[tokio::test]
async fn watch_follows_the_store() {
    let (store, events, sync) = start().await;
    let task = tokio::spawn(async move {
        store_watch::watch(&sync, StdRng::seed_from_u64(1)).await;
    });
    let until = |wanted: Seen| events.until(move |e| (seen(e) == wanted).then_some(()));
    until(Seen::Reached(0)).await;
    publish(store.addr(), 3).await;
    until(Seen::Bundle(3)).await;
    store.set_down(true);
    until(Seen::Failed).await;
    store.set_down(false);
    until(Seen::Reached(3)).await;

    let (manifest, parts) = signed(4, &operator());
    put(store.addr(), MANIFEST_KEY, manifest).await;
    until(Seen::Reached(4)).await;
    for part in parts {
        put(store.addr(), &part_key(&part.digest), part.bytes).await;
    }
    until(Seen::Bundle(4)).await;
    let as_of = events.until(|e| match e {
        Event::StoreReached {
            as_of, version: 4, ..
        } => Some(*as_of),
        _ => None,
    });
    let first = as_of.await;
    let later = events.until(|e| match e {
        Event::StoreReached { as_of, .. } => Some(*as_of),
        _ => None,
    });
    assert!(
        later.await > first,
        "guards: an unchanged answer confirms nothing"
    );
    task.abort();
}

/// Guards against store calls that are not counted one by one, and answers of unlimited size.
#[tokio::test]
async fn makes_one_call_per_read() {
    let (store, _, _) = start().await;
    let client = HttpStore::new(store.addr()).unwrap();
    put(store.addr(), "large", vec![7; 1024 * 1024]).await;
    assert!(
        client.get("large").await.is_err(),
        "more bytes than a value may have"
    );
    assert!(client.get("none").await.unwrap().value.is_none());
    store.set_down(true);
    assert!(client.get("none").await.is_err());
    store.set_down(false);
    let wait = Duration::from_millis(20);
    assert!(client.watch("none", 0, wait).await.unwrap().is_none());
    assert_eq!((store.counts().get, store.counts().watch), (2, 1));
}
