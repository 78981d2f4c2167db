//! Summary of a process's view of the fleet, for operators and logs.

use super::Coordinator;
use crate::replication::Replica;
use passrelay_configuration::{Rollouts, ServiceVersions};
use passrelay_dissemination::{EndpointRecord, EndpointState};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A process's view of the fleet. Serialised as the JSON body of the status page; field names are part of that format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Generation of the configuration applied by this process; 0 before the first one.
    pub generation: u64,
    /// Index of that configuration among all committed changes; 0 before the first one.
    pub index: u64,
    /// Time since the last confirmation that this configuration is the newest, in ms; `None` if there was none.
    pub fresh_age_ms: Option<u64>,
    /// Term of the newest epoch record known; 0 if none is known.
    pub term: u64,
    /// Address of the primary, if known.
    pub primary: Option<SocketAddrV4>,
    /// Addresses of the members of the core; empty if they are not known.
    pub members: Vec<SocketAddrV4>,
    /// Whether this process is the established primary.
    pub leads: bool,
    /// Number of sidecars in the partial view.
    pub peers: usize,
    /// Number of endpoints in the registry, except removed ones.
    pub endpoints: usize,
    /// Number of these endpoints by service, then by version. The key of an unknown version is the empty string.
    pub endpoints_by_version: BTreeMap<String, BTreeMap<String, usize>>,
    /// Recorded version of each service, whose endpoints receive requests. Services without a recorded version are
    /// missing.
    pub service_versions: ServiceVersions,
    /// Waiting, running and recently ended rollouts; omitted if there are none.
    #[serde(skip_serializing_if = "Rollouts::is_empty")]
    pub rollouts: Rollouts,
    /// Number of responses dropped because an earlier incarnation at this address had sent the request.
    pub answers_dropped: u64,
}

impl Coordinator {
    /// Returns this process's view of the fleet at `now`.
    pub fn status(&self, now: Duration) -> Status {
        let configuration = self.gossip.configuration();
        let age = self.gossip.fresh_at().map(|fresh_at| now.saturating_sub(fresh_at));
        let core = self.gossip.core();
        let present = |record: &&EndpointRecord| record.state != EndpointState::Removed;
        Status {
            generation: configuration.map_or(0, |c| c.generation),
            index: configuration.map_or(0, |c| c.index),
            fresh_age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            term: core.map_or(0, |c| c.term),
            primary: core.map(|c| c.primary),
            members: core.map(|c| c.members.clone()).unwrap_or_default(),
            leads: self.replica.as_ref().is_some_and(Replica::is_established),
            peers: self.gossip.view().len(),
            endpoints: self.gossip.registry().records().filter(present).count(),
            endpoints_by_version: self.endpoints_by_version(),
            service_versions: configuration.map(|c| c.service_versions.clone()).unwrap_or_default(),
            rollouts: configuration.map(|c| c.rollouts.clone()).unwrap_or_default(),
            answers_dropped: self.stale_responses_dropped,
        }
    }

    fn endpoints_by_version(&self) -> BTreeMap<String, BTreeMap<String, usize>> {
        let mut counts: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        let records = self.gossip.registry().records();
        for record in records.filter(|record| record.state != EndpointState::Removed) {
            let service_counts = counts.entry(record.service.clone()).or_default();
            *service_counts.entry(record.version.clone()).or_default() += 1;
        }
        counts
    }
}
