//! Token buckets: the quotas of tenants, the retry budget and the health check budget.

/// Minimum number of tokens that a tenant may accumulate at an instance, however small the instance's share of the
/// quota, since requests arrive in bursts.
const MIN_QUOTA_BURST: f64 = 6.0;
/// Retry tokens earned by each request. Retries after attempts that may have run stay below this ratio to requests.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Maximum number of retry tokens that can be accumulated.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Price that may be spent per request on health checks that confirm a selection, as a fraction of a request's value:
/// 2 % are worth the wrong selections that they prevent.
pub const HEALTH_CHECK_BUDGET_PER_REQUEST: f64 = 0.02;
/// Maximum number of health check tokens earned by a request, where a health check costs almost nothing.
const MAX_HEALTH_CHECKS_PER_REQUEST: f64 = 100.0;

/// The token bucket of one tenant's quota at this instance.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    tokens: f64,
    refilled_at: f64,
}

impl QuotaBucket {
    /// Creates a bucket with `tokens` tokens.
    pub fn new(tokens: f64, now: f64) -> Self {
        QuotaBucket { tokens, refilled_at: now }
    }

    /// Sets the number of tokens after a change of the settings. The time of the last refill does not change.
    pub fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Refills the bucket at `rate_per_s` tokens per second, up to the tokens of one second but at least
    /// [`MIN_QUOTA_BURST`], and takes one token. Returns `false`, without taking a token, if none is available.
    pub fn try_take(&mut self, rate_per_s: f64, now: f64) -> bool {
        let refilled = self.tokens + rate_per_s * (now - self.refilled_at);
        let available = refilled.min(rate_per_s.max(MIN_QUOTA_BURST));
        let within = available >= 1.0;
        self.tokens = available - f64::from(u8::from(within));
        self.refilled_at = now;
        within
    }
}

/// Budget for retries after attempts that may have run.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that covers one retry.
    pub fn new() -> Self {
        RetryBudget { tokens: 1.0 }
    }

    /// Adds the fraction of a retry that each new request earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_BUDGET_RATIO).min(MAX_RETRY_TOKENS);
    }

    /// Returns the remaining tokens; a retry needs 1.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes the token for one retry.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Budget for health checks that confirm a selection.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckBudget {
    tokens: f64,
    /// When the last health check was sent; before the first one, when the budget was created.
    last_sent_at: f64,
}

impl HealthCheckBudget {
    /// Creates an empty budget.
    pub fn new(now: f64) -> Self {
        HealthCheckBudget { tokens: 0.0, last_sent_at: now }
    }

    /// Adds the tokens that each new request earns if one health check has this price.
    pub fn earn(&mut self, price: f64) {
        let lowest_price = HEALTH_CHECK_BUDGET_PER_REQUEST / MAX_HEALTH_CHECKS_PER_REQUEST;
        let earned = HEALTH_CHECK_BUDGET_PER_REQUEST / price.max(lowest_price);
        self.tokens = (self.tokens.max(0.0) + earned).min(2.0 * earned);
    }

    /// Returns whether the budget covers a health check.
    pub fn covers_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns when the last health check was sent; before the first one, when the budget was created.
    pub fn last_sent_at(&self) -> f64 {
        self.last_sent_at
    }

    /// Takes the token for a health check. The balance may become negative; [`Self::earn`] resets it to 0 first.
    pub fn spend(&mut self, now: f64) {
        self.tokens -= 1.0;
        self.last_sent_at = now;
    }
}
