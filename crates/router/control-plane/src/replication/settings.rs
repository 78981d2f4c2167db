//! Settings of one member.

use super::identity::Member;
use super::mutation::Mutations;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a member has to know when it starts.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// This member.
    pub own: Member,
    /// Number of members that may be lost at the same time without losing a committed state.
    pub tolerated_losses: usize,
    /// Whether this member was started for the first start of the cluster and its disk has held no record since. Stored
    /// on the disk, so that a process that is killed during the bootstrap continues with it.
    pub bootstrapping: bool,
    /// Addresses of the seeds for internal messages.
    pub seeds: Vec<SocketAddrV4>,
    /// The seeds of this machine's first start; the voters among them elect the first record. Invariant: the same at each
    /// start of a machine. They are stored with its identity, since two lists of seeds at one machine could elect two
    /// records.
    pub bootstrap_seeds: Vec<SocketAddrV4>,
    /// Minimum time without contact to a primary before an election starts.
    pub election_timeout: Duration,
    /// Whether this member takes states as differences. Only the cluster simulation turns it off, for members that run an
    /// earlier build.
    pub accepts_deltas: bool,
    /// Seed of this member's random choices; differs between members, so that their timers do.
    pub random_seed: u64,
    /// A deliberately broken rule, in the cluster simulation only; [`Mutations::NONE`] otherwise.
    pub mutation: Mutations,
}
