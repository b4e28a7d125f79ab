//! Keys of requests: finds the workspace of a request, and checks before each send that it still has it.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use lacewingmoor_bundle::{Bundle, KeyDigest, Route, RouteId, WorkspaceId, WorkspaceName};
use lacewingmoor_control::authorization::{
    KeyDecision, KeyFacts, KeyUse, SendDecision, decide_send,
};
use slog::warn;

use crate::response::LocalResponse;
use crate::shared_state::SharedState;

/// Time after which a caller may retry whose key an entry with an old view cannot judge. It may reach
/// another entry.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a caller may retry whose key belongs to another workspace now, or who needs one now. The
/// entry that refused it knows the change already.
const CHANGED_RETRY_AFTER: Duration = Duration::ZERO;

/// Shortest time between two log lines on keys that cannot be judged.
const UNCONFIRMED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Workspace that a request is handled for.
pub struct Identity {
    /// Index of the workspace in the bundle that the request was admitted by.
    pub workspace_id: WorkspaceId,
    /// Name of the workspace.
    pub name: WorkspaceName,
    key: KeyDigest,
}

/// Returns the workspace of a request; `None` if it needs none and names none.
///
/// A known key counts on a public route too, so that priority, fair share, home regions and rate limit of
/// its workspace apply there. An unknown key is as good as none there: the route serves everyone.
///
/// # Errors
///
/// Returns the response to a request without a known key that needs one.
pub fn authorize(
    shared: &SharedState,
    bundle: &Bundle,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Identity>, LocalResponse> {
    if KeyUse::of(bundle) == KeyUse::Unused {
        return Ok(None);
    }
    let key = shared.settings.dialect.key(headers).map(KeyDigest::of);
    let known = key.and_then(|key| Some((key, bundle.workspace(&key)?)));
    match (decide(shared, bundle, known.is_some(), route), known) {
        (KeyDecision::ForWorkspace, Some((key, workspace_id))) => Ok(Some(Identity {
            workspace_id,
            name: bundle.workspaces[workspace_id].name.clone(),
            key,
        })),
        (KeyDecision::ForWorkspace | KeyDecision::Anonymous, _) => Ok(None),
        (KeyDecision::Refuse, _) => Err(refused("unknown key")),
        (KeyDecision::RefuseUnconfirmed, _) => Err(unconfirmed(shared)),
    }
}

/// Checks by the newest bundle that a request may still be sent: for its workspace, or without one if it has
/// no `identity`. `admitted` is the bundle that it was admitted by.
///
/// Fault: while a request waits, a newer bundle introduces workspaces, or makes its route private or public.
///
/// # Errors
///
/// Returns the response to a request that has not been sent, if it must not be.
pub fn check_before_send(
    shared: &SharedState,
    identity: Option<&Identity>,
    (admitted, route_id): (&Rc<Bundle>, RouteId),
) -> Result<(), LocalResponse> {
    let Some(bundle) = shared.bundle() else {
        return Err(unconfirmed(shared));
    };
    let route = current_route(&bundle, admitted, route_id);
    let Some(identity) = identity else {
        // Its key, if it has one, was not known when it was admitted. The repeated request is judged anew.
        return match decide(shared, &bundle, false, route) {
            KeyDecision::ForWorkspace | KeyDecision::Anonymous => Ok(()),
            KeyDecision::Refuse | KeyDecision::RefuseUnconfirmed => {
                Err(LocalResponse::not_run("key needed", CHANGED_RETRY_AFTER))
            }
        };
    };
    let current = current_workspace(&bundle, identity);
    let decision = decide(shared, &bundle, current.is_some(), route);
    match decide_send(decision, &identity.name, current.as_deref()) {
        SendDecision::Send => Ok(()),
        SendDecision::Withdrawn => Err(refused("key withdrawn")),
        SendDecision::Unconfirmed => Err(unconfirmed(shared)),
        SendDecision::Moved => Err(LocalResponse::not_run("key moved", CHANGED_RETRY_AFTER)),
    }
}

/// Returns the same route in the newest bundle, or the admitted one if it was dropped.
fn current_route<'a>(bundle: &'a Rc<Bundle>, admitted: &'a Rc<Bundle>, id: RouteId) -> &'a Route {
    let route = &admitted.routes[id];
    if Rc::ptr_eq(bundle, admitted) {
        return route;
    }
    let mut routes = bundle.routes.iter();
    routes.find(|r| r.key == route.key).unwrap_or(route)
}

fn current_workspace(bundle: &Rc<Bundle>, identity: &Identity) -> Option<WorkspaceName> {
    let id = bundle.workspace(&identity.key)?;
    Some(bundle.workspaces[id].name.clone())
}

fn decide(shared: &SharedState, bundle: &Bundle, is_known: bool, route: &Route) -> KeyDecision {
    let reloadable = shared.reloadable();
    let facts = KeyFacts {
        key_use: KeyUse::of(bundle),
        is_known,
        is_public: route.public,
        view_age: shared.view_age(),
        apply_deadline: reloadable.apply_deadline,
    };
    facts.decide(&reloadable.bounds.keys)
}

fn refused(reason: &'static str) -> LocalResponse {
    LocalResponse::invalid(StatusCode::UNAUTHORIZED, reason)
}

fn unconfirmed(shared: &SharedState) -> LocalResponse {
    let now = shared.now();
    let logged_at = shared.unconfirmed_key_logged_at.get();
    if logged_at.is_none_or(|at| now.saturating_sub(at) >= UNCONFIRMED_LOG_INTERVAL) {
        shared.unconfirmed_key_logged_at.set(Some(now));
        let age_ms = shared.view_age().as_millis() as u64;
        warn!(shared.log, "keys_unconfirmed"; "knowledge_age_ms" => age_ms);
    }
    LocalResponse::not_run("key not confirmed", UNCONFIRMED_RETRY_AFTER)
}
