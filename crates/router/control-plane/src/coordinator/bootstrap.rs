//! Routing of replication messages, and the bootstrap of a non-voting seed.
//!
//! A voter's replica handles all replication messages, including those of the bootstrap. A seed that is not a voter
//! has no replica, but the other seeds wait until it announces this, and if no seed is a voter, the first of them
//! proposes the first record. [`NonVotingSeed`](crate::replication::NonVotingSeed) does both until the core is known.

use super::context::Context;
use super::Coordinator;
use crate::replication::{Member, MemberId, Replica, ReplicationEnvelope, ReplicationMessage};
use passrelay_dissemination::Incarnation;

impl Coordinator {
    /// Handles a replication message. Processes that are neither voters nor bootstrapping seeds ignore it.
    pub(super) fn receive_replication(
        &mut self,
        sender: Incarnation,
        envelope: ReplicationEnvelope,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        if let Some(replica) = &mut self.replica {
            context.step_replica(replica, |replica, actions| {
                replica.receive(now, sender, envelope, actions);
            });
            return;
        }
        let Some(seed) = &mut self.non_voting_seed else { return };
        let mut replica_actions = Vec::new();
        match envelope.message {
            ReplicationMessage::Present { member } => seed.handle_present(now, member, &mut replica_actions),
            ReplicationMessage::NonVotingSeed { address } => seed.handle_non_voting_seed(address),
            _ => {}
        }
        context.append_replica_actions(self.replication_sender(), replica_actions);
    }

    /// Advances the bootstrap of a non-voting seed. Ends it once the core is known.
    pub(super) fn tick_bootstrap(&mut self, context: &mut Context<'_>) {
        if self.gossip.core().is_some() {
            self.non_voting_seed = None;
        }
        let Some(seed) = &mut self.non_voting_seed else { return };
        let mut replica_actions = Vec::new();
        seed.tick(context.now(), &mut replica_actions);
        context.append_replica_actions(self.replication_sender(), replica_actions);
    }

    /// Returns the member that this process sends replication messages for. Without a replica this is the placeholder
    /// for an unknown member, so that no message of this process counts as a vote.
    fn replication_sender(&self) -> Member {
        let unknown_member = Member { id: MemberId::UNKNOWN, address: self.own.address };
        self.replica.as_ref().map_or(unknown_member, Replica::own)
    }
}
