//! Rate limits of workspaces, which hold for all entries together.
//!
//! Each entry admits requests at its share of the limit: its own demand divided by the total demand that
//! it is told (see [`crate::counts`]). A token bucket with the share of rate and burst holds the
//! average. A sliding window with the share of all that may be sent in a window holds the bound, also
//! when buckets are full everywhere.
//!
//! While the total demand is below the limit, an entry admits more than its bucket has, and the bucket
//! goes into debt: callers are spread over entries by a hash and arrive at random, so a few
//! requests a second per entry would otherwise be refused although all entries together are far from the
//! limit. When the total demand rises above the limit, the debt is paid first, so what was sent in
//! the second or so until all entries knew is not sent again. docs/design/rate-limits.md compares
//! this with other designs.

use std::collections::VecDeque;
use std::time::Duration;

use lacewingmoor_bundle::WorkspaceRateLimit;
use lacewingmoor_derive::value;

use crate::Timestamp;
use crate::bounds::RateLimitBounds;
use crate::counts::TOTALS_AGE_MAX;
use crate::sliding_count::{SlidingCount, Window};

/// Time constant of the demand estimate. Shorter ones make the total of a workspace with 5 requests
/// a second as uncertain as its limit.
const DEMAND_SMOOTHING_S: f64 = 1.0;

/// Demand below which a workspace counts as idle at this entry.
const DEMAND_MIN_PER_S: f64 = 0.01;

/// Time constant of the share. Long, because an estimate of a few requests a second varies by half; the
/// shares of all entries still add up to 1 at every moment.
const SHARE_SMOOTHING_S: f64 = 3.0;

/// The same while totals are known for a short time only.
const SHARE_SMOOTHING_MIN_S: f64 = 1.0;

/// Longest time for which one sample of the share counts.
const SHARE_STEP_MAX: Duration = Duration::from_millis(500);

/// Time that reports take to be in the totals, from the nearest and from the farthest entry: the
/// share divides the demand of that time by the totals. Otherwise the shares add up to several times 1
/// while the demand rises everywhere.
const REPORT_DELAY: Duration = Duration::from_millis(900);

/// Shortest time that a report takes to be in the totals, on average: half of the interval of reports, and
/// a little more, since an older demand makes shares too small rather than too large while it rises.
const REPORT_DELAY_MIN: Duration = Duration::from_millis(200);

/// Part of a window at the limit that entries use. The rest and `over` cover shares that add up to more than 1 for a
/// moment while demand rises everywhere, and what is sent until all entries know that it has risen.
const WINDOW_SHARE: f64 = 0.95;

/// Part of `extra` that entries use in addition. A workspace with a small limit has little else, and its demand varies
/// more.
const EXTRA_SHARE: f64 = 0.5;

/// Part of what a window may have that entries can use with their first request, whatever their share.
const FLOOR_SHARE: f64 = 0.9;

/// Number of entries at which requests of a small workspace arrive. More are assumed for a limit of more
/// requests per second.
const ENTRIES_OF_SMALL_WORKSPACE: usize = 30;

/// Part of all entries whose demand must be in the totals.
const REACHED_MIN: f64 = 0.5;

/// Part of the burst that a new bucket has.
const INITIAL_BURST: f64 = 0.4;

/// Factor by which a demand must exceed what is expected to count as rising.
const RISE_FACTOR: f64 = 1.5;

/// Standard deviations by which demand may exceed what is expected by chance.
const DEMAND_DEVIATIONS: f64 = 2.0;

/// Requests in a window by which an entry may exceed what is expected, at most. Each of a hundred entries may do so
/// until all of them know that the demand has risen.
const CHANCE_MAX: f64 = 4.0;

/// Part of a bucket beyond its first token that late requests leave to others.
const LATE_RESERVE: f64 = 0.5;

/// Age of the totals from which on an entry uses half of its share. Its registration has expired by then, so
/// others no longer leave a part to it.
const LONG_CUT_OFF: Duration = Duration::from_secs(20);

/// Part of its share that such an entry uses.
const LONG_CUT_OFF_SHARE: f64 = 0.5;

