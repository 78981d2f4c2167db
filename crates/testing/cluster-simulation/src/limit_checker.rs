//! Checks the limits that bind the whole fleet, from what was sent and acknowledged alone: quotas, revocation of keys, the
//! retry budget and draining endpoints.
//!
//! It sees the requests of all sidecars on one clock, which none of them does, and knows nothing of how they share limits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct LimitBounds {
    /// Sliding window of quotas.
    pub quota_window: Duration,
    /// Relative overshoot that is tolerated, as a part of the quota.
    pub quota_overshoot: f64,
    /// Tokens of overshoot that are tolerated besides, per window.
    pub quota_slack: f64,
    /// Time after the acknowledgement of a key's removal in which the key may still be used.
    pub revocation_delay: Duration,
    /// Sliding window of the retry budget.
    pub retry_window: Duration,
    /// Retries per request.
    pub retry_ratio: f64,
    /// Retries that are tolerated besides, per window.
    pub retry_slack: f64,
    /// Time after the acknowledgement of an endpoint's draining in which requests may still be sent to it.
    pub drain_delay: Duration,
}

/// A limit that was exceeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitViolation {
    /// A tenant spent more tokens in a window than its quota allows.
    QuotaExceeded {
        /// The tenant.
        tenant: String,
        /// Tokens spent in the window.
        tokens: u64,
    },
    /// A revoked key was used too late.
    RevokedKeyUsed {
        /// The key.
        key: String,
        /// Time since the acknowledgement of its removal.
        after: Duration,
    },
    /// The fleet sent more retries in a window than the budget allows.
    RetryBudgetExceeded {
        /// Retries in the window.
        retries: usize,
        /// Requests in the window.
        requests: usize,
    },
    /// A request was sent to a draining endpoint too late.
    DrainingEndpointUsed {
        /// The endpoint.
        endpoint: String,
        /// Time since the acknowledgement of its draining.
        after: Duration,
    },
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Tokens at once.
    pub burst: f64,
}

/// A request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct SentRequest<'a> {
    /// The tenant.
    pub tenant: &'a str,
    /// The tenant's quota; `None` if it has no limit.
    pub quota: Option<Quota>,
    /// The client's key.
    pub key: &'a str,
    /// Tokens that it is charged.
    pub tokens: u64,
    /// The endpoint.
    pub endpoint: &'a str,
    /// Since when the sidecar that sent it can communicate with all others.
    pub connected_since: Duration,
}

/// Tokens spent at a time.
#[derive(Debug)]
struct Spending {
    at: Duration,
    tokens: u64,
}

/// Collects what is sent and the violations among it.
#[derive(Debug)]
pub struct LimitChecker {
    bounds: LimitBounds,
    /// By tenant, within the quota window.
    spent: BTreeMap<String, VecDeque<Spending>>,
    /// When the removal of each key was first acknowledged.
    revoked: BTreeMap<String, Duration>,
    /// Arrivals within the retry window.
    requests: VecDeque<Duration>,
    /// Retries within the retry window.
    retries: VecDeque<Duration>,
    /// When each endpoint's draining was first acknowledged, by whatever machine.
    draining: BTreeMap<String, Duration>,
    /// All violations so far.
    pub violations: Vec<LimitViolation>,
}

impl LimitChecker {
    /// A checker of these bounds.
    pub fn new(bounds: LimitBounds) -> Self {
        LimitChecker {
            bounds,
            spent: BTreeMap::new(),
            revoked: BTreeMap::new(),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            draining: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// A configuration without this key was acknowledged.
    pub fn key_revoked(&mut self, now: Duration, key: &str) {
        self.revoked.entry(key.to_owned()).or_insert(now);
    }

    /// A machine acknowledged that an endpoint is draining.
    pub fn draining_acknowledged(&mut self, now: Duration, endpoint: &str) {
        self.draining.entry(endpoint.to_owned()).or_insert(now);
    }

    /// A client's request arrived at a sidecar.
    pub fn request_arrived(&mut self, now: Duration) {
        self.requests.push_back(now);
    }

    /// A request was retried at another endpoint. Checks the retry budget.
    pub fn retry_sent(&mut self, now: Duration) {
        let from = now.saturating_sub(self.bounds.retry_window);
        self.retries.push_back(now);
        self.retries.retain(|at| *at >= from);
        self.requests.retain(|at| *at >= from);
        let retries = self.retries.len();
        let requests = self.requests.len();
        if retries as f64 > self.bounds.retry_ratio * requests as f64 + self.bounds.retry_slack {
            self.violations.push(LimitViolation::RetryBudgetExceeded { retries, requests });
        }
    }

    /// A request was sent to its first endpoint. Checks its key, its endpoint and its tenant's quota.
    pub fn request_sent(&mut self, now: Duration, request: &SentRequest) {
        self.check_key(now, request);
        self.check_endpoint(now, request);
        if let Some(quota) = request.quota {
            self.check_quota(now, request, quota);
        }
    }

    fn check_key(&mut self, now: Duration, request: &SentRequest) {
        let Some(at) = self.revoked.get(request.key) else { return };
        if now > *at + self.bounds.revocation_delay {
            let key = request.key.to_owned();
            self.violations.push(LimitViolation::RevokedKeyUsed { key, after: now - *at });
        }
    }

    /// Only machines that have been able to communicate since the acknowledgement have to know of it, whoever gave it.
    fn check_endpoint(&mut self, now: Duration, request: &SentRequest) {
        let Some(at) = self.draining.get(request.endpoint) else { return };
        if request.connected_since <= *at && now > *at + self.bounds.drain_delay {
            let endpoint = request.endpoint.to_owned();
            self.violations.push(LimitViolation::DrainingEndpointUsed { endpoint, after: now - *at });
        }
    }

    fn check_quota(&mut self, now: Duration, request: &SentRequest, quota: Quota) {
        let from = now.saturating_sub(self.bounds.quota_window);
        let spent = self.spent.entry(request.tenant.to_owned()).or_default();
        spent.push_back(Spending { at: now, tokens: request.tokens });
        spent.retain(|spending| spending.at >= from);
        let tokens: u64 = spent.iter().map(|spending| spending.tokens).sum();
        let allowed = quota.rate_per_s * self.bounds.quota_window.as_secs_f64() + quota.burst;
        if tokens as f64 > allowed * (1.0 + self.bounds.quota_overshoot) + self.bounds.quota_slack {
            let tenant = request.tenant.to_owned();
            self.violations.push(LimitViolation::QuotaExceeded { tenant, tokens });
        }
    }
}
