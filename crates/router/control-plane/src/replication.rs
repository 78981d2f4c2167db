//! Primary-backup replication of one document.
//!
//! Every member is a witness and a backup. Witnesses store the epoch record and the highest term they have
//! promised; a candidate becomes primary of a term with promises of a majority, and its record is in force once a
//! majority has stored it. A change is committed once all of the in-sync set that the record names have synced it.
//! Safety never rests on a clock; clocks only decide when to try.

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
