//! Weighted round robin over load reports, following gRPC's client-side policy (proposal A58). A node's weight is its
//! requests per second divided by its utilisation, from reports in answers. Reports of a new node count only after a
//! blackout period. Weights are recomputed every second, and nodes without a weight get the mean. Nodes are scheduled
//! by earliest deadline first.

use super::{NodeView, Picker};
use crate::random::Stream;
use passrelay_load_balancing::UpstreamId;
use rand::Rng;
use rustc_hash::FxHashMap;

/// Blackout period in seconds, after which reports of a new node count. gRPC's default is 10 s.
const BLACKOUT_S: f64 = 10.0;
/// Seconds for which a report counts.
const EXPIRES_S: f64 = 180.0;
/// Interval in seconds at which weights are recomputed.
const UPDATE_S: f64 = 1.0;

/// The weights and virtual deadlines of all nodes.
#[derive(Default)]
pub struct WeightedRoundRobin {
    weights: FxHashMap<UpstreamId, f64>,
    mean: f64,
    updated: Option<f64>,
    deadlines: FxHashMap<UpstreamId, f64>,
    virtual_now: f64,
}

impl WeightedRoundRobin {
    fn update(&mut self, view: &NodeView) {
        self.updated = Some(view.now);
        self.weights.clear();
        for node in &view.nodes {
            let fresh = node
                .report
                .filter(|(_, at)| view.now - at < EXPIRES_S && view.now - node.listed_at >= BLACKOUT_S);
            if let Some((Some(qps), Some(util))) = fresh.map(|(r, _)| (r.rps, r.cpu)) {
                if qps > 0.0 && util > 0.0 {
                    self.weights.insert(node.id, qps / util);
                }
            }
        }
        let sum: f64 = view.nodes.iter().filter_map(|n| self.weights.get(&n.id)).sum();
        self.mean = if self.weights.len() < 2 { 1.0 } else { sum / self.weights.len() as f64 };
        if self.weights.len() < 2 {
            // With fewer than two weights the proposal falls back to plain round robin.
            self.weights.clear();
        }
    }

    fn weight(&self, id: UpstreamId) -> f64 {
        self.weights.get(&id).copied().unwrap_or(self.mean).max(1e-9)
    }
}

impl Picker for WeightedRoundRobin {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        if self.updated.is_none_or(|at| view.now - at >= UPDATE_S) {
            self.update(view);
        }
        let mut best: Option<(usize, f64)> = None;
        for at in (0..view.nodes.len()).filter(|at| view.is_candidate(*at, tried)) {
            let id = view.nodes[at].id;
            let initial = self.virtual_now + rng.random::<f64>() / self.weight(id);
            let deadline = *self.deadlines.entry(id).or_insert(initial);
            if best.is_none_or(|(_, d)| deadline < d) {
                best = Some((at, deadline));
            }
        }
        let (at, deadline) = best?;
        let id = view.nodes[at].id;
        self.virtual_now = self.virtual_now.max(deadline);
        self.deadlines.insert(id, self.virtual_now + 1.0 / self.weight(id));
        Some(at)
    }

    fn listed(&mut self, view: &NodeView) {
        self.deadlines.retain(|id, _| view.get(*id).is_some());
        self.updated = None;
    }
}
