//! Messages of replication. They are CBOR on the wire; a renamed variant or field keeps its written name.

use super::epoch::{EpochRecord, RecordPosition};
use super::identity::{Member, MemberId};
use super::state::{ReplicatedState, StateVersion};
use super::state_delta::StateDelta;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A message and its sender. The sender's identity counts, not its address: see [`MemberId`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationEnvelope {
    /// The sender.
    pub sender: Member,
    /// The message.
    pub message: ReplicationMessage,
}

/// Messages between members, voters that ask for membership, and seeds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicationMessage {
    /// Bootstrap: a voter announces itself to the seeds.
    Present {
        /// The voter.
        member: Member,
    },
    /// Bootstrap: a seed announces that it is no voter.
    #[serde(rename = "SeedWithoutDisk")]
    NonVotingSeed {
        /// Its address.
        address: SocketAddrV4,
    },
    /// A voter that is no member asks the primary for membership.
    Join {
        /// The voter.
        member: Member,
        /// Whether it takes part in the bootstrap of the cluster.
        #[serde(rename = "founding")]
        bootstrapping: bool,
    },
    /// Asks whether a vote would be granted. Changes nothing at the receiver.
    PreVote {
        /// The term that the sender would stand for.
        term: u64,
    },
    /// The vote would be granted.
    PreVoteGranted {
        /// The term of the pre-vote.
        term: u64,
    },
    /// A candidate asks for a promise (phase 1 of Paxos).
    Prepare {
        /// Its term.
        term: u64,
        /// The candidate.
        candidate: MemberId,
    },
    /// The promise: nothing of a lower term will be accepted.
    Promise {
        /// The term promised.
        term: u64,
        /// The highest record accepted so far.
        record: Option<EpochRecord>,
    },
    /// A primary asks to accept a record (phase 2 of Paxos).
    Accept {
        /// The record.
        record: EpochRecord,
    },
    /// The record is durable.
    Accepted {
        /// Its position.
        position: RecordPosition,
    },
    /// A message of a lower term than promised was rejected.
    #[serde(rename = "Refused")]
    Rejected {
        /// The term promised.
        promised: u64,
    },
    /// Heartbeat of a primary.
    Ping {
        /// Its term.
        term: u64,
        /// Number of the heartbeat round.
        round: u64,
        /// Position of the record in force.
        position: RecordPosition,
    },
    /// Reply to a ping: nothing higher than its term had been promised when it arrived.
    Pong {
        /// The term of the ping.
        term: u64,
        /// The round of the ping.
        round: u64,
        /// Position of the durable record.
        position: RecordPosition,
        /// Version of the durable state.
        synced: StateVersion,
        /// Whether the member understands [`ReplicationMessage::ReplicateDeltas`]. Absent in messages of earlier builds,
        /// and then not written either.
        #[serde(default, rename = "deltas", skip_serializing_if = "std::ops::Not::not")]
        accepts_deltas: bool,
    },
    /// A state for a backup to sync.
    Replicate {
        /// Term of the primary.
        term: u64,
        /// The state.
        state: Arc<ReplicatedState>,
    },
    /// A state for a backup to sync, as the differences from the one that it holds. Sent only to members that have said
    /// that they understand it.
    ReplicateDeltas {
        /// Term of the primary.
        term: u64,
        /// The differences, each from the state that the one before it results in.
        deltas: Vec<Arc<StateDelta>>,
    },
    /// Differences can't be applied here; the whole state is needed.
    DeltasRejected {
        /// Term of the primary that sent them.
        term: u64,
    },
    /// The state is durable.
    Synced {
        /// Term of the primary that sent it.
        term: u64,
        /// Its version.
        version: StateVersion,
    },
}

impl ReplicationMessage {
    /// Whether this is a reply to a message of the process that it is sent to.
    pub fn is_answer(&self) -> bool {
        match self {
            ReplicationMessage::PreVoteGranted { .. }
            | ReplicationMessage::Promise { .. }
            | ReplicationMessage::Accepted { .. }
            | ReplicationMessage::Rejected { .. }
            | ReplicationMessage::Pong { .. }
            | ReplicationMessage::DeltasRejected { .. }
            | ReplicationMessage::Synced { .. } => true,
            ReplicationMessage::Present { .. }
            | ReplicationMessage::NonVotingSeed { .. }
            | ReplicationMessage::Join { .. }
            | ReplicationMessage::PreVote { .. }
            | ReplicationMessage::Prepare { .. }
            | ReplicationMessage::Accept { .. }
            | ReplicationMessage::Ping { .. }
            | ReplicationMessage::Replicate { .. }
            | ReplicationMessage::ReplicateDeltas { .. } => false,
        }
    }
}
