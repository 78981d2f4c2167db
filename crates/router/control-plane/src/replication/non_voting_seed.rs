//! A seed that doesn't count: before the system is founded it tells the others that it takes no part, and where no seed
//! counts, the first of them proposes the first record.
//!
//! Where some seed counts, all of this leaves the founding to those that do. Where none does, nothing on a disk can keep
//! two parts of a divided system from founding one each; the order of the seeds and the wait for machines to gather make
//! it unlikely. `docs/design/consistency.md` says so.

use super::action::ReplicaAction;
use super::epoch::EpochRecord;
use super::identity::Member;
use super::message::ReplicationMessage;
use super::voter_discovery::VoterDiscovery;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Pause between messages to the others.
const TELL_EVERY: Duration = Duration::from_millis(250);

/// The decider of such a seed.
#[derive(Debug)]
pub struct NonVotingSeed {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    /// Seeds that have told that they don't count, this one among them.
    uncounted: BTreeSet<SocketAddrV4>,
    voter_discovery: VoterDiscovery,
    record: Option<EpochRecord>,
    next_tell: Duration,
}

impl NonVotingSeed {
    /// The decider, if the process at `own` is one of the seeds.
    pub fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], tolerated_losses: usize) -> Option<Self> {
        seeds.contains(&own).then(|| NonVotingSeed {
            own,
            seeds: seeds.to_vec(),
            tolerated_losses,
            uncounted: BTreeSet::from([own]),
            voter_discovery: VoterDiscovery::new(Duration::ZERO),
            record: None,
            next_tell: Duration::ZERO,
        })
    }

    /// A machine that counts tells that it is there. It is told that this seed doesn't.
    pub fn present(&mut self, now: Duration, member: Member, actions: &mut Vec<ReplicaAction>) {
        self.voter_discovery.present(now, member);
        actions.push(self.tell(member.address));
    }

    /// Another seed tells that it doesn't count.
    pub fn without_disk(&mut self, address: SocketAddrV4) {
        self.uncounted.insert(address);
    }

    /// Does what is due; to be called until the core is known.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        if now < self.next_tell {
            return;
        }
        self.next_tell = now + TELL_EVERY;
        for seed in self.seeds.iter().filter(|seed| **seed != self.own) {
            actions.push(self.tell(*seed));
        }
        if self.record.is_none() && self.may_found(now) {
            self.record = self.first_record(now);
        }
        let Some(record) = &self.record else { return };
        actions.extend(record.members.iter().map(|member| ReplicaAction::Send {
            to: member.address,
            addressee: None,
            message: ReplicationMessage::Accept { record: record.clone() },
        }));
    }

    fn tell(&self, to: SocketAddrV4) -> ReplicaAction {
        let message = ReplicationMessage::NonVotingSeed { address: self.own };
        ReplicaAction::Send { to, addressee: None, message }
    }

    fn may_found(&self, now: Duration) -> bool {
        let no_seed_counts = self.seeds.iter().all(|seed| self.uncounted.contains(seed));
        let place = self.place().filter(|_| no_seed_counts);
        place.is_some_and(|place| self.voter_discovery.is_enough(now, place, self.tolerated_losses))
    }

    fn place(&self) -> Option<usize> {
        self.seeds.iter().position(|seed| *seed == self.own)
    }

    /// The machine with the lowest address leads first.
    fn first_record(&self, now: Duration) -> Option<EpochRecord> {
        let members = self.voter_discovery.members(now);
        Some(EpochRecord {
            term: 1 + u64::try_from(self.place()?).unwrap_or(0),
            sequence: 0,
            primary: members.first()?.id,
            in_sync: members.iter().map(|m| m.id).collect(),
            previous_members: members.clone(),
            members,
        })
    }
}
