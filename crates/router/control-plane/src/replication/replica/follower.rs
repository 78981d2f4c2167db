//! What a member does for a primary: it stores records and states, answers pings, and refuses lower terms.

use super::{reply, PendingWrite, Replica, Role};
use crate::replication::action::ReplicaAction;
use crate::replication::durable::DurableWrite;
use crate::replication::epoch::EpochRecord;
use crate::replication::identity::Sender;
use crate::replication::message::ReplicationMessage;
use crate::replication::state::ReplicatedState;
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    pub(super) fn answer_accept(
        &mut self,
        now: Duration,
        from: Sender,
        record: EpochRecord,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if record.term < self.witness.promised {
            self.refuse(from, actions);
            return;
        }
        let position = record.position();
        let accepted = ReplicationMessage::Accepted { position };
        let durable = self.durable_witness.record.as_ref().map(EpochRecord::position);
        if durable >= Some(position) {
            actions.push(reply(from, accepted));
            return;
        }
        let founded = record.primary == self.settings.own.id && self.witness.record.is_none();
        if record.term > self.witness.promised {
            self.witness.promised = record.term;
            self.witness.promised_to = Some(record.primary);
        }
        if founded {
            self.lead(now, record, actions);
            return;
        }
        self.follow(now);
        if self.witness.record.as_ref().is_none_or(|r| r.position() < position) {
            self.witness.record = Some(record);
        }
        if self.settings.mutation.accepts_before_sync(&self.durable_witness) {
            self.durable_witness = self.witness.clone();
            actions.push(reply(from, accepted));
            return;
        }
        self.write_witness(now, vec![(from, accepted)], actions);
    }

    pub(super) fn answer_ping(
        &mut self,
        now: Duration,
        from: Sender,
        term: u64,
        round: u64,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if term < self.witness.promised {
            self.refuse(from, actions);
            return;
        }
        self.follow(now);
        let position = self.durable_witness.record.as_ref().map(EpochRecord::position).unwrap_or_default();
        let synced = self.durable_state.version;
        actions.push(reply(from, ReplicationMessage::Pong { term, round, position, synced }));
    }

    pub(super) fn answer_replicate(
        &mut self,
        now: Duration,
        from: Sender,
        term: u64,
        state: Arc<ReplicatedState>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if term < self.witness.promised || state.version.term != term {
            self.refuse(from, actions);
            return;
        }
        self.follow(now);
        let state = self.settings.mutation.state_to_store(state);
        let version = state.version;
        let synced = ReplicationMessage::Synced { term, version };
        if self.durable_state.version >= version {
            actions.push(reply(from, synced));
            return;
        }
        let under_way = |w: &PendingWrite| w.write.state.as_ref().is_some_and(|s| s.version >= version);
        if self.state.version >= version && self.writes.values().any(under_way) {
            return;
        }
        let mut write = DurableWrite { witness: None, state: Some(state.clone()) };
        if term > self.witness.promised {
            self.witness.promised = term;
            self.witness.promised_to = None;
            write.witness = Some(self.witness.clone());
        }
        self.state = state;
        self.write(now, write, vec![(from, synced)], actions);
    }

    /// Something of a lower term than promised came.
    pub(super) fn refuse(&self, from: Sender, actions: &mut Vec<ReplicaAction>) {
        actions.push(reply(from, ReplicationMessage::Rejected { promised: self.witness.promised }));
    }

    /// A primary of the promised term or a later one was heard.
    pub(super) fn follow(&mut self, now: Duration) {
        self.heard_primary = Some(now);
        self.role = Role::Follower;
        self.put_off_campaign(now);
    }

    pub(super) fn refused(&mut self, now: Duration, promised: u64) {
        let outrun = match &self.role {
            Role::Follower => false,
            Role::PreCandidate { term, .. } | Role::Candidate { term, .. } => promised >= *term,
            Role::Primary(leadership) => promised > leadership.term(),
        };
        let stood = matches!(self.role, Role::PreCandidate { .. } | Role::Candidate { .. });
        if outrun && stood {
            // Another stood at the same time. If it wins, it is heard before the next try.
            self.campaign_again_soon(now);
        } else if outrun {
            self.role = Role::Follower;
            self.put_off_campaign(now);
        }
        // Only remembered, not promised: the next candidacy has to go above it.
        if promised > self.witness.promised {
            self.witness.promised = promised;
            self.witness.promised_to = None;
        }
    }
}
