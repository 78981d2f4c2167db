//! Primary-backup replication of one document, with epoch records agreed on by vote.
//!
//! The core of the fleet must keep every acknowledged configuration while machines fail, disks are lost and the network
//! partitions. Every member is a witness (a Paxos acceptor) and a backup. Witnesses store the epoch record and the
//! highest term they have promised. A candidate becomes the primary of a term once a quorum has promised it that term,
//! and its record is in force once a quorum has accepted it. A state is committed once every member of the in-sync set
//! named by the record has synced it. Safety never depends on clocks; they only decide when to start an attempt.
//!
//! - [`Replica`] is one member: elections, acceptance of records and states, durable writes, membership requests.
//! - `leadership` is the primary's part: heartbeats, replication and commit, changes of the record.
//! - `bootstrap_election`, `voter_discovery` and [`NonVotingSeed`] establish the first record.
//! - `mutation` contains the protocol faults that the cluster simulation injects.
//!
//! This module does no I/O, reads no clock and treats the document as opaque.

mod action;
mod bootstrap_election;
mod context;
mod durable;
mod epoch;
mod identity;
mod leadership;
mod message;
mod mutation;
mod non_voting_seed;
mod replica;
mod settings;
mod state;
mod state_delta;
mod voter_discovery;

pub use action::ReplicaAction;
pub use durable::{DurableState, DurableWrite, WitnessState, WriteId};
pub use epoch::{EpochRecord, RecordPosition};
pub use identity::{Member, MemberId, Sender};
pub use message::{ReplicationEnvelope, ReplicationMessage};
pub use mutation::Mutations;
#[cfg(feature = "mutations")]
pub use mutation::ProtocolMutation;
pub use non_voting_seed::NonVotingSeed;
pub use replica::Replica;
pub use settings::ReplicaSettings;
pub use state::{AppliedChange, ReplicatedState, StateVersion};
pub use state_delta::StateDelta;
