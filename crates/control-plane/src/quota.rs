//! Tenants' quotas over all sidecars: the primary grants tokens from one bucket a tenant, sidecars spend them.
//!
//! A grant ends a fixed time after the sidecar asked for it, so what a lost sidecar held is not spent later. A
//! grantor grants only while a majority has confirmed it lately, and a new one waits out that time first.

use passrelay_configuration::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// A grantor that wasn't confirmed within this time grants nothing.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(600);
/// How long a grant may be spent, from the moment it was asked for.
pub const GRANT_LASTS: Duration = Duration::from_millis(1_500);
/// A new grantor starts with the allowance of this time, in seconds.
const FIRST_ALLOWANCE_S: f64 = 0.5;

/// Names a tenant in messages: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of the tenant of this name.
    pub fn of(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        TenantKey(hasher.finish())
    }
}

/// Messages between sidecars and the grantor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Tokens are wanted; some of an earlier grant may be handed back.
    Want {
        /// Names the question.
        nonce: u64,
        /// Tenant and tokens wanted.
        wanted: Vec<(TenantKey, u64)>,
        /// Term of the grantor that gave what is handed back.
        returned_term: u64,
        /// Tenant and tokens handed back.
        returned: Vec<(TenantKey, u64)>,
    },
    /// Tokens are granted, possibly fewer than wanted or none.
    Grant {
        /// The question.
        nonce: u64,
        /// Term of the grantor.
        term: u64,
        /// Tenant and tokens granted.
        granted: Vec<(TenantKey, u64)>,
    },
}

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    at: Duration,
}

impl Bucket {
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.capacity);
        self.at = now;
    }
}

/// Buckets of all limited tenants, kept by the primary of one term.
#[derive(Debug)]
pub struct Grantor {
    term: u64,
    grants_from: Duration,
    generation: u64,
    buckets: BTreeMap<TenantKey, Bucket>,
}

impl Grantor {
    /// The grantor of a term that began now. Grants of the one before may still come until it starts.
    pub fn new(now: Duration, term: u64) -> Self {
        Grantor { term, grants_from: now + CONFIRMED_WITHIN, generation: 0, buckets: BTreeMap::new() }
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes the quotas of a configuration. Tenants keep what they have saved, within the new bounds.
    pub fn configure(&mut self, now: Duration, configuration: &Configuration) {
        if self.generation == configuration.generation {
            return;
        }
        self.generation = configuration.generation;
        let mut before = std::mem::take(&mut self.buckets);
        for tenant in configuration.tenants.iter().filter(|t| t.is_limited()) {
            let key = TenantKey::of(&tenant.name);
            let capacity = tenant.burst.max(tenant.rate_per_s * FIRST_ALLOWANCE_S);
            let first = tenant.rate_per_s * FIRST_ALLOWANCE_S;
            let mut bucket =
                before.remove(&key).unwrap_or(Bucket { rate_per_s: 0.0, capacity, tokens: first, at: now });
            bucket.refill(now);
            bucket.rate_per_s = tenant.rate_per_s;
            bucket.capacity = capacity;
            bucket.tokens = bucket.tokens.min(capacity);
            self.buckets.insert(key, bucket);
        }
    }

    /// Grants what there is, if this grantor was confirmed lately.
    pub fn grant(
        &mut self,
        now: Duration,
        confirmed_at: Option<Duration>,
        wanted: &[(TenantKey, u64)],
    ) -> Option<Vec<(TenantKey, u64)>> {
        let confirmed = confirmed_at.is_some_and(|at| now.saturating_sub(at) < CONFIRMED_WITHIN);
        if !confirmed || now < self.grants_from {
            return None;
        }
        let mut granted = Vec::with_capacity(wanted.len());
        for (key, tokens) in wanted {
            let Some(bucket) = self.buckets.get_mut(key) else { continue };
            bucket.refill(now);
            let given = (*tokens as f64).min(bucket.tokens).max(0.0).floor();
            bucket.tokens -= given;
            granted.push((*key, given as u64));
        }
        Some(granted)
    }

    /// Takes back what was granted in the same term and not spent.
    pub fn take_back(&mut self, now: Duration, term: u64, returned: &[(TenantKey, u64)]) {
        if term != self.term {
            return;
        }
        for (key, tokens) in returned {
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.refill(now);
                bucket.tokens = (bucket.tokens + *tokens as f64).min(bucket.capacity);
            }
        }
    }
}
