//! The first record: who may vote on it, who is to be a member, and when it is time to propose it.
//!
//! What all processes know alike at the first start are the addresses of the seeds. So the seeds that count are the
//! electors of the first record: it is an ordinary election ([`super::Replica`]) whose quorum is a majority of them.
//! Two parts of a divided system can't both have that, and a record that some seed has stored is found by whoever
//! stands after that. A seed is taken to count until it says that it doesn't.

use super::epoch::EpochRecord;
use super::identity::{Member, MemberId};
use super::mutation::Mutations;
use super::settings::ReplicaSettings;
use super::voter_discovery::VoterDiscovery;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a counted machine knows of the others before there is a record.
#[derive(Debug)]
pub(super) struct Bootstrap {
    own: Member,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    voter_discovery: VoterDiscovery,
    /// Members at the seeds' addresses, for good once they are known.
    electors: BTreeMap<SocketAddrV4, MemberId>,
    /// Seeds that don't count.
    without_disk: BTreeSet<SocketAddrV4>,
    mutation: Mutations,
}

impl Bootstrap {
    pub(super) fn new(now: Duration, settings: &ReplicaSettings) -> Self {
        Bootstrap {
            own: settings.own,
            seeds: settings.seeds.clone(),
            tolerated_losses: settings.tolerated_losses,
            voter_discovery: VoterDiscovery::new(now),
            electors: BTreeMap::new(),
            without_disk: BTreeSet::new(),
            mutation: settings.mutation,
        }
    }

    /// A machine that counts tells that it is there.
    pub(super) fn present(&mut self, now: Duration, member: Member) {
        self.voter_discovery.present(now, member);
        if self.seeds.contains(&member.address) {
            self.electors.entry(member.address).or_insert(member.id);
        }
    }

    /// A seed tells that it doesn't count.
    pub(super) fn without_disk(&mut self, address: SocketAddrV4) {
        self.without_disk.insert(address);
    }

    /// The record before the first, of term 0, that nobody stores: it only says who votes on the first. `None` if this
    /// machine is no elector.
    pub(super) fn electorate(&self, now: Duration) -> Option<EpochRecord> {
        let mutated = self.mutation.bootstrap_electorate(self.own, || self.voter_discovery.members(now));
        let members = mutated.or_else(|| self.counted_seeds())?;
        Some(EpochRecord {
            term: 0,
            sequence: 0,
            primary: MemberId::NOBODY,
            previous_members: members.clone(),
            members,
            in_sync: BTreeSet::new(),
        })
    }

    fn counted_seeds(&self) -> Option<Vec<Member>> {
        let member = |address: &SocketAddrV4| {
            let id = self.electors.get(address).copied().unwrap_or(MemberId::NOBODY);
            Member { id, address: *address }
        };
        let counted = self.seeds.iter().filter(|seed| !self.without_disk.contains(seed));
        self.seeds.contains(&self.own.address).then(|| counted.map(member).collect())
    }

    /// Whether it is time to stand with what has gathered.
    pub(super) fn may_found(&self, now: Duration) -> bool {
        if self.mutation.bootstraps_alone() {
            return true;
        }
        let place = self.seeds.iter().position(|seed| *seed == self.own.address);
        place.is_some_and(|place| self.voter_discovery.is_enough(now, place, self.tolerated_losses))
    }

    /// The first record, for the elector that has the promises of a majority of which none has stored any.
    pub(super) fn first_record(&self, now: Duration, term: u64) -> Option<EpochRecord> {
        let electorate = self.electorate(now)?;
        let mutated = self.mutation.bootstrap_members(self.own);
        let members = mutated.unwrap_or_else(|| self.voter_discovery.members(now));
        let own_is_there = members.iter().any(|m| m.id == self.own.id);
        own_is_there.then(|| EpochRecord {
            term,
            sequence: 0,
            primary: self.own.id,
            in_sync: members.iter().map(|m| m.id).collect(),
            members,
            previous_members: electorate.members,
        })
    }
}
