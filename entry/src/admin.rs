//! The admin listener: `/live`, `/ready`, `/metrics`, `/status` and `/explain`.

use std::sync::Arc;

use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
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
#[derive(Debug, Serialize)]
pub struct Status {
    /// Name of this entry.
    pub node: String,
    /// Zone of this entry.
    pub zone: String,
    /// Region of this entry.
    pub region: String,
    /// Version in force, 0 if none.
    pub version: u64,
    /// Manifest digest of that version in hex, empty if none.
    pub digest: String,
    /// True if new callers should be sent to this entry.
    pub ready: bool,
}

impl Admin {
    /// Returns the routes of the admin listener.
    pub fn router(self) -> Router {
        let admin = Arc::new(self);
        let mut router = Router::new();
        for path in ["live", "ready", "metrics", "status"] {
            let goal = Path(admin.clone(), path);
            router = router.push(Router::with_path(path).get(goal));
        }
        router
    }

    fn status(&self) -> Status {
        let bundle = self.control.bundle();
        let digest = bundle.as_ref().map(|b| hex(&b.digest));
        Status {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            version: bundle.as_ref().map_or(0, |b| b.version),
            digest: digest.unwrap_or_default(),
            ready: self.readiness.get(),
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

struct Path(Arc<Admin>, &'static str);

#[async_trait]
impl Handler for Path {
    async fn handle(
        &self,
        _req: &mut Request,
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
            _ => res.render(salvo::writing::Json(admin.status())),
        }
    }
}
