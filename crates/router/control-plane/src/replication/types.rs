//! Records, messages and actions of replication.

use super::mutation::Mutations;
use passrelay_dissemination::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Taken orders that are remembered, so that the same one sent again is acknowledged again.
const MAX_APPLIED_CHANGES: usize = 512;

/// Time allowed for handing a state over, by its size.
const MICROS_PER_KILOBYTE: u64 = 1_500;

/// A member of the core. Drawn when its disk is first used, so a machine whose disk was lost is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Stands for a member that is not known; no disk draws it, so it never votes.
    pub const NOBODY: MemberId = MemberId(0);
}

/// A member and where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub id: MemberId,
    /// Its address for internal messages.
    pub address: SocketAddrV4,
}

/// A member as the sender of a message, and which start of its process it speaks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// The member.
    pub member: Member,
    /// The start of its process.
    pub incarnation: Incarnation,
}

/// Who leads and who holds the state. Records are ordered by term, then by sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The term; each has one primary at most.
    pub term: u64,
    /// Position within the term.
    pub sequence: u64,
    /// The primary.
    pub primary: MemberId,
    /// The witnesses.
    pub members: Vec<Member>,
    /// The witnesses of the record before, whose majority has to store this one too.
    pub previous_members: Vec<Member>,
    /// Members that hold everything committed.
    pub in_sync: BTreeSet<MemberId>,
}

impl EpochRecord {
    /// Position in the order of records.
    pub fn position(&self) -> (u64, u64) {
        (self.term, self.sequence)
    }

    /// The member of this identity.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Whether these are a majority of the members, and of the members of the record before.
    pub fn is_quorum(&self, ids: &BTreeSet<MemberId>) -> bool {
        is_majority(&self.members, ids) && is_majority(&self.previous_members, ids)
    }
}

fn is_majority(members: &[Member], ids: &BTreeSet<MemberId>) -> bool {
    members.iter().filter(|m| ids.contains(&m.id)).count() * 2 > members.len()
}

/// What a witness stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessState {
    /// The highest term promised; nothing of a lower one is taken any more.
    pub promised: u64,
    /// To whom.
    pub promised_to: Option<MemberId>,
    /// The highest record stored.
    pub record: Option<EpochRecord>,
}

/// Position of a state: the term of the primary that wrote it, then the number of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateVersion {
    /// Term of the primary.
    pub term: u64,
    /// Number of changes since the beginning.
    pub index: u64,
}

/// An order that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// The generation that it brought.
    pub generation: u64,
    /// Digest of method, base version and body.
    pub digest: [u8; 32],
}

/// What is replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Its position.
    pub version: StateVersion,
    /// The operators' version number; 0 before the first configuration.
    pub generation: u64,
    /// The document, as JSON; `None` before the first configuration.
    pub document: Option<Arc<str>>,
    /// The orders taken last, oldest first.
    #[serde(rename = "orders")]
    pub applied_changes: VecDeque<AppliedChange>,
}

impl ReplicatedState {
    /// About the time that handing it over may take on a slow link, in addition to what a small one takes.
    pub fn transfer_time(&self) -> Duration {
        let bytes = self.document.as_ref().map_or(0, |d| d.len());
        Duration::from_micros(u64::try_from(bytes).unwrap_or(u64::MAX) * MICROS_PER_KILOBYTE / 1_024)
    }

    /// Whether an order that builds on this generation may have been taken and dropped out of the memory since.
    pub fn may_have_truncated(&self, base: u64) -> bool {
        let oldest = self.applied_changes.front().map_or(0, |order| order.generation);
        self.applied_changes.len() >= MAX_APPLIED_CHANGES && base < oldest
    }

    /// The state that follows by one more order.
    pub fn after(&self, term: u64, generation: u64, document: Arc<str>, order: AppliedChange) -> Self {
        let mut applied_changes = self.applied_changes.clone();
        applied_changes.push_back(order);
        while applied_changes.len() > MAX_APPLIED_CHANGES {
            applied_changes.pop_front();
        }
        let version = StateVersion { term, index: self.version.index + 1 };
        ReplicatedState { version, generation, document: Some(document), applied_changes }
    }
}

/// Everything that a member has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// As a witness.
    pub witness: WitnessState,
    /// As a backup or primary.
    pub state: ReplicatedState,
}

/// One write; both parts are in force together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DurableWrite {
    /// The witness's part, if it changed.
    pub witness: Option<WitnessState>,
    /// The replicated state, if it changed.
    pub state: Option<Arc<ReplicatedState>>,
}

