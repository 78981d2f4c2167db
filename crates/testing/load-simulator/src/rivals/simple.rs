//! Random, round robin, least requests and two choices.

use super::{Picker, View};
use crate::random::Stream;
use passrelay_load_balancing::UpstreamId;
use rand::Rng;

/// Any node, with equal chances.
pub struct Random;

impl Picker for Random {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        view.draw(tried, rng)
    }
}

/// One after another, from a random place on, so that copies do not move in step.
#[derive(Default)]
pub struct RoundRobin {
    turn: Option<usize>,
}

impl Picker for RoundRobin {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let n = view.nodes.len();
        if n == 0 {
            return None;
        }
        let from = self.turn.unwrap_or_else(|| rng.random_range(0..n));
        let at = (0..n).map(|i| (from + i) % n).find(|at| view.may(*at, tried))?;
        self.turn = Some((at + 1) % n);
        Some(at)
    }
}

/// The node with the fewest own requests out; among equals the next in turn.
#[derive(Default)]
pub struct LeastRequests {
    turn: usize,
}

impl Picker for LeastRequests {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], _rng: &mut Stream) -> Option<usize> {
        let n = view.nodes.len();
        let turns = (0..n).map(|i| (self.turn + i) % n).filter(|at| view.may(*at, tried));
        let at = turns.min_by_key(|at| view.nodes[*at].out)?;
        self.turn = (at + 1) % n;
        Some(at)
    }
}

/// Two nodes drawn at random; the one with fewer own requests out gets it.
pub struct TwoChoices;

impl Picker for TwoChoices {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], rng: &mut Stream) -> Option<usize> {
        let (a, b) = (view.draw(tried, rng)?, view.draw(tried, rng)?);
        Some(if view.nodes[b].out < view.nodes[a].out { b } else { a })
    }
}
