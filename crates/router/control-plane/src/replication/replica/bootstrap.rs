//! A member's part in the bootstrap of the cluster. [`crate::replication::bootstrap_election`] determines the voters
//! and when this member may campaign.

use super::Replica;
use crate::replication::context::Context;
use crate::replication::identity::{Member, MemberId};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

impl Replica {
    /// Returns whether this member takes part in the bootstrap and has not accepted a record yet.
    pub(super) fn is_bootstrapping(&self) -> bool {
        self.bootstrap_election.is_some() && self.witness.record.is_none()
    }

    /// Returns whether this member may campaign for the first record. It must not if it knows of a record, its own or
    /// one spread by gossip.
    pub(super) fn may_campaign_for_bootstrap(&self, now: Duration) -> bool {
        let knows_cluster = self.settings.mutation.knows_cluster(self.core_hint.is_some());
        let no_record = self.witness.record.is_none() && !knows_cluster;
        let election = self.bootstrap_election.as_ref();
        no_record && election.is_some_and(|election| election.may_campaign(now))
    }

    /// Records the announcement of a voter, during the bootstrap.
    pub(super) fn handle_present(&mut self, now: Duration, member: Member) {
        if let Some(election) = &mut self.bootstrap_election {
            election.handle_present(now, member);
        }
    }

    /// Records the announcement of a seed that it is not a voter, during the bootstrap.
    pub(super) fn handle_non_voting_seed(&mut self, address: SocketAddrV4) {
        if let Some(election) = &mut self.bootstrap_election {
            election.handle_non_voting_seed(address);
        }
    }

    /// Becomes primary with the first record, if the members in `promised_by` are a quorum of the electorate. To be
    /// called only if none of them has accepted a record.
    pub(super) fn become_bootstrap_primary(
        &mut self,
        context: &mut Context,
        term: u64,
        promised_by: &BTreeSet<MemberId>,
    ) {
        let Some(election) = &self.bootstrap_election else { return };
        let electorate = election.electorate(context.now);
        let is_elected = electorate.is_some_and(|electorate| electorate.is_quorum(promised_by));
        let first_record = election.first_record(context.now, term);
        if let Some(record) = first_record.filter(|_| is_elected) {
            self.become_primary(context, record);
        }
    }
}
