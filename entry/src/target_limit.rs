//! Reads the limits that targets name in their responses.

use http::HeaderMap;
use lacewingmoor_control::model::TargetId;
use lacewingmoor_control::rate_limit::{RateLimit, ResponseKind};
use slog::{info, warn};

use crate::shared_state::SharedState;
use crate::unknown_fields::{self, Origin};

/// Records the limit that a response of a target names, or that it names none.
pub fn record(shared: &SharedState, id: &TargetId, headers: &HeaderMap, kind: ResponseKind) {
    unknown_fields::report(shared, headers, Origin::Target(kind));
    let field = shared.settings.dialect.request_limit(headers);
    let limit = match field.as_ref().map(|(_, text)| RateLimit::try_from(*text)) {
        Some(Ok(limit)) => Some(limit),
        Some(Err(cause)) => {
            // The target is in need but does not say of how much, so the last limit holds.
            warn!(shared.log, "target_limit_unusable"; "target" => &**id, "why" => cause);
            return;
        }
        None => None,
    };
    let now = shared.now();
    let previous = shared.with_target_stats(id, |stats| stats.limit.record(now, kind, limit));
    if let Some(previous) = previous {
        info!(
            shared.log, "target_limit";
            "target" => &**id, "in" => ?kind,
            "field" => field.as_ref().map_or("-", |(name, _)| name.as_str()),
            "limit_per_s" => limit.map(RateLimit::per_s),
            "before_per_s" => previous.map(RateLimit::per_s),
        );
    }
}
