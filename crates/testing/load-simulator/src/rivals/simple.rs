//! The simple policies: random, round robin, least requests and two choices.

use super::{NodeView, Picker};
use crate::random::Stream;
use passrelay_load_balancing::UpstreamId;
use rand::Rng;

/// Picks a node drawn uniformly.
pub struct Random;

impl Picker for Random {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        view.draw_candidate(tried, rng)
    }
}

/// Picks all nodes in turn. Starts at a random node, so that sidecars do not move in step.
#[derive(Default)]
pub struct RoundRobin {
    next: Option<usize>,
}

impl Picker for RoundRobin {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let n = view.nodes.len();
        if n == 0 {
            return None;
        }
        let from = self.next.unwrap_or_else(|| rng.random_range(0..n));
        let at = (0..n).map(|i| (from + i) % n).find(|at| view.is_candidate(*at, tried))?;
        self.next = Some((at + 1) % n);
        Some(at)
    }
}

/// Picks the node with the fewest own requests in flight, and among equal ones the next in turn.
#[derive(Default)]
pub struct LeastRequests {
    next: usize,
}

impl Picker for LeastRequests {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], _rng: &mut Stream) -> Option<usize> {
        let n = view.nodes.len();
        let candidates = (0..n).map(|i| (self.next + i) % n).filter(|at| view.is_candidate(*at, tried));
        let at = candidates.min_by_key(|at| view.nodes[*at].in_flight)?;
        self.next = (at + 1) % n;
        Some(at)
    }
}

/// Draws two nodes at random and picks the one with fewer own requests in flight.
pub struct TwoChoices;

impl Picker for TwoChoices {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let (a, b) = (view.draw_candidate(tried, rng)?, view.draw_candidate(tried, rng)?);
        Some(if view.nodes[b].in_flight < view.nodes[a].in_flight { b } else { a })
    }
}
