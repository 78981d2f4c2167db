//! Records which version of each service is in service, so that endpoints of other versions receive no requests until
//! an operator orders such a version.
//!
//! The established primary records a version as soon as it knows a ready endpoint of the service: the version of most
//! ready endpoints. After that, only operators change it, by the service's `version` in the configuration or by a
//! rollout. Recorded versions are replicated and committed like any change, so that neither a new primary nor a
//! restart of all machines chooses a version again from the endpoints of that moment.

use super::context::Context;
use super::Coordinator;
use crate::replication::{Replica, StateVersion};
use passrelay_configuration::{Configuration, ServiceVersions};
use passrelay_dissemination::{EndpointState, Registry};
use std::collections::BTreeMap;

/// The services whose versions are recorded; current only on the established primary.
pub(super) struct VersionRecorder {
    /// False if versions are not recorded: endpoints of all versions are then equivalent.
    enabled: bool,
    /// The services of the committed configuration, each with the version that the configuration sets, if any.
    services: BTreeMap<String, Option<String>>,
    /// Registry revision and state version of the last examination. It is not repeated for the same ones, since the
    /// result would be the same.
    last_examined: Option<(u64, StateVersion)>,
}

impl VersionRecorder {
    pub(super) fn new(enabled: bool) -> Self {
        VersionRecorder { enabled, services: BTreeMap::new(), last_examined: None }
    }

    /// Applies the committed configuration.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        let services = configuration.services.iter();
        self.services = services.map(|service| (service.name.clone(), service.version.clone())).collect();
        self.last_examined = None;
    }

    /// Returns the version that should be in service for each service: the one set by the configuration, else the
    /// recorded one, else that of most ready endpoints.
    fn desired_versions(&self, recorded: &ServiceVersions, registry: &Registry) -> ServiceVersions {
        let version = |(service, set): (&String, &Option<String>)| {
            let known = set.clone().or_else(|| recorded.get(service).map(str::to_owned));
            let version = known.or_else(|| most_common_version(registry, service))?;
            Some((service.clone(), version))
        };
        self.services.iter().filter_map(version).collect()
    }
}

/// Returns the most common version among the ready endpoints of a service; in case of a tie, the first in lexicographic
/// order. Returns `None` if no ready endpoint reports a version.
fn most_common_version(registry: &Registry, service: &str) -> Option<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let ready = registry.records().filter(|record| record.state == EndpointState::Ready);
    for record in ready.filter(|record| record.service == service && !record.version.is_empty()) {
        *counts.entry(&record.version).or_default() += 1;
    }
    let most = counts.values().copied().max()?;
    counts.into_iter().find(|(_, count)| *count == most).map(|(version, _)| version.to_owned())
}

impl Coordinator {
    /// Proposes the versions that should be in service if they differ from the recorded ones, provided that this
    /// process is the established primary and its newest state is committed.
    pub(super) fn record_versions(&mut self, context: &mut Context<'_>) {
        let Some(replica) = &mut self.replica else { return };
        if !self.versions.enabled || !is_newest_state_committed(replica) {
            return;
        }
        let state = replica.state().clone();
        let registry = self.gossip.registry();
        let current = Some((registry.revision(), state.version));
        if self.versions.last_examined == current {
            return;
        }
        self.versions.last_examined = current;
        let versions = self.versions.desired_versions(&state.service_versions, registry);
        if versions != state.service_versions {
            let now = context.now();
            context.step_replica(replica, |replica, actions| {
                replica.propose_service_versions(now, versions, actions);
            });
        }
    }
}

/// Returns whether a replica is the established primary and its newest state is committed.
pub(super) fn is_newest_state_committed(replica: &Replica) -> bool {
    let committed = replica.committed().filter(|_| replica.is_established());
    committed.is_some_and(|committed| committed.version == replica.state().version)
}
