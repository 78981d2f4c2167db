//! The grantor: the token buckets of all limited tenants, owned by the primary of one term.

use super::messages::{BucketLevels, TenantGrant, TenantKey, TenantLevel, TenantTokens};
use super::token_bucket::{TokenBucket, NEARLY_FULL_FRACTION};
use passrelay_configuration::Configuration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A grantor grants only if a quorum has confirmed it within this time. Its successor waits for the same time before
/// its first grant, so that the two never grant at the same time.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(400);
/// Time for which a grant may be spent, measured from when the sidecar requested it.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Initial level of buckets whose level at the predecessor is unknown, in seconds of their rate. Members receive levels
/// frequently, so this happens only after a period without any grantor, when all processes were restarted.
const INITIAL_FILL_S: f64 = 0.65;
/// Sum of all sidecars' reserves for a tenant, in seconds of its rate.
const RESERVE_S: f64 = 1.6;
/// Value in place of [`RESERVE_S`] for one window after a change of grantor without known levels: reserves may already
/// have been spent, and the debts are unknown.
const RESERVE_AFTER_UNKNOWN_LEVELS_S: f64 = 0.5;
/// Reported levels that are older than this when a new grantor starts are not used.
const MAX_LEVELS_AGE: Duration = Duration::from_secs(3);
/// Fraction of the permitted overshoot and slack that a bucket may accumulate beyond its burst; the rest covers
/// reserves and changes of grantor.
const ACCUMULATED_SLACK_FRACTION: f64 = 0.3;
/// A sidecar receives a share of the reserve until it has sent no request for this long.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(8);

/// How far the fleet as a whole may exceed a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which usage is measured, in seconds.
    pub window_s: f64,
    /// Fraction of the quota by which a window may exceed it.
    pub overshoot: f64,
    /// Tokens by which a window may exceed the quota in addition.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the capacity, in tokens, of the bucket of a tenant under these bounds.
    fn bucket_capacity(&self, rate_per_s: f64, burst: f64) -> f64 {
        let permitted_excess = self.overshoot * (rate_per_s * self.window_s + burst) + self.slack;
        burst + ACCUMULATED_SLACK_FRACTION * permitted_excess
    }
}

/// The last known bucket levels of a grantor.
#[derive(Clone, Debug)]
pub struct ReportedLevels {
    /// Levels as reported, with the term of the grantor.
    pub levels: BucketLevels,
    /// When this process received them, or took them from its own grantor.
    pub received_at: Duration,
}

/// The token buckets of all limited tenants, from which the primary of one term grants tokens.
#[derive(Debug)]
pub struct Grantor {
    /// Term of the primary that this grantor belongs to.
    term: u64,
    bounds: QuotaBounds,
    /// Time of the earliest grant. Before it, the predecessor may still be granting.
    grants_from: Duration,
    /// Generation of the configuration applied last; 0 before the first.
    generation: u64,
    buckets: BTreeMap<TenantKey, TokenBucket>,
    /// Buckets of tenants that the configuration no longer limits. They refill further, so that a tenant that is removed and
    /// put back has no more tokens than if it had stayed. Those nearly full are dropped at the next configuration.
    unconfigured_buckets: BTreeMap<TenantKey, TokenBucket>,
    /// Time of each sidecar's last request. Each grant removes those older than [`REQUESTER_TIMEOUT`].
    last_requests: BTreeMap<SocketAddrV4, Duration>,
    /// Lower bound of the number of sidecars that share the reserve.
    min_sidecars: usize,
    /// Levels of the predecessor's buckets that were not nearly full; `None` if its levels are unknown.
    inherited_levels: Option<BTreeMap<TenantKey, i64>>,
}

impl Grantor {
    /// Creates the grantor of a term that started at `started_at`, in the time of this process. It resumes from the
    /// levels in `reported`, if they are recent and from an earlier term. The predecessor may still grant for up to
    /// the maximum confirmation age after `started_at`, so this grantor starts granting after that.
    pub fn new(
        started_at: Duration,
        term: u64,
        bounds: QuotaBounds,
        reported: Option<&ReportedLevels>,
    ) -> Self {
        let usable = |reported: &&ReportedLevels| {
            reported.levels.term < term && started_at.saturating_sub(reported.received_at) < MAX_LEVELS_AGE
        };
        let by_tenant = |levels: &BucketLevels| levels.tokens.iter().map(|l| (l.tenant, l.tokens)).collect();
        Grantor {
            inherited_levels: reported.filter(usable).map(|reported| by_tenant(&reported.levels)),
            term,
            bounds,
            // The first term has no predecessor.
            grants_from: if term <= 1 { started_at } else { started_at + MAX_CONFIRMATION_AGE },
            generation: 0,
            buckets: BTreeMap::new(),
            unconfigured_buckets: BTreeMap::new(),
            last_requests: BTreeMap::new(),
            min_sidecars: 1,
        }
    }

