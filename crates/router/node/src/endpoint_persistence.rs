//! Persistence of the endpoint registry, so that a restarted machine knows endpoints before their next
//! heartbeat.
//!
//! Best effort: nobody waits for the write, and no decision rests on what was stored.

use crate::storage::Storage;
use passrelay_dissemination::{EndpointRecord, EndpointState};
use std::cell::Cell;
use std::time::Duration;

/// Interval of the check whether the registry differs from what is stored; bounds the write rate.
pub const ENDPOINT_PERSISTENCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Which revision of the registry is stored.
#[derive(Default)]
pub struct EndpointPersistence {
    /// Revision of the registry that was last handed to the storage.
    persisted_revision: Cell<u64>,
}

impl EndpointPersistence {
    /// Hands the records of endpoints that have not expired to the storage, if the registry has changed since
    /// the last time.
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
        let alive = records.filter(|record| record.state < EndpointState::Expired);
        storage.persist_endpoints(alive.cloned().collect());
    }
}
