//! A token bucket whose level may become negative (debt).

use std::time::Duration;

/// Maximum debt, in seconds of the refill rate. This limits the time for which a tenant is granted nothing after
/// spending from reserves.
const MAX_DEBT_S: f64 = 3.0;
/// A bucket at or above this fraction of its capacity is nearly full.
pub(super) const NEARLY_FULL_FRACTION: f64 = 0.9;

/// The token bucket of one tenant.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Refill rate, tokens per second.
    rate_per_s: f64,
    /// Upper limit of `tokens`.
    capacity: f64,
    /// Level at `refilled_at`. Negative if the bucket is in debt, but not below `-MAX_DEBT_S` times the rate.
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket without refill; [`TokenBucket::set_limit`] sets its rate.
    pub(super) fn new(at: Duration, tokens: f64, capacity: f64) -> Self {
        TokenBucket { rate_per_s: 0.0, capacity, tokens, refilled_at: at }
    }

    /// Returns the refill rate, in tokens per second.
    pub(super) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Changes rate and capacity. The bucket is first refilled at the old rate up to `now`; tokens beyond the new
    /// capacity are discarded.
    pub(super) fn set_limit(&mut self, now: Duration, rate_per_s: f64, capacity: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Returns the level at `now`, or `None` if the bucket is nearly full.
    pub(super) fn level_unless_nearly_full(&mut self, now: Duration) -> Option<f64> {
        self.refill(now);
        (self.tokens < NEARLY_FULL_FRACTION * self.capacity).then_some(self.tokens)
    }

    /// Consumes as many whole tokens as the bucket contains, at most `wanted`, and returns their number.
    pub(super) fn consume_up_to(&mut self, now: Duration, wanted: u64) -> u64 {
        self.refill(now);
        let tokens = (wanted as f64).min(self.tokens).max(0.0).floor();
        self.tokens -= tokens;
        tokens as u64
    }

    /// Charges tokens that were spent without a grant, up to the maximum debt.
    pub(super) fn charge(&mut self, now: Duration, tokens: u64) {
        self.refill(now);
        let max_debt = -self.rate_per_s * MAX_DEBT_S;
        self.tokens = (self.tokens - tokens as f64).max(max_debt);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
