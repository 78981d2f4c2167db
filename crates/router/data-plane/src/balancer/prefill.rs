//! The prefill cost of a prompt at each endpoint, in prompt tokens: those queued ahead of it, and those to recompute
//! because the endpoint doesn't hold the prompt's prefix.

use super::endpoint::Endpoint;
use crate::prompt::Prompt;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Endpoints whose cost is at most this many prompt tokens above the least one are equal, and take turns by weight.
const EQUAL_COST_TOKENS: f64 = 300.0;
/// A token to recompute costs one token for each of these spans in the request's latency target: to recompute has a price
/// near the request's value, and waiting costs the more the shorter the target is.
const TARGET_PER_RECOMPUTE_COST: Duration = Duration::from_millis(50);
/// Weight of the newest prompt in the moving mean of prefill tokens.
const MEAN_SMOOTHING: f64 = 0.05;

/// Exponential moving mean of the tokens that a prompt has to prefill.
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

/// What the prefill cost of one prompt follows from, beside the endpoint.
#[derive(Debug)]
pub(super) struct PrefillCost<'a> {
    now: Duration,
    mean_prefill_tokens: f64,
    /// Endpoints that are taken to hold the prompt's shared prefix.
    prefix_holders: &'a [Arc<str>],
    /// Cost of recomputing the shared prefix.
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

    /// The endpoints of least cost, and those that equal them within [`EQUAL_COST_TOKENS`].
    pub(super) fn cheapest(
        &self,
        endpoints: &HashMap<Arc<str>, Endpoint>,
        eligible: &[Arc<str>],
    ) -> Vec<Arc<str>> {
        let costs: Vec<f64> = eligible.iter().map(|id| self.at(id, &endpoints[id])).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let is_near_least = |cost: f64| cost <= least + EQUAL_COST_TOKENS;
        eligible
            .iter()
            .zip(&costs)
            .filter(|(_, cost)| is_near_least(**cost))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn at(&self, id: &Arc<str>, endpoint: &Endpoint) -> f64 {
        let queued = endpoint.queued_prompt_tokens(self.now, self.mean_prefill_tokens);
        queued + if self.prefix_holders.contains(id) { 0.0 } else { self.recompute_cost }
    }
}