    /// Returns the term of the primary that this grantor belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Applies the quotas of a configuration. Has no effect for the generation applied last. Tenants keep their level,
    /// capped by the new capacity, also those that were not limited in between.
    pub fn configure(&mut self, now: Duration, configuration: &Configuration) {
        if self.generation == configuration.generation {
            return;
        }
        self.generation = configuration.generation;
        // A bucket accumulates no tokens while its grantor waits for the predecessor to stop granting.
        let refill_from = now.max(self.grants_from);
        let mut previous = std::mem::take(&mut self.buckets);
        previous.append(&mut self.unconfigured_buckets);
        for tenant in configuration.tenants().iter().filter(|tenant| tenant.is_limited()) {
            let key = TenantKey::of(&tenant.name);
            let capacity = self.bounds.bucket_capacity(tenant.rate_per_s, tenant.burst);
            let mut bucket = previous.remove(&key).unwrap_or_else(|| {
                let tokens = self.initial_tokens(key, tenant.rate_per_s, capacity);
                TokenBucket::new(refill_from, tokens, capacity)
            });
            bucket.set_limit(refill_from, tenant.rate_per_s, capacity);
            self.buckets.insert(key, bucket);
        }
        previous.retain(|_, bucket| bucket.level_unless_nearly_full(refill_from).is_some());
        self.unconfigured_buckets = previous;
    }

    /// Returns the initial level of a bucket: the level at the predecessor, or a small one if that is unknown.
    fn initial_tokens(&self, tenant: TenantKey, rate_per_s: f64, capacity: f64) -> f64 {
        let Some(levels) = &self.inherited_levels else { return rate_per_s * INITIAL_FILL_S };
        levels.get(&tenant).map_or(NEARLY_FULL_FRACTION * capacity, |tokens| (*tokens as f64).min(capacity))
    }

    /// Returns the levels of all buckets that are not nearly full, also of tenants that are not limited at present.
    pub fn levels(&mut self, now: Duration) -> BucketLevels {
        let mut tokens = Vec::new();
        for (tenant, bucket) in self.buckets.iter_mut().chain(&mut self.unconfigured_buckets) {
            if let Some(level) = bucket.level_unless_nearly_full(now) {
                tokens.push(TenantLevel { tenant: *tenant, tokens: level as i64 });
            }
        }
        BucketLevels { term: self.term, tokens }
    }

    /// Sets a lower bound of the number of sidecars that share the reserve, in case that fewer have requested tokens.
    /// Without the bound, the first sidecar to request tokens after an idle period would receive too large a share.
    pub fn set_sidecar_count(&mut self, sidecars: usize) {
        self.min_sidecars = sidecars;
    }

    /// Charges `overdrawn` to the buckets, then grants up to `wanted` tokens as far as the buckets contain them.
    /// `confirmed_at` is the last time at which a quorum confirmed this grantor. Returns `None` if that is too long
    /// ago or the predecessor may still grant; then nothing is charged either, and the sidecar reports the same
    /// overdrawn tokens with its next request.
    pub fn grant(
        &mut self,
        now: Duration,
        confirmed_at: Option<Duration>,
        from: SocketAddrV4,
        wanted: &[TenantTokens],
        overdrawn: &[TenantTokens],
    ) -> Option<Vec<TenantGrant>> {
        let confirmed = confirmed_at.is_some_and(|at| now.saturating_sub(at) < MAX_CONFIRMATION_AGE);
        if !confirmed || now < self.grants_from {
            return None;
        }
        self.last_requests.insert(from, now);
        self.last_requests.retain(|_, at| now.saturating_sub(*at) < REQUESTER_TIMEOUT);
        self.charge(now, overdrawn);
        let sidecars = self.last_requests.len().max(self.min_sidecars) as f64;
        let reserve_s = self.reserve_s(now);
        let mut granted = Vec::with_capacity(wanted.len());
        for request in wanted {
            let Some(bucket) = self.buckets.get_mut(&request.tenant) else { continue };
            let tokens = bucket.consume_up_to(now, request.tokens);
            let reserve = (bucket.rate_per_s() * reserve_s / sidecars) as u64;
            granted.push(TenantGrant { tenant: request.tenant, tokens, reserve });
        }
        Some(granted)
    }

    /// Returns the sum of all sidecars' reserves for a tenant, in seconds of its rate.
    fn reserve_s(&self, now: Duration) -> f64 {
        let levels_unknown = self.term > 1 && self.inherited_levels.is_none();
        let first_window =
            levels_unknown && now < self.grants_from + Duration::from_secs_f64(self.bounds.window_s);
        if first_window {
            RESERVE_AFTER_UNKNOWN_LEVELS_S
        } else {
            RESERVE_S
        }
    }

    /// Charges tokens that sidecars have spent from their reserves.
    fn charge(&mut self, now: Duration, overdrawn: &[TenantTokens]) {
        for spent in overdrawn {
            if let Some(bucket) = self.buckets.get_mut(&spent.tenant) {
                bucket.charge(now, spent.tokens);
            }
        }
    }
}
