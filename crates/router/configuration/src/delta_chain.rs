//! The deltas between the last few states, for processes that have one of these states.

use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of deltas in a chain. A process that missed more changes receives the complete state.
const MAX_DELTAS: usize = 16;

/// A difference between one state and its successor.
pub trait Delta {
    /// Identifies a state in the sequence of states.
    type Position: PartialEq;

    /// Returns the position of the state that the delta applies to.
    fn base(&self) -> Self::Position;
}

/// Consecutive deltas, oldest first. Each delta applies to the result of the previous one, and the last one
/// results in the newest state.
#[derive(Clone, Debug)]
pub struct DeltaChain<D> {
    deltas: VecDeque<Arc<D>>,
}

impl<D> Default for DeltaChain<D> {
    fn default() -> Self {
        DeltaChain { deltas: VecDeque::new() }
    }
}

impl<D: Delta> DeltaChain<D> {
    /// Appends the delta that results in a new state. `None` means that there is no delta to the new state,
    /// so the chain is cleared.
    pub fn push(&mut self, delta: Option<Arc<D>>) {
        match delta {
            Some(delta) => self.deltas.push_back(delta),
            None => self.deltas.clear(),
        }
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns the deltas from the state at `base` to the newest one, or no deltas if the chain does not
    /// reach back to it.
    pub fn since(&self, base: &D::Position) -> Vec<Arc<D>> {
        self.deltas.iter().skip_while(|delta| delta.base() != *base).cloned().collect()
    }
}
