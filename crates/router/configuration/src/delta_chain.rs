//! The deltas between the last few states, for whoever holds one of them.

use std::collections::VecDeque;
use std::sync::Arc;

/// Number of deltas that are kept; who has missed more changes gets the whole.
const MAX_DELTAS: usize = 16;

/// What leads from one state to the next.
pub trait Delta {
    /// What a state is known by.
    type Position: PartialEq;

    /// The state that it applies to.
    fn base(&self) -> Self::Position;
}

/// Deltas, oldest first, each from the state that the one before it results in; the last one results in the newest state.
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
    /// Appends the delta that led to a new state; without one, nothing leads to that state and all are forgotten.
    pub fn push(&mut self, delta: Option<Arc<D>>) {
        match delta {
            Some(delta) => self.deltas.push_back(delta),
            None => self.deltas.clear(),
        }
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// The deltas that lead from a state to the newest one; empty where they are not all known.
    pub fn since(&self, base: &D::Position) -> Vec<Arc<D>> {
        self.deltas.iter().skip_while(|delta| delta.base() != *base).cloned().collect()
    }
}
