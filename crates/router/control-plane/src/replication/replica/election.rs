//! Elections: pre-vote, collection of promises, and the start of a primary's term.
//!
//! A member whose election timer expires first asks whether it would be elected (pre-vote), so that a partitioned
//! member does not raise the term and depose a working primary. Then it promises its own term to itself, collects
//! promises from the voters, and continues from the newest record among them. Before there is a record, the voters are
//! the seeds ([`super::bootstrap`]).

use super::durable_writes::PendingReply;
use super::role::{Candidacy, PreVoteRound};
use super::{Replica, Role};
use crate::replication::context::Context;
use crate::replication::epoch::EpochRecord;
use crate::replication::identity::{MemberId, Sender};
use crate::replication::leadership::Leadership;
use crate::replication::message::ReplicationMessage;
use crate::replication::state::{ReplicatedState, StateVersion};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// A candidate that has not collected a quorum of promises within this time becomes a follower again.
const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(400);
/// A pre-candidate that has not collected a quorum of pre-votes within this time becomes a follower again.
const PRE_VOTE_TIMEOUT: Duration = Duration::from_millis(150);
/// A pre-vote is granted after this fraction of the election timeout without contact to a primary. It is below 1 since
/// the voters' timers started slightly later than the pre-candidate's.
const PRE_VOTE_SILENCE_FRACTION: f64 = 0.8;

impl Replica {
    /// Sets the election timer for the first campaign, which comes earlier than later ones: after a power failure of
    /// all machines there is no primary, and a running primary makes contact well before the timer expires.
    pub(super) fn schedule_first_campaign(&mut self, now: Duration) {
        let delay = self.settings.election_timeout.mul_f64(self.rng.random_range(0.4..0.8));
        self.campaign_at = now + delay;
    }

    /// Restarts the election timer. Its random part keeps members from campaigning at the same time.
    pub(super) fn reset_election_timer(&mut self, now: Duration) {
        let timeout = self.settings.election_timeout;
        self.campaign_at = now + timeout + timeout.mul_f64(self.rng.random_range(0.0..0.6));
    }

    /// Becomes a follower that campaigns again after a short random backoff. Used after a failed pre-vote, which
    /// raised no term that other candidates would have to exceed, and after a concurrent campaign of another member.
    pub(super) fn retry_campaign_after_backoff(&mut self, now: Duration) {
        self.role = Role::Follower;
        self.campaign_at = now + PRE_VOTE_TIMEOUT.mul_f64(self.rng.random_range(0.1..1.2));
    }

    /// Ends a pre-vote round or a candidacy that has timed out.
    pub(super) fn tick_election(&mut self, now: Duration) {
        match &self.role {
            Role::PreCandidate(round) if now >= round.deadline => self.retry_campaign_after_backoff(now),
            Role::Candidate(candidacy) if now >= candidacy.deadline => {
                self.role = Role::Follower;
                self.reset_election_timer(now);
            }
            _ => {}
        }
    }

    /// Returns the record whose quorum decides an election in which this member campaigns: the newest one accepted
    /// here, or, before the first record, the electorate of the bootstrap.
    fn electorate(&self, now: Duration) -> Option<EpochRecord> {
        self.witness.record.clone().or_else(|| self.bootstrap_election.as_ref()?.electorate(now))
    }

    /// Sends a message to every voter of a record except this member, in the order of their addresses.
    fn send_to_voters(&self, context: &mut Context, record: &EpochRecord, message: &ReplicationMessage) {
        let voters = record.members.iter().chain(&record.previous_members);
        let addresses: BTreeSet<SocketAddrV4> = voters.map(|member| member.address).collect();
        for address in addresses {
            if address != self.settings.own.address {
                context.send(address, message.clone());
            }
        }
    }

    /// Asks the voters whether they would vote for this member in the next term.
    pub(super) fn start_pre_vote(&mut self, context: &mut Context) {
        let Some(record) = self.electorate(context.now) else { return };
        let term = self.witness.promised.max(record.term) + 1;
        self.role = Role::PreCandidate(PreVoteRound {
            term,
            granted_by: BTreeSet::from([self.settings.own.id]),
            deadline: context.now + PRE_VOTE_TIMEOUT,
        });
        self.send_to_voters(context, &record, &ReplicationMessage::PreVote { term });
        self.count_pre_votes(context);
    }

    /// Grants a pre-vote for a term above the promised one, unless this member is primary or has been in contact with
    /// one recently.
    pub(super) fn handle_pre_vote(&mut self, context: &mut Context, from: Sender, term: u64) {
        if term <= self.witness.promised {
            self.reject(context, from);
            return;
        }
        let min_silence = self.settings.election_timeout.mul_f64(PRE_VOTE_SILENCE_FRACTION);
        let is_primary_silent =
            self.last_primary_contact.is_none_or(|at| context.now.saturating_sub(at) >= min_silence);
        if is_primary_silent && !self.is_primary() {
            context.reply(from, ReplicationMessage::PreVoteGranted { term });
        }
    }

