//! Logs header fields of responses that the entry does not know: news of the platform, or a field whose
//! name is misspelled on either side.

use http::HeaderMap;
use http::header::HeaderName;
use lacewingmoor_control::Set;
use lacewingmoor_control::rate_limit::ResponseKind;
use lacewingmoor_derive::copy_value;
use slog::info;

use crate::shared_state::SharedState;

/// Number of fields that are logged. A faulty server may send new names without end.
const LOGGED_MAX: usize = 64;

/// Server whose response had a field.
#[copy_value]
pub enum Origin {
    /// A target.
    Target(ResponseKind),
    /// The store.
    Store,
}

/// Fields that have been logged.
pub type LoggedFields = Set<(Origin, HeaderName)>;

/// Logs fields that the entry does not know, each once.
pub fn report(shared: &SharedState, headers: &HeaderMap, origin: Origin) {
    for (name, value) in headers {
        if shared.settings.dialect.is_known(name) {
            continue;
        }
        let mut logged = shared.unknown_fields.borrow_mut();
        if logged.len() < LOGGED_MAX && logged.insert((origin, name.clone())) {
            info!(
                shared.log, "unknown_field";
                "in" => ?origin, "field" => name.as_str(), "value" => ?value,
            );
        }
    }
}
