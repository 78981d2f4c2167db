//! Settings of one member.

use super::identity::Member;
use super::mutation::Mutations;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Configuration of a member, fixed from its start.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Identity and address of this member.
    pub own: Member,
    /// Number of members that may be lost at the same time without losing a committed state.
    pub tolerated_losses: usize,
    /// Whether this member was started for the first start of the cluster and its disk has held no record since. Stored
    /// on the disk, so that a process killed during the bootstrap resumes it.
    pub bootstrapping: bool,
    /// Internal addresses of the currently configured seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// The seeds configured at this machine's first start; the voters among them elect the first record. Invariant: the
    /// same at each start of a machine. They are stored with its identity, because two different lists at one machine
    /// could elect two first records.
    pub bootstrap_seeds: Vec<SocketAddrV4>,
    /// Minimum time without contact to a primary before an election starts.
    pub election_timeout: Duration,
    /// Whether this member accepts states as deltas. Only the cluster simulation disables it, for members that stand
    /// for an earlier build.
    pub accepts_deltas: bool,
    /// Seed of this member's random number generator. It differs between members, so that their election timers differ.
    pub random_seed: u64,
    /// Protocol mutation, in the cluster simulation only; [`Mutations::NONE`] otherwise.
    pub mutation: Mutations,
}
