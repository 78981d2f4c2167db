//! Enforces tenants' quotas, which are shared by all routers, without a remote call for each request.
//!
//! One grantor (the primary) leases tokens of each tenant's quota to the routers. A router requests the
//! tokens that its waiting requests need beyond those that it has ([`QuotaShares::next_request`]), spends
//! leased tokens, and drops them when the lease expires. While the grantor does not answer, a router may
//! spend a small reserve that came with the last grant. Tokens spent from the reserve are reported with the
//! next request and charged afterwards.
//!
//! The grantor decides on the size of grants and reserves (`passrelay-control-plane`, module `quota`). The
//! caller sends the requests and queues client requests that wait for tokens.

mod share;

use self::share::Share;
use std::collections::BTreeMap;
use std::time::Duration;

/// Safety margin by which a lease expires at this router before it expires at the grantor.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Maximum number of token requests whose grants are still accepted. Beyond it, the oldest request is
/// dropped.
const MAX_PENDING_REQUESTS: usize = 256;

/// Tokens of one tenant's quota that the grantor leases to this router.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// Key of the tenant.
    pub tenant: u64,
    /// Number of tokens leased; fewer than wanted if the quota is exhausted.
    pub tokens: u64,
    /// Number of additional tokens that may be spent while the grantor does not answer. Replaces the reserve
    /// of earlier grants.
    pub reserve: u64,
}

/// A number of tokens of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantTokens {
    /// Key of the tenant.
    pub tenant: u64,
    /// Number of tokens, in the unit of the tenant's quota.
    pub tokens: u64,
}

/// Spent tokens, with the data that [`QuotaShares::refund`] needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct SpentTokens {
    /// Number of tokens, in the unit of the tenant's quota.
    pub tokens: u64,
    /// Refunded tokens may be spent again until this time: the earliest expiry of the leases, or the end of
    /// the reserve, that they came from.
    expires_at: Duration,
}

/// A request for tokens to the grantor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Identifies the request; repeated in the grant.
    pub request_id: u64,
    /// Tokens wanted: at most one entry per tenant, and none for 0 tokens.
    pub wanted: Vec<TenantTokens>,
    /// Tokens spent from reserves that were not reported by any answered request; only for tenants in
    /// `wanted`.
    pub overdrawn: Vec<TenantTokens>,
}

/// A request that has not been granted yet.
#[derive(Debug)]
struct PendingRequest {
    /// Start of the lease. The grantor cannot have granted it earlier, so the lease ends here no later than
    /// at the grantor.
    requested_at: Duration,
    request: TokenRequest,
}

/// This router's shares of all tenants' quotas. The caller assigns the keys of the tenants.
#[derive(Debug)]
pub struct QuotaShares {
    /// How long leased tokens may be spent, counted from the request for them.
    grant_lifetime: Duration,
    /// Shares by tenant key. Requests list tenants in this order, so that equal histories send equal
    /// requests.
    shares: BTreeMap<u64, Share>,
    /// Requests without a grant, by request id; at most [`MAX_PENDING_REQUESTS`].
    pending: BTreeMap<u64, PendingRequest>,
    /// Id of the last request, 0 before the first; ids ascend from 1.
    last_request_id: u64,
}

impl QuotaShares {
    /// Creates an empty set of shares. `grant_lifetime` is how long leased tokens may be spent, counted from
    /// the request for them.
    pub fn new(grant_lifetime: Duration) -> Self {
        QuotaShares { grant_lifetime, shares: BTreeMap::new(), pending: BTreeMap::new(), last_request_id: 0 }
    }

    /// Records that a client request begins to wait for tokens.
    pub fn add_demand(&mut self, tenant: u64, tokens: u64) {
        self.shares.entry(tenant).or_default().add_demand(tokens);
    }

    /// Records that a client request no longer waits for tokens, whether it got them or not.
    pub fn remove_demand(&mut self, tenant: u64, tokens: u64) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.remove_demand(tokens);
        }
    }

    /// Spends leased tokens, oldest lease first. If the leases do not suffice and the grantor does not
    /// answer, spends the reserve instead. Returns `None` and spends nothing if neither suffices.
    pub fn spend(&mut self, now: Duration, tenant: u64, tokens: u64) -> Option<SpentTokens> {
        self.shares.get_mut(&tenant)?.spend(now, tokens)
    }

    /// Refunds the tokens of a client request that was never executed. They may be spent again until their
    /// original expiry and are lost after that.
    pub fn refund(&mut self, now: Duration, tenant: u64, spent: SpentTokens) {
        if let Some(share) = self.shares.get_mut(&tenant) {
            share.refund(now, spent);
        }
    }

    /// Returns whether the grantor has granted less than was wanted at or after `since`, which means that the
    /// tenant's quota is exhausted.
    pub fn is_exhausted_since(&self, tenant: u64, since: Duration) -> bool {
        self.shares.get(&tenant).and_then(Share::exhausted_at).is_some_and(|at| at >= since)
    }

    /// Returns whether the grantor has not answered for so long that requests should not wait for it.
    pub fn is_grantor_unreachable(&self, tenant: u64, now: Duration) -> bool {
        self.shares.get(&tenant).is_some_and(|share| share.is_grantor_unreachable(now))
    }

    /// Returns the request to send to the grantor now, or `None` if no tenant needs tokens. The request
    /// counts as pending from now on; tokens for its tenants are requested again only after it has been
    /// answered or has timed out.
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

    /// Applies the grants that answer a request. A tenant of the request without a grant got no tokens.
    /// Grants for a request that is not pending are ignored, so that a duplicate message does not lease
    /// tokens twice.
    pub fn apply_grants(&mut self, now: Duration, request_id: u64, grants: &[Grant]) {
        let Some(PendingRequest { requested_at, request }) = self.pending.remove(&request_id) else { return };
        let expires_at = (requested_at + self.grant_lifetime).saturating_sub(EXPIRY_MARGIN);
        for TenantTokens { tenant, tokens: wanted } in request.wanted {
            let Some(share) = self.shares.get_mut(&tenant) else { continue };
            let empty_grant = Grant { tenant, tokens: 0, reserve: 0 };
            let grant = grants.iter().find(|grant| grant.tenant == tenant).copied().unwrap_or(empty_grant);
            let reported = request.overdrawn.iter().find(|reported| reported.tenant == tenant);
            let overdrawn = reported.map_or(0, |reported| reported.tokens);
            share.apply_grant(now, wanted, overdrawn, grant, expires_at);
        }
    }

    /// Drops the shares of tenants for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.shares.retain(|tenant, _| keep(*tenant));
    }
}
