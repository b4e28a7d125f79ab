//! Limits on the rate of requests that targets name in their responses.

use std::time::Duration;

use lacewingmoor_derive::{copy_value, value};

use crate::Timestamp;

/// Requests per second that a target takes from all entries together. Finite and not negative.
#[value]
#[derive(Copy, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<&str> for RateLimit {
    type Error = String;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns the reason if the text is no number, or the number is negative or not finite.
    fn try_from(text: &str) -> Result<Self, String> {
        let limit: f64 = text
            .parse()
            .map_err(|_| format!("limit {text:?} is not a number"))?;
        match limit.is_finite() && limit >= 0.0 {
            true => Ok(Self(limit)),
            false => Err(format!("limit {text:?} is negative or not finite")),
        }
    }
}

/// What a response of a target responds to.
#[copy_value]
pub enum ResponseKind {
    /// A request.
    Request,
    /// A probe.
    Probe,
}

/// Limit of one target as far as this entry knows it.
#[derive(Clone, Debug, Default)]
pub struct KnownLimit {
    limit: Option<RateLimit>,
    /// Time since which the target has named a limit.
    since: Timestamp,
    /// Time of the last response that named it.
    confirmed_at: Timestamp,
    /// Time of the last probe that was sent only to confirm it.
    refreshed_at: Timestamp,
    /// True once a response to a probe has named a limit. Until then, one that names none says nothing.
    is_named_to_probes: bool,
}

impl KnownLimit {
    /// Returns the limit; `None` if the target names none.
    pub fn get(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records the limit that a response names, or that it names none. Returns the limit known before
    /// if it was another one.
    pub fn record(
        &mut self,
        now: Timestamp,
        kind: ResponseKind,
        limit: Option<RateLimit>,
    ) -> Option<Option<RateLimit>> {
        match (limit, kind) {
            (None, ResponseKind::Probe) if !self.is_named_to_probes => return None,
            (None, _) => {}
            (Some(_), kind) => {
                if self.limit.is_none() {
                    self.since = now;
                }
                self.confirmed_at = now;
                self.is_named_to_probes |= kind == ResponseKind::Probe;
            }
        }
        let previous = std::mem::replace(&mut self.limit, limit);
        (previous != limit).then_some(previous)
    }

    /// Returns when the entry may send again if it leaves `interval` between its sends, the last of
    /// which was at `last_send_at`. For the first one it waits for `first_wait` after it was told.
    pub fn next_send_at(
        &self,
        last_send_at: Timestamp,
        interval: Duration,
        first_wait: Duration,
    ) -> Timestamp {
        match last_send_at > self.since {
            true => last_send_at.saturating_add(interval),
            false => self.since.saturating_add(first_wait),
        }
    }

    /// Returns when an entry that must not send to the target may send a request to find out whether
    /// the limit still holds; `None` if a probe tells.
    pub fn next_trial_at(&self, last_send_at: Timestamp, interval: Duration) -> Option<Timestamp> {
        let at = self.confirmed_at.max(last_send_at).saturating_add(interval);
        (!self.is_named_to_probes).then_some(at)
    }

    /// Returns true if the target should be probed to find out whether the limit still holds, because
    /// no response has named it for `interval`.
    pub fn should_refresh(&self, now: Timestamp, interval: Duration) -> bool {
        let last_at = self.confirmed_at.max(self.refreshed_at);
        let is_due = now >= last_at.saturating_add(interval);
        self.limit.is_some() && self.is_named_to_probes && is_due
    }

    /// Records that such a probe is sent.
    pub fn record_refresh(&mut self, now: Timestamp) {
        self.refreshed_at = now;
    }
}
