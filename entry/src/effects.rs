//! Carries out the effects that do not concern a single request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lacewingmoor_control::Effect;
use metrics::gauge;
use slog::{Logger, error, info};
use tokio::sync::mpsc;

use crate::metrics::violation;
use crate::platform::Platform;

/// Readiness as the admin listener shows it.
#[derive(Clone, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// True while new callers should be sent to this entry.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }
}

/// Runs until the control thread ends. `platform` is `None` in tests of the data path.
pub async fn run(
    mut effects: mpsc::UnboundedReceiver<Effect>,
    platform: Option<Platform>,
    readiness: Readiness,
    log: Logger,
) {
    let ready_gauge = gauge!("lacewingmoor_ready");
    let version_gauge = gauge!("lacewingmoor_bundle_version");
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::Violation(v) => {
                violation(v.invariant);
                error!(log, "violation"; "invariant" => v.invariant, "detail" => v.detail);
            }
            Effect::Ready(ready) => {
                readiness.set(ready);
                ready_gauge.set(if ready { 1.0 } else { 0.0 });
                info!(log, "ready"; "ready" => ready);
            }
            Effect::InForce { version } => {
                version_gauge.set(version as f64);
                info!(log, "bundle_in_force"; "version" => version);
            }
            // The control thread passes these on itself.
            Effect::Dispatch(_) | Effect::Cancel { .. } | Effect::Refuse(_) | Effect::Log(_) => {}
            other @ (Effect::Send { .. }
            | Effect::Probe { .. }
            | Effect::WatchStore(_)
            | Effect::ReadStore
            | Effect::FetchBundle { .. }
            | Effect::Peers(_)) => {
                if let Some(platform) = &platform {
                    platform.handle(other);
                }
            }
        }
    }
}
