//! What the limits that bind the whole fleet may never let through. Looks only at what was sent and acknowledged.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct LimitBounds {
    /// Window over which a quota is counted.
    pub quota_window: Duration,
    /// Part by which a quota may be overshot.
    pub quota_overshoot: f64,
    /// Tokens by which it may be overshot besides.
    pub quota_slack: f64,
    /// Time after the acknowledgement of its removal in which a key may still be used.
    pub revoke: Duration,
    /// Window over which repeats are counted.
    pub budget_window: Duration,
    /// Repeats for each request.
    pub budget_ratio: f64,
    /// Repeats besides.
    pub budget_slack: f64,
    /// Time after the acknowledgement of its draining in which an endpoint may still be sent to.
    pub drain: Duration,
}

/// A limit that was passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitViolation {
    /// A tenant's requests of one window counted so many tokens.
    Quota(String, u64),
    /// A key was used this long after the acknowledgement of its removal.
    Revoked(String, Duration),
    /// Repeats and requests of one window.
    Budget(usize, usize),
    /// An endpoint was sent to this long after the acknowledgement of its draining.
    Drained(String, Duration),
}

/// A request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Sent<'a> {
    /// The tenant, with its rate and burst where it has a quota.
    pub tenant: &'a str,
    /// Tokens a second and tokens at once.
    pub quota: Option<(f64, f64)>,
    /// The client's key.
    pub key: &'a str,
    /// Tokens that it counts.
    pub tokens: u64,
    /// The endpoint.
    pub endpoint: &'a str,
    /// Since when the sidecar that sent it has been in touch with all others.
    pub in_touch_since: Duration,
}

/// Gathers what is sent and finds what may not be.
#[derive(Debug)]
pub struct LimitChecker {
    bounds: LimitBounds,
    spent: BTreeMap<String, VecDeque<(Duration, u64)>>,
    revoked: BTreeMap<String, Duration>,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
    /// When an endpoint's draining was acknowledged, by whatever machine.
    drained: BTreeMap<String, Duration>,
    /// Everything found.
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
            repeats: VecDeque::new(),
            drained: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// A configuration without this key was acknowledged.
    pub fn revoked(&mut self, now: Duration, key: &str) {
        self.revoked.entry(key.to_owned()).or_insert(now);
    }

    /// A machine acknowledged that an endpoint drains.
    pub fn drained(&mut self, now: Duration, endpoint: &str) {
        self.drained.entry(endpoint.to_owned()).or_insert(now);
    }

    /// A client's request came.
    pub fn requested(&mut self, now: Duration) {
        self.requests.push_back(now);
    }

    /// A request went to one more endpoint than the first.
    pub fn repeated(&mut self, now: Duration) {
        let from = now.saturating_sub(self.bounds.budget_window);
        self.repeats.push_back(now);
        self.repeats.retain(|at| *at >= from);
        self.requests.retain(|at| *at >= from);
        let (repeats, requests) = (self.repeats.len(), self.requests.len());
        if repeats as f64 > self.bounds.budget_ratio * requests as f64 + self.bounds.budget_slack {
            self.violations.push(LimitViolation::Budget(repeats, requests));
        }
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Duration, sent: &Sent) {
        self.check_key(now, sent);
        self.check_endpoint(now, sent);
        if let Some((rate, burst)) = sent.quota {
            self.check_quota(now, sent, rate, burst);
        }
    }

    fn check_key(&mut self, now: Duration, sent: &Sent) {
        let Some(at) = self.revoked.get(sent.key) else { return };
        if now > *at + self.bounds.revoke {
            self.violations.push(LimitViolation::Revoked(sent.key.to_owned(), now - *at));
        }
    }

    /// Only machines that have been in touch since the acknowledgement have to know, whoever gave it.
    fn check_endpoint(&mut self, now: Duration, sent: &Sent) {
        let Some(at) = self.drained.get(sent.endpoint) else { return };
        if sent.in_touch_since <= *at && now > *at + self.bounds.drain {
            self.violations.push(LimitViolation::Drained(sent.endpoint.to_owned(), now - *at));
        }
    }

    fn check_quota(&mut self, now: Duration, sent: &Sent, rate: f64, burst: f64) {
        let from = now.saturating_sub(self.bounds.quota_window);
        let spent = self.spent.entry(sent.tenant.to_owned()).or_default();
        spent.push_back((now, sent.tokens));
        spent.retain(|(at, _)| *at >= from);
        let sum: u64 = spent.iter().map(|(_, tokens)| tokens).sum();
        let quota = rate * self.bounds.quota_window.as_secs_f64() + burst;
        if sum as f64 > quota * (1.0 + self.bounds.quota_overshoot) + self.bounds.quota_slack {
            self.violations.push(LimitViolation::Quota(sent.tenant.to_owned(), sum));
        }
    }
}
