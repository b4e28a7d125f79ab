//! Metrics of the entry. docs/OPERATIONS.md lists names and units.

use std::time::Duration;

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS_S: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Interval at which histogram samples are added to their buckets.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the recorder of the process and returns the handle that renders its metrics. Further
/// calls return the same handle, so that several entries in one process share one recorder.
///
/// # Panics
///
/// Never: the list of bucket bounds is not empty.
pub fn install() -> PrometheusHandle {
    use std::sync::OnceLock;
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new()
                .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), TIME_BUCKETS_S)
                .expect("the bucket list is not empty")
                .build_recorder();
            let handle = recorder.handle();
            // Fails only if the program that uses this library has installed another recorder.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}

/// Handles of the metrics of the request path, which are looked up only once.
pub struct RequestMetrics {
    /// Requests read from callers.
    pub requests: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Attempts sent to targets.
    pub attempts: Counter,
    /// Attempts that count as failures of their target.
    pub failed_attempts: Counter,
    /// Attempts sent to targets that have named a limit.
    pub limited_attempts: Counter,
    /// Probes of the load of targets.
    pub probes: Counter,
    /// Probes without a usable response.
    pub probe_failures: Counter,
    /// Time from reading the head of a request until it is first sent to a target.
    pub time_to_send: Histogram,
    /// Time from reading the head of a request until the head of its response.
    pub time_to_response: Histogram,
}

impl RequestMetrics {
    /// Looks up the handles in the installed recorder.
    pub fn new() -> Self {
        Self {
            requests: counter!("lacewingmoor_requests_total"),
            in_flight: gauge!("lacewingmoor_requests_in_flight"),
            attempts: counter!("lacewingmoor_attempts_total"),
            failed_attempts: counter!("lacewingmoor_failed_attempts_total"),
            limited_attempts: counter!("lacewingmoor_limited_attempts_total"),
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

/// Counts a request that ended for the reason `end`.
pub fn record_request_end(end: &'static str) {
    counter!("lacewingmoor_requests_ended_total", "end" => end).increment(1);
}

/// Counts a send to a target at `place`, whose zone was probed for `reason`.
pub fn record_place(place: &'static str, reason: &'static str) {
    counter!("lacewingmoor_sends_by_place_total", "place" => place, "reason" => reason)
        .increment(1);
}
