//! Token buckets: quotas of tenants, the retry budget and the health check budget.

/// Tokens that a tenant may accumulate at an instance, however small the instance's share of its quota:
/// requests arrive in bursts.
const MIN_QUOTA_BURST: f64 = 6.0;
/// Retry tokens earned by each request: retries of attempts that may have run stay below this ratio of
/// requests.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Retry tokens that can be accumulated.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Price that health checks ahead of a selection may cost for each request: 2 points in 100 prevent wrong
/// selections.
pub const HEALTH_CHECK_BUDGET_PER_REQUEST: f64 = 0.02;
/// Health check tokens earned by a request, at most, where a check costs next to nothing.
const MAX_HEALTH_CHECKS_PER_REQUEST: f64 = 100.0;

/// Token bucket of one tenant's quota at this instance.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    tokens: f64,
    refilled_at: f64,
}

impl QuotaBucket {
    /// A bucket with so many tokens.
    pub fn new(tokens: f64, now: f64) -> Self {
        QuotaBucket { tokens, refilled_at: now }
    }

    /// Sets the tokens, as after a change of settings; the time of the last refill stays.
    pub fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Refills by `rate_per_s`, at most to one second's quota, and takes one token. False when the request
    /// exceeds the quota; then no token is taken.
    pub fn try_take(&mut self, rate_per_s: f64, now: f64) -> bool {
        let refilled = self.tokens + rate_per_s * (now - self.refilled_at);
        let available = refilled.min(rate_per_s.max(MIN_QUOTA_BURST));
        let within = available >= 1.0;
        self.tokens = available - f64::from(u8::from(within));
        self.refilled_at = now;
        within
    }
}

/// Budget for retries of attempts that may have run.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget for one retry.
    pub fn new() -> Self {
        RetryBudget { tokens: 1.0 }
    }

    /// Earns the part of a retry that a new request allows.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_BUDGET_RATIO).min(MAX_RETRY_TOKENS);
    }

    /// Tokens left; a retry needs 1.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Pays for one retry.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Budget for health checks ahead of a selection.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckBudget {
    tokens: f64,
    /// When the last health check was sent.
    last_sent_at: f64,
}

impl HealthCheckBudget {
    /// An empty budget.
    pub fn new(now: f64) -> Self {
        HealthCheckBudget { tokens: 0.0, last_sent_at: now }
    }

    /// Earns what a new request allows, where one health check has this price.
    pub fn earn(&mut self, price: f64) {
        let lowest_price = HEALTH_CHECK_BUDGET_PER_REQUEST / MAX_HEALTH_CHECKS_PER_REQUEST;
        let earned = HEALTH_CHECK_BUDGET_PER_REQUEST / price.max(lowest_price);
        self.tokens = (self.tokens.max(0.0) + earned).min(2.0 * earned);
    }

    /// Whether a health check is covered.
    pub fn covers_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// When the last health check was sent.
    pub fn last_sent_at(&self) -> f64 {
        self.last_sent_at
    }

    /// Pays for a health check. The balance may become negative, which [`Self::earn`] forgives.
    pub fn spend(&mut self, now: f64) {
        self.tokens -= 1.0;
        self.last_sent_at = now;
    }
}
