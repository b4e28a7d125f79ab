//! The admin listener: `/live`, `/ready`, `/metrics`, `/status` and `/explain`.

use std::sync::Arc;

use http::StatusCode;
use lacewingmoor_bundle::Version;
use lacewingmoor_control::{Explanation, TargetStatus};
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;

use crate::control::Control;
use crate::effects::Readiness;
use crate::settings::Settings;

/// What the admin paths read.
pub struct Admin {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Control thread.
    pub control: Control,
    /// Readiness.
    pub readiness: Readiness,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

/// Answer of `/status`.
#[derive(Serialize)]
pub struct Status {
    /// Name of this entry.
    pub node: String,
    /// Zone of this entry.
    pub zone: String,
    /// Region of this entry.
    pub region: String,
    /// Version in force, 0 if none.
    pub version: Version,
    /// Manifest digest of that version in hexadecimal, empty if none.
    pub digest: String,
    /// True if the version is confirmed as the newest.
    pub fresh: bool,
    /// True if new callers should be sent to this entry.
    pub ready: bool,
    /// Requests that are not over.
    pub requests: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Targets with state and slots, in the order of the bundle.
    pub targets: Vec<TargetStatus>,
}

impl Admin {
    /// Returns the routes of the admin listener.
    pub fn router(self) -> Router {
        let admin = Arc::new(self);
        let mut router = Router::new();
        for path in ["live", "ready", "metrics", "status", "explain"] {
            let goal = Path(admin.clone(), path);
            router = router.push(Router::with_path(path).get(goal));
        }
        router
    }

    async fn status(&self) -> Option<Status> {
        let known = self.control.query(|state| state.status()).await?;
        Some(Status {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            version: known.version,
            digest: known.digest,
            fresh: known.fresh,
            ready: self.readiness.get(),
            requests: known.requests,
            queued: known.queued,
            targets: known.targets,
        })
    }

    async fn explain(&self, req: &Request) -> Option<Explanation> {
        let path: String = req.query("path")?;
        let method = req.query("method").unwrap_or_else(|| "GET".to_owned());
        let tenant: Option<String> = req.query("tenant");
        self.control
            .query(move |state| state.explain(&method, &path, tenant.as_deref()))
            .await
    }
}

struct Path(Arc<Admin>, &'static str);

#[async_trait]
impl Handler for Path {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Self(admin, path) = self;
        match *path {
            "live" => res.render("live\n"),
            "ready" if admin.readiness.get() => res.render("ready\n"),
            "ready" => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render("not ready\n");
            }
            "metrics" => res.render(admin.metrics.render()),
            "status" => json(res, admin.status().await),
            _ => json(res, admin.explain(req).await),
        }
    }
}

/// Writes an answer as JSON; none stands for a request without the parameters that it needs.
fn json(res: &mut Response, answer: Option<impl Serialize + Send>) {
    match answer {
        Some(answer) => res.render(Json(answer)),
        None => {
            res.status_code(StatusCode::BAD_REQUEST);
            res.render("parameter `path` is missing\n");
        }
    }
}
