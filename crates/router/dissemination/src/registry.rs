//! The endpoint registry: who serves which service, from heartbeats heard here and records told by others.
//!
//! Only changes of state are told on. Heartbeats themselves stay with the sidecar that hears them; when they
//! stop there, it tells that the endpoint is silent, and whoever hears a later one contradicts it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Heartbeats that may fail to come before an endpoint counts as silent.
const MISSED_HEARTBEATS: f64 = 3.2;
/// A record is told again after this time, although nothing changed. Each telling reaches every sidecar several times,
/// so it has to be rare where there are many endpoints.
const REFRESH_AFTER: Duration = Duration::from_secs(600);
/// A record that nobody has refreshed for this long is silent.
const STALE_AFTER: Duration = Duration::from_secs(2_100);
/// Records of endpoints that are gone are kept this long, so that late heartbeats are known as such.
const TOMBSTONE_FOR: Duration = Duration::from_secs(60);
/// A restored record that nobody confirms within this time is silent.
const CONFIRM_WITHIN: Duration = Duration::from_millis(2_600);
/// Parts of the registry that are compared and reconciled by themselves.
const BUCKETS: usize = 16;

/// One hash for each bucket of the registry.
pub type RegistryDigest = [u32; BUCKETS];

/// The state of an endpoint; later ones go before earlier ones of the same sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Its heartbeats have stopped.
    #[serde(rename = "Silent")]
    Expired,
    /// It has said that it is gone, or its address has another owner.
    #[serde(rename = "Gone")]
    Removed,
}

/// What is known of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its instance id, new at each start.
    #[serde(rename = "i")]
    pub id: String,
    /// The service that it serves.
    #[serde(rename = "s")]
    pub service: String,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Requests that it works on at the same time.
    #[serde(rename = "c")]
    pub capacity: u32,
    /// Its state.
    #[serde(rename = "t")]
    pub state: EndpointState,
    /// Sequence of the heartbeat that brought this state.
    #[serde(rename = "q")]
    pub sequence: u64,
}

impl EndpointRecord {
    fn is_newer_than(&self, other: &EndpointRecord) -> bool {
        other.state != EndpointState::Removed
            && (self.state == EndpointState::Removed
                || (self.sequence, self.state) > (other.sequence, other.state))
    }
}

/// A heartbeat as an endpoint sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// What the endpoint tells of itself.
    pub record: EndpointRecord,
}

#[derive(Debug)]
struct Entry {
    record: EndpointRecord,
    changed_at: Duration,
    /// It comes from the disk and nobody has confirmed it since.
    restored: bool,
}

#[derive(Debug)]
struct Heard {
    at: Duration,
    sequence: u64,
    announced_at: Duration,
}

/// All endpoints known to this sidecar.
#[derive(Debug)]
pub struct Registry {
    silent_after: Duration,
    entries: BTreeMap<String, Entry>,
    /// Endpoints whose heartbeats come here.
    heard: BTreeMap<String, Heard>,
    digest: Option<RegistryDigest>,
    revision: u64,
}

impl Registry {
    /// An empty registry of endpoints that send a heartbeat each `heartbeat` or so.
    pub fn new(heartbeat: Duration) -> Self {
        Registry {
            silent_after: heartbeat.mul_f64(MISSED_HEARTBEATS),
            entries: BTreeMap::new(),
            heard: BTreeMap::new(),
            digest: None,
            revision: 0,
        }
    }

