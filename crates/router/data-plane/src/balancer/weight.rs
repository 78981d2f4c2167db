//! An endpoint's weight in the weighted round robin: its free capacity in percent.
//!
//! The weight is sampled on a time or count trigger rather than at each pick, so that the round robin has stable weights
//! to distribute by. There is no slow start: an endpoint about which nothing is known begins with a medium weight.

use super::load::Load;
use std::time::Duration;

/// A weight is recomputed after this time ...
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// ... or after this many requests to the endpoint, whichever is first.
const MAX_REQUESTS_BETWEEN_REFRESHES: u32 = 4;
/// Weight while nothing is known of the load, 0 to 100.
const INITIAL_WEIGHT: f64 = 50.0;

/// The sampled weight of one endpoint.
#[derive(Debug)]
pub(super) struct Weight {
    /// Free capacity in percent at the last refresh, 0 to 100.
    value: f64,
    /// `None` before the first refresh.
    refreshed_at: Option<Duration>,
    requests_since_refresh: u32,
}

impl Weight {
    pub(super) fn new() -> Self {
        Weight { value: INITIAL_WEIGHT, refreshed_at: None, requests_since_refresh: 0 }
    }

    /// Free capacity in percent, 0 to 100; 0 where all slots are taken.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Counts a request to the endpoint.
    pub(super) fn add_request(&mut self) {
        self.requests_since_refresh += 1;
    }

    /// Recomputes the weight where it is due.
    pub(super) fn refresh(&mut self, now: Duration, load: &Load, capacity: f64) {
        let is_due = self.refreshed_at.is_none_or(|at| now.saturating_sub(at) >= REFRESH_INTERVAL);
        if is_due || self.requests_since_refresh >= MAX_REQUESTS_BETWEEN_REFRESHES {
            self.value = free_capacity(now, load, capacity);
            self.refreshed_at = Some(now);
            self.requests_since_refresh = 0;
        }
    }
}

/// Free capacity in percent, 0 to 100.
fn free_capacity(now: Duration, load: &Load, capacity: f64) -> f64 {
    if load.is_unknown() {
        return INITIAL_WEIGHT;
    }
    ((1.0 - load.utilization(now, capacity)) * 100.0).max(0.0)
}
