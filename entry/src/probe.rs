//! Asks targets for their load over the connection that may carry the request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use lacewingmoor_bundle::Service;
use lacewingmoor_control::Timestamp;
use lacewingmoor_control::model::Target;
use lacewingmoor_control::stats::LoadReport;
use slog::debug;
use tokio::sync::mpsc;

use crate::connection::Connection;
use crate::shared_state::SharedState;

/// Time after which a target counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest body of a health answer.
const BODY_BYTES_MAX: usize = 16 * 1024;

/// A target that answered.
pub struct ProbeResult {
    /// The target.
    pub target: Rc<Target>,
    /// Its load; `None` if the service does not report it.
    pub load: Option<LoadReport>,
    /// False if it says that it is not healthy or leaves.
    pub healthy: bool,
    /// When it was asked.
    pub probed_at: Timestamp,
    /// Time that the question took.
    pub round_trip: Duration,
    /// The connection, ready for a request.
    pub connection: Connection,
}

/// Why a target is not used.
enum Unusable {
    /// No answer.
    Unreachable(String),
    /// It is full and rejected the question.
    Full,
    /// Another target has the address.
    OtherTarget,
}

/// Asks `targets` at the same time. Answers arrive in the channel as they come; a question whose
/// answer nobody waits for still updates what is known of the target.
pub fn probe_targets(
    shared: &Rc<SharedState>,
    service: &Service,
    targets: Vec<Rc<Target>>,
) -> mpsc::UnboundedReceiver<Option<ProbeResult>> {
    let (answers, receiver) = mpsc::unbounded_channel();
    for target in targets {
        let shared = shared.clone();
        let answers = answers.clone();
        let health_path = service.health_path.clone();
        shared.metrics.probes.increment(1);
        tokio::task::spawn_local(async move {
            let answer = ask_one(&shared, target, &health_path).await;
            if let Err(unsent) = answers.send(answer) {
                keep(&shared, unsent.0);
            }
        });
    }
    receiver
}

/// Returns the connection of an answer that is not used.
pub fn keep(shared: &SharedState, probed: Option<ProbeResult>) {
    if let Some(probed) = probed {
        shared.pool.put(probed.connection);
    }
}

async fn ask_one(
    shared: &Rc<SharedState>,
    target: Rc<Target>,
    health_path: &str,
) -> Option<ProbeResult> {
    let probed_at = shared.now();
    let asked = tokio::time::timeout(PROBE_TIMEOUT, exchange(shared, &target, health_path)).await;
    let asked = asked.unwrap_or_else(|_| Err(Unusable::Unreachable("timed out".into())));
    let now = shared.now();
    let why = match asked {
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
        Err(why) => why,
    };
    shared.metrics.probe_failures.increment(1);
    let why = match why {
        // A full target is sound; the next question may find it free.
        Unusable::Full => "full".into(),
        Unusable::Unreachable(why) => {
            shared.with_target_stats(&target.id, |book| book.eject(now));
            why
        }
        Unusable::OtherTarget => {
            shared.with_target_stats(&target.id, |book| book.eject(now));
            "another target has the address".into()
        }
    };
    debug!(shared.log, "probe_failed"; "target" => &*target.id, "why" => why);
    None
}

async fn exchange(
    shared: &Rc<SharedState>,
    target: &Target,
    health_path: &str,
) -> Result<(Connection, Option<LoadReport>, bool), Unusable> {
    let unreachable = |e: crate::connection::Error| Unusable::Unreachable(e.to_string());
    let mut connection = shared
        .pool
        .get(target.addr, PROBE_TIMEOUT)
        .await
        .map_err(unreachable)?;
    let mut answer = connection.send(question(target, health_path)).await;
    if answer.as_ref().is_err_and(|e| e.is_not_written()) {
        // The pooled connection had been closed by the target.
        connection = Connection::open(target.addr, PROBE_TIMEOUT)
            .await
            .map_err(unreachable)?;
        answer = connection.send(question(target, health_path)).await;
    }
    let (head, body) = answer.map_err(unreachable)?.into_parts();
    Limited::new(body, BODY_BYTES_MAX)
        .collect()
        .await
        .map_err(|e| Unusable::Unreachable(e.to_string()))?;
    let dialect = shared.settings.dialect;
    if dialect
        .target_id(&head.headers)
        .is_some_and(|id| id != &*target.id)
    {
        return Err(Unusable::OtherTarget);
    }
    let load = dialect.load(&head.headers, target.slots);
    let now = shared.now();
    shared.with_target_stats(&target.id, |book| {
        if let Some(load) = load {
            book.record_report(now, load);
        }
        if let Some(left) = dialect.warmup_left(&head.headers) {
            book.set_warmup(now, left);
        }
    });
    if dialect.is_not_run(head.status, &head.headers) {
        return Err(Unusable::Full);
    }
    let healthy = head.status == StatusCode::OK;
    shared.with_target_stats(&target.id, |book| match healthy {
        true => book.readmit(),
        false => book.eject(now),
    });
    Ok((connection, load, healthy))
}

fn question(target: &Target, health_path: &str) -> Request<Bytes> {
    Request::get(health_path)
        .header(HOST, target.addr.to_string())
        .body(Bytes::new())
        .expect("the health path was checked with the bundle")
}
