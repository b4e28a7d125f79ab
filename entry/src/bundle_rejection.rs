//! Reports bundles that cannot be applied: the fields at fault, and the version that stays active.

use lacewingmoor_bundle::Version;
use lacewingmoor_control::model::RejectedBundle;
use metrics::{counter, gauge};
use slog::{Logger, warn};

/// Errors of one bundle that are logged and counted.
const REPORTED_MAX: usize = 8;

/// Records that a bundle version became active.
pub fn record_active(version: Version) {
    gauge!("lacewingmoor_bundle_version").set(version as f64);
}

/// Logs and counts a rejected bundle; the version `kept` stays active, if there is one.
pub fn record(log: &Logger, rejected: &RejectedBundle, kept: Option<Version>) {
    for error in rejected.errors.iter().take(REPORTED_MAX) {
        let field = without_indices(&error.path);
        counter!("lacewingmoor_bundles_rejected_total", "field" => field).increment(1);
        warn!(
            log, "store_item_unusable";
            "version" => rejected.version, "kept_version" => kept,
            "field" => &error.path, "why" => &error.message,
        );
    }
    if let Some(unreported) = rejected.errors.len().checked_sub(REPORTED_MAX + 1) {
        warn!(log, "store_item_unusable"; "further_errors" => unreported + 1);
    }
}

/// Returns a path without the numbers of list items, such as `services.name`, so that the number of its
/// values is bounded.
fn without_indices(path: &str) -> String {
    let mut is_index = false;
    let kept = path.chars().filter(|c| {
        is_index = (is_index || *c == '[') && *c != ']';
        !is_index && *c != ']'
    });
    kept.collect()
}
