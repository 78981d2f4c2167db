//! Tenants' quotas over all sidecars: the primary grants tokens from one bucket a tenant, sidecars spend them.
//!
//! A grant ends a fixed time after the sidecar asked for it, so what a lost sidecar held is not spent later. A
//! grantor grants only while a majority has confirmed it lately, and a new one waits out that time first. It goes on
//! with the levels of the buckets that the one before told the other members; without them it starts nearly empty.
//! While no grantor answers, sidecars live on a reserve that came with their last grant: together no more than the
//! quota of a short time. What was spent of it is charged to the bucket afterwards.

use passrelay_configuration::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A grantor that wasn't confirmed within this time grants nothing.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(400);
/// How long a grant may be spent, from the moment it was asked for.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);
/// A grantor that doesn't know the levels of the one before starts with the allowance of this time, in seconds. Members
/// are told them often, so this happens after a time without any grantor: all processes were started again.
const FIRST_ALLOWANCE_S: f64 = 0.65;
/// All reserves together are the allowance of this time, in seconds.
const RESERVE_S: f64 = 1.6;
/// ... and where the grantor changed less than a window ago without knowing the levels: the reserve may have been spent
/// already, and nobody knows what was owed.
const RESERVE_AFTER_CHANGE_S: f64 = 0.5;
/// Levels that were told longer before the change of grantor than this count no more.
const LEVELS_LAST: Duration = Duration::from_secs(3);
/// Buckets that are filled beyond this part of their capacity are not told one by one.
const NEARLY_FULL: f64 = 0.9;
/// Part of the bound's overshoot and slack that buckets may save up; the rest covers reserves and changes of grantor.
const SLACK_PART: f64 = 0.3;
/// Sidecars that asked within this time share the reserve.
const POPULATION_OVER: Duration = Duration::from_secs(8);
/// Tokens of a bucket that may be owed at most, as seconds of its rate.
const MOST_OWED_S: f64 = 3.0;

/// How far all sidecars together may go beyond a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window that is looked at, in seconds.
    pub window_s: f64,
    /// Part of the quota by which a window may be overshot.
    pub overshoot: f64,
    /// Tokens by which it may be overshot besides.
    pub slack: f64,
}

impl QuotaBounds {
    /// What a bucket may hold under these bounds.
    fn capacity(&self, rate_per_s: f64, burst: f64) -> f64 {
        let spare = self.overshoot * (rate_per_s * self.window_s + burst) + self.slack;
        burst + SLACK_PART * spare
    }
}

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
    /// Tokens are wanted.
    #[serde(rename = "Want")]
    Request {
        /// Names the question.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Tenant and tokens wanted.
        wanted: Vec<(TenantKey, u64)>,
        /// Tenant and tokens that were spent of the reserve and not told yet.
        overdrawn: Vec<(TenantKey, u64)>,
    },
    /// Tokens are granted, possibly fewer than wanted or none.
    Grant {
        /// The question.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Term of the grantor.
        term: u64,
        /// What each tenant gets.
        granted: Vec<TenantGrant>,
    },
    /// The grantor tells the members who may follow it how full the buckets are.
    Levels(BucketLevels),
}

/// How full the buckets of a grantor are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLevels {
    /// Term of the grantor.
    pub term: u64,
    /// Tenants and tokens, below zero where some are owed; all others' buckets are nearly full.
    pub tokens: Vec<(TenantKey, i64)>,
}

/// Levels as they were told, and when.
#[derive(Clone, Debug)]
pub struct ReportedLevels {
    /// The levels.
    pub levels: BucketLevels,
    /// When they came.
    pub at: Duration,
}

/// What a sidecar gets of one tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// The tenant.
    pub tenant: TenantKey,
    /// Tokens granted.
    pub tokens: u64,
    /// Tokens that may be spent besides while no grantor answers.
    pub reserve: u64,
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
        self.at = self.at.max(now);
    }
}

/// Buckets of all limited tenants, kept by the primary of one term.
#[derive(Debug)]
pub struct Grantor {
    term: u64,
    bounds: QuotaBounds,
    grants_from: Duration,
    generation: u64,
    buckets: BTreeMap<TenantKey, Bucket>,
    /// When each sidecar asked last.
    population: BTreeMap<SocketAddrV4, Duration>,
    sidecars: usize,
    /// What the grantor before told lately of its buckets.
    inherited: Option<BTreeMap<TenantKey, i64>>,
}