/// Names a write whose end is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// A message and who sent it. Words count by identity: a machine whose disk was lost speaks as another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationEnvelope {
    /// The sender.
    pub sender: Member,
    /// The message.
    pub message: ReplicationMessage,
}

/// Messages between members, and from those that want to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicationMessage {
    /// A machine that counts, and was started with the whole system, tells the seeds that it is there.
    Present {
        /// Who.
        member: Member,
    },
    /// A seed that doesn't count tells that it takes no part in the founding.
    #[serde(rename = "SeedWithoutDisk")]
    NonVotingSeed {
        /// Its address.
        address: SocketAddrV4,
    },
    /// A machine that counts and is no member asks the primary for a place.
    Join {
        /// Who.
        member: Member,
        /// Whether the whole system is starting for the first time.
        founding: bool,
    },
    /// Would a vote be given? Changes nothing.
    PreVote {
        /// The term that would be stood for.
        term: u64,
    },
    /// It would.
    PreVoteGranted {
        /// The term asked for.
        term: u64,
    },
    /// A candidate asks for a promise.
    Prepare {
        /// Its term.
        term: u64,
        /// The candidate.
        candidate: MemberId,
    },
    /// The promise, with the highest record stored.
    Promise {
        /// The term.
        term: u64,
        /// The record.
        record: Option<EpochRecord>,
    },
    /// A record to be stored.
    Accept {
        /// The record.
        record: EpochRecord,
    },
    /// It is stored.
    Accepted {
        /// Its position.
        position: (u64, u64),
    },
    /// Something of a lower term than promised came.
    #[serde(rename = "Refused")]
    Rejected {
        /// The term promised.
        promised: u64,
    },
    /// The primary lives.
    Ping {
        /// Its term.
        term: u64,
        /// Names the round.
        round: u64,
        /// Position of the record in force.
        position: (u64, u64),
    },
    /// Nothing higher than that term was promised here when the ping came.
    Pong {
        /// The term.
        term: u64,
        /// The round.
        round: u64,
        /// Position of the record stored.
        position: (u64, u64),
        /// The state synced.
        synced: StateVersion,
    },
    /// A state to be synced.
    Replicate {
        /// Term of the primary that sends it.
        term: u64,
        /// The state.
        state: Arc<ReplicatedState>,
    },
    /// It is synced.
    Synced {
        /// Term of the primary that sent it.
        term: u64,
        /// Its version.
        version: StateVersion,
    },
}

impl ReplicationMessage {
    /// Whether this answers a message of the process that it is sent to.
    pub fn is_answer(&self) -> bool {
        match self {
            ReplicationMessage::PreVoteGranted { .. }
            | ReplicationMessage::Promise { .. }
            | ReplicationMessage::Accepted { .. }
            | ReplicationMessage::Rejected { .. }
            | ReplicationMessage::Pong { .. }
            | ReplicationMessage::Synced { .. } => true,
            ReplicationMessage::Present { .. }
            | ReplicationMessage::NonVotingSeed { .. }
            | ReplicationMessage::Join { .. }
            | ReplicationMessage::PreVote { .. }
            | ReplicationMessage::Prepare { .. }
            | ReplicationMessage::Accept { .. }
            | ReplicationMessage::Ping { .. }
            | ReplicationMessage::Replicate { .. } => false,
        }
    }
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message to a member; it may be lost.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// For an answer: the process that asked.
        addressee: Option<Incarnation>,
        /// The message.
        message: ReplicationMessage,
    },
    /// Write and sync, then call [`Replica::written`](super::Replica::written).
    Write {
        /// Names the write.
        write_id: WriteId,
        /// What to write.
        write: DurableWrite,
    },
}

/// What a member has to know from the start.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// This member.
    pub own: Member,
    /// Members that may be lost at one time.
    pub tolerated_losses: usize,
    /// Whether this member was started with the whole system and its disk has held no record since. The disk keeps this,
    /// so that a process that is killed before the system is founded goes on with it.
    pub founding: bool,
    /// Addresses of the seeds for internal messages; those that count elect the first record.
    pub seeds: Vec<SocketAddrV4>,
    /// Time without the primary after which another is elected, at least.
    pub election_timeout: Duration,
    /// Sets this member's random choices apart from those of others.
    pub random_seed: u64,
    /// A deliberately broken rule, in the cluster simulation only; [`Mutations::NONE`] otherwise.
    pub mutation: Mutations,
}
