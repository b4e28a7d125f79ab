//! Targets that respond to probes but not to requests.
//!
//! Fault: a target never responds to a request that it cannot queue, nor to later ones on that connection. An
//! idempotent request is hedged and gets the response of another target, so the target looks as good as
//! before and gets the next one.

use std::time::Duration;

use lacewingmoor_derive::value;

use crate::Timestamp;

/// Time without a response from the first unanswered send on before a target is ejected. Longer than a slow
/// episode, which commonly lasts 300 ms.
const SILENCE_MIN: Duration = Duration::from_millis(600);

/// Unanswered sends, each after the end of the one before, after which a target is ejected. All requests that
/// are sent at the start of a slow episode may be overtaken by their hedges, which counts as one.
const UNANSWERED_MAX: u32 = 2;

/// Multiple of the expected latency after which one unanswered send is enough. Requests in a slow episode
/// take up to 8 times as long as expected.
const HUNG_FACTOR: f64 = 10.0;

/// Duration of the first ejection; doubles with each further one without a response in between. Probes, which
/// the target answers, do not end it.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// An attempt that ended without a response: its hedge had one before, or its deadline passed.
#[value]
#[derive(Copy)]
pub struct UnansweredAttempt {
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// Expected latency at that time.
    pub expected_latency: Duration,
}

/// Requests of this entry to one target that got no response since its last one.
#[value]
#[derive(Default)]
pub struct Silence {
    first_sent_at: Timestamp,
    last_ended_at: Timestamp,
    unanswered: u32,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Silence {
    /// Records that the target responded to a request.
    pub fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Records an attempt that ends `now` without a response. Returns true if the target is ejected for it.
    pub fn record_unanswered(&mut self, now: Timestamp, attempt: UnansweredAttempt) -> bool {
        if self.unanswered == 0 {
            self.first_sent_at = attempt.sent_at;
        }
        if self.unanswered == 0 || attempt.sent_at >= self.last_ended_at {
            self.unanswered += 1;
            self.last_ended_at = now;
        }
        let waited = now.saturating_sub(attempt.sent_at);
        let is_hung = waited >= attempt.expected_latency.mul_f64(HUNG_FACTOR);
        let is_silent = now.saturating_sub(self.first_sent_at) >= SILENCE_MIN;
        let ejects = is_silent && (is_hung || self.unanswered >= UNANSWERED_MAX);
        if ejects && !self.is_ejected(now) {
            let ejection = EJECTION_MIN * 2u32.saturating_pow(self.ejections.min(8));
            self.ejections += 1;
            self.ejected_until = now + ejection.min(EJECTION_MAX);
            return true;
        }
        false
    }

    /// Returns true while the target is ejected.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }
}
