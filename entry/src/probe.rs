//! Active probes of targets.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use lacewingmoor_bundle::node_id;
use lacewingmoor_control::{LoadReport, TargetState};
use metrics::counter;
use serde::Deserialize;

use crate::http_get::fetch;

/// Longest answer of a load endpoint in bytes.
const REPORT_BYTES_MAX: usize = 4096;

#[derive(Deserialize)]
struct RawReport {
    state: String,
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    queue: u32,
    #[serde(default)]
    start_id: String,
}

/// Asks a target for its load; `None` if there is no well-formed answer within `timeout`.
pub async fn probe(
    client: &reqwest::Client,
    addr: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Option<LoadReport> {
    counter!("lacewingmoor_probes_total").increment(1);
    let request = client.get(format!("http://{addr}{path}"));
    let report = match fetch("probe", request, timeout, REPORT_BYTES_MAX).await {
        Ok((response, body)) if response.status() == StatusCode::OK => parse(&body),
        _ => None,
    };
    if report.is_none() {
        counter!("lacewingmoor_probe_failures_total").increment(1);
    }
    report
}

fn parse(body: &[u8]) -> Option<LoadReport> {
    let raw: RawReport = serde_json::from_slice(body).ok()?;
    Some(LoadReport {
        state: target_state(&raw.state)?,
        in_flight: raw.in_flight,
        queue: raw.queue,
        start: start_hash(&raw.start_id),
    })
}

/// Reads the name of a target state, as used by load endpoints and load reports.
pub fn target_state(name: &str) -> Option<TargetState> {
    Some(match name {
        "cold" => TargetState::Cold,
        "warming" => TargetState::Warming,
        "warm" => TargetState::Warm,
        "shedding" => TargetState::Shedding,
        "draining" => TargetState::Draining,
        "leaving" => TargetState::Leaving,
        _ => return None,
    })
}

/// Hashes the id of a target's start. Probes and load reports on answers must give the same hash.
pub fn start_hash(start_id: &str) -> u64 {
    node_id(start_id)
}