    /// Goes up with each change of a record.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All records, those of endpoints that are gone among them.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|e| &e.record)
    }

    /// Whether anything is known of an endpoint, also that it is gone.
    pub fn knows(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Takes in what was known before a restart. Each record has to be confirmed by a heartbeat soon, here or elsewhere.
    pub fn restore(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        for record in records {
            if record.state < EndpointState::Expired && !self.entries.contains_key(&record.id) {
                self.entries.insert(record.id.clone(), Entry { record, changed_at: now, restored: true });
                self.touch();
            }
        }
    }

    /// Takes in a heartbeat and returns what is to be told on. A late one changes nothing.
    pub fn heartbeat(&mut self, now: Duration, beat: &Heartbeat) -> Vec<EndpointRecord> {
        let told = &beat.record;
        let known = self.entries.get(&told.id).map(|e| &e.record);
        let late = known.is_some_and(|k| k.state == EndpointState::Removed || told.sequence < k.sequence);
        if late || self.heard.get(&told.id).is_some_and(|h| told.sequence < h.sequence) {
            return Vec::new();
        }
        let changed = known.is_none_or(|k| k.state != told.state);
        let known_here = self.heard.get(&told.id);
        let due = known_here.is_none_or(|h| now.saturating_sub(h.announced_at) >= REFRESH_AFTER);
        let tell = changed || due;
        let announced_at = if tell { now } else { known_here.map_or(now, |h| h.announced_at) };
        self.heard.insert(told.id.clone(), Heard { at: now, sequence: told.sequence, announced_at });
        if !tell {
            return Vec::new();
        }
        let mut news = self.retire_former_owners(now, told);
        self.put(now, told.clone());
        news.push(told.clone());
        news
    }

    /// An endpoint has ended as planned. Returns what is to be told on.
    pub fn leave(&mut self, now: Duration, id: &str) -> Vec<EndpointRecord> {
        self.heard.remove(id);
        let Some(entry) = self.entries.get(id) else { return Vec::new() };
        let gone = EndpointRecord { state: EndpointState::Removed, ..entry.record.clone() };
        if !gone.is_newer_than(&entry.record) {
            return Vec::new();
        }
        self.put(now, gone.clone());
        vec![gone]
    }

    /// Takes in records that another sidecar tells; returns those that were news and are to be told on.
    pub fn merge(&mut self, now: Duration, records: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        let mut news = Vec::new();
        for record in records {
            if self.entries.get(&record.id).is_some_and(|e| !record.is_newer_than(&e.record)) {
                continue;
            }
            match self.contradiction(&record) {
                Some(later) => {
                    self.put(now, later.clone());
                    news.push(later);
                }
                None => {
                    if self.heard.get(&record.id).is_some_and(|h| h.sequence < record.sequence) {
                        self.heard.remove(&record.id);
                    }
                    self.put(now, record.clone());
                    news.push(record);
                }
            }
        }
        news
    }

    /// What this sidecar has heard that is later than the silence it is told of.
    fn contradiction(&self, told: &EndpointRecord) -> Option<EndpointRecord> {
        let heard = self.heard.get(&told.id)?;
        if told.state != EndpointState::Expired || heard.sequence <= told.sequence {
            return None;
        }
        let state = match self.entries.get(&told.id)?.record.state {
            EndpointState::Draining => EndpointState::Draining,
            _ => EndpointState::Ready,
        };
        Some(EndpointRecord { state, sequence: heard.sequence, ..told.clone() })
    }

    /// Finds endpoints whose heartbeats have stopped, and drops what is long over. Returns what is to be told on.
    pub fn sweep(&mut self, now: Duration) -> Vec<EndpointRecord> {
        let silent_after = self.silent_after;
        let stopped: Vec<(String, u64)> = self
            .heard
            .iter()
            .filter(|(_, h)| now.saturating_sub(h.at) > silent_after)
            .map(|(id, h)| (id.clone(), h.sequence))
            .collect();
        let mut news = Vec::new();
        for (id, sequence) in stopped {
            self.heard.remove(&id);
            let Some(entry) = self.entries.get(&id) else { continue };
            let silent = EndpointRecord { state: EndpointState::Expired, sequence, ..entry.record.clone() };
            if silent.is_newer_than(&entry.record) {
                self.put(now, silent.clone());
                news.push(silent);
            }
        }
        self.age_out(now);
        news
    }

    fn age_out(&mut self, now: Duration) {
        let stale: Vec<String> = self
            .entries
            .iter()
            .filter(|(id, e)| {
                let live = matches!(e.record.state, EndpointState::Ready | EndpointState::Draining);
                let patience = if e.restored { CONFIRM_WITHIN } else { STALE_AFTER };
                live && !self.heard.contains_key(*id) && now.saturating_sub(e.changed_at) > patience
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in stale {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.record.state = EndpointState::Expired;
                entry.changed_at = now;
                self.touch();
            }
        }
        let before = self.entries.len();
        self.entries.retain(|_, e| {
            e.record.state < EndpointState::Expired || now.saturating_sub(e.changed_at) < TOMBSTONE_FOR
        });
        if self.entries.len() != before {
            self.touch();
        }
    }

    /// One hash a bucket over all endpoints that are not gone.
    pub fn digest(&mut self) -> RegistryDigest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let mut digest = [0; BUCKETS];
        for entry in self.entries.values().filter(|e| e.record.state != EndpointState::Removed) {
            let mut hasher = DefaultHasher::new();
            (&entry.record.id, entry.record.sequence, entry.record.state).hash(&mut hasher);
            digest[bucket_of(&entry.record.id)] ^= hasher.finish() as u32;
        }
        self.digest = Some(digest);
        digest
    }

    /// The records of the buckets in which `other` differs, those of endpoints that are gone among them.
    pub fn differing(&mut self, other: &RegistryDigest) -> Vec<EndpointRecord> {
        let own = self.digest();
        let differs = |record: &&EndpointRecord| {
            let bucket = bucket_of(&record.id);
            own[bucket] != other[bucket]
        };
        self.records().filter(differs).cloned().collect()
    }

    /// An address that is registered anew belongs to the newcomer alone.
    fn retire_former_owners(&mut self, now: Duration, newcomer: &EndpointRecord) -> Vec<EndpointRecord> {
        if self.entries.contains_key(&newcomer.id) {
            return Vec::new();
        }
        let former: Vec<String> = self
            .entries
            .values()
            .filter(|e| e.record.address == newcomer.address && e.record.state != EndpointState::Removed)
            .map(|e| e.record.id.clone())
            .collect();
        former.iter().flat_map(|id| self.leave(now, id)).collect()
    }

    fn put(&mut self, now: Duration, record: EndpointRecord) {
        self.entries.insert(record.id.clone(), Entry { record, changed_at: now, restored: false });
        self.touch();
    }

    fn touch(&mut self) {
        self.digest = None;
        self.revision += 1;
    }
}

/// The bucket of a digest in which an endpoint is.
pub(crate) fn bucket_of(id: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    (hasher.finish() as usize) % BUCKETS
}
