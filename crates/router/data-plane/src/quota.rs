//! Enforces tenants' quotas, which bind over all routers, without asking anyone for each request.
//!
//! One grantor (the primary) leases tokens of each tenant's quota to the routers. A router requests what its waiting
//! requests need beyond the tokens that it has ([`QuotaShares::next_request`]), spends leased tokens, and drops them when
//! the lease expires. While the grantor doesn't answer, a small reserve that came with the last grant may be spent; this is
//! reported with the next request and charged afterwards.
//!
//! What is granted, and how large the reserve is, the grantor decides (`passrelay-control-plane`, module `quota`). Sending
//! requests and making client requests wait is the caller's.

mod share;

use self::share::Share;
use std::collections::BTreeMap;
use std::time::Duration;

/// Safety margin: a lease ends here this long before it does at the grantor.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Bound on the token requests whose grant is still accepted; beyond it the oldest one is given up.
const MAX_PENDING_REQUESTS: usize = 256;

/// What the grantor leases of one tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// Key of the tenant.
    pub tenant: u64,
    /// Tokens leased; fewer than wanted where the quota is exhausted.
    pub tokens: u64,
    /// Tokens that may be spent besides while the grantor doesn't answer. Replaces the reserve of earlier grants.
    pub reserve: u64,
}

/// A number of tokens of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantTokens {
    /// Key of the tenant.
    pub tenant: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// Tokens that were spent, as far as [`QuotaShares::refund`] has to know of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct SpentTokens {
    /// Number of tokens.
    pub tokens: u64,
    /// Tokens that are refunded may be spent again before this time, the earliest end of the leases or of the reserve that
    /// they came from.
    expires_at: Duration,
}

/// A request to the grantor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Identifies the request; the grant repeats it.
    pub request_id: u64,
    /// Tokens wanted, at most one entry a tenant and none for 0 tokens.
    pub wanted: Vec<TenantTokens>,
    /// Tokens spent of reserves that no answered request has reported, for tenants in `wanted` only.
    pub overdrawn: Vec<TenantTokens>,
}

/// A request that has no grant yet.
#[derive(Debug)]
struct PendingRequest {
    /// Leases run from here: the grantor can only have granted later, so that a lease ends here no later than there.
    requested_at: Duration,
    request: TokenRequest,
}

/// This router's shares of all tenants' quotas. Tenants have keys that the caller chooses.
#[derive(Debug)]
pub struct QuotaShares {
    /// How long leased tokens may be spent, from the request for them.
    grant_lifetime: Duration,
    /// Shares by tenant, in the order in which a request names them: equal histories send equal requests.
    shares: BTreeMap<u64, Share>,
    /// Requests without a grant by their ids; at most [`MAX_PENDING_REQUESTS`].
    pending: BTreeMap<u64, PendingRequest>,
    /// Id of the last request; ids ascend from 1.
    last_request_id: u64,
}

impl QuotaShares {
    /// No shares yet. `grant_lifetime` is how long leased tokens may be spent, from the request for them.
    pub fn new(grant_lifetime: Duration) -> Self {
        QuotaShares { grant_lifetime, shares: BTreeMap::new(), pending: BTreeMap::new(), last_request_id: 0 }
    }

    /// A client request begins to wait for tokens.
    pub fn add_demand(&mut self, tenant: u64, tokens: u64) {
        self.shares.entry(tenant).or_default().add_demand(tokens);
    }

    /// A client request stops waiting for tokens, whether it got them or not.
    pub fn remove_demand(&mut self, tenant: u64, tokens: u64) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.remove_demand(tokens);
        }
    }

    /// Spends tokens of the oldest leases first; of the reserve where these don't suffice and the grantor doesn't answer.
    /// `None` where neither suffices; nothing is spent then.
    pub fn spend(&mut self, now: Duration, tenant: u64, tokens: u64) -> Option<SpentTokens> {
        self.shares.get_mut(&tenant)?.spend(now, tokens)
    }

    /// Returns tokens of a client request that was never executed. They may be spent for as long as before, never longer,
    /// and are lost after that.
    pub fn refund(&mut self, now: Duration, tenant: u64, spent: SpentTokens) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.refund(now, spent);
        }
    }

    /// Whether the grantor has granted less than was wanted since then: the tenant's quota is exhausted.
    pub fn is_exhausted_since(&self, tenant: u64, since: Duration) -> bool {
        self.shares.get(&tenant).and_then(Share::exhausted_at).is_some_and(|at| at >= since)
    }

    /// Whether the grantor hasn't answered for so long that waiting for it makes no sense.
    pub fn is_grantor_unreachable(&self, tenant: u64, now: Duration) -> bool {
        self.shares.get(&tenant).is_some_and(|share| share.is_grantor_unreachable(now))
    }

    /// The request to send to the grantor now; `None` where no tenant needs one. It counts as pending from now on, and its
    /// tenants are requested again only after it has timed out.
    pub fn next_request(&mut self, now: Duration) -> Option<TokenRequest> {
        let mut wanted = Vec::new();
        let mut overdrawn = Vec::new();
        for (tenant, share) in &mut self.shares {
            let Some(tokens) = share.begin_request(now) else { continue };
            wanted.push(TenantTokens { tenant: *tenant, tokens });
            if share.overdrawn() > 0 {
                overdrawn.push(TenantTokens { tenant: *tenant, tokens: share.overdrawn() });
            }
        }
        if wanted.is_empty() {
            return None;
        }
        self.last_request_id += 1;
        let request = TokenRequest { request_id: self.last_request_id, wanted, overdrawn };
        let pending = PendingRequest { requested_at: now, request: request.clone() };
        self.pending.insert(request.request_id, pending);
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        Some(request)
    }

    /// Applies the grants upon a request; a tenant without one was granted nothing. Ignored where the request is not
    /// pending, so that a repeated message leases nothing twice.
    pub fn apply_grants(&mut self, now: Duration, request_id: u64, grants: &[Grant]) {
        let Some(PendingRequest { requested_at, request }) = self.pending.remove(&request_id) else { return };
        let expires_at = (requested_at + self.grant_lifetime).saturating_sub(EXPIRY_MARGIN);
        for TenantTokens { tenant, tokens: wanted } in request.wanted {
            let Some(share) = self.shares.get_mut(&tenant) else { continue };
            let nothing = Grant { tenant, tokens: 0, reserve: 0 };
            let grant = grants.iter().find(|grant| grant.tenant == tenant).copied().unwrap_or(nothing);
            let reported = request.overdrawn.iter().find(|reported| reported.tenant == tenant);
            let overdrawn = reported.map_or(0, |reported| reported.tokens);
            share.apply_grant(now, wanted, overdrawn, grant, expires_at);
        }
    }

    /// Drops the shares of tenants for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.shares.retain(|tenant, _| keep(*tenant));
    }
}
