//! The endpoint registry: which endpoints serve which service, by heartbeats received here and records from other sidecars.
//!
//! Every sidecar holds all endpoints, and an endpoint sends its heartbeats to any one of them. Heartbeats stay with the sidecar
//! that receives them; only changes of state are disseminated. When the heartbeats stop there, it broadcasts that the endpoint
//! has expired, and a sidecar that received a later heartbeat refutes that.
//!
//! [`record`] holds the records and their order, [`local_heartbeats`] the heartbeats received here, [`digest`] what
//! anti-entropy compares, [`expiry`] time-outs and tombstones. Sending is the business of [`gossip`](crate::gossip): methods
//! return the records to broadcast.

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

/// Heartbeat intervals without a heartbeat after which an endpoint expires.
const MISSED_HEARTBEATS: f64 = 3.2;

#[derive(Debug)]
struct Entry {
    record: EndpointRecord,
    changed_at: Duration,
    /// The record was persisted before a restart, and nothing has confirmed it since.
    restored: bool,
}

/// All endpoints known to this sidecar.
#[derive(Debug)]
pub struct Registry {
    /// Time without a heartbeat after which an endpoint expires.
    heartbeat_timeout: Duration,
    /// By endpoint id; ordered, as records are sent in this order. A record is only replaced by one that supersedes it, or
    /// expires.
    entries: BTreeMap<String, Entry>,
    local_heartbeats: LocalHeartbeats,
    /// The digest of the entries; None after a change of any.
    digest: Option<RegistryDigest>,
    revision: u64,
}

impl Registry {
    /// An empty registry of endpoints that send heartbeats at the interval `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Registry {
            heartbeat_timeout: heartbeat.mul_f64(MISSED_HEARTBEATS),
            entries: BTreeMap::new(),
            local_heartbeats: LocalHeartbeats::default(),
            digest: None,
            revision: 0,
        }
    }

    /// Revision of the records; increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All records, tombstones included, by id.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Whether there is a record of an endpoint, be it a tombstone.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Loads records that were persisted before a restart. Each has to be confirmed soon, by a heartbeat or another sidecar.
    pub fn restore(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        for record in records {
            if record.state.is_live() && !self.contains(&record.id) {
                self.insert(Entry { record, changed_at: now, restored: true });
            }
        }
    }

    /// Takes a heartbeat and returns the changed records to broadcast. A late heartbeat changes nothing.
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
        self.local_heartbeats.observe(now, received, broadcast);
        if !broadcast {
            return Vec::new();
        }
        let mut changed = self.remove_former_owners(now, received);
        self.put(now, received.clone());
        changed.push(received.clone());
        changed
    }

    /// Whether a heartbeat is older than what is known of its endpoint.
    fn is_outdated(&self, received: &EndpointRecord) -> bool {
        let after_record = self.entries.get(&received.id).is_some_and(|entry| {
            entry.record.state == EndpointState::Removed || received.sequence < entry.record.sequence
        });
        let last_sequence = self.local_heartbeats.sequence(&received.id);
        after_record || last_sequence.is_some_and(|last| received.sequence < last)
    }

    /// Removes an endpoint that has ended as planned. Returns the changed records to broadcast.
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

    /// Merges records of another sidecar. Returns those that changed, to broadcast: the merged ones and refutations.
    pub fn merge(&mut self, now: Duration, records: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        for record in records {
            if self.entries.get(&record.id).is_some_and(|entry| !record.supersedes(&entry.record)) {
                continue;
            }
            let merged = self.refutation(&record).unwrap_or(record);
            // The endpoint sends its heartbeats elsewhere by now, so their absence here says nothing.
            let last_sequence = self.local_heartbeats.sequence(&merged.id);
            if last_sequence.is_some_and(|last| last < merged.sequence) {
                self.local_heartbeats.remove(&merged.id);
            }
            self.put(now, merged.clone());
            changed.push(merged);
        }
        changed
    }

    /// The record that refutes the expiry of an endpoint, if a later heartbeat was received here.
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

    /// The digest of all records.
    pub fn digest(&mut self) -> RegistryDigest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let digest = digest::digest_of(self.records());
        self.digest = Some(digest);
        digest
    }

    /// The records of the buckets in which `remote` differs, tombstones included.
    pub fn differing_records(&mut self, remote: &RegistryDigest) -> Vec<EndpointRecord> {
        let own = self.digest();
        let differs = |record: &&EndpointRecord| {
            let bucket = bucket_of(&record.id);
            own[bucket] != remote[bucket]
        };
        self.records().filter(differs).cloned().collect()
    }

    /// Removes the endpoints that had the address of a newly registered one: an address has one owner.
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

    /// Inserts or replaces a record that a heartbeat or another sidecar brought.
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
