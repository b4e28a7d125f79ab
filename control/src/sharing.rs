//! Division of a rate of requests to one target, which holds for all entries together, among them.
//!
//! Entries don't coordinate, so the bound on their sum must not depend on when each of them sends. If
//! every entry used an equal part of the rate, each could send one request at the same moment, and with
//! hundreds of entries and a rate near one per second that alone is a multiple of the rate. So only a few
//! entries, the senders of the target, send to it, each at an even interval. They are ranked by a hash
//! of their name and the target's id, those of its zone first, so all entries that know the same
//! registrations agree on them, and each target has others.
//!
//! With `n` senders and a rate of `r` per second, a window of `w` seconds has at most `r * w + n` sends.
//! Senders that are told of a rate at the same moment begin one after the other, at the rate. While entries learn of a changed registration, each sender that replaces another adds one.

use std::time::Duration;

/// Part of the connections that a target accepts which may be idle.
const IDLE_CONNECTIONS_SHARE: f64 = 0.5;

/// Part of a limit that entries other than the senders use to find out whether it still holds.
const TRIAL_SHARE: f64 = 0.1;

/// Rate per second that is assumed for trials if the limit is lower, so that there are some.
const TRIAL_RATE_MIN: f64 = 0.1;

/// Shortest time after which a limit is confirmed by a probe.
const REFRESH_INTERVAL_MIN: Duration = Duration::from_secs(2);

/// Shortest time between two such probes by all entries of a region.
const REFRESH_GAP: Duration = Duration::from_millis(100);

/// Senders for a rate near zero. Several, so that the target is used while one of them is down or gets
/// no requests.
const SENDERS_MIN: usize = 3;

/// Returns the maximum number of senders if a second may have `excess_per_s` sends above the rate, and
/// [`SENDERS_MIN`] more. A longer window has less above the rate in proportion.
pub fn senders_max(excess_per_s: f64) -> usize {
    // Saturates for a number above the range of the type.
    (excess_per_s as usize).saturating_add(SENDERS_MIN)
}

/// Returns the interval between two sends of each of `senders`; `None` if the rate is so low that none
/// may send.
pub fn send_interval(rate_per_s: f64, senders: usize) -> Option<Duration> {
    Duration::try_from_secs_f64(senders as f64 / rate_per_s).ok()
}

/// Returns the interval between two sends of an entry that is no sender, which only find out whether the
/// limit still holds.
///
/// `draw` from 0 to 1 differs from entry to entry, because all may have been told at the same time.
pub fn trial_interval(rate_per_s: f64, entry_count: usize, draw: f64) -> Duration {
    let trial_rate_per_s = rate_per_s.max(TRIAL_RATE_MIN) * TRIAL_SHARE;
    Duration::from_secs_f64(entry_count as f64 / trial_rate_per_s * (1.0 + draw))
}

/// Returns how many idle connections to one target an entry keeps if the target accepts
/// `connections_max` from all entries together.
///
/// Load pattern: hundreds of entries each keep connections for their next probes. Idle ones must not take
/// what requests and probes in flight need, since a target resets those beyond its maximum.
pub fn idle_connections_max(connections_max: u32, entry_count: usize) -> usize {
    let idle = f64::from(connections_max) * IDLE_CONNECTIONS_SHARE;
    (idle / entry_count as f64) as usize
}

/// Returns the interval after which each of `entry_count` entries probes a target that it must not send
/// to, to find out whether its limit still holds.
pub fn refresh_interval(entry_count: usize) -> Duration {
    (REFRESH_GAP * entry_count as u32).max(REFRESH_INTERVAL_MIN)
}
