//! Status page: the entry's current view and state, for operators.

use std::rc::Rc;

use lacewingmoor_bundle::{Bundle, Service};
use lacewingmoor_control::authorization::KeyUse;
use lacewingmoor_control::locality::ZoneLoad;
use lacewingmoor_control::rollout::exposure::VersionChoice;
use lacewingmoor_control::selection::Selector;
use serde_json::{Value, json};

use crate::shared_state::SharedState;
use crate::workspace_limit;

/// Workspaces that the status page names.
const WORKSPACES_MAX: usize = 8;

/// Returns the content of the status page: the state of the entry, the active bundle, the sources of
/// its view, and the state of every service.
pub fn report(shared: &SharedState) -> Value {
    let now = shared.now();
    let view = shared.view.borrow();
    let target_stats = shared.target_stats.borrow();
    let revision = shared.replica.borrow().revision();
    let services: Vec<Value> = view
        .bundle()
        .map_or(&[][..], |bundle| &bundle.services)
        .iter()
        .map(|service| {
            let target_ids = view.service_targets(&service.name);
            let count =
                |matches: &dyn Fn(&str) -> bool| target_ids.iter().filter(|id| matches(id)).count();
            json!({
                "name": service.name,
                "targets": target_ids.len(),
                "draining": count(&|id| view.target(id).is_some_and(|r| r.target.draining)),
                "in_zones_out": count(&|id| {
                    view.target(id).is_some_and(|r| view.is_zone_out_of_service(&r.target.zone))
                }),
                "cold": count(&|id| target_stats.get(id).is_some_and(|s| s.is_warming_up(now))),
                "avoided": count(&|id| target_stats.get(id).is_some_and(|s| s.is_ejected(now))),
                "limited": count(&|id| {
                    target_stats.get(id).is_some_and(|s| s.limit.get().is_some())
                }),
                "leaving": count(&|id| {
                    target_stats.get(id).is_some_and(|s| s.notices.is_leaving())
                }),
                "declining": count(&|id| {
                    target_stats.get(id).is_some_and(|s| s.notices.is_declining(now))
                }),
                "zones": view.bundle().map(|bundle| zones(shared, bundle, service)),
                "leave_share": shared.services.borrow().get(&service.name).map(|state| {
                    json!({ "zone": state.leave_shares.zone(), "region": state.leave_shares.region() })
                }),
                "waiting_requests": shared.queue.len(&service.name),
            })
        })
        .collect();
    let local = shared.rollouts.borrow();
    let rollouts: Vec<Value> = view
        .rollouts()
        .map(|(service, known)| {
            let order = known.order.as_ref();
            json!({
                "service": &**service,
                "target_version": order.map(|order| &*order.order.target_version),
                "order": order.map(|order| order.number()),
                "stage": known.stage().name(),
                "own_stage": local.stage(service).map(|stage| stage.name()),
                "requests": local.exposure(service).map(|(requests, _)| requests),
                "sent_to_new": local.exposure(service).map(|(_, sent)| sent),
                "elapsed_ms": known.elapsed(now).as_millis() as u64,
                "duration_ms": order.map(|order| order.order.duration.as_millis() as u64),
                "is_stored": known.record.as_ref().map(|record| record.is_stored),
                "versions_without_requests":
                    known.forbidden_versions().iter().map(|v| v.to_string()).collect::<Vec<_>>(),
            })
        })
        .collect();
    let zones_out: Vec<&str> = view.zones_out_of_service().map(|zone| &**zone).collect();
    json!({
        "node": shared.settings.entry_name,
        "zone": shared.settings.zone,
        "region": shared.settings.region,
        "ready": shared.is_ready(),
        "phase": format!("{:?}", shared.phase()),
        "bundle_version": view.bundle().map(|bundle| bundle.version),
        "rejected_bundle_version": view.rejected_bundle().and_then(|rejected| rejected.version),
        "store_revision": revision.number,
        "store_era": revision.era,
        "knowledge_age_ms": shared.view_age().as_millis() as u64,
        "knowledge_through": *shared.source_path.borrow(),
        "entries": view.entries().count(),
        "registered": shared.is_registered(),
        "members": view.entry_count(),
        "entries_named": view.named_entry_count(),
        "entries_read": view.has_read_entries(),
        "zones_out": zones_out,
        "requests_in_flight": shared.in_flight.get(),
        "workspaces": workspaces(shared, view.bundle()),
        "services": services,
        "rollouts": rollouts,
        "rate_limits": workspace_limit::status(shared),
    })
}

/// Returns the part on workspaces; null if requests need no key.
fn workspaces(shared: &SharedState, bundle: Option<&Rc<Bundle>>) -> Value {
    let Some(bundle) = bundle.filter(|bundle| KeyUse::of(bundle) == KeyUse::Required) else {
        return Value::Null;
    };
    let longest = shared.queue.longest_by_workspace(WORKSPACES_MAX);
    let waiting: Vec<Value> = longest
        .iter()
        .map(|(name, count)| json!({ "name": &**name, "waiting_requests": count }))
        .collect();
    json!({
        "count": bundle.workspaces.len(),
        "keys_confirmed": shared.view_age() <= shared.reloadable().apply_deadline,
        "longest_waiting": waiting,
    })
}

/// Returns what the entry knows of each zone's targets, as for requests of the first route to the service.
fn zones(shared: &SharedState, bundle: &Bundle, service: &Service) -> Vec<Value> {
    let leads_here = |service_id: usize| bundle.services[service_id].name == service.name;
    let mut routes = bundle.routes.iter();
    let Some(route) = routes.find(|route| route.destinations.iter().any(|d| leads_here(d.service)))
    else {
        return Vec::new();
    };
    let selector = Selector {
        service: &service.name,
        route,
        workspace: None,
        warmup_rate_per_s: service.warmup_rate_per_s,
        excluded: &[],
        locality: &shared.locality,
        versions: VersionChoice::default(),
    };
    let view = shared.view.borrow();
    let zones = selector.zones(shared.now(), &view, &shared.target_stats.borrow());
    let zone = |zone: &ZoneLoad| {
        json!({
            "zone": &*zone.zone,
            "place": zone.place.name(),
            "usable_targets": zone.target_count,
            "busy_share": zone.busy_share,
            "free_slots": zone.free_slots,
        })
    };
    zones.iter().map(zone).collect()
}
