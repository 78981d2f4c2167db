//! Requests for membership by a voter that is no member.

use super::Replica;
use crate::replication::context::Context;
use crate::replication::epoch::RecordPosition;
use crate::replication::message::ReplicationMessage;
use crate::replication::settings::ReplicaSettings;
use passrelay_dissemination::CoreHint;
use std::time::Duration;

/// Interval of requests for membership.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl Replica {
    /// Whether this member is one, by the newest record that it knows.
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

    /// Requests membership when a request is due: from the primary, if one is known, or else, during the bootstrap, by
    /// announcing itself to the seeds.
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
            // Those of the first start elect; later ones may know a primary by now.
            let ReplicaSettings { seeds, bootstrap_seeds, .. } = &self.settings;
            let later_seeds = seeds.iter().filter(|seed| !bootstrap_seeds.contains(seed));
            for seed in bootstrap_seeds.iter().chain(later_seeds) {
                context.send(*seed, ReplicationMessage::Present { member });
            }
        }
    }
}