/// Number of buckets in a window; counts expire one bucket at a time.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Interval at which refused requests of a workspace are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Demand of a workspace at all entries.
#[value]
#[derive(Copy, Default)]
pub struct TotalDemand {
    /// Requests per second that arrive.
    pub requests_per_s: f64,
    /// Number of entries at which they arrive.
    pub active_count: u32,
    /// Number of entries in the totals.
    pub entry_count: u32,
    /// Age of the totals.
    pub age: Duration,
}

/// Limit of a workspace, with what is known of the entries that share it.
#[value]
#[derive(Copy)]
pub struct SharedLimit<'a> {
    /// Limit of the workspace.
    pub limit: WorkspaceRateLimit,
    /// How far a window may exceed it.
    pub bounds: &'a RateLimitBounds,
    /// Number of entries known from registrations.
    pub entry_count: usize,
}

impl SharedLimit<'_> {
    /// Returns the number of requests of a window at the limit.
    fn window_at_limit(&self) -> f64 {
        WINDOW_SHARE * (self.limit.rate_per_s * self.bounds.window.as_secs_f64() + self.limit.burst)
    }

    /// Returns the rate that fits every window. Limits are defined by what a window may have, so the burst
    /// is part of each window and not only of the first one after a pause.
    fn sustained_rate_per_s(&self) -> f64 {
        self.window_at_limit() / self.bounds.window.as_secs_f64()
    }

    /// Returns the used part of the number by which a window may exceed it.
    fn margin(&self) -> f64 {
        EXTRA_SHARE * self.bounds.extra
    }

    /// Returns the total demand up to which requests need no token: the rate and what the estimate varies by. A
    /// window at this demand stays within the used margin and half the burst, which leaves room for what entries
    /// send without tokens until all of them know that the demand has risen.
    fn demand_max(&self) -> f64 {
        let rate_per_s = self.limit.rate_per_s;
        let deviation = (rate_per_s / (2.0 * DEMAND_SMOOTHING_S)).sqrt();
        let room = 0.5 * self.limit.burst + self.margin();
        let room_per_s = room / self.bounds.window.as_secs_f64();
        rate_per_s + (DEMAND_DEVIATIONS * deviation).min(room_per_s)
    }

    fn window(&self) -> Window {
        window(self.bounds)
    }

    fn entry_count(&self) -> f64 {
        self.entry_count.max(1) as f64
    }

    /// Returns the number of entries at which requests arrive, if no totals tell it.
    fn assumed_active_count(&self) -> f64 {
        let assumed = (self.limit.rate_per_s as usize).max(ENTRIES_OF_SMALL_WORKSPACE);
        self.entry_count().min(assumed as f64)
    }

    /// Returns how many requests an entry with this share may send in a window, if requests arrive at
    /// `active_count` entries. The numbers of all entries add up to the bound without the unused
    /// margin.
    fn window_max(&self, share: f64, active_count: f64) -> f64 {
        let all = self.window_at_limit() + self.margin();
        let floors = active_count.min(FLOOR_SHARE * all);
        floors / active_count + share * (all - floors)
    }
}

fn window(bounds: &RateLimitBounds) -> Window {
    Window {
        length: bounds.window,
        bucket_count: BUCKETS_PER_WINDOW,
    }
}

/// What this entry may send now.
struct Allowance {
    /// Tokens per second.
    rate_per_s: f64,
    /// Tokens that the bucket holds.
    capacity: f64,
    /// Requests in a window, with or without tokens.
    window_max: f64,
    /// Requests in a window without tokens; `None` if each needs one.
    without_tokens: Option<f64>,
}

/// The limit of a workspace, which may have been lowered.
#[derive(Clone, Copy, Debug)]
struct LimitInForce {
    limit: WorkspaceRateLimit,
    /// The limit before, and when it was replaced.
    former: Option<(WorkspaceRateLimit, Timestamp)>,
}

