//! Guards against a list of workspaces without members being taken for one that is left out: every key
//! worked, and was passed on to the targets.

mod common;

use common::{EVENT_TIMEOUT, expect_response, fleet, lanes, read, until};
use lacewingmoor_bundle::{Field, RawBundle, RawKey, RawWorkspace};
use lacewingmoor_standin::caller::CallerRequest;
use lacewingmoor_standin::entry::EntryProcess;
use lacewingmoor_standin::fleet::{Fleet, bundle, get};
use rstest::rstest;

const KEY: &str = "secret-of-a";
const UNKNOWN_KEY: &str = "secret-of-nobody";

fn bundle_with(version: u64, workspaces: Field<Vec<RawWorkspace>>) -> RawBundle {
    let mut bundle = bundle(version, &[lanes()]);
    let mut public = bundle.routes[0].clone();
    public.name = "read-public".into();
    public.path_prefix = "/lanes/read/public/".into();
    public.public = true;
    bundle.routes.push(public);
    RawBundle {
        workspaces,
        ..bundle
    }
}

async fn put(fleet: &Fleet, version: u64, workspaces: Field<Vec<RawWorkspace>>) {
    fleet.store.put_bundle(&bundle_with(version, workspaces));
    until("the bundle is active", async || {
        let start = format!("event=bundle_in_force version={version}");
        let is_active = |entry: &EntryProcess| entry.log_text().contains(&start);
        fleet.entries.iter().all(is_active)
    })
    .await;
}

fn request(id: &str, path: &str, key: &str) -> CallerRequest {
    CallerRequest {
        path: path.into(),
        key: Some(key.into()),
        ..read(id)
    }
}

/// Returns whether a target got the key of the request.
fn got_key(fleet: &Fleet, id: &str) -> bool {
    let mut runs = fleet.targets.iter().flat_map(|t| t.standin.runs());
    runs.any(|run| run.request_id == id && run.headers.contains_key(http::header::AUTHORIZATION))
}

struct Case {
    workspaces: Field<Vec<RawWorkspace>>,
    /// Status of requests on a route that is not public.
    status: u16,
    /// Whether a target gets the keys.
    passes_keys_on: bool,
    /// Whether the status page has a part on workspaces.
    has_workspaces: bool,
}

const LISTED: Case = Case {
    workspaces: Field::Present(Vec::new()),
    status: 401,
    passes_keys_on: false,
    has_workspaces: true,
};

#[rstest]
#[case::empty(LISTED)]
#[case::null(Case { workspaces: Field::Null, ..LISTED })]
#[case::absent(Case { workspaces: Field::Absent, status: 200, passes_keys_on: true, has_workspaces: false })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_a_bundle_without_the_list_admits_every_key(#[case] case: Case) {
    let mut fleet = fleet(&lanes(), 2).await;
    let workspace = RawWorkspace {
        name: "a".into(),
        keys: vec![RawKey::from(KEY)],
        priority: 0,
        rate_per_s: 0.0,
        burst: 0.0,
        home_regions: Vec::new(),
    };
    put(&fleet, 2, Field::Present(vec![workspace])).await;
    let known = expect_response(&fleet.entries[0], &request("known", "/lanes/read/1", KEY)).await;
    assert_eq!(known.status, 200);
    put(&fleet, 3, case.workspaces).await;
    for start in ["running", "restarted"] {
        for (i, entry) in fleet.entries.iter().enumerate() {
            for key in [KEY, UNKNOWN_KEY] {
                let id = format!("{start}-{i}-{key}");
                let response = expect_response(entry, &request(&id, "/lanes/read/1", key)).await;
                let result = (response.status.as_u16(), got_key(&fleet, &id));
                assert_eq!(result, (case.status, case.passes_keys_on), "{id}");
                let id = format!("public-{id}");
                let public = request(&id, "/lanes/read/public/1", key);
                let response = expect_response(entry, &public).await;
                let result = (response.status.as_u16(), got_key(&fleet, &id));
                assert_eq!(result, (200, case.passes_keys_on), "{id}");
            }
            let page = get(entry.metrics_addr, "/status").await.expect("a page").1;
            let is_null = page.contains("\"workspaces\":null");
            assert_eq!(is_null, !case.has_workspaces, "{page}");
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
}
