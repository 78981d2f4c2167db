//! Peak-EWMA: two choices by a moving average of latency that jumps to peaks, times the own requests in flight.
//!
//! Follows Finagle's `PeakEwma` load balancer metric. The average decays with time, a latency above it replaces it at
//! once, and a node with requests in flight but no latency yet counts as slow.

use super::{NodeView, Picker};
use crate::random::Stream;
use passrelay_load_balancing::{Ending, UpstreamId};
use rustc_hash::FxHashMap;

/// Time constant of the average's decay in seconds; Finagle's default.
const DECAY_S: f64 = 10.0;
/// Cost of a node that has requests in flight but no latency yet.
const PENALTY_S: f64 = 1e6;

#[derive(Clone, Copy, Default)]
struct Average {
    cost: f64,
    at: f64,
}

/// Picks the less loaded of two random nodes by their decaying peak latencies.
#[derive(Default)]
pub struct PeakEwma {
    averages: FxHashMap<UpstreamId, Average>,
}

impl PeakEwma {
    fn load(&self, view: &NodeView, at: usize) -> f64 {
        let node = &view.nodes[at];
        let Average { cost, at } = self.averages.get(&node.id).copied().unwrap_or_default();
        let cost = cost * (-(view.now - at).max(0.0) / DECAY_S).exp();
        if cost == 0.0 && node.in_flight > 0 {
            return PENALTY_S + f64::from(node.in_flight);
        }
        cost * f64::from(node.in_flight + 1)
    }
}

impl Picker for PeakEwma {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let (a, b) = (view.draw_candidate(tried, rng)?, view.draw_candidate(tried, rng)?);
        Some(if self.load(view, b) < self.load(view, a) { b } else { a })
    }

    fn ended(&mut self, view: &NodeView, to: UpstreamId, ending: Ending, elapsed: f64) {
        if matches!(ending, Ending::NotSent | Ending::Cancelled | Ending::ConnectFailed) {
            return;
        }
        let average = self.averages.entry(to).or_default();
        let old_weight = (-(view.now - average.at).max(0.0) / DECAY_S).exp();
        average.cost = if elapsed > average.cost {
            elapsed
        } else {
            average.cost * old_weight + elapsed * (1.0 - old_weight)
        };
        average.at = view.now;
    }

    fn listed(&mut self, view: &NodeView) {
        self.averages.retain(|id, _| view.get(*id).is_some());
    }
}
