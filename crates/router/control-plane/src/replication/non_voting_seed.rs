//! A seed that is not a voter. During the bootstrap it announces this to the others; if no seed is a voter, the first
//! seed in the list proposes the first record.
//!
//! If any seed is a voter, the bootstrap is left to the voting seeds. If none is, no durable state can keep two sides
//! of a partition from bootstrapping a cluster each; the backoff by seed rank and the discovery of voters only make
//! this unlikely. `docs/design/consistency.md` describes this limitation.

use super::action::ReplicaAction;
use super::context::Context;
use super::epoch::EpochRecord;
use super::identity::Member;
use super::message::ReplicationMessage;
use super::voter_discovery::VoterDiscovery;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Interval of announcements to the other seeds, and of the proposal to its members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// State machine of a non-voting seed during the bootstrap.
#[derive(Debug)]
pub struct NonVotingSeed {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    /// Addresses of the seeds known not to be voters, including this one.
    non_voting_seeds: BTreeSet<SocketAddrV4>,
    voter_discovery: VoterDiscovery,
    /// The first record, once proposed. Invariant: never replaced, so that this seed does not propose two.
    proposed: Option<EpochRecord>,
    next_announcement: Duration,
}

impl NonVotingSeed {
    /// Creates the state machine for the process at `own`. Returns `None` if that is not one of the seeds.
    pub fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], tolerated_losses: usize) -> Option<Self> {
        seeds.contains(&own).then(|| NonVotingSeed {
            own,
            seeds: seeds.to_vec(),
            tolerated_losses,
            non_voting_seeds: BTreeSet::from([own]),
            voter_discovery: VoterDiscovery::new(Duration::ZERO),
            proposed: None,
            next_announcement: Duration::ZERO,
        })
    }

    /// Records the announcement of a voter, and informs it that this seed is not a voter.
    pub fn handle_present(&mut self, now: Duration, member: Member, actions: &mut Vec<ReplicaAction>) {
        self.voter_discovery.handle_present(now, member);
        self.announce(&mut Context::new(now, actions), member.address);
    }

    /// Records the announcement of another seed that it is not a voter.
    pub fn handle_non_voting_seed(&mut self, address: SocketAddrV4) {
        self.non_voting_seeds.insert(address);
    }

    /// Advances the timers: announces this seed to the others, and proposes the first record once this seed may do so.
    /// To be called until a record in force is known.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        if now < self.next_announcement {
            return;
        }
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let context = &mut Context::new(now, actions);
        for seed in self.seeds.iter().filter(|seed| **seed != self.own) {
            self.announce(context, *seed);
        }
        if self.proposed.is_none() && self.may_propose(now) {
            self.proposed = self.first_record(now);
        }
        let Some(record) = &self.proposed else { return };
        for member in &record.members {
            context.send(member.address, ReplicationMessage::Accept { record: record.clone() });
        }
    }

    fn announce(&self, context: &mut Context, to: SocketAddrV4) {
        context.send(to, ReplicationMessage::NonVotingSeed { address: self.own });
    }

    /// Returns whether no seed is a voter and the discovery of voters is complete for this seed's rank.
    fn may_propose(&self, now: Duration) -> bool {
        if !self.seeds.iter().all(|seed| self.non_voting_seeds.contains(seed)) {
            return false;
        }
        let rank = self.seed_rank();
        rank.is_some_and(|rank| self.voter_discovery.is_complete(now, rank, self.tolerated_losses))
    }

    /// Returns the position of this seed in the list of seeds, from 0.
    fn seed_rank(&self) -> Option<usize> {
        self.seeds.iter().position(|seed| *seed == self.own)
    }

    /// Returns the first record: the discovered voters are its members, and the one with the lowest address is primary.
    /// Its term differs between seeds. Returns `None` if no voter was discovered.
    fn first_record(&self, now: Duration) -> Option<EpochRecord> {
        let members = self.voter_discovery.members(now);
        Some(EpochRecord {
            term: 1 + u64::try_from(self.seed_rank()?).unwrap_or(0),
            sequence: 0,
            primary: members.first()?.id,
            in_sync: members.iter().map(|member| member.id).collect(),
            previous_members: members.clone(),
            members,
        })
    }
}
