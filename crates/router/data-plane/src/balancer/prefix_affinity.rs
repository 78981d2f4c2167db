//! Which endpoints hold a prompt prefix in their KV cache, so that requests with the same prefix are sent there.
//!
//! An estimate, since endpoints don't report their caches: a prefix is taken to be cached at its home, which rendezvous
//! hashing gives without any exchange between routers, and wherever this router sent it recently.

use rustc_hash::FxHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// A prefix counts as cached at an endpoint for this long after it was sent there.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);
/// Bound on the tracked prefixes; beyond it new ones are not tracked and go by their home alone.
const MAX_TRACKED_PREFIXES: usize = 4_096;
/// Shortest time between two searches for expired prefixes while the bound is reached: each one visits all of them.
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

/// The endpoints that recently got each prefix from this router.
#[derive(Debug, Default)]
pub(super) struct PrefixAffinity {
    /// Locations by prefix hash, at most one an endpoint. At most [`MAX_TRACKED_PREFIXES`] prefixes.
    locations: HashMap<u64, Vec<CacheLocation>>,
    next_eviction: Duration,
}

impl PrefixAffinity {
    /// Number of tracked prefixes.
    pub(super) fn len(&self) -> usize {
        self.locations.len()
    }

    /// The endpoints that are taken to hold a prefix: its home among the eligible ones, and those it was sent to recently
    /// (which may be other than the eligible ones, and the home among them).
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

    /// Evicts expired prefixes, at most once in [`EVICTION_INTERVAL`]. Whether there is capacity for one more then.
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

/// Score of an endpoint for a prefix in rendezvous hashing; the highest one is the prefix' home. Equal in all routers, so
/// that they agree on homes.
fn rendezvous_score(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = FxHasher::default();
    (prefix, endpoint).hash(&mut hasher);
    // FxHasher leaves the low bits weak; one more round of mixing evens the order out.
    let mixed = (hasher.finish() ^ (hasher.finish() >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}
