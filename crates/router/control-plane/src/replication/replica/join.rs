//! Membership requests of a voter that is not a member.

use super::Replica;
use crate::replication::context::Context;
use crate::replication::epoch::RecordPosition;
use crate::replication::message::ReplicationMessage;
use crate::replication::settings::ReplicaSettings;
use passrelay_dissemination::CoreHint;
use std::time::Duration;

/// Interval between membership requests, and between announcements to the seeds during the bootstrap.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl Replica {
    /// Returns whether this voter is a member according to the newest record that it knows, its own or one spread by
    /// gossip.
    pub(super) fn is_member(&self) -> bool {
        let Some(record) = &self.witness.record else { return false };
        if record.member(self.settings.own.id).is_none() {
            return false;
        }
        let is_replaced = |hint: &CoreHint| {
            RecordPosition::from(hint) > record.position()
                && !hint.members.contains(&self.settings.own.address)
        };
        !self.core_hint.as_ref().is_some_and(is_replaced)
    }

    /// Requests membership from the known primary, if a request is due. If no primary is known, announces this voter to
    /// the seeds, provided that it takes part in the bootstrap.
    pub(super) fn tick_join_request(&mut self, context: &mut Context) {
        if context.now < self.next_join_request {
            return;
        }
        self.next_join_request = context.now + JOIN_REQUEST_INTERVAL;
        self.request_membership(context);
    }

    fn request_membership(&mut self, context: &mut Context) {
        let member = self.settings.own;
        let bootstrapping = self.is_bootstrapping();
        self.handle_present(context.now, member);
        if let Some(hint) = &self.core_hint {
            context.send(hint.primary, ReplicationMessage::Join { member, bootstrapping });
        } else if bootstrapping {
            // The seeds of the first start elect the first record; seeds added later may already know a primary.
            let ReplicaSettings { seeds, bootstrap_seeds, .. } = &self.settings;
            let later_seeds = seeds.iter().filter(|seed| !bootstrap_seeds.contains(seed));
            for seed in bootstrap_seeds.iter().chain(later_seeds) {
                context.send(*seed, ReplicationMessage::Present { member });
            }
        }
    }
}
