//! Persists the endpoint registry, so that a restarted machine knows endpoints before their next heartbeat.
//!
//! Persistence is best effort: no task waits for the write, and no decision depends on the stored endpoints.

use crate::storage::Storage;
use passrelay_dissemination::{EndpointRecord, EndpointState};
use std::cell::Cell;
use std::time::Duration;

/// Interval at which the registry is compared with the stored revision; bounds the write rate.
pub const ENDPOINT_PERSISTENCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Tracks the revision of the registry that is stored.
#[derive(Default)]
pub struct EndpointPersistence {
    /// Revision of the registry that was last passed to the storage.
    persisted_revision: Cell<u64>,
}

impl EndpointPersistence {
    /// Passes the records of live endpoints to the storage if the registry has changed since the last call.
    pub fn persist_if_changed<'a>(
        &self,
        storage: &Storage,
        revision: u64,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) {
        if self.persisted_revision.get() == revision {
            return;
        }
        self.persisted_revision.set(revision);
        let live = records.filter(|record| record.state < EndpointState::Expired);
        storage.persist_endpoints(live.cloned().collect());
    }
}
