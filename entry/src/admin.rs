//! Endpoints for operators and the platform: readiness, metrics and status.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lacewingmoor_control::message_bounds::{MessageBounds, MessageKind};
use lacewingmoor_platform::READY_PATH;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::debug;
use tokio::net::TcpListener;

use crate::shared_state::SharedState;
use crate::status;

/// Path of the readiness endpoint in the native interface; the platform defines another one.
const NATIVE_READY_PATH: &str = "/ready";

/// Path of the metrics, in the text format of Prometheus.
const METRICS_PATH: &str = "/metrics";

/// Path of the status page, in JSON.
const STATUS_PATH: &str = "/status";

/// Maximum buffer size of a connection. hyper panics below 8 KiB.
const BUFFER_BYTES_MAX: usize = MessageBounds::of(MessageKind::AdminRequest).head_bytes;

/// Serves readiness, metrics and status on a listener.
pub async fn serve(shared: Rc<SharedState>, listener: TcpListener, metrics: PrometheusHandle) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                slog::warn!(shared.log, "accept_failed"; "cause" => %error);
                tokio::task::yield_now().await;
                continue;
            }
        };
        let shared = shared.clone();
        let metrics = metrics.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = respond(&shared, &metrics, &request);
                async { Ok::<_, Infallible>(response) }
            });
            let result = http1::Builder::new()
                .max_buf_size(BUFFER_BYTES_MAX)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                debug!(shared.log, "admin_connection_lost"; "cause" => %error);
            }
        });
    }
}

fn respond(
    shared: &SharedState,
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        READY_PATH | NATIVE_READY_PATH if shared.is_ready() => (StatusCode::OK, "ready\n".into()),
        READY_PATH | NATIVE_READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        METRICS_PATH => (StatusCode::OK, metrics.render()),
        STATUS_PATH => (StatusCode::OK, status::report(shared).to_string()),
        _ => (StatusCode::NOT_FOUND, "not found\n".into()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
