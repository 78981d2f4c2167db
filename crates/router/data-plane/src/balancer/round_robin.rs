//! Smooth weighted round robin among endpoints, with preference for the own zone.
//!
//! The turn itself (current weights grow by the weight, the winner pays the sum) is shared with the sidecar and lives in
//! `passrelay_load_balancing::weighted_round_robin`; this module sets the weights and the order of the candidates.

use super::endpoint::Endpoint;
use passrelay_load_balancing::weighted_round_robin::{select, Candidate};
use std::collections::HashMap;
use std::sync::Arc;

/// Weight of an endpoint in another zone against that of an equal one in the own zone, while the own zone has capacity.
const OTHER_ZONE_FACTOR: f64 = 0.1;
/// The own zone has capacity while one of its endpoints has a weight above this, 0 to 100.
const MIN_OWN_ZONE_WEIGHT: f64 = 50.0;

/// How the weights of one turn follow from the endpoints' weights.
#[derive(Clone, Copy)]
struct TurnWeights {
    /// Whether any endpoint has free capacity. Where none has, all weigh the same: someone has to get the request.
    has_free_capacity: bool,
    /// Whether endpoints of other zones are reduced by [`OTHER_ZONE_FACTOR`].
    prefers_own_zone: bool,
}

impl TurnWeights {
    fn among(endpoints: &HashMap<Arc<str>, Endpoint>, ids: &[Arc<str>]) -> Self {
        TurnWeights {
            has_free_capacity: ids.iter().any(|id| endpoints[id].weight() > 0.0),
            prefers_own_zone: ids
                .iter()
                .any(|id| endpoints[id].is_in_own_zone() && endpoints[id].weight() > MIN_OWN_ZONE_WEIGHT),
        }
    }

    fn of(self, endpoint: &Endpoint) -> f64 {
        let weight = if self.has_free_capacity { endpoint.weight() } else { 1.0 };
        weight * if endpoint.is_in_own_zone() || !self.prefers_own_zone { 1.0 } else { OTHER_ZONE_FACTOR }
    }
}

/// Picks one of `ids` by weighted round robin and advances their current weights. `None` where there are none.
pub(super) fn pick_by_weight(
    endpoints: &mut HashMap<Arc<str>, Endpoint>,
    ids: &[Arc<str>],
) -> Option<Arc<str>> {
    let weights = TurnWeights::among(endpoints, ids);
    let mut chosen: Vec<(&Arc<str>, &mut Endpoint)> =
        endpoints.iter_mut().filter(|(id, _)| ids.contains(id)).collect();
    // Sums and ties must not depend on the order of the hash map.
    chosen.sort_by(|a, b| a.0.cmp(b.0));
    let ordered: Vec<Arc<str>> = chosen.iter().map(|(id, _)| (*id).clone()).collect();
    let candidates = chosen.into_iter().enumerate().map(|(index, (_, endpoint))| Candidate {
        item: index,
        weight: weights.of(endpoint),
        current_weight: endpoint.current_weight_mut(),
    });
    select(candidates).map(|index| ordered[index].clone())
}
