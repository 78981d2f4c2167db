//! The follower's part of a member: accepts records, syncs states, replies to pings, and rejects messages of a lower
//! term than the promised one.

use super::durable_writes::PendingReply;
use super::{Replica, Role};
use crate::replication::context::Context;
use crate::replication::durable::DurableWrite;
use crate::replication::epoch::EpochRecord;
use crate::replication::identity::Sender;
use crate::replication::message::ReplicationMessage;
use crate::replication::state::ReplicatedState;
use crate::replication::state_delta::StateDelta;
use passrelay_configuration::DeltaError;
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    /// Requests membership unless this is a member, and starts an election once the election timer has expired.
    pub(super) fn tick_follower(&mut self, context: &mut Context) {
        if !self.is_member() {
            self.tick_join_request(context);
            if !self.may_campaign_for_bootstrap(context.now) {
                return;
            }
        }
        if context.now >= self.campaign_at && !self.is_disk_stalled(context.now) {
            self.start_pre_vote(context);
        }
    }

    /// Accepts a record of the promised term or a later one, and replies once the record is durable.
    pub(super) fn handle_accept(&mut self, context: &mut Context, from: Sender, record: EpochRecord) {
        if record.term < self.witness.promised {
            self.reject(context, from);
            return;
        }
        let position = record.position();
        let accepted = ReplicationMessage::Accepted { position };
        let durable = self.durable_witness.record.as_ref().map(EpochRecord::position);
        if durable >= Some(position) {
            context.reply(from, accepted);
            return;
        }
        // If no seed is a voter, a non-voting seed proposes the first record and names this member as its primary.
        let is_bootstrap_leader = record.primary == self.settings.own.id && self.witness.record.is_none();
        if record.term > self.witness.promised {
            self.witness.promised = record.term;
            self.witness.promised_to = Some(record.primary);
        }
        if is_bootstrap_leader {
            self.become_primary(context, record);
            return;
        }
        self.become_follower(context.now);
        if self.witness.record.as_ref().is_none_or(|stored| stored.position() < position) {
            self.witness.record = Some(record);
        }
        if self.settings.mutation.accepts_before_sync(&self.durable_witness) {
            self.durable_witness = self.witness.clone();
            context.reply(from, accepted);
            return;
        }
        self.write_witness(context, vec![PendingReply { to: from, message: accepted }]);
    }

    /// Replies to a heartbeat with the position of the record and the version of the state that are durable here.
    pub(super) fn handle_ping(&mut self, context: &mut Context, from: Sender, term: u64, round: u64) {
        if term < self.witness.promised {
            self.reject(context, from);
            return;
        }
        self.become_follower(context.now);
        let position = self.durable_witness.record.as_ref().map(EpochRecord::position).unwrap_or_default();
        let synced = self.durable_state.version;
        let accepts_deltas = self.settings.accepts_deltas;
        context.reply(from, ReplicationMessage::Pong { term, round, position, synced, accepts_deltas });
    }

    /// Stores a state of the promised term or a later one, and replies once it is durable.
    pub(super) fn handle_replicate(
        &mut self,
        context: &mut Context,
        from: Sender,
        term: u64,
        state: Arc<ReplicatedState>,
    ) {
        if term < self.witness.promised || state.version.term != term {
            self.reject(context, from);
            return;
        }
        self.become_follower(context.now);
        let state = self.settings.mutation.state_to_store(state);
        let version = state.version;
        let synced = ReplicationMessage::Synced { term, version };
        if self.durable_state.version >= version {
            context.reply(from, synced);
            return;
        }
        if self.state.version >= version && self.is_state_write_pending(version) {
            return;
        }
        let mut write = DurableWrite { witness: None, state: Some(state.clone()) };
        if term > self.witness.promised {
            self.witness.promised = term;
            self.witness.promised_to = None;
            write.witness = Some(self.witness.clone());
        }
        self.state = state;
        self.write(context, write, vec![PendingReply { to: from, message: synced }]);
    }

    /// Stores a state that is sent as deltas from the one held here. Replies with
    /// [`ReplicationMessage::DeltasRejected`] if they cannot be applied, so that the sender sends the complete state.
    pub(super) fn handle_replicate_deltas(
        &mut self,
        context: &mut Context,
        from: Sender,
        term: u64,
        deltas: &[Arc<StateDelta>],
    ) {
        // Simulates a build without deltas, which cannot decode this message.
        if !self.settings.accepts_deltas {
            return;
        }
        let Some(newest) = deltas.last().map(|delta| delta.version) else { return };
        if term < self.witness.promised || newest.term != term {
            self.reject(context, from);
            return;
        }
        if self.state.version >= newest {
            // The state was received before, and is durable or being written.
            let state = self.state.clone();
            self.handle_replicate(context, from, term, state);
            return;
        }
        match self.state_after(deltas) {
            Ok(state) => self.handle_replicate(context, from, term, Arc::new(state)),
            Err(_) => {
                self.become_follower(context.now);
                context.reply(from, ReplicationMessage::DeltasRejected { term });
            }
        }
    }

    /// Returns the state that results from applying `deltas` to the one held here. Skips deltas up to the version held.
    fn state_after(&self, deltas: &[Arc<StateDelta>]) -> Result<ReplicatedState, DeltaError> {
        let held = self.state.version;
        let mut state = (*self.state).clone();
        for delta in deltas.iter().filter(|delta| delta.version > held) {
            state = self.settings.mutation.state_after_delta(&state, delta)?;
        }
        Ok(state)
    }

    /// Rejects a message of a lower term than the promised one.
    pub(super) fn reject(&self, context: &mut Context, from: Sender) {
        context.reply(from, ReplicationMessage::Rejected { promised: self.witness.promised });
    }

    /// Becomes a follower after contact from a primary of the promised term or a later one.
    fn become_follower(&mut self, now: Duration) {
        self.last_primary_contact = Some(now);
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    /// Handles the reply of a member that has promised a higher term than that of a message sent by this member.
    pub(super) fn handle_rejection(&mut self, now: Duration, promised: u64) {
        match &self.role {
            // Another member campaigns at the same time. If it wins, it makes contact before this one campaigns again.
            Role::PreCandidate(round) if promised >= round.term => self.retry_campaign_after_backoff(now),
            Role::Candidate(candidacy) if promised >= candidacy.term => {
                self.retry_campaign_after_backoff(now);
            }
            Role::Primary(leadership) if promised > leadership.term() => {
                self.role = Role::Follower;
                self.reset_election_timer(now);
            }
            _ => {}
        }
        // Recorded in memory without a promise to any candidate: the next campaign of this member needs a higher term.
        if promised > self.witness.promised {
            self.witness.promised = promised;
            self.witness.promised_to = None;
        }
    }
}
