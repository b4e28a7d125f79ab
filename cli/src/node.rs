//! What entries report on their admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use lacewingmoor_bundle::Version;
use lacewingmoor_derive::raw;
use reqwest::{Client, StatusCode};
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::error::Error;
use crate::http;

/// Time that one call to an entry may take.
pub const NODE_TIMEOUT: Duration = Duration::from_secs(2);

const POLL: Duration = Duration::from_millis(100);

/// Answer of `/status`. Fields that this program does not know are ignored.
#[raw]
pub struct Status {
    /// Name of the entry.
    pub node: String,
    /// Region of the entry.
    #[serde(default)]
    pub region: String,
    /// Zone of the entry.
    #[serde(default)]
    pub zone: String,
    /// Version in force, 0 if none.
    pub version: Version,
    /// Digest of its manifest in hexadecimal.
    pub digest: String,
    /// False while the entry refuses work because it cannot confirm its version.
    #[serde(default)]
    pub fresh: Option<bool>,
    /// False while callers should be sent elsewhere.
    #[serde(default)]
    pub ready: Option<bool>,
    /// Targets as the entry sees them.
    #[serde(default)]
    pub targets: Vec<Value>,
}

/// An entry and its answer.
#[raw]
pub struct NodeReport {
    /// Admin address.
    pub addr: SocketAddr,
    /// The answer.
    pub status: Option<Status>,
    /// Why there is none.
    pub error: Option<String>,
}

impl NodeReport {
    /// True if the version, or a greater one, is in force on the entry.
    pub fn has(&self, version: Version, digest: &str) -> bool {
        self.status.as_ref().is_some_and(|s| {
            s.version > version || (s.version == version && s.digest.eq_ignore_ascii_case(digest))
        })
    }

    /// Describes the entry's version on one line.
    pub fn line(&self) -> String {
        match (&self.status, &self.error) {
            (Some(status), _) => {
                let fresh = if status.fresh == Some(false) {
                    ", not fresh"
                } else {
                    ""
                };
                format!(
                    "{} ({}): version {}{fresh}",
                    status.node, self.addr, status.version
                )
            }
            (None, error) => format!("{}: {}", self.addr, error.as_deref().unwrap_or("no answer")),
        }
    }
}

/// Gets a path from an entry as JSON.
///
/// # Errors
///
/// [`Error::Node`] if the entry does not answer with JSON.
pub async fn get(
    client: &Client,
    step: &'static str,
    addr: SocketAddr,
    path: &str,
    query: &[(&str, &str)],
) -> Result<Value, Error> {
    let failed = |why: String| Error::Node(step, addr.to_string(), why);
    let mut url =
        reqwest::Url::parse(&format!("http://{addr}{path}")).map_err(|e| failed(e.to_string()))?;
    if !query.is_empty() {
        url.query_pairs_mut().extend_pairs(query);
    }
    let reply = http::call(client.get(url))
        .await
        .map_err(|f| failed(f.why))?;
    if reply.status != StatusCode::OK {
        let body = String::from_utf8_lossy(&reply.body);
        // A page written for browsers says no more than the status.
        let line = body.lines().next().filter(|line| !line.starts_with('<'));
        return Err(failed(match line {
            Some(line) => format!("answer {}: {line}", reply.status),
            None => format!("answer {}", reply.status),
        }));
    }
    serde_json::from_slice(&reply.body).map_err(|e| failed(format!("not JSON: {e}")))
}

/// Asks all entries for their status at the same time; the answers keep the order of `nodes`.
pub async fn statuses(client: &Client, nodes: &[SocketAddr]) -> Vec<NodeReport> {
    let mut calls = JoinSet::new();
    for (i, addr) in nodes.iter().copied().enumerate() {
        let client = client.clone();
        calls.spawn(async move { (i, report(&client, addr).await) });
    }
    let mut reports = calls.join_all().await;
    reports.sort_by_key(|(i, _)| *i);
    reports.into_iter().map(|(_, report)| report).collect()
}

async fn report(client: &Client, addr: SocketAddr) -> NodeReport {
    let answer = get(client, "read status", addr, "/status", &[]).await;
    let status = answer.and_then(|value| {
        serde_json::from_value(value)
            .map_err(|e| Error::Node("read status", addr.to_string(), e.to_string()))
    });
    let (status, error) = match status {
        Ok(status) => (Some(status), None),
        Err(Error::Node(_, _, why)) => (None, Some(why)),
        Err(error) => (None, Some(error.to_string())),
    };
    NodeReport {
        addr,
        status,
        error,
    }
}

/// Asks the entries until the version is in force on all of them or `timeout` has passed; returns
/// the last answers.
pub async fn wait_in_force(
    nodes: &[SocketAddr],
    version: Version,
    digest: &str,
    timeout: Duration,
) -> Vec<NodeReport> {
    let client = http::client(NODE_TIMEOUT.min(timeout));
    let end = Instant::now() + timeout;
    loop {
        let reports = statuses(&client, nodes).await;
        let done = reports.iter().all(|r| r.has(version, digest));
        if done || Instant::now() + POLL > end {
            return reports;
        }
        tokio::time::sleep(POLL).await;
    }
}
