//! This router's part of the retry budget: a bound on the ratio of retries to requests of each service, so that retries
//! don't multiply the load of a service that fails.
//!
//! The budget binds over all routers and none knows how many there are. Each therefore deposits only a fraction of the
//! ratio, and its balance is bounded by so few retries that hundreds of routers together stay within the budget's slack.
//! Whether a request may be retried at all (idempotence, deadline) is decided elsewhere.

use std::collections::HashMap;

/// Fraction of the fleet's ratio that a router uses; the rest is the margin for balances that all routers spend at once.
const USED_RATIO_FRACTION: f64 = 0.6;
/// Balance of a service upon its first request, in retries.
const INITIAL_BALANCE: f64 = 1.0;
/// Bound on a service's balance, in retries.
const MAX_BALANCE: f64 = 3.0;
/// What one retry costs.
const RETRY_COST: f64 = 1.0;

/// Token buckets for retries, one a service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Deposit of one request, in retries.
    deposit_per_request: f64,
    /// Balances by service, in retries; from 0 to [`MAX_BALANCE`].
    balances: HashMap<String, f64>,
}

impl RetryBudget {
    /// A budget under a fleet-wide ratio of retries to requests.
    pub fn new(fleet_ratio: f64) -> Self {
        RetryBudget { deposit_per_request: fleet_ratio * USED_RATIO_FRACTION, balances: HashMap::new() }
    }

    /// Deposits for a client's request to a service.
    pub fn deposit(&mut self, service: &str) {
        match self.balances.get_mut(service) {
            Some(balance) => *balance = (*balance + self.deposit_per_request).min(MAX_BALANCE),
            None => {
                self.balances.insert(service.to_owned(), INITIAL_BALANCE);
            }
        }
    }

    /// Withdraws one retry. `false` where the balance doesn't suffice or the service had no request; then the retry must
    /// not be sent.
    pub fn withdraw(&mut self, service: &str) -> bool {
        match self.balances.get_mut(service) {
            Some(balance) if *balance >= RETRY_COST => {
                *balance -= RETRY_COST;
                true
            }
            _ => false,
        }
    }

    /// Drops the balances of services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.balances.retain(|service, _| keep(service));
    }
}
