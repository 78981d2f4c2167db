//! Peak-EWMA: two choices by a moving average of latency that jumps to peaks, times the requests out.
//!
//! After Finagle's `PeakEwma` load balancer metric: the average decays with time, a latency above it replaces it
//! at once, and a node without any latency yet that has requests out counts as slow.

use super::{Picker, View};
use crate::random::Stream;
use passrelay_load_balancing::{Ending, UpstreamId};
use rustc_hash::FxHashMap;

/// Time over which the average decays; Finagle's default.
const DECAY_S: f64 = 10.0;
/// What a node without latency counts that has requests out.
const PENALTY_S: f64 = 1e6;

#[derive(Clone, Copy, Default)]
struct Average {
    cost: f64,
    at: f64,
}

/// The averages, by node.
#[derive(Default)]
pub struct PeakEwma {
    averages: FxHashMap<UpstreamId, Average>,
}

impl PeakEwma {
    fn load(&self, view: &View, at: usize) -> f64 {
        let node = &view.nodes[at];
        let Average { cost, at } = self.averages.get(&node.id).copied().unwrap_or_default();
        let cost = cost * (-(view.now - at).max(0.0) / DECAY_S).exp();
        if cost == 0.0 && node.out > 0 {
            return PENALTY_S + f64::from(node.out);
        }
        cost * f64::from(node.out + 1)
    }
}

impl Picker for PeakEwma {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let (a, b) = (view.draw(tried, rng)?, view.draw(tried, rng)?);
        Some(if self.load(view, b) < self.load(view, a) { b } else { a })
    }

    fn ended(&mut self, view: &View, to: UpstreamId, ending: Ending, elapsed: f64) {
        if matches!(ending, Ending::NotSent | Ending::Cancelled | Ending::ConnectFailed) {
            return;
        }
        let average = self.averages.entry(to).or_default();
        let kept = (-(view.now - average.at).max(0.0) / DECAY_S).exp();
        average.cost =
            if elapsed > average.cost { elapsed } else { average.cost * kept + elapsed * (1.0 - kept) };
        average.at = view.now;
    }

    fn listed(&mut self, view: &View) {
        self.averages.retain(|id, _| view.get(*id).is_some());
    }
}
