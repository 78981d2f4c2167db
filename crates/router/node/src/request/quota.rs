//! Reserves the tokens of a request from its tenant's quota, waiting briefly if this process holds no granted
//! tokens.

use super::admission::Admission;
use super::inbound::InboundRequest;
use crate::request_context::RequestContext;
use crate::responses::Failure;
use passrelay_configuration::{Tenant, TokenUnit};
use passrelay_control_plane::quota::TenantKey;
use passrelay_data_plane::quota::SpentTokens;
use smol::Timer;
use std::time::Duration;

/// Fraction of the route's latency target that a request waits for quota at most.
const QUOTA_WAIT_FRACTION: f64 = 0.2;
/// Interval at which a request that waits for quota repeats its request for a grant.
const QUOTA_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Tokens reserved for a request.
pub struct QuotaReservation {
    tenant: TenantKey,
    spent: SpentTokens,
}

impl QuotaReservation {
    /// Returns whether a request with this reservation, if any, is charged to the tenant that it now has. A request without
    /// a tenant, or whose tenant has no limit, needs none.
    pub fn covers(reservation: Option<&Self>, admission: &Admission) -> bool {
        let charged = reservation.map(|reservation| reservation.tenant);
        limited_tenant(admission).is_none_or(|tenant| charged == Some(TenantKey::of(&tenant.name)))
    }

    /// Returns the tokens of a request that no endpoint has executed.
    pub fn refund(self, context: &RequestContext) {
        context.data_plane.quota.shares.borrow_mut().refund(context.now(), self.tenant.0, self.spent);
    }
}

/// Demand of a request that waits for tokens, withdrawn on drop.
struct PendingDemand<'a> {
    context: &'a RequestContext,
    tenant: TenantKey,
    tokens: u64,
}

impl<'a> PendingDemand<'a> {
    fn register(context: &'a RequestContext, tenant: TenantKey, tokens: u64) -> Self {
        context.data_plane.quota.shares.borrow_mut().add_demand(tenant.0, tokens);
        PendingDemand { context, tenant, tokens }
    }
}

impl Drop for PendingDemand<'_> {
    fn drop(&mut self) {
        self.context.data_plane.quota.shares.borrow_mut().remove_demand(self.tenant.0, self.tokens);
    }
}

/// Reserves the tokens that a request costs. Returns `None` if the request has no tenant or the tenant no limit.
///
/// # Errors
///
/// Returns [`Failure::OverQuota`] if the grantor has granted less than wanted since the request arrived, and
/// [`Failure::NoGrantor`] if the grantor does not respond in time.
pub async fn reserve(
    context: &RequestContext,
    inbound: &InboundRequest,
    admission: &Admission,
) -> Result<Option<QuotaReservation>, Failure> {
    let Some(tenant) = limited_tenant(admission) else { return Ok(None) };
    let key = TenantKey::of(&tenant.name);
    let tokens = match tenant.unit {
        TokenUnit::Requests => 1,
        TokenUnit::TokenUsage => inbound.prompt.total_tokens().unwrap_or(tenant.uncached_tokens),
    };
    let started_at = context.now();
    let quota = &context.data_plane.quota;
    let demand = PendingDemand::register(context, key, tokens);
    context.request_quota();
    let target = Duration::from_millis(admission.route.target_latency_ms);
    let timeout = target.mul_f64(QUOTA_WAIT_FRACTION);
    loop {
        // Listen before trying to spend, so that a grant that arrives in between is not missed.
        let granted = quota.next_grant();
        let spent = quota.shares.borrow_mut().spend(context.now(), key.0, tokens);
        if let Some(spent) = spent {
            drop(demand);
            return Ok(Some(QuotaReservation { tenant: key, spent }));
        }
        if quota.shares.borrow().is_exhausted_since(key.0, started_at) {
            return Err(Failure::OverQuota);
        }
        let now = context.now();
        if now >= started_at + timeout || quota.shares.borrow().is_grantor_unreachable(key.0, now) {
            return Err(Failure::NoGrantor);
        }
        context.request_quota();
        let retry = async {
            Timer::after(QUOTA_RETRY_INTERVAL).await;
        };
        smol::future::or(granted, retry).await;
    }
}

fn limited_tenant(admission: &Admission) -> Option<&Tenant> {
    admission.tenant.as_ref().filter(|tenant| tenant.is_limited())
}