impl Grantor {
    /// The grantor of a term that began at a time. The one before may still have granted for a while after that; what it
    /// told of its buckets is where this one goes on.
    pub fn new(began: Duration, term: u64, bounds: QuotaBounds, told: Option<&ReportedLevels>) -> Self {
        let recent = told.filter(|t| t.levels.term < term && began.saturating_sub(t.at) < LEVELS_LAST);
        Grantor {
            inherited: recent.map(|t| t.levels.tokens.iter().copied().collect()),
            term,
            bounds,
            // The first term has no grantor before it.
            grants_from: if term <= 1 { began } else { began + CONFIRMED_WITHIN },
            generation: 0,
            buckets: BTreeMap::new(),
            population: BTreeMap::new(),
            sidecars: 1,
        }
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
            let capacity = self.bounds.capacity(tenant.rate_per_s, tenant.burst);
            let tokens = self.first_tokens(key, tenant.rate_per_s, capacity);
            let first = Bucket { rate_per_s: 0.0, capacity, tokens, at: now.max(self.grants_from) };
            let mut bucket = before.remove(&key).unwrap_or(first);
            bucket.refill(now.max(self.grants_from));
            bucket.rate_per_s = tenant.rate_per_s;
            bucket.capacity = capacity;
            bucket.tokens = bucket.tokens.min(capacity);
            self.buckets.insert(key, bucket);
        }
    }

    /// What a bucket begins with: its level at the grantor before, or little where that isn't known.
    fn first_tokens(&self, tenant: TenantKey, rate_per_s: f64, capacity: f64) -> f64 {
        let Some(levels) = &self.inherited else { return rate_per_s * FIRST_ALLOWANCE_S };
        levels.get(&tenant).map_or(NEARLY_FULL * capacity, |tokens| (*tokens as f64).min(capacity))
    }

    /// How full the buckets are.
    pub fn levels(&mut self, now: Duration) -> BucketLevels {
        let mut tokens = Vec::new();
        for (tenant, bucket) in &mut self.buckets {
            bucket.refill(now);
            if bucket.tokens < NEARLY_FULL * bucket.capacity {
                tokens.push((*tenant, bucket.tokens as i64));
            }
        }
        BucketLevels { term: self.term, tokens }
    }

    /// How many sidecars there are at least, those aside that have asked. They share the reserve: without them the first
    /// to ask after a quiet time would get too much of it.
    pub fn set_sidecar_count(&mut self, sidecars: usize) {
        self.sidecars = sidecars;
    }

    /// Grants what there is, if this grantor was confirmed lately.
    pub fn grant(
        &mut self,
        now: Duration,
        confirmed_at: Option<Duration>,
        from: SocketAddrV4,
        wanted: &[(TenantKey, u64)],
        overdrawn: &[(TenantKey, u64)],
    ) -> Option<Vec<TenantGrant>> {
        let confirmed = confirmed_at.is_some_and(|at| now.saturating_sub(at) < CONFIRMED_WITHIN);
        if !confirmed || now < self.grants_from {
            return None;
        }
        self.population.insert(from, now);
        self.population.retain(|_, at| now.saturating_sub(*at) < POPULATION_OVER);
        self.charge(now, overdrawn);
        let sidecars = self.population.len().max(self.sidecars) as f64;
        let unknown = self.term > 1 && self.inherited.is_none();
        let changed_lately =
            unknown && now < self.grants_from + Duration::from_secs_f64(self.bounds.window_s);
        let reserve_s = if changed_lately { RESERVE_AFTER_CHANGE_S } else { RESERVE_S };
        let mut granted = Vec::with_capacity(wanted.len());
        for (tenant, tokens) in wanted {
            let Some(bucket) = self.buckets.get_mut(tenant) else { continue };
            bucket.refill(now);
            let tokens = (*tokens as f64).min(bucket.tokens).max(0.0).floor();
            bucket.tokens -= tokens;
            let reserve = (bucket.rate_per_s * reserve_s / sidecars) as u64;
            granted.push(TenantGrant { tenant: *tenant, tokens: tokens as u64, reserve });
        }
        Some(granted)
    }

    /// Charges what sidecars have spent of their reserves.
    fn charge(&mut self, now: Duration, overdrawn: &[(TenantKey, u64)]) {
        for (tenant, tokens) in overdrawn {
            if let Some(bucket) = self.buckets.get_mut(tenant) {
                bucket.refill(now);
                let least = -bucket.rate_per_s * MOST_OWED_S;
                bucket.tokens = (bucket.tokens - *tokens as f64).max(least);
            }
        }
    }
}
