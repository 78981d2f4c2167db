//! Checks the fleet-wide limits, solely from what was sent and acknowledged: quotas, revocation of keys, the retry budget and
//! draining endpoints.
//!
//! Unlike any sidecar, the checker sees the requests of all sidecars on one clock. It does not know how they share limits.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The limits of a deployment and the deviations that are tolerated.
#[derive(Clone, Copy, Debug)]
pub struct LimitBounds {
    /// Length of the sliding window over which quotas are checked.
    pub quota_window: Duration,
    /// Tolerated overshoot as a fraction of the quota.
    pub quota_overshoot: f64,
    /// Tolerated overshoot in addition to `quota_overshoot`, in tokens per window.
    pub quota_slack: f64,
    /// Time after the acknowledgement of a key's removal during which the key may still be used.
    pub revocation_delay: Duration,
    /// Length of the sliding window over which the retry budget is checked.
    pub retry_window: Duration,
    /// Allowed ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries allowed in addition to `retry_ratio`, per window.
    pub retry_slack: f64,
    /// Time after the acknowledgement of an endpoint's draining during which requests may still be sent to it.
    pub drain_delay: Duration,
}

/// A limit that was exceeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitViolation {
    /// A tenant spent more tokens in a window than its quota and the tolerated overshoot allow.
    QuotaExceeded {
        /// Name of the tenant.
        tenant: String,
        /// Tokens spent in the window.
        tokens: u64,
    },
    /// A key was used after its removal was acknowledged and `revocation_delay` had passed.
    RevokedKeyUsed {
        /// The revoked API key.
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
    /// A request was sent to a draining endpoint after `drain_delay` had passed.
    DrainingEndpointUsed {
        /// Id of the endpoint.
        endpoint: String,
        /// Time since the acknowledgement of its draining.
        after: Duration,
    },
    /// A request was sent with a key that no configuration ever held.
    UnknownKeyUsed {
        /// The key.
        key: String,
    },
    /// A request that was sent as not idempotent was executed more than once.
    ExecutedTwice {
        /// Number of the request.
        request: u64,
    },
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Tokens added per second.
    pub rate_per_s: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
}

/// A request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct SentRequest<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// The tenant's quota; `None` if it has no limit.
    pub quota: Option<Quota>,
    /// The API key that the client presented.
    pub key: &'a str,
    /// Tokens charged for the request.
    pub tokens: u64,
    /// Id of the endpoint.
    pub endpoint: &'a str,
    /// Time since which the sending sidecar has been able to communicate with all others.
    pub connected_since: Duration,
}

/// Tokens spent by one request.
#[derive(Debug)]
struct Spending {
    at: Duration,
    tokens: u64,
}

/// The executions of one request.
#[derive(Debug)]
struct Executions {
    count: usize,
    /// Whether all routes that it was sent under are idempotent.
    idempotent: bool,
}

/// Records requests, retries and acknowledgements, and collects the violations.
#[derive(Debug)]
pub struct LimitChecker {
    bounds: LimitBounds,
    /// Tokens spent within the quota window, by tenant.
    spent: BTreeMap<String, VecDeque<Spending>>,
    /// All keys that any configuration held, acknowledged or not.
    issued: BTreeSet<String>,
    /// Time of the first acknowledgement of each key's removal, since the key was last issued.
    revoked: BTreeMap<String, Duration>,
    /// Executions by the number of the request.
    executions: BTreeMap<u64, Executions>,
    /// Arrival times of requests within the retry window.
    requests: VecDeque<Duration>,
    /// Times of retries within the retry window.
    retries: VecDeque<Duration>,
    /// Time of the first acknowledgement of each endpoint's draining, by any machine.
    draining: BTreeMap<String, Duration>,
    /// All violations so far.
    pub violations: Vec<LimitViolation>,
}

impl LimitChecker {
    /// Creates a checker with these bounds.
    pub fn new(bounds: LimitBounds) -> Self {
        LimitChecker {
            bounds,
            spent: BTreeMap::new(),
            issued: BTreeSet::new(),
            revoked: BTreeMap::new(),
            executions: BTreeMap::new(),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            draining: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Records that a configuration that holds this key is proposed, so that the key may be used from now on.
    pub fn key_issued(&mut self, key: &str) {
        self.issued.insert(key.to_owned());
        self.revoked.remove(key);
    }

    /// Records that an endpoint executes a request that was sent under a route that is idempotent or not.
    pub fn request_executed(&mut self, request: u64, idempotent: bool) {
        let executions = self.executions.entry(request).or_insert(Executions { count: 0, idempotent: true });
        executions.count += 1;
        executions.idempotent &= idempotent;
        if executions.count > 1 && !executions.idempotent {
            self.violations.push(LimitViolation::ExecutedTwice { request });
        }
    }

    /// Records that a configuration without this key was acknowledged.
    pub fn key_revoked(&mut self, now: Duration, key: &str) {
        self.revoked.entry(key.to_owned()).or_insert(now);
    }

    /// Records that a machine acknowledged that an endpoint is draining.
    pub fn draining_acknowledged(&mut self, now: Duration, endpoint: &str) {
        self.draining.entry(endpoint.to_owned()).or_insert(now);
    }

    /// Records that a client's request arrived at a sidecar.
    pub fn request_arrived(&mut self, now: Duration) {
        self.requests.push_back(now);
    }

    /// Records that a request was retried at another endpoint. Checks the retry budget.
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

    /// Records that a request was sent to its first endpoint. Checks its key, its endpoint and its tenant's quota.
    pub fn request_sent(&mut self, now: Duration, request: &SentRequest) {
        self.check_key(now, request);
        self.check_endpoint(now, request);
        if let Some(quota) = request.quota {
            self.check_quota(now, request, quota);
        }
    }

    fn check_key(&mut self, now: Duration, request: &SentRequest) {
        if !self.issued.contains(request.key) {
            self.violations.push(LimitViolation::UnknownKeyUsed { key: request.key.to_owned() });
        }
        let Some(at) = self.revoked.get(request.key) else { return };
        if now > *at + self.bounds.revocation_delay {
            let key = request.key.to_owned();
            self.violations.push(LimitViolation::RevokedKeyUsed { key, after: now - *at });
        }
    }

    /// Only sidecars that have been able to communicate since the acknowledgement have to respect it, whichever machine
    /// gave it.
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
