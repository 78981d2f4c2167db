//! The endpoint registry: the endpoints of each service, from locally received heartbeats and from other sidecars' records.
//!
//! Every sidecar holds records of all endpoints, and an endpoint sends its heartbeats to any one sidecar. Heartbeats are not
//! forwarded; only state changes are disseminated. When the heartbeats to a sidecar stop, that sidecar broadcasts that the
//! endpoint has expired, and a sidecar that received a later heartbeat refutes the expiry.
//!
//! [`record`] defines the records and their order, [`local_heartbeats`] tracks the heartbeats received here, [`digest`] computes
//! the hashes that anti-entropy compares, and [`expiry`] handles timeouts and tombstones. The registry sends nothing: its methods
//! return the records that [`gossip`](crate::gossip) broadcasts.

mod digest;
mod expiry;
mod local_heartbeats;
mod record;

pub(crate) use digest::bucket_of;
pub use digest::RegistryDigest;
pub use record::{EndpointRecord, EndpointState, Heartbeat};

use local_heartbeats::LocalHeartbeats;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of heartbeat intervals without a heartbeat after which an endpoint expires.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 3.2;

#[derive(Debug)]
struct Entry {
    record: EndpointRecord,
    changed_at: Duration,
    /// Whether the record was persisted before a restart and has not been confirmed since.
    restored: bool,
}

/// All endpoints known to this sidecar.
#[derive(Debug)]
pub struct Registry {
    /// Time without a heartbeat after which an endpoint expires.
    heartbeat_timeout: Duration,
    /// Entries by endpoint id; ordered, because records are sent in this order. A record changes only by expiring or by being
    /// replaced with one that supersedes it.
    entries: BTreeMap<String, Entry>,
    local_heartbeats: LocalHeartbeats,
    /// Cached digest of the entries; `None` after any entry has changed.
    digest: Option<RegistryDigest>,
    revision: u64,
}

impl Registry {
    /// Creates an empty registry for endpoints that send heartbeats at `heartbeat_interval`.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Registry {
            heartbeat_timeout: heartbeat_interval.mul_f64(HEARTBEAT_TIMEOUT_INTERVALS),
            entries: BTreeMap::new(),
            local_heartbeats: LocalHeartbeats::default(),
            digest: None,
            revision: 0,
        }
    }

    /// Returns the revision of the records, which increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all records, including tombstones, ordered by endpoint id.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns whether there is a record of an endpoint, possibly a tombstone.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Restores records that were persisted before a restart. Each expires soon unless a heartbeat or another sidecar confirms
    /// it.
    pub fn restore(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        for record in records {
            if record.state.is_live() && !self.contains(&record.id) {
                self.insert(Entry { record, changed_at: now, restored: true });
            }
        }
    }

    /// Processes a heartbeat and returns the changed records to broadcast. A late heartbeat has no effect.
    pub fn heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> Vec<EndpointRecord> {
        let received = &heartbeat.record;
        if self.is_outdated(received) {
            return Vec::new();
        }
        let known = self.entries.get(&received.id);
        let changed = known.is_none_or(|entry| {
            entry.record.state != received.state || entry.record.version != received.version
        });
        let broadcast = changed || self.local_heartbeats.is_refresh_due(now, &received.id);
        self.local_heartbeats.record(now, received, broadcast);
        if !broadcast {
            return Vec::new();
        }
        let mut changed = self.remove_former_owners(now, received);
        self.put(now, received.clone());
        changed.push(received.clone());
        changed
    }

    /// Returns whether a heartbeat is older than the known state of its endpoint.
    fn is_outdated(&self, received: &EndpointRecord) -> bool {
        let after_record = self.entries.get(&received.id).is_some_and(|entry| {
            entry.record.state == EndpointState::Removed || received.sequence < entry.record.sequence
        });
        let last_sequence = self.local_heartbeats.sequence(&received.id);
        after_record || last_sequence.is_some_and(|last| received.sequence < last)
    }

    /// Removes an endpoint that deregisters. Returns the changed records to broadcast.
    pub fn deregister(&mut self, now: Duration, id: &str) -> Vec<EndpointRecord> {
        self.local_heartbeats.remove(id);
        let Some(entry) = self.entries.get(id) else { return Vec::new() };
        let removed = EndpointRecord { state: EndpointState::Removed, ..entry.record.clone() };
        if !removed.supersedes(&entry.record) {
            return Vec::new();
        }
        self.put(now, removed.clone());
        vec![removed]
    }

    /// Merges records of another sidecar. Returns the changed records to broadcast: merged records and refutations.
    pub fn merge(&mut self, now: Duration, records: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        for record in records {
            if self.entries.get(&record.id).is_some_and(|entry| !record.supersedes(&entry.record)) {
                continue;
            }
            let merged = self.refutation(&record).unwrap_or(record);
            // The endpoint now sends its heartbeats to another sidecar, so their absence here means nothing.
            let last_sequence = self.local_heartbeats.sequence(&merged.id);
            if last_sequence.is_some_and(|last| last < merged.sequence) {
                self.local_heartbeats.remove(&merged.id);
            }
            self.put(now, merged.clone());
            changed.push(merged);
        }
        changed
    }

    /// Returns the record that refutes the expiry of an endpoint, if a later heartbeat was received here.
    fn refutation(&self, expired: &EndpointRecord) -> Option<EndpointRecord> {
        let sequence = self.local_heartbeats.sequence(&expired.id)?;
        if expired.state != EndpointState::Expired || sequence <= expired.sequence {
            return None;
        }
        let state = match self.entries.get(&expired.id)?.record.state {
            EndpointState::Draining => EndpointState::Draining,
            _ => EndpointState::Ready,
        };
        Some(EndpointRecord { state, sequence, ..expired.clone() })
    }

    /// Returns the digest of all records, computing it if a record has changed.
    pub fn digest(&mut self) -> RegistryDigest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let digest = digest::digest_of(self.records());
        self.digest = Some(digest);
        digest
    }

    /// Returns the records of the buckets whose hashes differ from those of `remote`, including tombstones.
    pub fn differing_records(&mut self, remote: &RegistryDigest) -> Vec<EndpointRecord> {
        let local = self.digest();
        let differs = |record: &&EndpointRecord| {
            let bucket = bucket_of(&record.id);
            local[bucket] != remote[bucket]
        };
        self.records().filter(differs).cloned().collect()
    }

    /// Removes the endpoints that previously had the address of a newly registered one, because an address has one owner.
    fn remove_former_owners(&mut self, now: Duration, registered: &EndpointRecord) -> Vec<EndpointRecord> {
        if self.contains(&registered.id) {
            return Vec::new();
        }
        let former_owners: Vec<String> = self
            .records()
            .filter(|record| record.address == registered.address && record.state != EndpointState::Removed)
            .map(|record| record.id.clone())
            .collect();
        former_owners.iter().flat_map(|id| self.deregister(now, id)).collect()
    }

    /// Inserts or replaces a record received by heartbeat or from another sidecar.
    fn put(&mut self, now: Duration, record: EndpointRecord) {
        self.insert(Entry { record, changed_at: now, restored: false });
    }

    fn insert(&mut self, entry: Entry) {
        self.entries.insert(entry.record.id.clone(), entry);
        self.record_changes(1);
    }

    fn record_changes(&mut self, count: u64) {
        if count > 0 {
            self.digest = None;
        }
        self.revision += count;
    }
}
