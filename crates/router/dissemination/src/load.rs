//! The load of an endpoint and how its answers go, as sidecars tell it to each other.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Outcomes fade over this time.
const OUTCOMES_FADE: Duration = Duration::from_secs(3);

/// What is out at one endpoint, and what became of requests to it since the last account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Names the endpoint: a hash of its id.
    #[serde(rename = "e")]
    pub endpoint: u64,
    /// Prompt tokens of requests that have no answer yet.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub pending_prompt_tokens: u32,
    /// Requests out.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub in_flight: u32,
    /// Requests that were answered well.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub answered: u32,
    /// Requests that were answered with an error or not at all.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // the form that serde asks for
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Outcomes of requests to one endpoint, the older the less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    answered: f64,
    failed: f64,
    at: Duration,
}

impl Outcomes {
    /// Notes more of them.
    pub fn add(&mut self, now: Duration, answered: u32, failed: u32) {
        let (before_answered, before_failed) = self.at_time(now);
        self.answered = before_answered + f64::from(answered);
        self.failed = before_failed + f64::from(failed);
        self.at = now;
    }

    /// Answered and failed ones, faded to now.
    pub fn at_time(&self, now: Duration) -> (f64, f64) {
        let fade = (-now.saturating_sub(self.at).as_secs_f64() / OUTCOMES_FADE.as_secs_f64()).exp();
        (self.answered * fade, self.failed * fade)
    }
}
