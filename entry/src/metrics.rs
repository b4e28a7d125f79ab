//! Metrics of the entry. docs/OPERATIONS.md lists names and units.

use std::time::Duration;

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bucket limits of time histograms in seconds.
const SECONDS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Interval at which histogram samples are folded into buckets.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the recorder of the process and returns the handle that renders it. Tests that start
/// several entries in one process share the first recorder.
///
/// # Panics
///
/// Panics if the built-in bucket list is empty, which it is not.
pub fn install() -> PrometheusHandle {
    use std::sync::OnceLock;
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new()
                .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), SECONDS)
                .expect("the bucket list is not empty")
                .build_recorder();
            let handle = recorder.handle();
            // Fails only when the embedding program has installed a recorder of its own.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}

/// Handles of the metrics on the request path, looked up once.
pub struct RequestMetrics {
    /// Requests read from callers.
    pub requests: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Attempts sent to targets.
    pub attempts: Counter,
    /// Targets asked for their load before a send.
    pub probes: Counter,
    /// Targets that were asked and gave no usable answer.
    pub probe_failures: Counter,
    /// Time from the head of a request to its first send.
    pub time_to_send: Histogram,
    /// Time from the head of a request to the head of its answer.
    pub time_to_response: Histogram,
}

impl RequestMetrics {
    /// Looks up the handles.
    pub fn new() -> Self {
        Self {
            requests: counter!("lacewingmoor_requests_total"),
            in_flight: gauge!("lacewingmoor_requests_in_flight"),
            attempts: counter!("lacewingmoor_attempts_total"),
            probes: counter!("lacewingmoor_probes_total"),
            probe_failures: counter!("lacewingmoor_probe_failures_total"),
            time_to_send: histogram!("lacewingmoor_place_seconds"),
            time_to_response: histogram!("lacewingmoor_answer_seconds"),
        }
    }
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts the end of a request.
pub fn record_request_end(end: &'static str) {
    counter!("lacewingmoor_requests_ended_total", "end" => end).increment(1);
}
