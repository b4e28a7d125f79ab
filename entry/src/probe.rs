//! Probes targets for their health and load, each over the connection that may then carry the
//! request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use lacewingmoor_bundle::Service;
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::message_bounds::{MessageBounds, MessageKind};
use lacewingmoor_control::model::Target;
use lacewingmoor_control::rate_limit::ResponseKind;
use lacewingmoor_control::stats::LoadReport;
use lacewingmoor_derive::copy_value;
use slog::{debug, info};
use tokio::sync::mpsc;

use crate::connection::{self, Connection};
use crate::shared_state::SharedState;
use crate::target_limit;
use crate::target_notice;

/// Time after which a target that does not respond to a probe counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Size in bytes up to which the body of a health response is accepted.
const BODY_BYTES_MAX: usize = MessageBounds::of(MessageKind::ProbeResponse).body_bytes;

/// What a probe is for.
#[copy_value]
pub enum Purpose {
    /// The load of a target of a service that reports it. Such targets respond at once.
    Load,
    /// Whether a target still is as it is known. It may respond only when a slot is free.
    Confirmation,
}

/// Result of a probe to which the target responded.
pub struct ProbeResult {
    /// Probed target.
    pub target: Rc<Target>,
    /// Load of the target; `None` if it reports none.
    pub load: Option<LoadReport>,
    /// False if the target reports that it is unhealthy or draining.
    pub healthy: bool,
    /// Start of the probe.
    pub probed_at: Timestamp,
    /// Duration of the probe, including the time to open a connection if none was idle.
    pub round_trip: Duration,
    /// Connection to the target, ready for a request.
    pub connection: Connection,
}

/// Why a probed target cannot be used.
enum ProbeError {
    /// The target could not be reached or its response could not be read, with the cause.
    Unreachable(String),
    /// The response of the target is none that HTTP allows, with what was received.
    Invalid(String),
    /// The connection cannot be used, which says nothing about the target.
    Unusable(&'static str),
    /// The target is full and rejected the probe.
    Full,
    /// Another target responded at the address.
    Misdirected,
}

/// Probes `targets` concurrently. The returned channel gets the results as they arrive, `None` for a
/// target that cannot be used. A probe whose result is no longer awaited still updates the
/// statistics of its target.
pub fn probe_targets(
    shared: &Rc<SharedState>,
    service: &Service,
    targets: Vec<Rc<Target>>,
    purpose: Purpose,
) -> mpsc::UnboundedReceiver<Option<ProbeResult>> {
    let (results, receiver) = mpsc::unbounded_channel();
    for target in targets {
        let shared = shared.clone();
        let results = results.clone();
        let health_path = service.health_path.clone();
        shared.metrics.probes.increment(1);
        tokio::task::spawn_local(async move {
            let result = probe_target(&shared, target, &health_path, purpose).await;
            if let Err(unsent) = results.send(result) {
                return_connection(&shared, unsent.0);
            }
        });
    }
    receiver
}

/// Returns the connection of an unused probe result to the pool.
pub fn return_connection(shared: &SharedState, probed: Option<ProbeResult>) {
    if let Some(probed) = probed {
        shared.pool.put(probed.connection);
    }
}

async fn probe_target(
    shared: &Rc<SharedState>,
    target: Rc<Target>,
    health_path: &str,
    purpose: Purpose,
) -> Option<ProbeResult> {
    let probed_at = shared.now();
    let result =
        tokio::time::timeout(PROBE_TIMEOUT, send_probe(shared, &target, health_path)).await;
    let result = result.unwrap_or_else(|_| {
        Err(match purpose {
            Purpose::Load => ProbeError::Unreachable("timed out".into()),
            Purpose::Confirmation => ProbeError::Full,
        })
    });
    let now = shared.now();
    let error = match result {
        Ok((connection, load, healthy)) => {
            return Some(ProbeResult {
                target,
                load,
                healthy,
                probed_at,
                round_trip: shared.now().saturating_sub(probed_at),
                connection,
            });
        }
        Err(error) => error,
    };
    shared.metrics.probe_failures.increment(1);
    let cause = match error {
        // A full target is healthy, so it is not ejected; the next probe may find a free slot.
        ProbeError::Full => "full".into(),
        ProbeError::Unusable(cause) => cause.into(),
        ProbeError::Unreachable(cause) => {
            shared.with_target_stats(&target.id, |stats| stats.eject(now));
            cause
        }
        ProbeError::Invalid(cause) => {
            shared.with_target_stats(&target.id, |stats| stats.eject(now));
            // Rare, and the operators of the target need to know what it sent.
            info!(shared.log, "probe_failed"; "target" => &*target.id, "why" => cause);
            return None;
        }
        ProbeError::Misdirected => {
            shared.with_target_stats(&target.id, |stats| stats.eject(now));
            "another target has the address".into()
        }
    };
    debug!(shared.log, "probe_failed"; "target" => &*target.id, "why" => cause);
    None
}

async fn send_probe(
    shared: &Rc<SharedState>,
    target: &Target,
    health_path: &str,
) -> Result<(Connection, Option<LoadReport>, bool), ProbeError> {
    let unreachable = |e: connection::Error| match e {
        connection::Error::InvalidStatus(_) | connection::Error::OnlyInterimResponses => {
            ProbeError::Invalid(e.to_string())
        }
        e => ProbeError::Unreachable(e.to_string()),
    };
    let mut connection = shared
        .pool
        .get(target.addr, PROBE_TIMEOUT)
        .await
        .map_err(unreachable)?;
    let mut response = connection.send(probe_request(target, health_path)).await;
    if response.as_ref().is_err_and(|e| e.is_not_written()) {
        // The target had closed the pooled connection.
        connection = Connection::open(target.addr, PROBE_TIMEOUT)
            .await
            .map_err(unreachable)?;
        response = connection.send(probe_request(target, health_path)).await;
    }
    let (head, body) = response.map_err(unreachable)?.into_parts();
    Limited::new(body, BODY_BYTES_MAX)
        .collect()
        .await
        .map_err(|e| ProbeError::Unreachable(e.to_string()))?;
    let dialect = shared.settings.dialect;
    if dialect.request_id(&head.headers).is_some() {
        // Fault: a second copy of an earlier response arrives late. The response to the probe would
        // follow as that to the request.
        let cause = "response to an earlier request";
        return Err(ProbeError::Unusable(cause));
    }
    if dialect
        .target_id(&head.headers)
        .is_some_and(|id| id != &*target.id)
    {
        return Err(ProbeError::Misdirected);
    }
    target_limit::record(shared, &target.id, &head.headers, ResponseKind::Probe);
    target_notice::record_leaving(shared, target, &head.headers);
    if dialect.is_not_run(head.status, &head.headers) {
        target_notice::record_rejection(shared, target, head.status, &head.headers);
    }
    let load = dialect.load(&head.headers, target.slots);
    let now = shared.now();
    shared.with_target_stats(&target.id, |stats| {
        if let Some(load) = load {
            stats.record_report(now, load);
        }
        stats.record_confirmation(now, dialect.warmup_left(&head.headers));
    });
    if dialect.is_not_run(head.status, &head.headers) {
        return Err(ProbeError::Full);
    }
    let healthy = head.status == StatusCode::OK;
    shared.with_target_stats(&target.id, |stats| match healthy {
        true => stats.readmit(),
        false => stats.eject(now),
    });
    Ok((connection, load, healthy))
}

fn probe_request(target: &Target, health_path: &str) -> Request<Bytes> {
    Request::get(health_path)
        .header(HOST, target.addr.to_string())
        .body(Bytes::new())
        .expect("the health path is validated with the bundle")
}
