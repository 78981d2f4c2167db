//! The records that a member stores on its disk, and the writes that update them.

use super::epoch::EpochRecord;
use super::identity::MemberId;
use super::state::ReplicatedState;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state that a member stores as a witness (Paxos acceptor) of epoch records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessState {
    /// The highest term promised. Invariant: never decreases, and no message of a lower term is accepted.
    pub promised: u64,
    /// The candidate to which the term was promised; `None` if this member only learned the term from a message.
    /// Invariant: the same term is never promised to two candidates.
    pub promised_to: Option<MemberId>,
    /// The highest epoch record accepted. Invariant: its position never decreases, and its term is at most `promised`.
    pub record: Option<EpochRecord>,
}

/// The contents of a member's disk, as recovered at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// Promises and accepted epoch record.
    pub witness: WitnessState,
    /// The newest replicated state that was synced, as a backup or as the primary.
    pub state: ReplicatedState,
}

/// One atomic write: both parts take effect or neither does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DurableWrite {
    /// New promises and record; `None` if they did not change.
    pub witness: Option<WitnessState>,
    /// New replicated state; `None` if it did not change.
    pub state: Option<Arc<ReplicatedState>>,
}

/// Identifies a write in flight, within one incarnation of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);
