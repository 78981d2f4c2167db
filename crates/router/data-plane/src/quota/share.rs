//! This router's share of one tenant's quota: leased tokens, demand, and the reserve.

use super::{Grant, SpentTokens};
use std::collections::VecDeque;
use std::time::Duration;

/// A token request without a grant after this is repeated; the grantor may have failed. From then on the reserve may be
/// spent too.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// The reserve may be spent for this long after the grant that it came with.
const RESERVE_LIFETIME: Duration = Duration::from_secs(6);
/// While the grantor hasn't answered for this long, requests don't wait for it.
const GRANTOR_TIMEOUT: Duration = Duration::from_millis(250);

/// The rest of one grant.
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

/// The share of one tenant's quota.
#[derive(Debug, Default)]
pub(super) struct Share {
    /// Leases in the order of their grants, which is the order of spending.
    leases: VecDeque<TokenLease>,
    /// Tokens that waiting requests need, leased or not.
    demand: u64,
    /// When tokens were last requested; `None` once that request is answered.
    requested_at: Option<Duration>,
    /// When the first request since the last grant was sent; `None` while none is unanswered.
    unanswered_since: Option<Duration>,
    /// When the grantor last granted less than was wanted.
    exhausted_at: Option<Duration>,
    /// Tokens that may still be spent while the grantor doesn't answer. Each grant replaces them.
    reserve: u64,
    /// When the reserve was granted.
    reserve_granted_at: Duration,
    /// Tokens spent of reserves that no answered request has reported. The grantor charges them to the tenant, so none may
    /// be forgotten before it has confirmed them with a grant.
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

    /// The tokens to request now: the demand beyond what is leased. `None` where that is nothing, or a request is pending.
    /// The caller has to send the request: it counts as pending from now on.
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

    /// Takes what was granted upon a request for `wanted` tokens that reported `overdrawn` ones.
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

    /// Whether the grantor hasn't answered for so long that waiting for it makes no sense.
    pub(super) fn is_grantor_unreachable(&self, now: Duration) -> bool {
        self.has_waited_for_grant(now, GRANTOR_TIMEOUT)
    }

    // ---- Spending ----

    /// Spends leased tokens, or those of the reserve while the grantor doesn't answer. `None` where neither suffices;
    /// nothing is spent then.
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

    /// Returns tokens as a lease that ends when those that they came from do; they are lost where that is over. They are
    /// spent first, since no lease ends earlier.
    pub(super) fn refund(&mut self, now: Duration, spent: SpentTokens) {
        let lease = TokenLease { tokens: spent.tokens, expires_at: spent.expires_at };
        if lease.is_live(now) {
            self.leases.push_front(lease);
        }
    }

    fn has_waited_for_grant(&self, now: Duration, time: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.saturating_sub(since) >= time)
    }

    fn available(&self, now: Duration) -> u64 {
        let live = self.leases.iter().filter(|lease| lease.is_live(now));
        live.fold(0, |available, lease| available.saturating_add(lease.tokens))
    }

    fn expire(&mut self, now: Duration) {
        self.leases.retain(|lease| lease.is_live(now) && lease.tokens > 0);
    }

    /// Spends leased tokens. The earliest end of the leases that they came from; `None` where the leases don't suffice.
    fn spend_leases(&mut self, now: Duration, tokens: u64) -> Option<Duration> {
        self.expire(now);
        if self.available(now) < tokens {
            return None;
        }
        let mut remaining = tokens;
        let mut earliest_end = None;
        for lease in &mut self.leases {
            let spent = lease.tokens.min(remaining);
            if spent == 0 {
                break;
            }
            lease.tokens -= spent;
            remaining -= spent;
            earliest_end =
                Some(earliest_end.map_or(lease.expires_at, |end: Duration| end.min(lease.expires_at)));
        }
        // Nothing was spent for a request of no tokens, and nothing is to be refunded.
        Some(earliest_end.unwrap_or(now))
    }

    /// Spends tokens of the reserve. When the reserve ends; `None` where it doesn't suffice or has ended.
    fn spend_reserve(&mut self, now: Duration, tokens: u64) -> Option<Duration> {
        let ends_at = self.reserve_granted_at + RESERVE_LIFETIME;
        if now >= ends_at || self.reserve < tokens {
            return None;
        }
        self.reserve -= tokens;
        self.overdrawn = self.overdrawn.saturating_add(tokens);
        Some(ends_at)
    }
}
