//! Applies the rate limits of workspaces to requests.

use std::rc::Rc;
use std::time::Duration;

use lacewingmoor_bundle::{Bundle, Workspace, WorkspaceId, WorkspaceName, WorkspaceRateLimit};
use lacewingmoor_control::counts::{Counts, Role, WorkspaceDemand};
use lacewingmoor_control::source::ranked;
use lacewingmoor_control::workspace_limit::{SharedLimit, Token, TotalDemand, WorkspaceLimiter};
use metrics::counter;
use rand::RngExt as _;
use serde_json::{Value, json};
use slog::info;

use crate::response::LocalResponse;
use crate::shared_state::SharedState;

/// Number of workspaces that log and status name; those with the greatest limits.
const NAMED_MAX: usize = 8;

/// Permission to send a request of a workspace that has a rate limit. Tokens of sends that did not happen
/// are given back when it is dropped.
pub struct Admission {
    shared: Rc<SharedState>,
    workspace: WorkspaceName,
    /// Tokens of sends that have not happened.
    unused: Vec<Token>,
    /// Tokens of sends.
    used: Vec<Token>,
}

/// Counts a request of a workspace, and takes a token for it. Returns `None` if it has no limit. `is_late` means
/// that the request cannot meet the latency objective of its route any more.
///
/// # Errors
///
/// Returns the response to a request above the limit.
pub fn admit(
    shared: &Rc<SharedState>,
    bundle: &Bundle,
    workspace_id: Option<WorkspaceId>,
    is_late: bool,
) -> Result<Option<Admission>, LocalResponse> {
    let Some(workspace_id) = workspace_id else {
        return Ok(None);
    };
    let workspace = &bundle.workspaces[workspace_id];
    let Some(limit) = workspace.rate_limit else {
        return Ok(None);
    };
    let now = shared.now();
    let admitted = with_limiter(
        shared,
        &workspace.name,
        limit,
        |limiter, shared_limit, draw| match is_late {
            true => limiter.admit_late(now, shared_limit, draw),
            false => limiter.admit(now, shared_limit, draw),
        },
    );
    match admitted {
        None => Ok(None),
        Some(Ok(token)) => Ok(Some(Admission {
            shared: shared.clone(),
            workspace: workspace.name.clone(),
            unused: vec![token],
            used: Vec::new(),
        })),
        Some(Err(retry_after)) => {
            let mut labels = shared.workspace_labels.borrow_mut();
            let label = labels.label(bundle, Some(&workspace.name)).to_owned();
            counter!("lacewingmoor_rate_limited_requests_total", "workspace" => label).increment(1);
            Err(LocalResponse::limited("rate limit", retry_after))
        }
    }
}

