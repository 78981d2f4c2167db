//! Replication messages. They are encoded as CBOR; a variant or field that is renamed here keeps its name on the wire.

use super::epoch::{EpochRecord, RecordPosition};
use super::identity::{Member, MemberId};
use super::state::{ReplicatedState, StateVersion};
use super::state_delta::StateDelta;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationEnvelope {
    /// The member that the message is attributed to. Its identity counts, not its address: see [`MemberId`].
    pub sender: Member,
    /// Payload.
    pub message: ReplicationMessage,
}

/// Messages between members, voters that request membership, and seeds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicationMessage {
    /// Bootstrap: a voter announces itself to the seeds.
    Present {
        /// Identity and address of the voter.
        member: Member,
    },
    /// Bootstrap: a seed announces that it is not a voter.
    #[serde(rename = "SeedWithoutDisk")]
    NonVotingSeed {
        /// Address of the seed.
        address: SocketAddrV4,
    },
    /// A voter that is not a member requests membership from the primary.
    Join {
        /// Identity and address of the voter.
        member: Member,
        /// Whether the voter takes part in the bootstrap of the cluster.
        #[serde(rename = "founding")]
        bootstrapping: bool,
    },
    /// Asks whether the receiver would vote for the sender. Does not change the receiver's state.
    PreVote {
        /// The term that the sender would campaign for.
        term: u64,
    },
    /// Reply to [`ReplicationMessage::PreVote`]: the vote would be granted.
    PreVoteGranted {
        /// Term of the pre-vote.
        term: u64,
    },
    /// A candidate requests a promise (phase 1 of Paxos).
    Prepare {
        /// The term that the candidate campaigns for.
        term: u64,
        /// Identity of the candidate.
        candidate: MemberId,
    },
    /// Reply to [`ReplicationMessage::Prepare`]: no message of a lower term will be accepted.
    Promise {
        /// The term promised.
        term: u64,
        /// The highest record accepted so far; `None` if there is none.
        record: Option<EpochRecord>,
    },
    /// A primary requests acceptance of a record (phase 2 of Paxos).
    Accept {
        /// The proposed record, or the one in force for a member that missed it.
        record: EpochRecord,
    },
    /// Reply to [`ReplicationMessage::Accept`]: the record is durable.
    Accepted {
        /// Position of the accepted record.
        position: RecordPosition,
    },
    /// Reply to a message whose term is lower than the promised one.
    #[serde(rename = "Refused")]
    Rejected {
        /// The highest term promised by the sender of this reply.
        promised: u64,
    },
    /// Heartbeat of a primary.
    Ping {
        /// Term of the primary.
        term: u64,
        /// Number of the heartbeat round within the term.
        round: u64,
        /// Position of the record in force.
        position: RecordPosition,
    },
    /// Reply to [`ReplicationMessage::Ping`]: no higher term had been promised when the ping arrived.
    Pong {
        /// Term of the ping.
        term: u64,
        /// Round of the ping.
        round: u64,
        /// Position of the record that is durable at the member.
        position: RecordPosition,
        /// Version of the state that is durable at the member.
        synced: StateVersion,
        /// Whether the member supports [`ReplicationMessage::ReplicateDeltas`]. Messages of earlier builds lack this
        /// field; it is not written if false.
        #[serde(default, rename = "deltas", skip_serializing_if = "std::ops::Not::not")]
        accepts_deltas: bool,
    },
    /// A complete state for a backup to sync.
    Replicate {
        /// Term of the primary.
        term: u64,
        /// The newest state of the primary.
        state: Arc<ReplicatedState>,
    },
    /// A state for a backup to sync, as deltas from the state that the backup holds. Sent only to members that have
    /// reported support for it.
    ReplicateDeltas {
        /// Term of the primary.
        term: u64,
        /// Consecutive deltas: the base of each is the result of the preceding one.
        deltas: Vec<Arc<StateDelta>>,
    },
    /// Reply to [`ReplicationMessage::ReplicateDeltas`]: the deltas cannot be applied, and the complete state is
    /// needed.
    DeltasRejected {
        /// Term of the primary that sent the deltas.
        term: u64,
    },
    /// Reply to a replicated state: it is durable.
    Synced {
        /// Term of the primary that sent the state.
        term: u64,
        /// Version of the durable state.
        version: StateVersion,
    },
}

impl ReplicationMessage {
    /// Returns whether this is a reply to a message from the process that it is sent to.
    pub fn is_response(&self) -> bool {
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
