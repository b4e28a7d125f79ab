//! Effects that concern the platform and the peers: store, VM list, bundle transfer, probes.

use std::sync::Arc;

use lacewingmoor_control::Effect;
use slog::Logger;

use crate::control::Control;
use crate::settings::Settings;

/// Carries out the effects that need the store, the VM list, a peer or a probe.
pub struct Platform {}

impl Platform {
    /// Starts the clients of the platform and the peer listener.
    pub fn start(_settings: &Arc<Settings>, _control: &Control, _log: &Logger) -> Self {
        Self {}
    }

    /// Carries out one effect.
    pub fn handle(&mut self, _effect: Effect) {}
}
