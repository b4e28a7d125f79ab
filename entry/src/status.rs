//! What the entry believes at this moment, for operators.

use serde_json::{Value, json};

use crate::shared_state::SharedState;

/// Reports what is in force, from whom it is known, and the state of every service.
pub fn report(shared: &SharedState) -> Value {
    let now = shared.now();
    let view = shared.view.borrow();
    let books = shared.target_stats.borrow();
    let services: Vec<Value> = view
        .bundle()
        .map_or(&[][..], |bundle| &bundle.services)
        .iter()
        .map(|service| {
            let ids = view.service_targets(&service.name);
            let count = |of: &dyn Fn(&str) -> bool| ids.iter().filter(|id| of(id)).count();
            json!({
                "name": service.name,
                "targets": ids.len(),
                "draining": count(&|id| view.target(id).is_some_and(|k| k.target.draining)),
                "in_zones_out": count(&|id| {
                    view.target(id).is_some_and(|k| view.is_zone_out_of_service(&k.target.zone))
                }),
                "cold": count(&|id| books.get(id).is_some_and(|b| b.is_warming_up(now))),
                "avoided": count(&|id| books.get(id).is_some_and(|b| b.is_ejected(now))),
                "waiting_requests": shared.queue.len(&service.name),
            })
        })
        .collect();
    let zones_out: Vec<&str> = view.zones_out_of_service().map(|zone| &**zone).collect();
    json!({
        "node": shared.settings.node,
        "zone": shared.settings.zone,
        "region": shared.settings.region,
        "ready": shared.is_ready(),
        "phase": format!("{:?}", shared.phase()),
        "bundle_version": view.bundle().map(|bundle| bundle.version),
        "store_revision": shared.replica.borrow().revision(),
        "knowledge_age_ms": shared.view_age().as_millis() as u64,
        "knowledge_through": *shared.source_path.borrow(),
        "entries": view.entries().count(),
        "entries_read": view.has_read_entries(),
        "zones_out": zones_out,
        "requests_in_flight": shared.in_flight.get(),
        "services": services,
    })
}
