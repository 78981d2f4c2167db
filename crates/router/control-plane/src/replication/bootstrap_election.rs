//! The bootstrap election: who votes on the first record, who becomes a member, and when a seed may stand.
//!
//! What all processes know alike at the first start of the cluster are the addresses of the seeds. A machine keeps them on
//! its disk until there is a record: the seeds of a later start may be others. So the electorate of
//! the first record are the voting seeds: it is an ordinary election ([`super::Replica`]) whose quorum is a majority of
//! them. Two sides of a partition can't both have that, and a record that some seed has accepted is found by whoever
//! stands later. A seed counts as a voter until it announces that it is none.
//!
//! Clusters without any voting seed are bootstrapped by [`super::NonVotingSeed`].

use super::epoch::EpochRecord;
use super::identity::{Member, MemberId};
use super::mutation::Mutations;
use super::settings::ReplicaSettings;
use super::voter_discovery::VoterDiscovery;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a voter knows of the others before there is a record.
#[derive(Debug)]
pub(super) struct BootstrapElection {
    own: Member,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    voter_discovery: VoterDiscovery,
    /// Identities of the voting seeds, by address. Invariant: the first identity at an address stays. A seed whose disk
    /// is lost during the bootstrap comes back as another member, which must not vote in place of the first.
    electors: BTreeMap<SocketAddrV4, MemberId>,
    /// Seeds that have announced that they are no voters.
    non_voting_seeds: BTreeSet<SocketAddrV4>,
    mutation: Mutations,
}

impl BootstrapElection {
    pub(super) fn new(now: Duration, settings: &ReplicaSettings) -> Self {
        BootstrapElection {
            own: settings.own,
            seeds: settings.bootstrap_seeds.clone(),
            tolerated_losses: settings.tolerated_losses,
            voter_discovery: VoterDiscovery::new(now),
            electors: BTreeMap::new(),
            non_voting_seeds: BTreeSet::new(),
            mutation: settings.mutation,
        }
    }

    /// A voter announces itself.
    pub(super) fn handle_present(&mut self, now: Duration, member: Member) {
        self.voter_discovery.handle_present(now, member);
        if self.seeds.contains(&member.address) {
            self.electors.entry(member.address).or_insert(member.id);
        }
    }

    /// A seed announces that it is no voter.
    pub(super) fn handle_non_voting_seed(&mut self, address: SocketAddrV4) {
        self.non_voting_seeds.insert(address);
    }

    /// The electorate of the first record, as a record of term 0 that is never stored or sent. `None` if this member is
    /// no seed.
    pub(super) fn electorate(&self, now: Duration) -> Option<EpochRecord> {
        let mutated = self.mutation.bootstrap_electorate(self.own, || self.voter_discovery.members(now));
        let members = mutated.or_else(|| self.voting_seeds())?;
        Some(EpochRecord {
            term: 0,
            sequence: 0,
            primary: MemberId::NOBODY,
            previous_members: members.clone(),
            members,
            in_sync: BTreeSet::new(),
        })
    }

    /// The seeds that count as voters. One that was not discovered yet counts towards the majority, but can't vote.
    fn voting_seeds(&self) -> Option<Vec<Member>> {
        if !self.seeds.contains(&self.own.address) {
            return None;
        }
        let member_at = |address: &SocketAddrV4| {
            let id = self.electors.get(address).copied().unwrap_or(MemberId::NOBODY);
            Member { id, address: *address }
        };
        let voting = self.seeds.iter().filter(|seed| !self.non_voting_seeds.contains(seed));
        Some(voting.map(member_at).collect())
    }

    /// Whether this seed is to stand now with the discovered voters.
    pub(super) fn may_stand(&self, now: Duration) -> bool {
        if self.mutation.bootstraps_alone() {
            return true;
        }
        let seed_rank = self.seeds.iter().position(|seed| *seed == self.own.address);
        seed_rank.is_some_and(|rank| self.voter_discovery.is_complete(now, rank, self.tolerated_losses))
    }

    /// The first record, for the bootstrap leader of this term: the discovered voters are its members. `None` if this
    /// member isn't among them.
    pub(super) fn first_record(&self, now: Duration, term: u64) -> Option<EpochRecord> {
        let electorate = self.electorate(now)?;
        let mutated = self.mutation.bootstrap_members(self.own);
        let members = mutated.unwrap_or_else(|| self.voter_discovery.members(now));
        if !members.iter().any(|member| member.id == self.own.id) {
            return None;
        }
        Some(EpochRecord {
            term,
            sequence: 0,
            primary: self.own.id,
            in_sync: members.iter().map(|member| member.id).collect(),
            members,
            previous_members: electorate.members,
        })
    }
}
