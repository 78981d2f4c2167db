//! The bootstrap election: which seeds vote on the first record, which voters become members, and when a seed may start
//! a campaign.
//!
//! At the first start of the cluster, the seed addresses are the only thing that all processes agree on. A machine
//! stores them on its disk until there is a record, because later starts may be configured with other seeds. The voting
//! seeds therefore form the electorate of the first record: the bootstrap is an ordinary election ([`super::Replica`])
//! whose quorum is a majority of them. Two sides of a partition cannot both hold a majority, and a later candidate
//! learns of any record that a seed has accepted. A seed counts as a voter until it announces that it is not one.
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

/// A voter's knowledge of the other voters and seeds before there is a record.
#[derive(Debug)]
pub(super) struct BootstrapElection {
    own: Member,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    voter_discovery: VoterDiscovery,
    /// Identities of the voting seeds, by address. Invariant: the first identity seen at an address is kept. A seed
    /// that loses its disk during the bootstrap returns with a new identity, which must not vote in place of the
    /// first.
    seed_ids: BTreeMap<SocketAddrV4, MemberId>,
    /// Addresses of the seeds that have announced that they are not voters.
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
            seed_ids: BTreeMap::new(),
            non_voting_seeds: BTreeSet::new(),
            mutation: settings.mutation,
        }
    }

    /// Records the announcement of a voter.
    pub(super) fn handle_present(&mut self, now: Duration, member: Member) {
        self.voter_discovery.handle_present(now, member);
        if self.seeds.contains(&member.address) {
            self.seed_ids.entry(member.address).or_insert(member.id);
        }
    }

    /// Records the announcement of a seed that it is not a voter.
    pub(super) fn handle_non_voting_seed(&mut self, address: SocketAddrV4) {
        self.non_voting_seeds.insert(address);
    }

    /// Returns the electorate of the first record, as a record of term 0 that is never stored or sent. Returns `None`
    /// if this member is not a seed.
    pub(super) fn electorate(&self, now: Duration) -> Option<EpochRecord> {
        let mutated = self.mutation.bootstrap_electorate(self.own, || self.voter_discovery.members(now));
        let members = mutated.or_else(|| self.voting_seeds())?;
        Some(EpochRecord {
            term: 0,
            sequence: 0,
            primary: MemberId::UNKNOWN,
            previous_members: members.clone(),
            members,
            in_sync: BTreeSet::new(),
        })
    }

    /// Returns the seeds that count as voters, or `None` if this member is not a seed. A seed that has not been
    /// discovered yet counts towards the size of the majority, but cannot vote.
    fn voting_seeds(&self) -> Option<Vec<Member>> {
        if !self.seeds.contains(&self.own.address) {
            return None;
        }
        let member_at = |address: &SocketAddrV4| {
            let id = self.seed_ids.get(address).copied().unwrap_or(MemberId::UNKNOWN);
            Member { id, address: *address }
        };
        let voting = self.seeds.iter().filter(|seed| !self.non_voting_seeds.contains(seed));
        Some(voting.map(member_at).collect())
    }

    /// Returns whether this seed may campaign now with the voters discovered so far.
    pub(super) fn may_campaign(&self, now: Duration) -> bool {
        if self.mutation.bootstraps_alone() {
            return true;
        }
        let seed_rank = self.seeds.iter().position(|seed| *seed == self.own.address);
        seed_rank.is_some_and(|rank| self.voter_discovery.is_complete(now, rank, self.tolerated_losses))
    }

    /// Returns the first record as proposed by this member in `term`, with the discovered voters as members. Returns
    /// `None` if this member is not among them, or is not a seed.
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
