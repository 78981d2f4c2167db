//! This router's part of the retry budget, which limits the ratio of retries to requests of each service so
//! that retries do not multiply the load of a failing service.
//!
//! The budget applies to all routers together, but no router knows how many there are. Each router therefore
//! deposits only a fraction of the ratio, and its balance is limited to so few retries that hundreds of
//! routers together stay within the slack of the budget. The caller decides whether a request may be retried
//! at all (idempotence, deadline).

use std::collections::HashMap;

/// Fraction of the fleet-wide ratio that a router uses. The rest is a margin for balances that all routers
/// spend at once.
const USED_RATIO_FRACTION: f64 = 0.6;
/// Balance of a service after its first request, in retries.
const INITIAL_BALANCE: f64 = 1.0;
/// Maximum balance of a service, in retries.
const MAX_BALANCE: f64 = 3.0;
/// Cost of one retry, in units of the balance.
const RETRY_COST: f64 = 1.0;

/// Token buckets for retries, one per service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Amount that each request adds to the balance of its service, in retries.
    deposit_per_request: f64,
    /// Balances by service, in retries, from 0 to [`MAX_BALANCE`].
    balances: HashMap<String, f64>,
}

impl RetryBudget {
    /// Creates a budget for a fleet-wide ratio of retries to requests.
    pub fn new(fleet_ratio: f64) -> Self {
        RetryBudget { deposit_per_request: fleet_ratio * USED_RATIO_FRACTION, balances: HashMap::new() }
    }

    /// Adds the deposit for a client request to the balance of its service.
    pub fn deposit(&mut self, service: &str) {
        match self.balances.get_mut(service) {
            Some(balance) => *balance = (*balance + self.deposit_per_request).min(MAX_BALANCE),
            None => {
                self.balances.insert(service.to_owned(), INITIAL_BALANCE);
            }
        }
    }

    /// Withdraws one retry. Returns `false` if the balance does not suffice or the service had no requests
    /// yet; the retry must not be sent in this case.
    pub fn withdraw(&mut self, service: &str) -> bool {
        match self.balances.get_mut(service) {
            Some(balance) if *balance >= RETRY_COST => {
                *balance -= RETRY_COST;
                true
            }
            _ => false,
        }
    }

    /// Drops the balances of services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.balances.retain(|service, _| keep(service));
    }
}
