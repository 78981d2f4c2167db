//! The proposed epoch record: sent until a quorum has accepted it, then in force.

use super::{Leadership, RESEND_TIMEOUT};
use crate::replication::context::Context;
use crate::replication::epoch::{EpochRecord, RecordPosition};
use crate::replication::identity::MemberId;
use crate::replication::message::ReplicationMessage;
use std::collections::BTreeSet;
use std::time::Duration;

/// A record that isn't in force yet.
pub(super) struct Proposal {
    pub(super) record: EpochRecord,
    /// Members at which it is durable, the primary among them.
    accepted: BTreeSet<MemberId>,
    sent_at: Option<Duration>,
}

impl Proposal {
    pub(super) fn new(record: EpochRecord) -> Self {
        Proposal { record, accepted: BTreeSet::new(), sent_at: None }
    }
}

impl Leadership {
    /// Sends the proposal to the peers that haven't accepted it, and again after the resend timeout.
    pub(super) fn send_proposal(&mut self, context: &mut Context) {
        let peers = self.peers();
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.sent_at.is_some_and(|at| context.now.saturating_sub(at) < RESEND_TIMEOUT) {
            return;
        }
        proposal.sent_at = Some(context.now);
        for member in peers.iter().filter(|member| !proposal.accepted.contains(&member.id)) {
            context.send(member.address, ReplicationMessage::Accept { record: proposal.record.clone() });
        }
    }

    /// The record at this position is durable at a member, this one or another. The proposal comes into force with a
    /// quorum.
    pub(in crate::replication) fn handle_accepted(
        &mut self,
        context: &mut Context,
        from: MemberId,
        position: RecordPosition,
    ) {
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.record.position() != position {
            return;
        }
        proposal.accepted.insert(from);
        if !proposal.record.is_quorum(&proposal.accepted) {
            return;
        }
        self.in_force = self.proposal.take().map(|proposal| proposal.record);
        self.advance_commit();
        self.send_lagging_states(context);
        // The next round starts without delay: it is the first that counts by the new record.
        self.request_heartbeat();
    }
}