/// Calls `f` with the limiter of a workspace; returns `None` if rate limits are off.
fn with_limiter<T>(
    shared: &SharedState,
    workspace: &WorkspaceName,
    limit: WorkspaceRateLimit,
    f: impl FnOnce(&mut WorkspaceLimiter, &SharedLimit<'_>, f64) -> T,
) -> Option<T> {
    let reloadable = shared.reloadable();
    let bounds = reloadable.bounds.rate_limits.as_ref()?;
    let entry_count = shared.view.borrow().entry_count();
    let shared_limit = SharedLimit {
        limit,
        bounds,
        entry_count,
    };
    let mut limiters = shared.workspace_limiters.borrow_mut();
    let limiter = limiters.entry(workspace.clone()).or_insert_with(|| {
        let mut limiter = WorkspaceLimiter::default();
        let now = shared.now();
        if let Some((totals, age)) = shared.counts.borrow().totals(now) {
            limiter.set_total(now, total_demand(totals, age, workspace), entry_count);
        }
        limiter
    });
    let draw = shared.rng.borrow_mut().random();
    Some(f(limiter, &shared_limit, draw))
}

impl Admission {
    /// Takes a token for a further send, unless one is left. Returns false if there is none.
    pub fn try_take(&mut self) -> bool {
        if !self.unused.is_empty() {
            return true;
        }
        let now = self.shared.now();
        match self.with_limiter(|limiter, limit, draw| limiter.try_take(now, limit, draw)) {
            Some(Some(token)) => {
                self.unused.push(token);
                true
            }
            Some(None) => false,
            None => true,
        }
    }

    /// Records a send.
    pub fn record_send(&mut self) {
        let now = self.shared.now();
        let token = self.unused.pop();
        let counted = self.with_limiter(|limiter, limit, _| match token {
            Some(token) => limiter.record_send(now, token, limit.bounds),
            None => limiter.record_extra_send(now, limit.bounds),
        });
        self.used.extend(counted.or(token));
    }

    /// Records that a send reached no target.
    pub fn record_not_sent(&mut self) {
        self.unused.extend(self.used.pop());
    }

    /// Calls `f` with the limiter and the limit of the newest bundle, which may differ from the one that admitted
    /// the request; returns `None` if the workspace has no limit any more.
    fn with_limiter<T>(
        &self,
        f: impl FnOnce(&mut WorkspaceLimiter, &SharedLimit<'_>, f64) -> T,
    ) -> Option<T> {
        let bundle = self.shared.bundle()?;
        let mut workspaces = bundle.workspaces.iter();
        let workspace = workspaces.find(|workspace| workspace.name == self.workspace)?;
        with_limiter(&self.shared, &self.workspace, workspace.rate_limit?, f)
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let now = self.shared.now();
        let reloadable = self.shared.reloadable();
        let Some(bounds) = &reloadable.bounds.rate_limits else {
            return;
        };
        let mut limiters = self.shared.workspace_limiters.borrow_mut();
        if let Some(limiter) = limiters.get_mut(&self.workspace) {
            for token in self.unused.drain(..) {
                limiter.give_back(now, token, bounds);
            }
        }
    }
}

fn total_demand(totals: &Counts, age: Duration, workspace: &str) -> TotalDemand {
    let demand = totals.demand_of(workspace);
    TotalDemand {
        requests_per_s: demand.map_or(0.0, |demand| demand.requests_per_s),
        active_count: demand.map_or(0, |demand| demand.entry_count),
        entry_count: totals.entry_count,
        age,
    }
}

/// Returns the demand to report; `None` if no workspace has a limit. Drops the state of idle workspaces.
pub fn report(shared: &SharedState) -> Option<Vec<WorkspaceDemand>> {
    let now = shared.now();
    let reloadable = shared.reloadable();
    let bounds = reloadable.bounds.rate_limits.as_ref();
    let bundle = shared.bundle();
    let workspaces = bundle.as_ref().map_or(&[][..], |b| &b.workspaces);
    let has_limits = workspaces.iter().any(|w| w.rate_limit.is_some());
    let mut limiters = shared.workspace_limiters.borrow_mut();
    let (Some(bounds), true) = (bounds, has_limits) else {
        limiters.clear();
        return None;
    };
    limiters.retain(|_, limiter| !limiter.is_idle(now, bounds));
    let demand = limiters.iter_mut().map(|(name, limiter)| WorkspaceDemand {
        workspace: name.to_string(),
        requests_per_s: limiter.report(now),
        entry_count: 1,
    });
    Some(demand.filter(|d| d.requests_per_s > 0.0).collect())
}

/// Updates the shares from the totals, and logs which workspaces were refused requests.
pub fn apply_totals(shared: &SharedState) {
    let now = shared.now();
    let entry_count = shared.view.borrow().entry_count();
    let counts = shared.counts.borrow();
    let mut limiters = shared.workspace_limiters.borrow_mut();
    if let Some((totals, age)) = counts.totals(now) {
        for (name, limiter) in limiters.iter_mut() {
            limiter.set_total(now, total_demand(totals, age, name), entry_count);
        }
    }
    let refused = limiters.iter_mut().filter_map(|(name, limiter)| {
        let count = limiter.take_refused(now);
        (count > 0).then(|| (count, name, limiter.fresh_total(now)))
    });
    let mut refused: Vec<_> = refused.collect();
    refused.sort_by_key(|(count, ..)| std::cmp::Reverse(*count));
    for (count, name, total) in refused.into_iter().take(NAMED_MAX) {
        info!(
            shared.log, "rate_limited";
            "workspace" => &**name, "refused" => count,
            "demand_per_s" => total.map(|total| total.requests_per_s),
            "entries" => total.map(|total| total.entry_count),
        );
    }
}

/// Returns the part of the status page on counts and rate limits.
pub fn status(shared: &SharedState) -> Value {
    let now = shared.now();
    let reloadable = shared.reloadable();
    let Some(bounds) = &reloadable.bounds.rate_limits else {
        return Value::Null;
    };
    let view = shared.view.borrow();
    let counts = shared.counts.borrow();
    let totals = counts.totals(now);
    let limiters = shared.workspace_limiters.borrow();
    let workspaces = view.bundle().map_or(&[][..], |bundle| &bundle.workspaces);
    let mut limited: Vec<(&Workspace, WorkspaceRateLimit)> = workspaces
        .iter()
        .filter_map(|workspace| Some((workspace, workspace.rate_limit?)))
        .collect();
    limited.sort_by(|a, b| b.1.rate_per_s.total_cmp(&a.1.rate_per_s));
    let workspaces = limited.iter().take(NAMED_MAX).map(|(workspace, limit)| {
        let limiter = limiters.get(&workspace.name);
        let shared_limit = SharedLimit {
            limit: *limit,
            bounds,
            entry_count: view.entry_count(),
        };
        let total = totals.and_then(|(totals, _)| totals.demand_of(&workspace.name));
        json!({
            "name": &*workspace.name,
            "rate_per_s": limit.rate_per_s,
            "burst": limit.burst,
            "share": limiter.map(|limiter| limiter.share(now, &shared_limit)),
            "demand_per_s": total.map(|total| total.requests_per_s),
            "refused": limiter.map(WorkspaceLimiter::refused),
        })
    });
    json!({
        "leads": counts.role() == Role::Leads,
        "first_by_rank": ranked(&view).first().map(|entry| &*entry.name),
        "totals_age_ms": totals.map(|(_, age)| age.as_millis() as u64),
        "entries_known": view.entry_count(),
        "entries_counted": totals.map(|(totals, _)| totals.entry_count),
        "limited_workspaces": limited.len(),
        "workspaces": workspaces.collect::<Vec<_>>(),
    })
}
