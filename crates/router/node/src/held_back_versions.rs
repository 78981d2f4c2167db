//! Logs when endpoints of a version that is not in service appear and when the last of them disappears.

use crate::configuration_snapshot::ConfigurationSnapshot;
use crate::logging::log_event;
use passrelay_configuration::ServiceVersions;
use passrelay_dissemination::{EndpointRecord, EndpointState, Registry};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// A service together with one of its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceVersion {
    service: String,
    version: String,
}

/// Tracks the held-back versions: versions with ready endpoints that are not in service.
#[derive(Default)]
pub struct HeldBackVersions {
    /// Number of ready endpoints by held-back version, as of the last update.
    logged: RefCell<BTreeMap<ServiceVersion, usize>>,
    /// Index of the configuration and revision of the registry as of the last update.
    examined: Cell<(u64, u64)>,
}

impl HeldBackVersions {
    /// Compares the endpoints with the versions in service, and logs versions that are newly held back or no longer held back.
    pub fn update(&self, snapshot: &ConfigurationSnapshot, registry: &Registry) {
        let examined = (snapshot.index, registry.revision());
        if self.examined.replace(examined) == examined {
            return;
        }
        let held_back = count_held_back(&snapshot.service_versions, registry.records());
        let mut logged = self.logged.borrow_mut();
        for (held, endpoints) in held_back.iter().filter(|(held, _)| !logged.contains_key(held)) {
            let ServiceVersion { service, version } = held;
            log_event!(
                info,
                "version_held_back",
                service = service,
                version = version,
                endpoints = endpoints
            );
        }
        for ServiceVersion { service, version } in logged.keys().filter(|held| !held_back.contains_key(held))
        {
            log_event!(info, "version_no_longer_held_back", service = service, version = version);
        }
        *logged = held_back;
    }
}

/// Returns the number of ready endpoints of each version that is not in service.
fn count_held_back<'a>(
    versions: &ServiceVersions,
    records: impl Iterator<Item = &'a EndpointRecord>,
) -> BTreeMap<ServiceVersion, usize> {
    let mut counts = BTreeMap::new();
    for record in records.filter(|record| record.state == EndpointState::Ready) {
        let in_service = versions.get(&record.service);
        if record.version.is_empty() || in_service.is_none_or(|version| version == record.version) {
            continue;
        }
        let held = ServiceVersion { service: record.service.clone(), version: record.version.clone() };
        *counts.entry(held).or_default() += 1;
    }
    counts
}
