//! Tracks which endpoints probably have a prompt prefix in their KV cache, so that requests with the same
//! prefix are sent there.
//!
//! This is an estimate, since endpoints do not report the contents of their caches. A prefix is assumed to be
//! cached at its home, which rendezvous hashing determines without communication between routers, and at
//! every endpoint that this router recently sent it to.

use rustc_hash::FxHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// A prefix is assumed to stay cached at an endpoint for this long after it was sent there.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of tracked prefixes. Further prefixes are not tracked and only have their home.
const MAX_TRACKED_PREFIXES: usize = 4_096;
/// Minimum time between two evictions of expired prefixes while the maximum is reached, since each eviction
/// scans all prefixes.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint that a prefix was sent to.
#[derive(Debug)]
struct CacheLocation {
    endpoint: Arc<str>,
    sent_at: Duration,
}

impl CacheLocation {
    fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.sent_at) < CACHE_LIFETIME
    }
}

/// The endpoints to which this router recently sent each prefix.
#[derive(Debug, Default)]
pub(super) struct PrefixAffinity {
    /// Locations by prefix hash, at most one per endpoint. Contains at most [`MAX_TRACKED_PREFIXES`]
    /// prefixes.
    locations: HashMap<u64, Vec<CacheLocation>>,
    /// Expired prefixes are not evicted before this time.
    next_eviction: Duration,
}

impl PrefixAffinity {
    /// Returns the number of tracked prefixes.
    pub(super) fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns the endpoints that are assumed to have a prefix in their caches: its home among the eligible
    /// endpoints, and those that it was recently sent to. The latter may include ineligible endpoints and,
    /// again, the home.
    pub(super) fn holders(&self, now: Duration, eligible: &[Arc<str>], prefix: u64) -> Vec<Arc<str>> {
        let home = eligible.iter().max_by_key(|id| rendezvous_score(prefix, id));
        let locations = self.locations.get(&prefix).into_iter().flatten();
        let recent = locations.filter(|location| location.is_live(now)).map(|location| &location.endpoint);
        home.into_iter().chain(recent).cloned().collect()
    }

    /// Records that a prefix was sent to an endpoint.
    pub(super) fn record(&mut self, now: Duration, prefix: u64, endpoint: &Arc<str>) {
        let is_full = self.locations.len() >= MAX_TRACKED_PREFIXES && !self.locations.contains_key(&prefix);
        if is_full && !self.evict_expired(now) {
            return;
        }
        let locations = self.locations.entry(prefix).or_default();
        locations.retain(|location| location.endpoint != *endpoint && location.is_live(now));
        locations.push(CacheLocation { endpoint: endpoint.clone(), sent_at: now });
    }

    /// Evicts expired prefixes, at most once per [`EVICTION_INTERVAL`]. Returns whether another prefix can be
    /// tracked now.
    fn evict_expired(&mut self, now: Duration) -> bool {
        if now < self.next_eviction {
            return false;
        }
        self.next_eviction = now + EVICTION_INTERVAL;
        self.locations.retain(|_, locations| {
            locations.retain(|location| location.is_live(now));
            !locations.is_empty()
        });
        self.locations.len() < MAX_TRACKED_PREFIXES
    }
}

/// Returns the rendezvous hashing score of an endpoint for a prefix. The endpoint with the highest score is
/// the home of the prefix. Scores are equal in all routers, so that they agree on the home.
fn rendezvous_score(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = FxHasher::default();
    (prefix, endpoint).hash(&mut hasher);
    // The low bits of FxHasher are poorly mixed; one more mixing round makes the order of the scores uniform.
    let mixed = (hasher.finish() ^ (hasher.finish() >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}
