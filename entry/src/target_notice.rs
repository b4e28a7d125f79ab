//! Reads what targets say of themselves in their responses: that they leave, and when they want requests
//! again.

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};
use lacewingmoor_control::model::Target;
use lacewingmoor_control::notice::RetryAfter;
use slog::{info, warn};

use crate::shared_state::SharedState;

/// Records that a target leaves, if its response says so.
pub fn record_leaving(shared: &SharedState, target: &Target, headers: &HeaderMap) {
    if !shared.settings.dialect.is_leaving(headers) {
        return;
    }
    let now = shared.now();
    let is_news = shared.with_target_stats(&target.id, |stats| {
        stats.notices.record_leaving(now, target.started_unix_ms)
    });
    if is_news {
        info!(shared.log, "target_leaving"; "target" => &*target.id);
    }
}

/// Records when a target that rejected a request, or a probe, wants requests again. Of several fields the
/// longest time counts.
pub fn record_rejection(
    shared: &SharedState,
    target: &Target,
    status: StatusCode,
    headers: &HeaderMap,
) {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let mut longest: Option<RetryAfter> = None;
    for value in headers.get_all(RETRY_AFTER) {
        let text = value.to_str().unwrap_or_default().trim();
        match RetryAfter::try_from(text) {
            Ok(time) if longest.is_none_or(|longest| time > longest) => longest = Some(time),
            Ok(_) => {}
            Err(cause) => {
                let id = &*target.id;
                warn!(shared.log, "target_retry_after_unusable"; "target" => id, "why" => cause);
            }
        }
    }
    let Some(time) = longest else {
        return;
    };
    let now = shared.now();
    shared.with_target_stats(&target.id, |stats| {
        stats
            .notices
            .record_declined(now, target.started_unix_ms, time);
    });
    info!(
        shared.log, "target_declined";
        "target" => &*target.id, "for_ms" => time.get().as_millis() as u64,
    );
}
