//! Statistics that this entry collects about each target.

use std::collections::VecDeque;
use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Timestamp;
use crate::budget::WarmupLimiter;
use crate::notice::TargetNotices;
use crate::rate_limit::KnownLimit;
use crate::selection::{SLOWDOWN_THRESHOLD, TargetHealth};
use crate::silence::Silence;

/// Duration of the first ejection of a target; doubles with each further consecutive ejection.
const EJECTION_MIN: Duration = Duration::from_millis(250);

/// Longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// Time for which sends are kept. Older load reports are not used, because sends since then would
/// be missing from the count: the `age_max` that is passed to [`TargetStats::recent_report`] must
/// not exceed it.
const SEND_RETENTION: Duration = Duration::from_secs(1);

/// Time after the start of a slow episode at which another slow report starts a new one. Episodes
/// in which noisy neighbours slow a target down commonly last 300 ms.
const SLOW_EPISODE_INTERVAL: Duration = Duration::from_millis(400);

/// Consecutive slow episodes, with no report of normal speed in between, after which a target
/// counts as persistently slow. For a target that is slow for a quarter of the time, five
/// independent reports all fall into slow episodes with probability 0.25^5, about 1 in 1,000.
const PERSISTENTLY_SLOW_EPISODES: u32 = 5;

/// Weight of the newest response in the error rate.
const ERROR_RATE_SMOOTHING: f64 = 0.2;

/// Time in which the error rate halves without new responses.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(3);

/// Load report of a target.
#[value]
#[derive(Copy)]
pub struct LoadReport {
    /// Requests that the target runs.
    pub running: u32,
    /// Requests that wait in the target's queue.
    pub queued: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Factor by which requests currently take longer; 1 is normal speed.
    pub slowdown: f64,
}

/// Statistics of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    /// Requests of this entry in flight at the target.
    pub in_flight: u32,
    /// Last load report and when it arrived.
    pub last_report: Option<(LoadReport, Timestamp)>,
    /// End of the target's warm-up.
    pub warmup_until: Timestamp,
    /// Last health response of the target, see [`crate::confirmation`].
    pub(crate) confirmed_at: Option<Timestamp>,
    /// Until when the target is not asked again because it did not respond in time.
    pub(crate) unanswered_until: Timestamp,
    /// Rate limit during the warm-up.
    pub warmup_limiter: WarmupLimiter,
    /// Limit on the rate of requests that the target names.
    pub limit: KnownLimit,
    /// What the target has said of itself in its responses.
    pub notices: TargetNotices,
    /// Requests that got no response since the target's last one.
    pub silence: Silence,
    /// Time of the last send of this entry; zero before the first one.
    last_send_at: Timestamp,
    /// Recent sends of this entry, oldest first.
    sends: VecDeque<Timestamp>,
    /// Consecutive slow episodes.
    slow_episodes: u32,
    /// Start of the last slow episode.
    slow_episode_at: Timestamp,
    consecutive_ejections: u32,
    ejected_until: Timestamp,
    error_rate: f64,
    error_rate_at: Timestamp,
}

impl TargetStats {
    /// Forgets all but what has to be kept of a target that is not registered. Returns false if nothing
    /// is left.
    pub fn reduce_to_kept(&mut self, now: Timestamp) -> bool {
        let is_kept = self.in_flight > 0 || self.notices.is_kept(now);
        *self = Self {
            in_flight: self.in_flight,
            notices: std::mem::take(&mut self.notices),
            ..Self::default()
        };
        is_kept
    }

    /// Records a load report.
    pub fn record_report(&mut self, now: Timestamp, load: LoadReport) {
        self.last_report = Some((load, now));
        if load.slowdown < SLOWDOWN_THRESHOLD {
            self.slow_episodes = 0;
        } else if self.slow_episodes == 0 || now >= self.slow_episode_at + SLOW_EPISODE_INTERVAL {
            self.slow_episodes += 1;
            self.slow_episode_at = now;
        }
    }

    /// Returns true if the target was slow in several consecutive episodes.
    ///
    /// Load pattern: many entries, each of which probes a target only once in several seconds.
    /// Several episodes are required because two slow reports seconds apart may come from two short
    /// episodes. Counting them as persistent slowness would start requests in an episode, which are
    /// slow until they end: they hold their slots several times as long, and the targets do not
    /// recover from a burst.
    pub fn is_persistently_slow(&self) -> bool {
        self.slow_episodes >= PERSISTENTLY_SLOW_EPISODES
    }

    /// Returns the last load report, with the requests that this entry has sent since added to it,
    /// if it is not older than `age_max`.
    pub fn recent_report(&self, now: Timestamp, age_max: Duration) -> Option<LoadReport> {
        let (load, at) = self.last_report?;
        let running = load.running + self.sends_since(at);
        (at + age_max >= now).then_some(LoadReport { running, ..load })
    }

    /// Returns the state of the target apart from its load.
    pub fn health(&self, now: Timestamp) -> TargetHealth {
        TargetHealth {
            error_rate: self.error_rate(now),
            warming_up: self.is_warming_up(now),
            // Set by the caller, from the response to the probe and from the view.
            unhealthy: false,
            reserved: false,
            persistently_slow: self.is_persistently_slow(),
        }
    }

    /// Records that a request is sent to the target.
    pub fn record_send(&mut self, now: Timestamp) {
        let is_expired = |at: &Timestamp| *at + SEND_RETENTION < now;
        while self.sends.front().is_some_and(is_expired) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
        self.last_send_at = now;
    }

    /// Returns the time of the last send of this entry; zero before the first one.
    pub fn last_send_at(&self) -> Timestamp {
        self.last_send_at
    }

    /// Returns the number of sends since `at`, which a load report as of `at` may not include.
    pub fn sends_since(&self, at: Timestamp) -> u32 {
        self.sends.iter().filter(|sent_at| **sent_at >= at).count() as u32
    }

    /// Sets the remaining time of the target's warm-up; zero ends the warm-up.
    pub fn set_warmup(&mut self, now: Timestamp, remaining: Duration) {
        self.warmup_until = now + remaining;
    }

    /// Returns true while the target is warming up.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        now < self.warmup_until
    }

    /// Ends the ejection of the target after it responded to a probe with status 200, unless it responds to
    /// no requests.
    pub fn readmit(&mut self) {
        self.consecutive_ejections = 0;
        self.ejected_until = Timestamp::ZERO;
    }

    /// Ejects the target because it could not be reached or is unhealthy, or because another target
    /// responded at its address, with exponential backoff for consecutive ejections.
    pub fn eject(&mut self, now: Timestamp) {
        let ejection = EJECTION_MIN * 2u32.saturating_pow(self.consecutive_ejections.min(8));
        self.consecutive_ejections += 1;
        self.ejected_until = now + ejection.min(EJECTION_MAX);
    }

    /// Records whether the target responded to a request successfully; requests that it rejected
    /// are not recorded.
    pub fn record_result(&mut self, now: Timestamp, success: bool) {
        let rate = self.error_rate(now);
        let sample = if success { 0.0 } else { 1.0 };
        self.error_rate = rate + (sample - rate) * ERROR_RATE_SMOOTHING;
        self.error_rate_at = now;
    }

    /// Returns the share of recent requests that failed, which decays over time.
    pub fn error_rate(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.error_rate_at).as_secs_f64();
        self.error_rate * 0.5_f64.powf(age / ERROR_HALF_LIFE.as_secs_f64())
    }

    /// Returns true while the target is ejected.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until || self.silence.is_ejected(now)
    }
}