impl LimitInForce {
    /// Returns the limit as it holds for the window that ends now.
    fn at(&self, now: Timestamp, window: Duration) -> WorkspaceRateLimit {
        let Some((former, since)) = self.former else {
            return self.limit;
        };
        let elapsed = now.saturating_sub(since).as_secs_f64() / window.as_secs_f64();
        let part = elapsed.min(1.0);
        let mixed = |former: f64, limit: f64| limit.max(former + (limit - former) * part);
        WorkspaceRateLimit {
            rate_per_s: mixed(former.rate_per_s, self.limit.rate_per_s),
            burst: mixed(former.burst, self.limit.burst),
        }
    }
}

/// Right to send one request, counted in the window.
#[value]
#[derive(Copy)]
pub struct Token {
    taken_at: Timestamp,
    /// When the send was last counted in the window.
    counted_at: Timestamp,
}

impl Token {
    fn new(now: Timestamp) -> Self {
        Self {
            taken_at: now,
            counted_at: now,
        }
    }
}

/// Limits the requests of one workspace at this entry.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceLimiter {
    demand_per_s: f64,
    demand_at: Timestamp,
    /// Demand as reported, the newest last.
    reported: VecDeque<(Timestamp, f64)>,
    limit: Option<LimitInForce>,
    total: Option<(TotalDemand, Timestamp)>,
    /// This entry's share of the limit; `None` until totals were known.
    share: Option<f64>,
    /// Since when it is derived from totals.
    share_since: Option<Timestamp>,
    share_at: Timestamp,
    tokens: Option<f64>,
    refilled_at: Timestamp,
    /// When the bucket was first filled.
    filled_since: Timestamp,
    sent: SlidingCount,
    /// Decides whether a part of a request is rounded up in the current window.
    draw: f64,
    drawn_at: Timestamp,
    /// When the next refused caller is told to retry.
    next_retry_at: Timestamp,
    refused: u64,
    /// Number of these that were logged, and when.
    logged: (u64, Timestamp),
}

impl WorkspaceLimiter {
    /// Counts a request that arrives, and takes a token for it. `draw` from 0 to 1 is random.
    ///
    /// # Errors
    ///
    /// Returns the time after which there is room, if the request must be refused.
    pub fn admit(
        &mut self,
        now: Timestamp,
        limit: &SharedLimit<'_>,
        draw: f64,
    ) -> Result<Token, Duration> {
        self.admit_with_reserve(now, limit, draw, 0.0)
    }

    /// Counts a request that can't be on time any more, and takes a token for it.
    ///
    /// Load pattern: a workspace sends several times its limit, and its refused callers come back. If they took the
    /// tokens, requests that could still be on time would be refused in turn, come back, and be late too. So
    /// late ones leave half of the bucket to them.
    ///
    /// # Errors
    ///
    /// Returns the time after which there is room, if the request must be refused.
    pub fn admit_late(
        &mut self,
        now: Timestamp,
        limit: &SharedLimit<'_>,
        draw: f64,
    ) -> Result<Token, Duration> {
        self.admit_with_reserve(now, limit, draw, LATE_RESERVE)
    }

    fn admit_with_reserve(
        &mut self,
        now: Timestamp,
        limit: &SharedLimit<'_>,
        draw: f64,
        reserve: f64,
    ) -> Result<Token, Duration> {
        self.decay_demand(now);
        self.demand_per_s += 1.0 / DEMAND_SMOOTHING_S;
        let limit = &self.in_force(now, limit);
        if self.try_take_in_force(now, limit, draw, reserve) {
            return Ok(Token::new(now));
        }
        self.refused += 1;
        Err(self.retry_after(now, limit, draw))
    }

    /// Takes a token for a retry or a hedge, if there is one.
    pub fn try_take(
        &mut self,
        now: Timestamp,
        limit: &SharedLimit<'_>,
        draw: f64,
    ) -> Option<Token> {
        let limit = self.in_force(now, limit);
        self.try_take_in_force(now, &limit, draw, 0.0)
            .then(|| Token::new(now))
    }

