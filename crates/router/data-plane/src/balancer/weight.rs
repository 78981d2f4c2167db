//! The weight of an endpoint in the weighted round robin: its free capacity in percent.
//!
//! The weight is recomputed after a time or a number of requests rather than at each pick, so that the round
//! robin works with stable weights. There is no slow start: an endpoint of unknown load begins with a medium
//! weight.

use super::load::Load;
use std::time::Duration;

/// A weight is recomputed after this time, unless [`MAX_REQUESTS_BETWEEN_REFRESHES`] is reached before.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// A weight is recomputed after this many requests to the endpoint, unless [`REFRESH_INTERVAL`] has passed
/// before.
const MAX_REQUESTS_BETWEEN_REFRESHES: u32 = 4;
/// Weight of an endpoint of unknown load, on a scale of 0 to 100.
const INITIAL_WEIGHT: f64 = 50.0;

/// The sampled weight of one endpoint.
#[derive(Debug)]
pub(super) struct Weight {
    /// Free capacity in percent at the last refresh, 0 to 100.
    value: f64,
    /// When the weight was last recomputed; `None` before the first refresh.
    refreshed_at: Option<Duration>,
    requests_since_refresh: u32,
}

impl Weight {
    pub(super) fn new() -> Self {
        Weight { value: INITIAL_WEIGHT, refreshed_at: None, requests_since_refresh: 0 }
    }

    /// Returns the free capacity in percent, 0 to 100; 0 if all slots are in use.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Counts a request sent to the endpoint.
    pub(super) fn add_request(&mut self) {
        self.requests_since_refresh += 1;
    }

    /// Recomputes the weight if a refresh is due.
    pub(super) fn refresh(&mut self, now: Duration, load: &Load, capacity: f64) {
        let is_due = self.refreshed_at.is_none_or(|at| now.saturating_sub(at) >= REFRESH_INTERVAL);
        if is_due || self.requests_since_refresh >= MAX_REQUESTS_BETWEEN_REFRESHES {
            self.value = free_capacity(now, load, capacity);
            self.refreshed_at = Some(now);
            self.requests_since_refresh = 0;
        }
    }
}

/// Returns the free capacity in percent, 0 to 100.
fn free_capacity(now: Duration, load: &Load, capacity: f64) -> f64 {
    if load.is_unknown() {
        return INITIAL_WEIGHT;
    }
    ((1.0 - load.utilization(now, capacity)) * 100.0).max(0.0)
}
