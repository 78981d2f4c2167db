//! This router's share of one tenant's quota: leased tokens, demand and reserve.

use super::{Grant, SpentTokens};
use std::collections::VecDeque;
use std::time::Duration;

/// A token request that is not answered within this time is repeated, since the grantor may have failed. From
/// then on the reserve may be spent as well.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// The reserve may be spent for this long after the grant that it came with.
const RESERVE_LIFETIME: Duration = Duration::from_secs(6);
/// Client requests no longer wait for a grantor that has not answered for this long.
const GRANTOR_TIMEOUT: Duration = Duration::from_millis(250);

/// The unspent tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct TokenLease {
    tokens: u64,
    /// The tokens may be spent before this time.
    expires_at: Duration,
}

impl TokenLease {
    fn is_live(&self, now: Duration) -> bool {
        self.expires_at > now
    }
}

/// This router's share of one tenant's quota.
#[derive(Debug, Default)]
pub(super) struct Share {
    /// Leases in the order of their grants, which is the order of spending.
    leases: VecDeque<TokenLease>,
    /// Number of tokens that waiting requests need, whether leased or not.
    demand: u64,
    /// When tokens were last requested; `None` once that request is answered.
    requested_at: Option<Duration>,
    /// When the first request since the last grant was sent; `None` while no request is unanswered.
    unanswered_since: Option<Duration>,
    /// When the grantor last granted less than was wanted; `None` if it never did.
    exhausted_at: Option<Duration>,
    /// Number of tokens that may still be spent while the grantor does not answer. Replaced by each grant.
    reserve: u64,
    /// When the grant that set the reserve arrived.
    reserve_granted_at: Duration,
    /// Number of tokens spent from reserves that were not reported by any answered request. The grantor
    /// charges them to the tenant, so they must be kept until a grant confirms them.
    overdrawn: u64,
}

impl Share {
    // ---- Demand ----

    pub(super) fn add_demand(&mut self, tokens: u64) {
        self.demand = self.demand.saturating_add(tokens);
    }

    pub(super) fn remove_demand(&mut self, tokens: u64) {
        self.demand = self.demand.saturating_sub(tokens);
    }

    /// Returns the number of tokens to request now: the demand beyond the leased tokens. Returns `None` if
    /// there is no such demand or a request is pending. The caller has to send the request, since it counts
    /// as pending from now on.
    pub(super) fn begin_request(&mut self, now: Duration) -> Option<u64> {
        self.expire(now);
        let is_pending = self.requested_at.is_some_and(|at| now.saturating_sub(at) < REQUEST_TIMEOUT);
        let available = self.available(now);
        if self.demand <= available || is_pending {
            return None;
        }
        self.requested_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        Some(self.demand - available)
    }

    // ---- Grants ----

    /// Applies a grant that answers a request for `wanted` tokens which reported `overdrawn` tokens.
    pub(super) fn apply_grant(
        &mut self,
        now: Duration,
        wanted: u64,
        overdrawn: u64,
        grant: Grant,
        expires_at: Duration,
    ) {
        self.overdrawn = self.overdrawn.saturating_sub(overdrawn);
        self.requested_at = None;
        self.unanswered_since = None;
        if grant.tokens < wanted {
            self.exhausted_at = Some(now);
        }
        self.reserve = grant.reserve;
        self.reserve_granted_at = now;
        if expires_at > now && grant.tokens > 0 {
            self.leases.push_back(TokenLease { tokens: grant.tokens, expires_at });
        }
    }

    pub(super) fn exhausted_at(&self) -> Option<Duration> {
        self.exhausted_at
    }

    pub(super) fn overdrawn(&self) -> u64 {
        self.overdrawn
    }

    /// Returns whether the grantor has not answered for so long that requests should not wait for it.
    pub(super) fn is_grantor_unreachable(&self, now: Duration) -> bool {
        self.has_waited_for_grant(now, GRANTOR_TIMEOUT)
    }

    // ---- Spending ----

    /// Spends leased tokens, or the reserve while the grantor does not answer. Returns `None` and spends
    /// nothing if neither suffices.
    pub(super) fn spend(&mut self, now: Duration, tokens: u64) -> Option<SpentTokens> {
        if let Some(expires_at) = self.spend_leases(now, tokens) {
            return Some(SpentTokens { tokens, expires_at });
        }
        if !self.has_waited_for_grant(now, REQUEST_TIMEOUT) {
            return None;
        }
        let expires_at = self.spend_reserve(now, tokens)?;
        Some(SpentTokens { tokens, expires_at })
    }

    /// Adds refunded tokens as a lease that expires when the one they came from does. Tokens that have
    /// expired are lost. The refunded tokens are spent first, since normally no other lease expires earlier.
    pub(super) fn refund(&mut self, now: Duration, spent: SpentTokens) {
        let lease = TokenLease { tokens: spent.tokens, expires_at: spent.expires_at };
        if lease.is_live(now) {
            self.leases.push_front(lease);
        }
    }

    fn has_waited_for_grant(&self, now: Duration, timeout: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.saturating_sub(since) >= timeout)
    }

    /// Returns the number of leased tokens that may be spent now.
    fn available(&self, now: Duration) -> u64 {
        let live = self.leases.iter().filter(|lease| lease.is_live(now));
        live.fold(0, |available, lease| available.saturating_add(lease.tokens))
    }

    /// Drops leases that are expired or have no tokens left.
    fn expire(&mut self, now: Duration) {
        self.leases.retain(|lease| lease.is_live(now) && lease.tokens > 0);
    }

    /// Spends leased tokens. Returns the earliest expiry of the leases that they came from, or `None` if the
    /// leases do not suffice.
    fn spend_leases(&mut self, now: Duration, tokens: u64) -> Option<Duration> {
        self.expire(now);
        if self.available(now) < tokens {
            return None;
        }
        let mut remaining = tokens;
        let mut earliest_expiry = None;
        for lease in &mut self.leases {
            let spent = lease.tokens.min(remaining);
            if spent == 0 {
                break;
            }
            lease.tokens -= spent;
            remaining -= spent;
            earliest_expiry = Some(
                earliest_expiry.map_or(lease.expires_at, |earliest: Duration| earliest.min(lease.expires_at)),
            );
        }
        // A request for 0 tokens spends nothing, so there is nothing to refund.
        Some(earliest_expiry.unwrap_or(now))
    }

    /// Spends tokens of the reserve. Returns the expiry of the reserve, or `None` if it does not suffice or
    /// has expired.
    fn spend_reserve(&mut self, now: Duration, tokens: u64) -> Option<Duration> {
        let expires_at = self.reserve_granted_at + RESERVE_LIFETIME;
        if now >= expires_at || self.reserve < tokens {
            return None;
        }
        self.reserve -= tokens;
        self.overdrawn = self.overdrawn.saturating_add(tokens);
        Some(expires_at)
    }
}
