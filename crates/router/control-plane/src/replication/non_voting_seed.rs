//! A seed that is no voter: during the bootstrap it announces that to the others, and where no seed is a voter, the
//! first of them proposes the first record.
//!
//! Where some seed is a voter, the bootstrap is left to the voting seeds. Where none is, nothing on a disk can keep two
//! sides of a partition from bootstrapping a cluster each; the backoff by seed rank and the discovery of voters make it
//! unlikely. `docs/design/consistency.md` says so.

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

/// The decider of a non-voting seed.
#[derive(Debug)]
pub struct NonVotingSeed {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    /// Seeds that have announced that they are no voters, this one among them.
    non_voting_seeds: BTreeSet<SocketAddrV4>,
    voter_discovery: VoterDiscovery,
    /// The first record, once proposed. Invariant: never replaced, so that this seed doesn't propose two.
    proposed: Option<EpochRecord>,
    next_announcement: Duration,
}

impl NonVotingSeed {
    /// The decider, if the process at `own` is one of the seeds.
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

    /// A voter announces itself; the reply is that this seed is none.
    pub fn handle_present(&mut self, now: Duration, member: Member, actions: &mut Vec<ReplicaAction>) {
        self.voter_discovery.handle_present(now, member);
        self.announce(&mut Context::new(now, actions), member.address);
    }

    /// Another seed announces that it is no voter.
    pub fn handle_non_voting_seed(&mut self, address: SocketAddrV4) {
        self.non_voting_seeds.insert(address);
    }

    /// Advances timers to `now`: announces this seed to the others, and proposes the first record when that falls to
    /// it. To be called until a record in force is known.
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

    /// Whether no seed is a voter, and this one is the first in turn.
    fn may_propose(&self, now: Duration) -> bool {
        if !self.seeds.iter().all(|seed| self.non_voting_seeds.contains(seed)) {
            return false;
        }
        let rank = self.seed_rank();
        rank.is_some_and(|rank| self.voter_discovery.is_complete(now, rank, self.tolerated_losses))
    }

    /// Position in the list of seeds, from 0.
    fn seed_rank(&self) -> Option<usize> {
        self.seeds.iter().position(|seed| *seed == self.own)
    }

    /// The first record: the discovered voters are members, and the one with the lowest address is primary. The term
    /// differs between seeds.
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