    pub(super) fn handle_pre_vote_granted(&mut self, context: &mut Context, from: MemberId, term: u64) {
        let Role::PreCandidate(round) = &mut self.role else { return };
        if round.term == term {
            round.granted_by.insert(from);
            self.count_pre_votes(context);
        }
    }

    fn count_pre_votes(&mut self, context: &mut Context) {
        let Role::PreCandidate(round) = &self.role else { return };
        let Some(record) = self.electorate(context.now) else { return };
        if record.is_quorum(&round.granted_by) {
            let term = round.term;
            self.start_candidacy(context, term);
        }
    }

    /// Promises `term` to this member itself and requests the promises of the voters.
    fn start_candidacy(&mut self, context: &mut Context, term: u64) {
        let Some(record) = self.electorate(context.now) else { return };
        self.witness.promised = term;
        self.witness.promised_to = Some(self.settings.own.id);
        self.role = Role::Candidate(Candidacy {
            term,
            promises: BTreeMap::new(),
            deadline: context.now + CANDIDACY_TIMEOUT,
        });
        self.write_witness(context, Vec::new());
        let prepare = ReplicationMessage::Prepare { term, candidate: self.settings.own.id };
        self.send_to_voters(context, &record, &prepare);
    }

    /// Promises a term to a candidate, and replies once the promise is durable. The same candidate may repeat its
    /// request, since the reply may have been lost.
    pub(super) fn handle_prepare(
        &mut self,
        context: &mut Context,
        from: Sender,
        term: u64,
        candidate: MemberId,
    ) {
        let is_retry = term == self.witness.promised && self.witness.promised_to == Some(candidate);
        if term <= self.witness.promised && !is_retry {
            self.reject(context, from);
            return;
        }
        self.witness.promised = term;
        self.witness.promised_to = Some(candidate);
        self.role = Role::Follower;
        self.reset_election_timer(context.now);
        let promise = ReplicationMessage::Promise { term, record: self.witness.record.clone() };
        self.write_witness(context, vec![PendingReply { to: from, message: promise }]);
    }

    pub(super) fn handle_promise(
        &mut self,
        context: &mut Context,
        from: MemberId,
        term: u64,
        record: Option<EpochRecord>,
    ) {
        let Role::Candidate(candidacy) = &mut self.role else { return };
        if candidacy.term == term {
            candidacy.promises.insert(from, record);
            self.count_promises(context);
        }
    }

    /// Becomes primary once a quorum of the newest record among the promises has promised the term.
    pub(super) fn count_promises(&mut self, context: &mut Context) {
        let Role::Candidate(candidacy) = &self.role else { return };
        let term = candidacy.term;
        let own = self.settings.own.id;
        // This member's own promise counts once it is durable, and it must not lead before: a member that led with a
        // promise that it then lost could lead the same term twice.
        if !candidacy.promises.contains_key(&own) {
            return;
        }
        let voters: BTreeSet<MemberId> = candidacy.promises.keys().copied().collect();
        let promised_records = candidacy.promises.values().flatten();
        let newest = promised_records.max_by_key(|record| record.position()).cloned();
        let own_record = self.durable_witness.record.as_ref();
        let newest = self.settings.mutation.record_to_campaign_with(newest, own_record);
        let Some(newest) = newest else {
            self.become_bootstrap_primary(context, term, &voters);
            return;
        };
        if !newest.is_quorum(&voters) {
            // The newest record may name voters that have not received a request yet.
            if self.witness.record.as_ref().is_none_or(|record| record.position() < newest.position()) {
                let prepare = ReplicationMessage::Prepare { term, candidate: own };
                self.send_to_voters(context, &newest, &prepare);
            }
            return;
        }
        // Only an in-sync member may lead. The longer delay gives the in-sync members time to campaign.
        if !newest.in_sync.contains(&own) || newest.member(own).is_none() {
            self.role = Role::Follower;
            self.campaign_at = context.now + self.settings.election_timeout * 2;
            return;
        }
        self.become_primary(context, EpochRecord { term, sequence: 0, primary: own, ..newest });
    }

    /// Becomes primary of the record's term. The record comes into force once a quorum has accepted it.
    pub(super) fn become_primary(&mut self, context: &mut Context, record: EpochRecord) {
        let term = record.term;
        let leadership = Leadership::new(context.now, &self.settings, record);
        self.role = Role::Primary(Box::new(leadership));
        self.store_proposed_record(context);
        // The state is replicated again under this primary's own term, so that it supersedes the uncommitted changes of
        // earlier primaries.
        let version = StateVersion { term, index: self.state.version.index };
        let state = ReplicatedState { version, ..(*self.state).clone() };
        let state = self.settings.mutation.state_at_failover(state);
        self.replicate_state(context, Arc::new(state));
    }
}
