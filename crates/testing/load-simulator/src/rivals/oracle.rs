//! An upper bound: sees the true state of every node at the moment of the pick, and sends to the one that will be
//! done first. No sidecar can know this.

use super::{Picker, View};
use crate::random::Stream;
use passrelay_load_balancing::UpstreamId;
use std::cell::RefCell;
use std::rc::Rc;

/// What is true of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct True {
    /// Requests that it holds.
    pub held: f64,
    /// What it does in a second, in seconds of work at speed 1; 0: nothing that anyone gets an answer to.
    pub pace: f64,
}

/// The truth of all nodes, by number; shared with the world of the run.
pub type Sights = Rc<RefCell<Vec<True>>>;

/// Least true backlog.
pub struct Oracle {
    sights: Sights,
}

impl Oracle {
    /// An oracle that sees this.
    pub fn new(sights: Sights) -> Self {
        Oracle { sights }
    }
}

impl Picker for Oracle {
    fn pick(&mut self, view: &View, tried: &[UpstreamId], _rng: &mut Stream) -> Option<usize> {
        let sights = self.sights.borrow();
        let wait = |at: usize| {
            let seen = &view.nodes[at];
            let node = sights.get(seen.id.0 as usize).copied().unwrap_or_default();
            // Own requests may still be on their way there.
            (node.held.max(f64::from(seen.out)) + 1.0) / node.pace.max(1e-9)
        };
        let may = (0..view.nodes.len()).filter(|at| view.may(*at, tried));
        may.min_by(|a, b| wait(*a).total_cmp(&wait(*b)))
    }
}
