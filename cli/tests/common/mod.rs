//! Runs the binary against stand-ins on loopback.

#![allow(dead_code)] // Each test file uses a part of this module.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use http::{Method, Request, Response};
use http_body_util::{BodyExt as _, Full};
use lacewingmoor_standin::ANY_PORT;
use lacewingmoor_standin::server::{Body, Reply, Server};
use serde_json::Value;
use tempfile::TempDir;

pub const ISARBRUNN: &str = include_str!("../../../examples/isarbrunn.bundle.yaml");

/// What a run of the binary printed, and its exit code.
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {}{}", self.out, self.err))
    }
}

pub async fn run(args: &[&str]) -> Run {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_lacewingmoor"));
    // Guards against a proxy from the environment: a call that honours it fails.
    command.env("http_proxy", "http://127.0.0.1:1");
    let output = command.args(args).output().await.expect("the binary runs");
    Run {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A directory with an operator key.
pub struct Operator {
    dir: TempDir,
    pub public_key: String,
}

impl Operator {
    pub async fn new() -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        let key = dir.path().join("key");
        let made = run(&["keygen", "--json", "--out", text(&key)]).await;
        let public_key = made.json()["public"].as_str().expect("key").to_owned();
        Self { dir, public_key }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    pub fn write(&self, name: &str, content: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, content).expect("a file");
        text(&path).to_owned()
    }

    /// Signs the example with a version and a queue limit, and returns the file.
    pub async fn sign(&self, version: u64, queue_max: u64) -> String {
        let bundle = ISARBRUNN
            .replace("version: 1 #", &format!("version: {version} #"))
            .replace("queue_max: 200", &format!("queue_max: {queue_max}"));
        let name = format!("v{version}-{queue_max}");
        let bundle = self.write(&format!("{name}.yaml"), &bundle);
        let out = self.path(&format!("{name}.json"));
        let key = self.path("key");
        let signed = run(&["sign", &bundle, "--key", text(&key), "--out", text(&out)]).await;
        assert_eq!(signed.code, 0, "{}", signed.err);
        text(&out).to_owned()
    }
}

pub fn text(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// Returns the store value of the manifest in a signed file.
pub fn manifest_of(file: &str) -> Vec<u8> {
    let file = std::fs::read(file).expect("a file");
    let value: Value = serde_json::from_slice(&file).expect("JSON");
    let signed: lacewingmoor_bundle::SignedManifest =
        serde_json::from_value(value["manifest"].clone()).expect("a signed manifest");
    signed.to_json()
}

/// What happens to one write of the manifest.
#[derive(Clone)]
pub enum Fault {
    /// The request is lost.
    CutBefore,
    /// The answer is lost.
    CutAfter,
    /// The answer is lost, and the store stays away.
    CutAfterAndDown,
    /// Another operator's value is written first.
    OtherFirst(Vec<u8>),
    /// Another operator's value is written first; the store stays away after the answer.
    OtherFirstThenDown(Vec<u8>),
    /// Another operator's value is written first, and the answer is lost.
    OtherFirstCutAfter(Vec<u8>),
    /// The answer is lost, and another operator's value is written afterwards.
    CutAfterThenOther(Vec<u8>),
}

/// A proxy before the store that applies faults to writes of the manifest, in order.
pub async fn faulty(store: SocketAddr, faults: Vec<Fault>) -> Server {
    let faults = Arc::new(Mutex::new(VecDeque::from(faults)));
    let down = Arc::new(Mutex::new(false));
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let handler = move |request: Request<_>| {
        let (faults, down, client) = (faults.clone(), down.clone(), client.clone());
        async move { forward(store, &client, request, &faults, &down).await }
    };
    Server::start(ANY_PORT, handler).await.expect("a port")
}

async fn forward<B>(
    store: SocketAddr,
    client: &reqwest::Client,
    request: Request<B>,
    faults: &Mutex<VecDeque<Fault>>,
    down: &Mutex<bool>,
) -> Reply
where
    B: http_body_util::BodyExt,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let cut = || Err(io::Error::other("cut"));
    let (head, body) = request.into_parts();
    let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let url = format!("http://{store}{}", head.uri);
    let writes_manifest = head.method == Method::PUT && head.uri.path().ends_with("/manifest");
    let fault = if writes_manifest {
        faults.lock().expect("lock").pop_front()
    } else {
        None
    };
    let other = |value: Vec<u8>| client.put(&url).body(value).send();
    if *down.lock().expect("lock") || matches!(fault, Some(Fault::CutBefore)) {
        return cut();
    }
    if let Some(
        Fault::OtherFirst(value)
        | Fault::OtherFirstThenDown(value)
        | Fault::OtherFirstCutAfter(value),
    ) = &fault
    {
        other(value.clone()).await.map_err(io::Error::other)?;
    }
    let forwarded = client
        .request(head.method, &url)
        .headers(head.headers)
        .body(bytes.to_vec());
    let answer = forwarded.send().await.map_err(io::Error::other)?;
    match fault {
        None | Some(Fault::OtherFirst(_)) => {}
        Some(Fault::CutAfterThenOther(value)) => {
            other(value).await.map_err(io::Error::other)?;
            return cut();
        }
        Some(Fault::OtherFirstThenDown(_)) => *down.lock().expect("lock") = true,
        Some(Fault::CutAfterAndDown) => {
            *down.lock().expect("lock") = true;
            return cut();
        }
        Some(_) => return cut(),
    }
    let mut response = Response::builder().status(answer.status());
    if let Some(revision) = answer.headers().get("store-revision") {
        response = response.header("store-revision", revision);
    }
    let bytes = answer.bytes().await.map_err(io::Error::other)?;
    response
        .body(full(bytes.to_vec()))
        .map_err(io::Error::other)
}

fn full(bytes: Vec<u8>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed()
}

/// An entry that answers every admin path with the given JSON.
pub async fn entry(answer: Value) -> Server {
    let handler = move |request: Request<_>| {
        // The path is part of the answer, so that a test can check what was asked.
        let mut answer = answer.clone();
        answer["asked"] = Value::from(request.uri().to_string());
        async move { Ok(Response::new(full(answer.to_string().into_bytes()))) }
    };
    Server::start(ANY_PORT, handler).await.expect("a port")
}
