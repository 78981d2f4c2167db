//! Replication of states to the backups, and their commitment.

use super::{Leadership, RESEND_TIMEOUT};
use crate::replication::context::Context;
use crate::replication::identity::{Member, MemberId};
use crate::replication::message::ReplicationMessage;
use crate::replication::state::{ReplicatedState, StateVersion};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The newest state of a primary, committed or not.
pub(super) struct NewestState {
    pub(super) state: Arc<ReplicatedState>,
    /// Time at which the primary first sent the state.
    pub(super) replicated_at: Duration,
}

impl Leadership {
    /// Sends a new state to all peers without a transfer in flight. It replaces the newest state, which may not be
    /// committed yet.
    pub(in crate::replication) fn replicate(&mut self, context: &mut Context, state: &Arc<ReplicatedState>) {
        if let Some(previous) = &self.newest {
            self.recent_deltas.push(state.delta_from(&previous.state).map(Arc::new));
        }
        self.newest = Some(NewestState { state: state.clone(), replicated_at: context.now });
        self.uncommitted.insert(state.version.index, state.clone());
        let peers = self.peers();
        let timeout = transfer_timeout(state, peers.len());
        for member in peers {
            if !self.progress.is_transfer_in_flight(context.now, member.id, timeout) {
                self.send_state(context, member, state);
            }
        }
    }

    /// Records that a version is durable at a member, which may be this one. Commits what has become committable, and
    /// sends the newest state to members that lack it.
    pub(in crate::replication) fn handle_synced(
        &mut self,
        context: &mut Context,
        from: MemberId,
        term: u64,
        version: StateVersion,
    ) {
        if term != self.term {
            return;
        }
        self.progress.record_synced(context.now, from, version);
        self.advance_commit();
        self.send_lagging_states(context);
    }

    /// Sends the newest state to each member of the record in force that lacks it, unless a transfer is in flight.
    pub(super) fn send_lagging_states(&mut self, context: &mut Context) {
        let Some(record) = &self.in_force else { return };
        let Some(newest) = &self.newest else { return };
        let state = newest.state.clone();
        let timeout = transfer_timeout(&state, self.peers().len());
        let lagging: Vec<Member> = record
            .members
            .iter()
            .filter(|member| member.id != self.own.id)
            .filter(|member| self.progress.synced(member.id) < state.version)
            .filter(|member| !self.progress.is_transfer_in_flight(context.now, member.id, timeout))
            .copied()
            .collect();
        for member in lagging {
            self.send_state(context, member, &state);
        }
    }

    /// Commits the newest state that every in-sync member has synced. While a record is proposed, both its in-sync set
    /// and that of the record in force must have synced the state, since a later primary may be elected under either
    /// record. A state of an earlier term is never committed by counting replicas; the primary replicates it again
    /// under its own term.
    pub(super) fn advance_commit(&mut self) {
        let Some(record) = &self.in_force else { return };
        let proposed = self.proposal.iter().flat_map(|proposal| &proposal.record.in_sync);
        let replicas: BTreeSet<MemberId> = record.in_sync.iter().chain(proposed).copied().collect();
        let lowest = replicas.iter().map(|id| self.progress.synced(*id)).min();
        let Some(lowest) = lowest.filter(|version| version.term == self.term) else { return };
        let still_uncommitted = self.uncommitted.split_off(&(lowest.index + 1));
        let mut newly_committed = std::mem::replace(&mut self.uncommitted, still_uncommitted);
        if let Some((_, state)) = newly_committed.pop_last() {
            self.committed = Some(state);
        }
    }

    /// Returns whether a majority of the members of the record in force has synced the state at `index`, or a later
    /// one, of this term.
    pub(in crate::replication) fn is_durable_on_majority(&self, index: u64) -> bool {
        let Some(record) = &self.in_force else { return false };
        let required = StateVersion { term: self.term, index };
        let holders = record.members.iter().filter(|member| self.progress.synced(member.id) >= required);
        2 * holders.count() > record.members.len()
    }

    /// Sends the complete state to a member that could not apply deltas.
    pub(in crate::replication) fn handle_rejected_deltas(
        &mut self,
        context: &mut Context,
        from: MemberId,
        term: u64,
    ) {
        if term == self.term {
            self.progress.record_rejected_deltas(from);
            self.send_lagging_states(context);
        }
    }

    /// Sends the newest state to a member: as deltas if the member holds a recent state, otherwise as a whole.
    fn send_state(&mut self, context: &mut Context, member: Member, state: &Arc<ReplicatedState>) {
        self.progress.record_sent(context.now, member.id, state.version);
        let base = self.progress.delta_base(member.id);
        let deltas = base.map(|base| self.recent_deltas.since(&base)).unwrap_or_default();
        let message = if deltas.is_empty() {
            ReplicationMessage::Replicate { term: self.term, state: state.clone() }
        } else {
            ReplicationMessage::ReplicateDeltas { term: self.term, deltas }
        };
        context.send(member.address, message);
    }
}

/// Returns how long a state may be in flight before it is resent, given that it is sent to `peers` members over the
/// same slow link.
fn transfer_timeout(state: &ReplicatedState, peers: usize) -> Duration {
    RESEND_TIMEOUT + state.transfer_time() * u32::try_from(peers).unwrap_or(u32::MAX)
}
