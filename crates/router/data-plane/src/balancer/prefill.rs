//! The prefill cost of a prompt at each endpoint, in prompt tokens: tokens queued ahead of it, plus tokens to
//! recompute because the endpoint does not have the prompt's prefix in its cache.

use super::endpoint::Endpoint;
use crate::prompt::Prompt;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Endpoints whose cost is at most this many prompt tokens above the lowest one count as equal and take turns
/// by weight.
const EQUAL_COST_TOKENS: f64 = 300.0;
/// A token to recompute costs as many tokens as this duration fits into the request's latency target.
/// Recomputing thus costs about as much as the request is worth, and waiting weighs more the shorter the
/// target is.
const TARGET_PER_RECOMPUTE_COST: Duration = Duration::from_millis(50);
/// Weight of the newest prompt in the exponential moving mean of prefill tokens, 0 to 1.
const MEAN_SMOOTHING: f64 = 0.05;

/// Exponential moving mean of the number of prefill tokens per prompt.
#[derive(Debug, Default)]
pub(super) struct MeanPrefill {
    tokens: f64,
}

impl MeanPrefill {
    pub(super) fn observe(&mut self, prefill_tokens: u64) {
        self.tokens += MEAN_SMOOTHING * (prefill_tokens as f64 - self.tokens);
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// Computes the prefill cost of one prompt at each endpoint.
#[derive(Debug)]
pub(super) struct PrefillCost<'a> {
    now: Duration,
    mean_prefill_tokens: f64,
    /// Instance ids of the endpoints that are assumed to have the prompt's shared prefix in their caches.
    prefix_holders: &'a [Arc<str>],
    /// Cost of recomputing the shared prefix, in prompt tokens.
    recompute_cost: f64,
}

impl<'a> PrefillCost<'a> {
    pub(super) fn new(
        now: Duration,
        mean: &MeanPrefill,
        prefix_holders: &'a [Arc<str>],
        prompt: &Prompt,
        latency_target: Duration,
    ) -> Self {
        let cost_per_token = latency_target.as_secs_f64() / TARGET_PER_RECOMPUTE_COST.as_secs_f64();
        PrefillCost {
            now,
            mean_prefill_tokens: mean.tokens(),
            prefix_holders,
            recompute_cost: cost_per_token * prompt.shared_prefix_tokens as f64,
        }
    }

    /// Returns the eligible endpoints whose cost is within [`EQUAL_COST_TOKENS`] of the lowest one.
    pub(super) fn cheapest(
        &self,
        endpoints: &HashMap<Arc<str>, Endpoint>,
        eligible: &[Arc<str>],
    ) -> Vec<Arc<str>> {
        let costs: Vec<f64> = eligible.iter().map(|id| self.cost_at(id, &endpoints[id])).collect();
        let lowest = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let is_near_lowest = |cost: f64| cost <= lowest + EQUAL_COST_TOKENS;
        eligible
            .iter()
            .zip(&costs)
            .filter(|(_, cost)| is_near_lowest(**cost))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn cost_at(&self, id: &Arc<str>, endpoint: &Endpoint) -> f64 {
        let queued = endpoint.queued_prompt_tokens(self.now, self.mean_prefill_tokens);
        queued + if self.prefix_holders.contains(id) { 0.0 } else { self.recompute_cost }
    }
}
