//! The part of the fleet's retry budget that this sidecar lives on: a ratio of its own requests and a small reserve.
//!
//! The budget binds all sidecars together and none knows how many there are, so each keeps well below the ratio and
//! its reserve is small enough for hundreds of them.

use std::collections::HashMap;

/// Part of the fleet's ratio that a sidecar uses.
const RATIO_USED: f64 = 0.6;
/// Repeats that a sidecar may send before it has seen requests.
const FIRST: f64 = 1.0;
/// Repeats that it may save up.
const MOST: f64 = 3.0;

/// Tokens for repeats, by service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: HashMap<String, f64>,
}

impl RetryBudget {
    /// A budget under a fleet-wide ratio of repeats to requests.
    pub fn new(fleet_ratio: f64) -> Self {
        RetryBudget { ratio: fleet_ratio * RATIO_USED, tokens: HashMap::new() }
    }

    /// A client's request for a service.
    pub fn request(&mut self, service: &str) {
        match self.tokens.get_mut(service) {
            Some(tokens) => *tokens = (*tokens + self.ratio).min(MOST),
            None => {
                self.tokens.insert(service.to_owned(), FIRST);
            }
        }
    }

    /// Whether one more arrival may be caused; it is counted if so.
    pub fn spend(&mut self, service: &str) -> bool {
        match self.tokens.get_mut(service) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Keeps only services that a predicate names.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.tokens.retain(|service, _| keep(service));
    }
}
