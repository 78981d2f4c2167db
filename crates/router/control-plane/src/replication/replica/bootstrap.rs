//! A member's part in the bootstrap of the cluster; [`crate::replication::bootstrap_election`] decides who votes and when.

use super::Replica;
use crate::replication::context::Context;
use crate::replication::identity::{Member, MemberId};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

impl Replica {
    /// Whether this member takes part in the bootstrap and has accepted no record yet.
    pub(super) fn is_bootstrapping(&self) -> bool {
        self.bootstrap_election.is_some() && self.witness.record.is_none()
    }

    /// Whether this member is to stand for the first record: as far as it knows no record exists anywhere.
    pub(super) fn may_stand_for_bootstrap(&self, now: Duration) -> bool {
        let knows_cluster = self.settings.mutation.knows_cluster(self.core_hint.is_some());
        let no_record = self.witness.record.is_none() && !knows_cluster;
        let election = self.bootstrap_election.as_ref();
        no_record && election.is_some_and(|election| election.may_stand(now))
    }

    /// A voter announces itself.
    pub(super) fn handle_present(&mut self, now: Duration, member: Member) {
        if let Some(election) = &mut self.bootstrap_election {
            election.handle_present(now, member);
        }
    }

    /// A seed announces that it is no voter.
    pub(super) fn handle_non_voting_seed(&mut self, address: SocketAddrV4) {
        if let Some(election) = &mut self.bootstrap_election {
            election.handle_non_voting_seed(address);
        }
    }

    /// None of the electors that have promised has accepted any record: this candidate becomes bootstrap leader, if they
    /// are a majority of the electorate.
    pub(super) fn lead_bootstrap(&mut self, context: &mut Context, term: u64, electors: &BTreeSet<MemberId>) {
        let Some(election) = &self.bootstrap_election else { return };
        let electorate = election.electorate(context.now);
        let is_elected = electorate.is_some_and(|electorate| electorate.is_quorum(electors));
        let first_record = election.first_record(context.now, term);
        if let Some(record) = first_record.filter(|_| is_elected) {
            self.lead(context, record);
        }
    }
}