    fn try_take_in_force(
        &mut self,
        now: Timestamp,
        limit: &SharedLimit<'_>,
        draw: f64,
        reserve: f64,
    ) -> bool {
        let window = limit.bounds.window;
        if self.drawn_at + window <= now || self.tokens.is_none() {
            (self.draw, self.drawn_at) = (draw, now);
        }
        let allowance = self.refill(now, limit);
        let tokens = self.tokens.unwrap_or_default();
        let next = f64::from(self.sent.get(now, &limit.window())) + 1.0;
        let needed = 1.0 + reserve * (allowance.capacity - 1.0);
        let has_token = tokens >= needed && next <= (allowance.window_max + self.draw).floor();
        let needs_none = allowance.without_tokens;
        let needs_none = needs_none.is_some_and(|max| next <= (max + self.draw).floor());
        if !has_token && !needs_none {
            return false;
        }
        let debt_max = (allowance.rate_per_s * window.as_secs_f64()).max(1.0);
        self.tokens = Some((tokens - 1.0).max(-debt_max));
        self.sent.add(now, &limit.window());
        true
    }

    /// Returns the limit as it holds for the window that ends now. The part of the window before a limit was
    /// lowered counts with the former one; otherwise what was sent then would use up the lower limit, and
    /// requests within it would be refused for most of a window.
    fn in_force<'a>(&mut self, now: Timestamp, limit: &SharedLimit<'a>) -> SharedLimit<'a> {
        let window = limit.bounds.window;
        let known = self.limit.get_or_insert(LimitInForce {
            limit: limit.limit,
            former: None,
        });
        if known.limit != limit.limit {
            *known = LimitInForce {
                limit: limit.limit,
                former: Some((known.at(now, window), now)),
            };
        }
        SharedLimit {
            limit: known.at(now, window),
            ..*limit
        }
    }

    /// Gives back the token of a request that no target got. The bucket may have been dropped and filled anew
    /// since the token was taken; it then has no debt for it.
    pub fn give_back(&mut self, now: Timestamp, token: Token, bounds: &RateLimitBounds) {
        if let Some(tokens) = &mut self.tokens
            && self.filled_since <= token.taken_at
        {
            *tokens += 1.0;
        }
        self.sent.take_back(now, token.counted_at, &window(bounds));
    }

    /// Records a send with a token. If the token was counted more than a bucket ago, moves its count to the
    /// current one: a request may wait long between its admission and its send, and new requests then
    /// leave room for it in the window in which it runs.
    pub fn record_send(&mut self, now: Timestamp, token: Token, bounds: &RateLimitBounds) -> Token {
        let window = window(bounds);
        if now < token.counted_at + window.bucket_width() {
            return token;
        }
        self.sent.take_back(now, token.counted_at, &window);
        self.sent.add(now, &window);
        Token {
            counted_at: now,
            ..token
        }
    }

    /// Counts a send without asking whether it fits.
    pub fn record_extra_send(&mut self, now: Timestamp, bounds: &RateLimitBounds) -> Token {
        self.sent.add(now, &window(bounds));
        if let Some(tokens) = &mut self.tokens {
            *tokens -= 1.0;
        }
        Token::new(now)
    }

    /// Returns the demand to report, in requests per second, and keeps it for the share.
    pub fn report(&mut self, now: Timestamp) -> f64 {
        self.decay_demand(now);
        let demand = match self.demand_per_s < DEMAND_MIN_PER_S {
            true => 0.0,
            false => self.demand_per_s,
        };
        self.reported.push_back((now, demand));
        while let Some((at, _)) = self.reported.front()
            && *at + TOTALS_AGE_MAX + REPORT_DELAY + REPORT_DELAY_MIN < now
        {
            self.reported.pop_front();
        }
        demand
    }

    /// Sets the total demand that this entry is told, and updates its share.
    pub fn set_total(&mut self, now: Timestamp, total: TotalDemand, entry_count: usize) {
        self.total = Some((total, now));
        if total.age > TOTALS_AGE_MAX || total.requests_per_s <= 0.0 {
            return;
        }
        let until = now.saturating_sub(total.age + REPORT_DELAY_MIN);
        let from = until.saturating_sub(REPORT_DELAY);
        let included = self.reported.iter();
        let included = included.filter(|(at, _)| *at >= from && *at <= until);
        let (sum, count) = included.fold((0.0, 0), |(sum, n), (_, d)| (sum + d, n + 1));
        let own = sum / f64::from(count.max(1));
        let share = (own / total.requests_per_s).min(1.0);
        // After a pause, the first totals have the demand of the nearest entries only.
        let elapsed = now.saturating_sub(self.share_at).min(SHARE_STEP_MAX);
        let elapsed = elapsed.as_secs_f64();
        self.share_at = now;
        let since = *self.share_since.get_or_insert(now);
        let known_s = now.saturating_sub(since).as_secs_f64();
        let smoothing_s = known_s.clamp(SHARE_SMOOTHING_MIN_S, SHARE_SMOOTHING_S);
        let last = self.share.unwrap_or(1.0 / entry_count.max(1) as f64);
        self.share = Some(last + (share - last) * (1.0 - (-elapsed / smoothing_s).exp()));
    }

    /// Returns this entry's share of the limit.
    pub fn share(&self, now: Timestamp, limit: &SharedLimit<'_>) -> f64 {
        let equal = 1.0 / limit.entry_count();
        let Some(total) = self.usable_total(now, limit) else {
            let last = self.share.unwrap_or(equal).min(equal);
            let is_long_cut_off = self
                .total
                .is_some_and(|(total, at)| now > at + LONG_CUT_OFF || total.age > LONG_CUT_OFF);
            return match is_long_cut_off {
                true => last * LONG_CUT_OFF_SHARE,
                false => last,
            };
        };
        match (self.share, total.requests_per_s > 0.0) {
            (Some(share), true) => share * Self::reached(&total, limit),
            _ => equal,
        }
    }

    /// Returns the total demand if it is fresh and has most entries.
    ///
    /// Load pattern: all entries restart, or the leader of the counts changes. The first totals have the
    /// demand of a few entries only.
    fn usable_total(&self, now: Timestamp, limit: &SharedLimit<'_>) -> Option<TotalDemand> {
        let total = self.fresh_total(now);
        total.filter(|total| Self::reached(total, limit) >= REACHED_MIN)
    }

    /// Returns the number of requests refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of requests refused since the last call that returned some, at most once per
    /// [`LOG_INTERVAL`].
    pub fn take_refused(&mut self, now: Timestamp) -> u64 {
        let (logged, at) = self.logged;
        if logged == self.refused || now < at + LOG_INTERVAL {
            return 0;
        }
        self.logged = (self.refused, now);
        self.refused - logged
    }

    /// Returns the total demand, if it is fresh.
    pub fn fresh_total(&self, now: Timestamp) -> Option<TotalDemand> {
        let (total, at) = self.total?;
        let age = total.age + now.saturating_sub(at);
        (age <= TOTALS_AGE_MAX).then_some(TotalDemand { age, ..total })
    }

    /// Returns true if the state may be dropped: the workspace is idle and nothing counts any more.
    pub fn is_idle(&mut self, now: Timestamp, bounds: &RateLimitBounds) -> bool {
        self.decay_demand(now);
        self.demand_per_s < DEMAND_MIN_PER_S && self.sent.get(now, &window(bounds)) == 0
    }

    /// Returns the part of all entries whose demand is in the totals. The others, which may be cut off, use
    /// an equal share.
    fn reached(total: &TotalDemand, limit: &SharedLimit<'_>) -> f64 {
        (f64::from(total.entry_count) / limit.entry_count()).min(1.0)
    }

    fn allowance(&self, now: Timestamp, limit: &SharedLimit<'_>) -> Allowance {
        let share = self.share(now, limit);
        let total = self.usable_total(now, limit);
        // While a workspace returns, the totals have a few of the entries at which its requests arrive.
        let told_count = total.map_or(0.0, |total| f64::from(total.active_count));
        let active_count = told_count.max(limit.assumed_active_count());
        let window_max = limit.window_max(share, active_count);
        let without_tokens = match total {
            Some(total)
                if total.requests_per_s <= limit.demand_max() * Self::reached(&total, limit) =>
            {
                match self.is_rising(&total, share) {
                    true => Some(window_max),
                    false => {
                        // The share may lag behind the demand, so it counts as at least an equal one.
                        let share = share.max(1.0 / limit.entry_count());
                        let expected = limit.window_max(share, active_count);
                        Some(expected + (DEMAND_DEVIATIONS * expected.sqrt()).min(CHANCE_MAX) + 1.0)
                    }
                }
            }
            Some(_) => None,
            // The window alone holds the bound, since this entry's share is not another one's.
            None => self.share.map(|_| match self.total {
                Some((last, _)) if last.requests_per_s <= limit.demand_max() => window_max + 1.0,
                _ => window_max,
            }),
        };
        Allowance {
            rate_per_s: share * limit.sustained_rate_per_s(),
            capacity: 1.0 + share * limit.limit.burst,
            window_max,
            without_tokens,
        }
    }

    /// Returns true if requests arrive here much faster than expected, so that the total demand may have
    /// risen above the limit since it was told.
    ///
    /// Load pattern: a workspace sends 7.5 times its usual rate everywhere within a moment.
    fn is_rising(&self, total: &TotalDemand, share: f64) -> bool {
        let expected = share * total.requests_per_s;
        // What the estimate varies by, and two requests at the same time, come on top.
        let deviation = (expected / (2.0 * DEMAND_SMOOTHING_S)).sqrt();
        let usual_max = RISE_FACTOR * expected + DEMAND_DEVIATIONS * deviation;
        self.demand_per_s > usual_max + 2.0 / DEMAND_SMOOTHING_S
    }

    /// Adds tokens for the time since the last call.
    ///
    /// Load pattern: one entry or all of them restart while a workspace is above its limit. Of the window
    /// before, only requests at the rate are certain to fit, so a new bucket starts with two fifths of the
    /// burst and the used margin.
    fn refill(&mut self, now: Timestamp, limit: &SharedLimit<'_>) -> Allowance {
        let allowance = self.allowance(now, limit);
        let tokens = match self.tokens {
            Some(tokens) => {
                let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
                let rate_per_s = match now < self.filled_since + limit.bounds.window {
                    true => self.share(now, limit) * limit.limit.rate_per_s,
                    false => allowance.rate_per_s,
                };
                tokens + elapsed * rate_per_s
            }
            None => {
                self.filled_since = now;
                let all = INITIAL_BURST * limit.limit.burst + limit.margin();
                (all / limit.assumed_active_count() + self.draw).floor()
            }
        };
        self.tokens = Some(tokens.min(allowance.capacity));
        self.refilled_at = now;
        allowance
    }

    /// Returns when a refused caller may retry: when a token is there, and one after the other.
    fn retry_after(&mut self, now: Timestamp, limit: &SharedLimit<'_>, draw: f64) -> Duration {
        let window = limit.bounds.window;
        let allowance = self.allowance(now, limit);
        let tokens = self.tokens.unwrap_or_default();
        let interval_s = (1.0 / allowance.rate_per_s).min(window.as_secs_f64());
        let wait_s = ((1.0 - tokens) * interval_s).clamp(0.0, window.as_secs_f64());
        let next = f64::from(self.sent.get(now, &limit.window())) + 1.0;
        let is_window_full = next > (allowance.window_max + self.draw).floor();
        let oldest_expires_at = self.sent.oldest_expires_at(&limit.window());
        let expiry = match oldest_expires_at {
            Some(expires_at) if is_window_full => expires_at,
            _ => now,
        };
        let ready_at = (now + Duration::from_secs_f64(wait_s)).max(expiry);
        let interval = Duration::from_secs_f64(interval_s);
        let at = ready_at.max(self.next_retry_at);
        self.next_retry_at = at + interval;
        // More callers than tokens of a window: spreads them over its second half.
        if at > now + window {
            self.next_retry_at = now + window;
            return window.mul_f64(0.5 + 0.5 * draw);
        }
        at.saturating_sub(now)
    }

    fn decay_demand(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_s *= (-elapsed / DEMAND_SMOOTHING_S).exp();
        self.demand_at = now;
    }
}
