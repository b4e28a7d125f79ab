//! What the reducer is built with, and its constants.

use std::time::Duration;

use lacewingmoor_derive::{raw, value};

/// Time for which a vote keeps the voter from voting for another claimant of the target.
pub const LEASE_TTL: Duration = Duration::from_millis(1500);

/// Time that granted credits last, from the demand that they answer.
pub const GRANT_TTL: Duration = Duration::from_millis(1000);

/// Age from which a load report is not relied on.
pub const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// How a target is chosen. All but `Credits` are baselines for measurements.
#[raw]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Any eligible target.
    Random,
    /// The better of two random targets by requests in flight from this entry.
    TwoChoices,
    /// Each entry alone, with the slots divided by the live entries.
    StaticShare,
    /// Slots granted by the owner of each target.
    #[default]
    Credits,
}

/// What the reducer is built with.
#[value]
pub struct Setup {
    /// Name of this entry.
    pub name: String,
    /// Zone name of this entry.
    pub zone: String,
    /// Region name of this entry.
    pub region: String,
    /// Start of this process; differs after a restart.
    pub incarnation: u64,
    /// Choice of targets.
    pub policy: Policy,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Mechanisms that a test turns off to show that its checks notice.
#[value]
#[derive(Copy, Default)]
pub struct Faults {
    /// Claimants own targets without votes.
    pub skip_votes: bool,
    /// Entries use credits after they have expired.
    pub ignore_expiry: bool,
    /// New owners grant before the grants of the owner before have expired.
    pub skip_takeover_wait: bool,
    /// Owners grant slots that others have not given back yet.
    pub ignore_outstanding: bool,
    /// Owners probe without a budget.
    pub ignore_probe_budget: bool,
    /// Non-idempotent requests are sent again after bytes may have gone.
    pub resend_unsafe: bool,
}

impl Faults {
    /// True if any mechanism is off.
    pub(crate) fn any(&self) -> bool {
        *self != Self::default()
    }
}
