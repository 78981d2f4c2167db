//! The oracle, an upper bound for all policies. It reads the true state of every node at the time of the pick and picks
//! the node that will be done first. No sidecar can know this.

use super::{NodeView, Picker};
use crate::random::Stream;
use passrelay_load_balancing::UpstreamId;
use std::cell::RefCell;
use std::rc::Rc;

/// The true state of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// Number of requests at the node.
    pub held: f64,
    /// Work done per second, in seconds at speed 1; 0 if the node answers no requests.
    pub pace: f64,
}

/// The true states of all nodes by index, shared with the simulated world.
pub type TrueStates = Rc<RefCell<Vec<TrueState>>>;

/// Picks the node with the least true backlog.
pub struct Oracle {
    true_states: TrueStates,
}

impl Oracle {
    /// Creates an oracle that reads these states.
    pub fn new(true_states: TrueStates) -> Self {
        Oracle { true_states }
    }
}

impl Picker for Oracle {
    fn pick(&mut self, view: &NodeView, tried: &[UpstreamId], _rng: &mut Stream) -> Option<usize> {
        let true_states = self.true_states.borrow();
        let wait = |at: usize| {
            let seen = &view.nodes[at];
            let node = true_states.get(seen.id.0 as usize).copied().unwrap_or_default();
            // The sidecar's own requests may still be on their way to the node.
            (node.held.max(f64::from(seen.in_flight)) + 1.0) / node.pace.max(1e-9)
        };
        let candidates = (0..view.nodes.len()).filter(|at| view.is_candidate(*at, tried));
        candidates.min_by(|a, b| wait(*a).total_cmp(&wait(*b)))
    }
}
