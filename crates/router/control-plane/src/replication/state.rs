//! The replicated state: the configuration document, its version, and the changes applied last.
//!
//! The state is replicated as a whole, not as a log: it is small, and a lagging backup needs only the newest version.

use passrelay_configuration::{document_has_tenants, Rollouts, ServiceVersions};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Number of applied changes that are kept, so that a retry of one of them is acknowledged again.
const MAX_APPLIED_CHANGES: usize = 512;

/// Time allowed for transferring a state to one member over a slow link, in microseconds per KiB of the document.
const TRANSFER_MICROS_PER_KIB: u64 = 1_500;

/// Version of a state. Ordered by the term of the primary that wrote it, then by the number of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateVersion {
    /// Term of the primary that replicates it. Invariant: within a term only its one primary assigns indexes, so two
    /// states of the same version are equal.
    pub term: u64,
    /// Number of changes since the first start of the cluster.
    pub index: u64,
}

/// An entry of the history of applied configuration changes, by which a retry is recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Generation that the change produced.
    pub generation: u64,
    /// SHA-256 digest of the kind, base generation and body of the change.
    pub digest: [u8; 32],
}

/// The state that the members replicate. Stored on disk and sent between members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Position of this state among all states; assigned by the primary.
    pub version: StateVersion,
    /// Version number that the operators assign to the configuration; 0 before the first configuration.
    pub generation: u64,
    /// The configuration document, as JSON; `None` before the first configuration.
    pub document: Option<Arc<str>>,
    /// The changes applied last, oldest first; at most 512. Invariant: replicated with the document, so that a new
    /// primary recognises a retry of a change that an earlier one acknowledged.
    #[serde(rename = "orders")]
    pub applied_changes: VecDeque<AppliedChange>,
    /// Version in service of each service. Invariant: replicated with the document, so that every process that knows a
    /// configuration also knows which endpoints may serve it. Not written if empty, and dropped by members of earlier
    /// builds.
    #[serde(default, skip_serializing_if = "ServiceVersions::is_empty")]
    pub service_versions: ServiceVersions,
    /// Waiting, running and recently ended rollouts. Invariant: replicated with the versions in service that result
    /// from them. Not written if empty, and dropped by members of earlier builds.
    #[serde(default, skip_serializing_if = "Rollouts::is_empty")]
    pub rollouts: Rollouts,
    /// Whether the document has no `tenants` although an earlier one had, so that there are API keys, all of which were
    /// taken away. Invariant: replicated with the document, which does not tell. Not written if false, and dropped by
    /// members of earlier builds.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keys_revoked: bool,
}

impl ReplicatedState {
    /// Returns the time allowed for transferring this state to one member over a slow link, on top of the usual
    /// timeouts.
    pub fn transfer_time(&self) -> Duration {
        let bytes = self.document.as_ref().map_or(0, |document| document.len());
        Duration::from_micros(u64::try_from(bytes).unwrap_or(u64::MAX) * TRANSFER_MICROS_PER_KIB / 1_024)
    }

    /// Returns whether a change based on generation `base` may have been applied and since been dropped from the
    /// history of applied changes.
    pub fn may_have_truncated(&self, base: u64) -> bool {
        let oldest = self.applied_changes.front().map_or(0, |change| change.generation);
        self.applied_changes.len() >= MAX_APPLIED_CHANGES && base < oldest
    }

    /// Returns the state that results from one more change, with a version assigned by the primary of `term`. Drops the
    /// oldest entry of a full history.
    pub fn with_change(&self, term: u64, generation: u64, document: Arc<str>, change: AppliedChange) -> Self {
        let mut applied_changes = self.applied_changes.clone();
        applied_changes.push_back(change);
        while applied_changes.len() > MAX_APPLIED_CHANGES {
            applied_changes.pop_front();
        }
        let had_tenants = || self.document.as_deref().is_some_and(document_has_tenants);
        let keys_revoked = !document_has_tenants(&document) && (self.keys_revoked || had_tenants());
        let version = StateVersion { term, index: self.version.index + 1 };
        ReplicatedState {
            version,
            generation,
            document: Some(document),
            applied_changes,
            service_versions: self.service_versions.clone(),
            rollouts: self.rollouts.clone(),
            keys_revoked,
        }
    }

    /// Returns the state with other versions in service, with a version assigned by the primary of `term`. This is not
    /// a change of an operator: generation, document and history stay the same.
    pub fn with_service_versions(&self, term: u64, service_versions: ServiceVersions) -> Self {
        let version = StateVersion { term, index: self.version.index + 1 };
        ReplicatedState { version, service_versions, ..self.clone() }
    }

    /// Returns the state with other rollouts and the versions in service that result from them, with a version assigned
    /// by the primary of `term`.
    pub fn with_rollouts(&self, term: u64, rollouts: Rollouts, service_versions: ServiceVersions) -> Self {
        ReplicatedState { rollouts, ..self.with_service_versions(term, service_versions) }
    }
}
