//! Client side of tenant quotas: holds the tokens granted to this process and wakes the requests that wait for
//! them.
//!
//! Requests to the grantor are created here and sent by the coordinator driver, which also delivers the grants.

use event_listener::{Event, EventListener};
use passrelay_control_plane::quota::{QuotaMessage, TenantGrant, TenantKey, GRANT_LIFETIME};
use passrelay_data_plane::quota::{Grant, QuotaShares, TenantTokens, TokenRequest};
use std::cell::RefCell;
use std::time::Duration;

/// The quota shares granted to this process.
pub struct QuotaClient {
    /// Granted tokens and pending demand by tenant.
    pub shares: RefCell<QuotaShares>,
    /// Notified after each grant.
    granted: Event,
}

impl QuotaClient {
    /// Creates a client without grants and without demand.
    pub fn new() -> Self {
        QuotaClient { shares: RefCell::new(QuotaShares::new(GRANT_LIFETIME)), granted: Event::new() }
    }

    /// Returns a listener that completes at the next grant after this call, for any tenant.
    pub fn next_grant(&self) -> EventListener {
        self.granted.listen()
    }

    /// Returns the request for the currently wanted tokens, or `None` if none are wanted or a request is pending.
    pub fn next_request(&self, now: Duration) -> Option<QuotaMessage> {
        let TokenRequest { request_id, wanted, overdrawn } = self.shares.borrow_mut().next_request(now)?;
        let keyed = |amounts: Vec<TenantTokens>| {
            amounts.into_iter().map(|amount| (TenantKey(amount.tenant), amount.tokens).into()).collect()
        };
        Some(QuotaMessage::Request { request_id, wanted: keyed(wanted), overdrawn: keyed(overdrawn) })
    }

    /// Applies a grant and wakes the requests that wait for tokens. Other messages are ignored.
    pub fn apply_grant(&self, now: Duration, grant: QuotaMessage) {
        let QuotaMessage::Grant { request_id, granted, .. } = grant else { return };
        let to_grant = |grant: TenantGrant| Grant {
            tenant: grant.tenant.0,
            tokens: grant.tokens,
            reserve: grant.reserve,
        };
        let grants: Vec<Grant> = granted.into_iter().map(to_grant).collect();
        self.shares.borrow_mut().apply_grants(now, request_id, &grants);
        self.granted.notify(usize::MAX);
    }
}
