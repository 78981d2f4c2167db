//! Primary-backup replication of one document, with epoch records agreed on by vote.
//!
//! The core of the fleet has to keep the configuration that it acknowledged while machines fail, disks are lost and the
//! network partitions. Every member is a witness (acceptor) and a backup. Witnesses store the epoch record and the
//! highest term they have promised: a candidate becomes primary of a term with the promises of a quorum, and its record
//! is in force once a quorum has accepted it. A state is committed once the whole in-sync set that the record names has
//! synced it. Safety never rests on a clock; clocks only decide when to try.
//!
//! - [`Replica`] is one member: elections, acceptance of records and states, durable writes, requests for membership.
//! - `leadership` is the primary's part: heartbeats, replication and commit, changes of the record.
//! - `bootstrap_election`, `voter_discovery` and [`NonVotingSeed`] bring about the first record.
//! - `mutation` is where the cluster simulation breaks the protocol on purpose.
//!
//! Nothing here does I/O, reads a clock, or knows what the document says.

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
