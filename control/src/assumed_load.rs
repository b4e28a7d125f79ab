//! Load of a target that is chosen without a probe.

use lacewingmoor_bundle::Repeat;

use crate::stats::LoadReport;

/// Returns the load to assume for a target with `slots` slots that is not probed; `None` if the request must
/// not be sent to it then. `recent` is its last report if it is not too old, `in_flight` the number of this
/// entry's requests there.
///
/// Fault: targets never respond to a request that they cannot queue. Other entries send to the target, too, so
/// without a report it may be full, and a request that may run only once would be lost.
pub fn assumed_load(
    repeat: Repeat,
    service_reports_load: bool,
    recent: Option<LoadReport>,
    in_flight: u32,
    slots: u32,
) -> Option<LoadReport> {
    if recent.is_none() && service_reports_load && repeat == Repeat::Once {
        return None;
    }
    let by_own_requests = LoadReport {
        running: in_flight,
        queued: 0,
        slots,
        slowdown: 1.0,
    };
    Some(recent.unwrap_or(by_own_requests))
}
