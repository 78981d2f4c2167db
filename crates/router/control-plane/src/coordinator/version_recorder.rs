//! Records which version of each service is in service, so that endpoints of another one get nothing until somebody orders it.
//!
//! The established primary records a version as soon as it knows an endpoint of the service: that of most ready endpoints. From
//! then on only the operators move it, by `version` of the service in the configuration. What is recorded is replicated and committed
//! like any change, so that neither a new primary nor a start of all machines decides anew by the endpoints of that moment.

use super::context::Context;
use super::Coordinator;
use crate::replication::{Replica, StateVersion};
use passrelay_configuration::{Configuration, ServiceVersions};
use passrelay_dissemination::{EndpointState, Registry};
use std::collections::BTreeMap;

/// What the recorder knows of the committed configuration; current only on the established primary.
pub(super) struct VersionRecorder {
    /// Off where versions are no part of the contract with the operators: endpoints of all versions are alike there.
    enabled: bool,
    /// The services of the configuration, with the version that it sets.
    services: BTreeMap<String, Option<String>>,
    /// Registry revision and state that were last examined: the same ones give the same result.
    examined: Option<(u64, StateVersion)>,
}

impl VersionRecorder {
    pub(super) fn new(enabled: bool) -> Self {
        VersionRecorder { enabled, services: BTreeMap::new(), examined: None }
    }

    /// Takes the committed configuration.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        let services = configuration.services.iter();
        self.services = services.map(|service| (service.name.clone(), service.version.clone())).collect();
        self.examined = None;
    }

    /// The versions to be in service: as the configuration sets them, else as recorded, else as most endpoints have them.
    fn versions(&self, recorded: &ServiceVersions, registry: &Registry) -> ServiceVersions {
        let version = |(service, set): (&String, &Option<String>)| {
            let known = set.clone().or_else(|| recorded.get(service).map(str::to_owned));
            let version = known.or_else(|| most_common_version(registry, service))?;
            Some((service.clone(), version))
        };
        self.services.iter().filter_map(version).collect()
    }
}

/// The version of most ready endpoints of a service; of equally many, the first in order. `None` where no endpoint reports one.
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
    /// Proposes the versions in service where they differ from the recorded ones, if this process is the primary and no change is
    /// in flight.
    pub(super) fn record_versions(&mut self, context: &mut Context<'_>) {
        let Some(replica) = &mut self.replica else { return };
        if !self.versions.enabled || !has_only_committed(replica) {
            return;
        }
        let state = replica.state().clone();
        let registry = self.gossip.registry();
        let examined = Some((registry.revision(), state.version));
        if self.versions.examined == examined {
            return;
        }
        self.versions.examined = examined;
        let versions = self.versions.versions(&state.service_versions, registry);
        if versions != state.service_versions {
            let now = context.now();
            context.step_replica(replica, |replica, actions| {
                replica.propose_service_versions(now, versions, actions);
            });
        }
    }
}

/// Whether a replica is the established primary and its newest state is committed.
pub(super) fn has_only_committed(replica: &Replica) -> bool {
    let committed = replica.committed().filter(|_| replica.is_established());
    committed.is_some_and(|committed| committed.version == replica.state().version)
}
