//! Metrics of the entry. docs/METRICS.md lists names and units.

use std::time::Duration;

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Bucket limits of time histograms in seconds.
const SECONDS: &[f64] = &[
    0.0001, 0.00025, 0.0005, 0.00096, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0,
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

/// Handles of the metrics on the data path, looked up once.
pub struct Traffic {
    /// Requests read from callers.
    pub requests: Counter,
    /// Answers of targets passed on whole.
    pub complete: Counter,
    /// Answers of targets that broke off in the body.
    pub cut: Counter,
    /// Requests whose caller went away before the end.
    pub caller_gone: Counter,
    /// Attempts sent to targets.
    pub attempts: Counter,
    /// Malformed load reports.
    pub bad_reports: Counter,
    /// Connections opened to targets.
    pub connects: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Time from the head of the request to the first dispatch.
    pub decide: Histogram,
}

impl Traffic {
    /// Looks up the handles.
    pub fn new() -> Self {
        Self {
            requests: counter!("lacewingmoor_requests_total"),
            complete: counter!("lacewingmoor_answers_total", "end" => "complete"),
            cut: counter!("lacewingmoor_answers_total", "end" => "cut"),
            caller_gone: counter!("lacewingmoor_answers_total", "end" => "caller_gone"),
            attempts: counter!("lacewingmoor_attempts_total"),
            bad_reports: counter!("lacewingmoor_load_reports_malformed_total"),
            connects: counter!("lacewingmoor_target_connections_opened_total"),
            in_flight: gauge!("lacewingmoor_requests_in_flight"),
            decide: histogram!("lacewingmoor_decision_seconds"),
        }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts an answer made by the entry itself.
pub fn own_answer(outcome: &'static str, reason: &'static str) {
    counter!("lacewingmoor_own_answers_total", "outcome" => outcome, "reason" => reason)
        .increment(1);
}

/// Counts a broken invariant.
pub fn violation(invariant: &'static str) {
    counter!("lacewingmoor_violations_total", "invariant" => invariant).increment(1);
}
