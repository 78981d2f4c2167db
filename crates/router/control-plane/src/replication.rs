//! Primary-backup replication of one document.
//!
//! Every member is a witness and a backup. Witnesses store the epoch record and the highest term they have
//! promised; a candidate becomes primary of a term with promises of a majority, and its record is in force once a
//! majority has stored it. A change is committed once all of the in-sync set that the record names have synced it.
//! No promise rests on a clock; clocks only decide when to try.

mod bootstrap_election;
mod leadership;
mod mutation;
mod non_voting_seed;
mod replica;
mod rounds;
mod types;
mod voter_discovery;

pub use mutation::Mutations;
#[cfg(feature = "mutations")]
pub use mutation::ProtocolMutation;
pub use non_voting_seed::NonVotingSeed;
pub use replica::Replica;
pub use types::{
    AppliedChange, DurableState, DurableWrite, EpochRecord, Member, MemberId, ReplicaAction, ReplicaSettings,
    ReplicatedState, ReplicationEnvelope, ReplicationMessage, Sender, StateVersion, WitnessState, WriteId,
};
