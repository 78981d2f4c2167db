//! The proposed epoch record, which is sent to the members until a quorum has accepted it and it comes into force.

use super::{Leadership, RESEND_TIMEOUT};
use crate::replication::context::Context;
use crate::replication::epoch::{EpochRecord, RecordPosition};
use crate::replication::identity::MemberId;
use crate::replication::message::ReplicationMessage;
use std::collections::BTreeSet;
use std::time::Duration;

/// A record that is not in force yet.
pub(super) struct Proposal {
    pub(super) record: EpochRecord,
    /// Members at which the record is durable, including the primary.
    accepted: BTreeSet<MemberId>,
    /// Time at which the record was last sent to the peers; `None` before the first time.
    sent_at: Option<Duration>,
}

impl Proposal {
    pub(super) fn new(record: EpochRecord) -> Self {
        Proposal { record, accepted: BTreeSet::new(), sent_at: None }
    }
}

impl Leadership {
    /// Sends the proposal to the peers that have not accepted it, at most once per resend timeout.
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

    /// Records that the record at `position` is durable at a member, which may be this one. The proposal comes into
    /// force once a quorum has accepted it.
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
        // The next heartbeat round starts without delay: it is the first whose quorum is that of the new record.
        self.request_heartbeat();
    }
}
