//! Durable writes: the replies that depend on them, and the handling of completed, failed and stalled writes.

use super::{Replica, Role};
use crate::replication::action::ReplicaAction;
use crate::replication::context::Context;
use crate::replication::durable::{DurableWrite, WriteId};
use crate::replication::identity::Sender;
use crate::replication::message::ReplicationMessage;
use crate::replication::state::StateVersion;
use std::time::Duration;

/// A write in flight for longer than this indicates a stalled disk. A member with a stalled disk neither leads nor
/// campaigns.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed write before the member campaigns.
const DISK_FAULT_BACKOFF: Duration = Duration::from_secs(2);

/// A write in flight.
pub(super) struct PendingWrite {
    started_at: Duration,
    write: DurableWrite,
    /// Replies to be sent once the write is durable.
    replies: Vec<PendingReply>,
}

/// A reply that must not be sent before a write is durable.
pub(super) struct PendingReply {
    pub(super) to: Sender,
    pub(super) message: ReplicationMessage,
}

impl Replica {
    /// Handles the end of a write. If it succeeded, sends the replies that depend on it, and a candidate or primary
    /// counts what is now durable here. If it failed, the member steps down.
    pub fn write_completed(
        &mut self,
        now: Duration,
        write_id: WriteId,
        succeeded: bool,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let context = &mut Context::new(now, actions);
        let Some(pending) = self.pending_writes.remove(&write_id) else { return };
        if !succeeded {
            self.handle_write_failure(now);
            self.roll_back_failed_writes();
            if self.settings.mutation.replies_after_failed_write() {
                send_replies(context, pending.replies);
            }
            return;
        }
        if let Some(witness) = pending.write.witness {
            self.durable_witness = witness;
        }
        if let Some(state) = pending.write.state {
            self.durable_state = state;
        }
        self.roll_back_failed_writes();
        send_replies(context, pending.replies);
        self.record_own_progress(context);
    }

    /// Starts a write; `replies` are sent once it is durable.
    pub(super) fn write(&mut self, context: &mut Context, write: DurableWrite, replies: Vec<PendingReply>) {
        self.last_write_id += 1;
        let write_id = WriteId(self.last_write_id);
        let pending = PendingWrite { started_at: context.now, write: write.clone(), replies };
        self.pending_writes.insert(write_id, pending);
        context.actions.push(ReplicaAction::Write { write_id, write });
    }

    /// Writes the promises and the record as they are in memory; `replies` are sent once they are durable.
    pub(super) fn write_witness(&mut self, context: &mut Context, replies: Vec<PendingReply>) {
        let write = DurableWrite { witness: Some(self.witness.clone()), state: None };
        self.write(context, write, replies);
    }

    /// Returns whether a state of at least this version is being written.
    pub(super) fn is_state_write_pending(&self, version: StateVersion) -> bool {
        self.pending_writes
            .values()
            .any(|pending| pending.write.state.as_ref().is_some_and(|state| state.version >= version))
    }

    pub(super) fn is_disk_stalled(&self, now: Duration) -> bool {
        self.pending_writes
            .values()
            .any(|pending| now.saturating_sub(pending.started_at) > DISK_STALL_TIMEOUT)
    }

    pub(super) fn step_down_if_disk_stalled(&mut self, now: Duration) {
        if self.is_disk_stalled(now) && !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
    }

    /// Steps down after a failed write. The contents of the write are still in memory until
    /// [`Replica::roll_back_failed_writes`] takes effect.
    fn handle_write_failure(&mut self, now: Duration) {
        self.role = Role::Follower;
        self.campaign_at = now + DISK_FAULT_BACKOFF;
        self.has_failed_write = true;
    }

    /// Resets record and state in memory to the contents of the disk after a failed write, since nothing of that write
    /// was acknowledged. The contents of the disk are known only once no other write is in flight, whether it succeeds
    /// or fails, so this has no effect before. The promise is kept: keeping a promise is always safe, forgetting it is
    /// not.
    fn roll_back_failed_writes(&mut self) {
        if !self.has_failed_write || !self.pending_writes.is_empty() {
            return;
        }
        self.has_failed_write = false;
        self.witness.record = self.durable_witness.record.clone();
        self.state = self.durable_state.clone();
    }
}

fn send_replies(context: &mut Context, replies: Vec<PendingReply>) {
    for reply in replies {
        context.reply(reply.to, reply.message);
    }
}
