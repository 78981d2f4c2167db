//! Endpoint load and request outcomes as reported by sidecars.
//!
//! This module holds only the types. The control plane and the data plane define who reports to whom and how load balancing
//! uses the reports.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time constant of the decay: after this time the weight of an outcome has dropped by a factor of e.
const OUTCOME_DECAY_TIME: Duration = Duration::from_secs(3);

/// Requests in flight at one endpoint, and the outcomes of the requests that ended since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Hash of the endpoint id.
    #[serde(rename = "e")]
    pub endpoint: u64,
    /// Number of prompt tokens in requests that have no response yet.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub pending_prompt_tokens: u32,
    /// Number of requests in flight.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub in_flight: u32,
    /// Number of requests that succeeded.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub succeeded: u32,
    /// Number of requests that ended with an error or without a response.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // `skip_serializing_if` requires this signature
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Outcome counts, with each outcome weighted by its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Weighted number of requests that succeeded.
    pub succeeded: f64,
    /// Weighted number of requests that failed.
    pub failed: f64,
}

/// Exponentially decaying outcome counters of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingOutcomes {
    /// The counts as of `updated_at`.
    counts: OutcomeCounts,
    updated_at: Duration,
}

impl DecayingOutcomes {
    /// Adds outcomes with full weight.
    pub fn add(&mut self, now: Duration, succeeded: u32, failed: u32) {
        let decayed = self.decayed(now);
        self.counts.succeeded = decayed.succeeded + f64::from(succeeded);
        self.counts.failed = decayed.failed + f64::from(failed);
        self.updated_at = now;
    }

    /// Returns the counts, decayed to `now`.
    pub fn decayed(&self, now: Duration) -> OutcomeCounts {
        let age = now.saturating_sub(self.updated_at);
        let weight = (-age.as_secs_f64() / OUTCOME_DECAY_TIME.as_secs_f64()).exp();
        OutcomeCounts { succeeded: self.counts.succeeded * weight, failed: self.counts.failed * weight }
    }
}
