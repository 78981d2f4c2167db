//! Publication of committed state: from the established primary's replica to dissemination, the grantor, the version
//! recorder and the rollout controller.
//!
//! Dissemination and grants must never run ahead of replication. Only a state committed under the primary's own term is
//! published, together with the time at which a quorum last confirmed the primary; sidecars measure the age of their
//! configuration from that time.

use super::context::Context;
use super::Coordinator;
use crate::replication::{Replica, ReplicatedState};
use passrelay_configuration::{parse_document, Configuration};
use passrelay_dissemination::{CommittedConfiguration, Gossip};
use std::sync::Arc;

impl Coordinator {
    /// Publishes the location of the core and the committed state if this process is the primary, and starts,
    /// configures or stops the grantor, the version recorder and the rollout controller accordingly. Without a
    /// replica, there is nothing to publish.
    pub(super) fn publish(&mut self, context: &mut Context<'_>) {
        let Some(replica) = &self.replica else { return };
        let now = context.now();
        if let Some(core) = replica.core_hint() {
            self.gossip.observe_core(core);
        }
        let Some(state) = publishable_state(replica) else {
            self.quota.stop(now);
            self.rollouts.stop();
            return;
        };
        let published_index = self.gossip.configuration().map_or(0, |configuration| configuration.index);
        publish_configuration(&mut self.gossip, replica, &state, context);
        let started = self.quota.start_term(now, state.version.term, replica.primary_since());
        self.rollouts.start_term(state.version.term);
        if started || published_index != state.version.index {
            if let Some(configuration) = read_configuration(&state) {
                self.quota.configure(now, &configuration);
                self.versions.configure(&configuration);
                self.rollouts.configure(&configuration);
            }
        }
    }
}

/// Returns the configuration of a state, or `None` before the first one and for a document that this build cannot read.
fn read_configuration(state: &ReplicatedState) -> Option<Configuration> {
    let document = parse_document(state.document.as_deref()?.as_bytes()).ok()?;
    Configuration::read(&document).ok()
}

/// Returns the committed state of an established primary; `None` on any other replica.
fn publishable_state(replica: &Replica) -> Option<Arc<ReplicatedState>> {
    let committed = replica.committed().filter(|_| replica.is_established())?;
    Some(replica.mutation().state_to_publish(committed.clone(), replica.state()))
}

/// Hands the committed configuration, with the time of its confirmation, to dissemination.
fn publish_configuration(
    gossip: &mut Gossip,
    replica: &Replica,
    state: &ReplicatedState,
    context: &mut Context<'_>,
) {
    let now = context.now();
    let configuration = state.document.clone().map(|document| CommittedConfiguration {
        index: state.version.index,
        generation: state.generation,
        document,
        service_versions: state.service_versions.clone(),
        rollouts: state.rollouts.clone(),
        keys_revoked: state.keys_revoked,
    });
    context.step_gossip(gossip, |gossip, actions| {
        gossip.observe_committed(now, configuration.as_ref(), replica.confirmed_at(), actions);
    });
}
