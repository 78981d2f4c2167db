//! Load of an endpoint and outcomes of requests to it, as sidecars report them.
//!
//! Only the types: who reports to whom, and what load balancing makes of it, is for the planes.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time in which the weight of an outcome decays by the factor e.
const OUTCOME_DECAY_TIME: Duration = Duration::from_secs(3);

/// Requests in flight at one endpoint, and the outcomes of those that ended since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Hash of the endpoint's id.
    #[serde(rename = "e")]
    pub endpoint: u64,
    /// Prompt tokens of requests without a response so far.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub pending_prompt_tokens: u32,
    /// Requests in flight.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub in_flight: u32,
    /// Requests that succeeded.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub succeeded: u32,
    /// Requests that ended with an error or without a response.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // the signature that serde requires
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Numbers of outcomes, each outcome weighted by its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that succeeded.
    pub succeeded: f64,
    /// Requests that failed.
    pub failed: f64,
}

/// Exponentially decaying counters of outcomes at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingOutcomes {
    /// The counts as of `updated_at`.
    counts: OutcomeCounts,
    updated_at: Duration,
}

impl DecayingOutcomes {
    /// Adds outcomes at full weight.
    pub fn add(&mut self, now: Duration, succeeded: u32, failed: u32) {
        let decayed = self.decayed(now);
        self.counts.succeeded = decayed.succeeded + f64::from(succeeded);
        self.counts.failed = decayed.failed + f64::from(failed);
        self.updated_at = now;
    }

    /// The counts, decayed to `now`.
    pub fn decayed(&self, now: Duration) -> OutcomeCounts {
        let age = now.saturating_sub(self.updated_at);
        let weight = (-age.as_secs_f64() / OUTCOME_DECAY_TIME.as_secs_f64()).exp();
        OutcomeCounts { succeeded: self.counts.succeeded * weight, failed: self.counts.failed * weight }
    }
}
