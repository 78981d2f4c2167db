//! The primary's part of a member, which connects [`Leadership`] to the messages and the disk of the member.
//!
//! A member in another role ignores messages that are addressed to a primary.

use super::{Replica, Role};
use crate::replication::context::Context;
use crate::replication::durable::DurableWrite;
use crate::replication::epoch::{EpochRecord, RecordPosition};
use crate::replication::identity::{Member, MemberId};
use crate::replication::leadership::{Leadership, PongReport};
use crate::replication::state::{ReplicatedState, StateVersion};
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    pub(super) fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Primary(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// Advances the timers of a primary.
    pub(super) fn tick_primary(&mut self, context: &mut Context) {
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.tick(context);
        self.store_proposed_record(context);
    }

    pub(super) fn handle_join(&mut self, now: Duration, member: Member, bootstrapping: bool) {
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.handle_join(now, member, bootstrapping);
    }

    /// Handles a member's acceptance of a record. If the record comes into force, what is durable here is counted
    /// under it immediately.
    pub(super) fn handle_accepted(
        &mut self,
        context: &mut Context,
        from: MemberId,
        position: RecordPosition,
    ) {
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.handle_accepted(context, from, position);
        self.record_own_progress(context);
    }

    pub(super) fn handle_pong(&mut self, context: &mut Context, pong: &PongReport) {
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.handle_pong(context, pong);
    }

    pub(super) fn handle_synced(
        &mut self,
        context: &mut Context,
        from: MemberId,
        term: u64,
        version: StateVersion,
    ) {
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.handle_synced(context, from, term, version);
    }

    pub(super) fn handle_rejected_deltas(&mut self, context: &mut Context, from: MemberId, term: u64) {
        let Role::Primary(leadership) = &mut self.role else { return };
        leadership.handle_rejected_deltas(context, from, term);
    }

    /// Stores the record proposed by this primary, once per proposal.
    pub(super) fn store_proposed_record(&mut self, context: &mut Context) {
        let Role::Primary(leadership) = &self.role else { return };
        let Some(proposed) = leadership.proposed_record() else { return };
        let stored = self.witness.record.as_ref().map(EpochRecord::position);
        if stored >= Some(proposed.position()) {
            return;
        }
        self.witness.record = Some(proposed.clone());
        self.write_witness(context, Vec::new());
    }

    /// Makes `state` the newest one: stores it here and sends it to the backups.
    pub(super) fn replicate_state(&mut self, context: &mut Context, state: Arc<ReplicatedState>) {
        self.state = state.clone();
        let write = DurableWrite { witness: None, state: Some(state.clone()) };
        self.write(context, write, Vec::new());
        if let Role::Primary(leadership) = &mut self.role {
            leadership.replicate(context, &state);
        }
    }

    /// Counts what is durable here in the same way as reports of other members.
    pub(super) fn record_own_progress(&mut self, context: &mut Context) {
        let own = self.settings.own.id;
        match &mut self.role {
            Role::Candidate(candidacy)
                if self.durable_witness.promised >= candidacy.term
                    && !candidacy.promises.contains_key(&own) =>
            {
                candidacy.promises.insert(own, self.durable_witness.record.clone());
                self.count_promises(context);
            }
            Role::Primary(leadership) => {
                let term = leadership.term();
                leadership.handle_synced(context, own, term, self.durable_state.version);
                if let Some(position) = self.durable_witness.record.as_ref().map(EpochRecord::position) {
                    leadership.handle_accepted(context, own, position);
                }
                self.store_proposed_record(context);
            }
            _ => {}
        }
    }
}
