//! What a member stores on its disk, and the writes that change it.

use super::epoch::EpochRecord;
use super::identity::MemberId;
use super::state::ReplicatedState;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a member stores as a witness (acceptor) of epoch records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessState {
    /// The highest term promised. Invariant: never decreases, and nothing of a lower term is accepted.
    pub promised: u64,
    /// The candidate that it was promised to; `None` if the term is only known from a message. Invariant: the same term
    /// is never promised to two candidates.
    pub promised_to: Option<MemberId>,
    /// The highest epoch record accepted. Invariant: its position never decreases, and its term is at most `promised`.
    pub record: Option<EpochRecord>,
}

/// Everything that a member has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// As a witness.
    pub witness: WitnessState,
    /// As a backup or primary.
    pub state: ReplicatedState,
}

/// One atomic write: both parts take effect or neither does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DurableWrite {
    /// The witness's part, if it changed.
    pub witness: Option<WitnessState>,
    /// The replicated state, if it changed.
    pub state: Option<Arc<ReplicatedState>>,
}

/// Identifies a write in flight, within one incarnation of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);
