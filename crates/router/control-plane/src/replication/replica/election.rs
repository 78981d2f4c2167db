//! Elections: asking for votes, giving them, and taking the lead; before the first record, among the seeds.

use super::{reply, Replica, Role, CANDIDACY, PRE_CANDIDACY};
use crate::replication::action::ReplicaAction;
use crate::replication::epoch::EpochRecord;
use crate::replication::identity::{MemberId, Sender};
use crate::replication::leadership::Leadership;
use crate::replication::message::ReplicationMessage;
use crate::replication::state::{ReplicatedState, StateVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    /// Whether this member is to stand for the first term of all: no record is known anywhere, as far as it has heard.
    pub(super) fn may_found(&self, now: Duration) -> bool {
        let knows_cluster = self.settings.mutation.knows_cluster(self.hint.is_some());
        let unfounded = self.witness.record.is_none() && !knows_cluster;
        unfounded
            && self
                .bootstrap_election
                .as_ref()
                .is_some_and(|bootstrap_election| bootstrap_election.may_found(now))
    }

    /// The record whose quorum decides an election in which this member stands: the newest stored, or before the first
    /// one the seeds.
    pub(super) fn electorate(&self, now: Duration) -> Option<EpochRecord> {
        self.witness.record.clone().or_else(|| self.bootstrap_election.as_ref()?.electorate(now))
    }

    pub(super) fn ask_for_place(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let member = self.settings.own;
        let bootstrapping = self.bootstrap_election.is_some() && self.witness.record.is_none();
        if let Some(bootstrap_election) = &mut self.bootstrap_election {
            bootstrap_election.present(now, member);
        }
        if let Some(hint) = &self.hint {
            let message = ReplicationMessage::Join { member, bootstrapping };
            actions.push(ReplicaAction::Send { to: hint.primary, addressee: None, message });
        } else if bootstrapping {
            for to in self.settings.seeds.clone() {
                actions.push(ReplicaAction::Send {
                    to,
                    addressee: None,
                    message: ReplicationMessage::Present { member },
                });
            }
        }
    }

    /// Addresses of everyone whose word a candidate may need, by a record.
    pub(super) fn electors(record: &EpochRecord) -> BTreeSet<SocketAddrV4> {
        record.members.iter().chain(&record.previous_members).map(|m| m.address).collect()
    }

    pub(super) fn send_to_electors(
        &self,
        record: &EpochRecord,
        message: &ReplicationMessage,
        actions: &mut Vec<ReplicaAction>,
    ) {
        for to in Self::electors(record) {
            if to != self.settings.own.address {
                actions.push(ReplicaAction::Send { to, addressee: None, message: message.clone() });
            }
        }
    }

    pub(super) fn begin_pre_vote(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let Some(record) = self.electorate(now) else { return };
        let term = self.witness.promised.max(record.term) + 1;
        let granted = BTreeSet::from([self.settings.own.id]);
        self.role = Role::PreCandidate { term, granted, until: now + PRE_CANDIDACY };
        self.send_to_electors(&record, &ReplicationMessage::PreVote { term }, actions);
        self.count_pre_votes(now, actions);
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: Duration,
        from: Sender,
        term: u64,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let leads = self.leadership().is_some();
        let patience = self.settings.election_timeout.mul_f64(0.8);
        let quiet = self.heard_primary.is_none_or(|at| now.saturating_sub(at) >= patience);
        if term > self.witness.promised && quiet && !leads {
            actions.push(reply(from, ReplicationMessage::PreVoteGranted { term }));
        } else if term <= self.witness.promised {
            self.refuse(from, actions);
        }
    }

    pub(super) fn pre_vote_granted(
        &mut self,
        now: Duration,
        from: Sender,
        for_term: u64,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if let Role::PreCandidate { term, granted, .. } = &mut self.role {
            if *term == for_term {
                granted.insert(from.member.id);
                self.count_pre_votes(now, actions);
            }
        }
    }

    pub(super) fn count_pre_votes(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let Role::PreCandidate { term, granted, .. } = &self.role else { return };
        let Some(record) = self.electorate(now) else { return };
        if record.is_quorum(granted) {
            let term = *term;
            self.begin_candidacy(now, term, actions);
        }
    }

    pub(super) fn begin_candidacy(&mut self, now: Duration, term: u64, actions: &mut Vec<ReplicaAction>) {
        let Some(record) = self.electorate(now) else { return };
        self.witness.promised = term;
        self.witness.promised_to = Some(self.settings.own.id);
        self.role = Role::Candidate { term, promises: BTreeMap::new(), until: now + CANDIDACY };
        self.write_witness(now, Vec::new(), actions);
        let message = ReplicationMessage::Prepare { term, candidate: self.settings.own.id };
        self.send_to_electors(&record, &message, actions);
    }

    pub(super) fn answer_prepare(
        &mut self,
        now: Duration,
        from: Sender,
        term: u64,
        candidate: MemberId,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let again = term == self.witness.promised && self.witness.promised_to == Some(candidate);
        if term <= self.witness.promised && !again {
            self.refuse(from, actions);
            return;
        }
        self.witness.promised = term;
        self.witness.promised_to = Some(candidate);
        self.role = Role::Follower;
        self.put_off_campaign(now);
        let promise = ReplicationMessage::Promise { term, record: self.witness.record.clone() };
        self.write_witness(now, vec![(from, promise)], actions);
    }

    pub(super) fn promised_by(
        &mut self,
        now: Duration,
        from: Sender,
        for_term: u64,
        record: Option<EpochRecord>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if let Role::Candidate { term, promises, .. } = &mut self.role {
            if *term == for_term {
                promises.insert(from.member.id, record);
                self.count_promises(now, actions);
            }
        }
    }

    pub(super) fn count_promises(&mut self, now: Duration, actions: &mut Vec<ReplicaAction>) {
        let Role::Candidate { term, promises, .. } = &self.role else { return };
        let term = *term;
        let own = self.settings.own;
        // The own promise counts once it is on disk, and nothing begins before: a member that led with a promise it then
        // forgot could lead the same term twice.
        if !promises.contains_key(&own.id) {
            return;
        }
        let voters: BTreeSet<MemberId> = promises.keys().copied().collect();
        let newest = promises.values().flatten().max_by_key(|r| r.position()).cloned();
        let own_record = self.durable_witness.record.as_ref();
        let newest = self.settings.mutation.record_to_campaign_with(newest, own_record);
        let Some(newest) = newest else {
            self.found(now, term, &voters, actions);
            return;
        };
        if !newest.is_quorum(&voters) {
            // The newest record may name members that were not asked yet.
            let message = ReplicationMessage::Prepare { term, candidate: self.settings.own.id };
            if self.witness.record.as_ref().is_none_or(|r| r.position() < newest.position()) {
                self.send_to_electors(&newest, &message, actions);
            }
            return;
        }
        if !newest.in_sync.contains(&own.id) || newest.member(own.id).is_none() {
            self.role = Role::Follower;
            let timeout = self.settings.election_timeout;
            self.campaign_at = now + timeout * 2;
            return;
        }
        let record = EpochRecord { term, sequence: 0, primary: own.id, ..newest };
        self.lead(now, record, actions);
    }

    /// No elector has stored any record: the first one follows, once a majority of them has promised.
    pub(super) fn found(
        &mut self,
        now: Duration,
        term: u64,
        voters: &BTreeSet<MemberId>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let Some(bootstrap_election) = &self.bootstrap_election else { return };
        let elected =
            bootstrap_election.electorate(now).is_some_and(|electorate| electorate.is_quorum(voters));
        if let Some(record) = bootstrap_election.first_record(now, term).filter(|_| elected) {
            self.lead(now, record, actions);
        }
    }

    /// Takes the lead of a term with a record that is still to come into force.
    pub(super) fn lead(&mut self, now: Duration, record: EpochRecord, actions: &mut Vec<ReplicaAction>) {
        let term = record.term;
        let leadership = Leadership::new(now, &self.settings, record);
        self.role = Role::Primary(Box::new(leadership));
        self.store_proposal(now, actions);
        // The state goes out under the own term, so that older primaries' unfinished changes give way to it.
        let version = StateVersion { term, index: self.state.version.index };
        let state = ReplicatedState { version, ..(*self.state).clone() };
        let state = self.settings.mutation.state_at_failover(state);
        self.take_state(now, Arc::new(state), actions);
    }
}
