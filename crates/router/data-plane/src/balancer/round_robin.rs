//! Smooth weighted round robin over endpoints, with a preference for the router's own zone.
//!
//! The selection step itself (each current weight grows by its weight, and the sum of the weights is
//! subtracted from the winner) is shared with the sidecar, in
//! `passrelay_load_balancing::weighted_round_robin`. This module determines the weights and the order of the
//! candidates.

use super::endpoint::Endpoint;
use passrelay_load_balancing::weighted_round_robin::{select, Candidate};
use std::collections::HashMap;
use std::sync::Arc;

/// Factor on the weights of endpoints in other zones while the own zone has capacity.
const OTHER_ZONE_FACTOR: f64 = 0.1;
/// The own zone has capacity while the weight of one of its endpoints is above this value, on a scale of 0 to
/// 100.
const MIN_OWN_ZONE_WEIGHT: f64 = 50.0;

/// Determines the weights of the endpoints for one selection.
#[derive(Clone, Copy)]
struct SelectionWeights {
    /// Whether any endpoint has free capacity. If none has, all have equal weights, since one of them has to
    /// take the request.
    has_free_capacity: bool,
    /// Whether the weights of endpoints in other zones are multiplied by [`OTHER_ZONE_FACTOR`].
    prefers_own_zone: bool,
}

impl SelectionWeights {
    fn new(endpoints: &HashMap<Arc<str>, Endpoint>, ids: &[Arc<str>]) -> Self {
        SelectionWeights {
            has_free_capacity: ids.iter().any(|id| endpoints[id].weight() > 0.0),
            prefers_own_zone: ids
                .iter()
                .any(|id| endpoints[id].is_in_own_zone() && endpoints[id].weight() > MIN_OWN_ZONE_WEIGHT),
        }
    }

    fn weight_of(self, endpoint: &Endpoint) -> f64 {
        let weight = if self.has_free_capacity { endpoint.weight() } else { 1.0 };
        weight * if endpoint.is_in_own_zone() || !self.prefers_own_zone { 1.0 } else { OTHER_ZONE_FACTOR }
    }
}

/// Picks one of `ids` by weighted round robin and advances their current weights. Returns `None` if `ids` is
/// empty.
pub(super) fn pick_by_weight(
    endpoints: &mut HashMap<Arc<str>, Endpoint>,
    ids: &[Arc<str>],
) -> Option<Arc<str>> {
    let weights = SelectionWeights::new(endpoints, ids);
    let mut eligible: Vec<(&Arc<str>, &mut Endpoint)> =
        endpoints.iter_mut().filter(|(id, _)| ids.contains(id)).collect();
    // Sums and ties must not depend on the iteration order of the hash map.
    eligible.sort_by(|a, b| a.0.cmp(b.0));
    let sorted_ids: Vec<Arc<str>> = eligible.iter().map(|(id, _)| (*id).clone()).collect();
    let candidates = eligible.into_iter().enumerate().map(|(index, (_, endpoint))| Candidate {
        item: index,
        weight: weights.weight_of(endpoint),
        current_weight: endpoint.current_weight_mut(),
    });
    select(candidates).map(|index| sorted_ids[index].clone())
}
