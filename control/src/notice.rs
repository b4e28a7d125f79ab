//! What a target has said of itself in its responses: that it leaves, or when it wants requests again.
//!
//! Such a notice holds whatever the store says afterwards. The store may be down, restored from an older
//! copy, or execute an old write of the target late, and then shows the target as ready.

use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Timestamp;

/// Time for which a target that leaves is used if there is no other: half of the drain period of the
/// platform, in which it goes on serving.
const LEAVING_USE: Duration = Duration::from_secs(1);

/// Time for which it is remembered that a target leaves. Its process has ended long before, but a store
/// that is restored may show its registration again.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Longest time for which a target can decline requests with one response.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(300);

/// Part of the time for which a target declined requests over which the entries spread their return.
const RETURN_SPREAD_SHARE: f64 = 0.1;

/// Longest such time.
const RETURN_SPREAD_MAX: Duration = Duration::from_millis(500);

/// Requests in flight above which a target that has come back counts as recovered.
const RETURN_IN_FLIGHT_MAX: u32 = 16;

/// Time after which a target wants requests again.
#[value]
#[derive(Copy, PartialOrd)]
pub struct RetryAfter(Duration);

impl RetryAfter {
    /// Returns the time.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl TryFrom<&str> for RetryAfter {
    type Error = String;

    /// Parses a number of seconds, with or without a fraction. Longer times than [`RETRY_AFTER_MAX`] count
    /// as that.
    ///
    /// # Errors
    ///
    /// Returns the reason if the text is no number, or the number is negative or not finite.
    fn try_from(text: &str) -> Result<Self, String> {
        let seconds: f64 = text
            .parse()
            .map_err(|_| format!("{text:?} is not a number of seconds"))?;
        match seconds.is_finite() && seconds >= 0.0 {
            true => Ok(Self(Duration::from_secs_f64(
                seconds.min(RETRY_AFTER_MAX.as_secs_f64()),
            ))),
            false => Err(format!("{text:?} is negative or not finite")),
        }
    }
}

/// A target that declines requests for a while.
#[value]
#[derive(Copy)]
struct Declined {
    told_at: Timestamp,
    until: Timestamp,
}

/// Notices of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    /// Start of the process that gave the notices; another process under the same id is free of them.
    started_unix_ms: Option<u64>,
    /// Time of the first response which said that the process leaves.
    leaving_since: Option<Timestamp>,
    declined: Option<Declined>,
    /// Requests that may be in flight at a target that has come back; `None` if it has recovered.
    in_flight_max: Option<u32>,
}

/// Whether notices allow a request.
#[value]
#[derive(Copy)]
pub enum Notice {
    /// None forbids it.
    Allowed,
    /// The target leaves; it may be used if there is no other.
    LastResort,
    /// The target has been leaving for `age`.
    Leaving {
        /// Time since it said so first.
        age: Duration,
    },
    /// The target declines requests.
    Declined {
        /// Time since it said so last.
        age: Duration,
        /// When it may be sent to again.
        until: Timestamp,
    },
    /// The target has just come back and has as many requests of this entry as it may have.
    Returning,
}

impl TargetNotices {
    /// Drops the notices of an earlier process of the target. Returns false if it is the earlier one that
    /// responds.
    fn bind(&mut self, started_unix_ms: Option<u64>) -> bool {
        if self.started_unix_ms < started_unix_ms {
            *self = Self {
                started_unix_ms,
                ..Self::default()
            };
        }
        self.started_unix_ms == started_unix_ms
    }

    /// Records that the process that started at `started_unix_ms` leaves. Returns true if that is news.
    pub fn record_leaving(&mut self, now: Timestamp, started_unix_ms: Option<u64>) -> bool {
        if !self.bind(started_unix_ms) {
            return false;
        }
        let is_news = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_news
    }

    /// Records that the process declines requests. Each such notice holds until its own end, so the latest
    /// end of all counts.
    pub fn record_declined(
        &mut self,
        now: Timestamp,
        started_unix_ms: Option<u64>,
        retry_after: RetryAfter,
    ) {
        if !self.bind(started_unix_ms) {
            return;
        }
        let before = self.declined.map_or(Timestamp::ZERO, |d| d.until);
        self.declined = Some(Declined {
            told_at: now,
            until: before.max(now + retry_after.get()),
        });
        self.in_flight_max = Some(1);
    }

    /// Records that the target has served a request.
    ///
    /// Load pattern: hundreds of entries were told the same moment. Each begins with one request and adds
    /// one for each that is served.
    pub fn record_success(&mut self, now: Timestamp) {
        if self.is_declining(now) {
            return;
        }
        self.in_flight_max = self
            .in_flight_max
            .map(|max| max + 1)
            .filter(|max| *max <= RETURN_IN_FLIGHT_MAX);
    }

    /// Returns whether the process that started at `started_unix_ms` may get a request of an entry that
    /// has `in_flight` requests there. `spread` from 0 to 1 is where the entry comes among those that
    /// return.
    pub fn check(
        &self,
        now: Timestamp,
        started_unix_ms: Option<u64>,
        in_flight: u32,
        spread: f64,
    ) -> Notice {
        if self.started_unix_ms != started_unix_ms {
            return Notice::Allowed;
        }
        if let Some(Declined { told_at, until }) = self.declined {
            let length = until.saturating_sub(told_at);
            let delay = length.mul_f64(RETURN_SPREAD_SHARE).min(RETURN_SPREAD_MAX);
            let until = until + delay.mul_f64(spread);
            if now < until {
                let age = now.saturating_sub(told_at);
                return Notice::Declined { age, until };
            }
        }
        if let Some(since) = self.leaving_since {
            let age = now.saturating_sub(since);
            return match age < LEAVING_USE {
                true => Notice::LastResort,
                false => Notice::Leaving { age },
            };
        }
        match self.in_flight_max {
            Some(max) if in_flight >= max => Notice::Returning,
            _ => Notice::Allowed,
        }
    }

    /// Returns true if there is no notice.
    pub fn is_empty(&self) -> bool {
        self.leaving_since.is_none() && self.declined.is_none()
    }

    /// Returns true if the target has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns true if the target declines requests.
    pub fn is_declining(&self, now: Timestamp) -> bool {
        self.declined.is_some_and(|declined| now < declined.until)
    }

    /// Returns true if notices have to be kept although the target is not registered.
    pub fn is_kept(&self, now: Timestamp) -> bool {
        self.leaving_since
            .is_some_and(|since| now < since + LEAVING_RETENTION)
            || self.is_declining(now)
    }
}
