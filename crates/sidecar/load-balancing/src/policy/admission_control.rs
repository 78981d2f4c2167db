//! Admission control: which requests are accepted, how long they may be queued, and how they are rejected.
//!
//! A request that exceeds its tenant's quota is accepted with a lower priority. A request whose cost is too
//! high for any upstream to answer it in time is rejected at once. A pending request is rejected as soon as
//! it can no longer be answered in time.

use crate::api::{Action, ClassId, DedupScope, Idempotency, RequestId, TenantId};
use crate::state::{Balancer, PendingRequest, Request};

/// Only requests that cost more than this multiple of their class's mean cost may be rejected as infeasible.
/// All others are accepted, since only their response times show when upstreams have become faster again.
const OUTSIZED_COST_RATIO: f64 = 2.0;
/// While no request is pending, an outsized request is infeasible if this fraction of its expected time
/// exceeds the time left for its answer. It is low because the request may finish sooner than expected.
const INFEASIBLE_TIME_FRACTION_IDLE: f64 = 0.5;
/// The same while requests are pending: they wait for the core that the outsized request would occupy.
const INFEASIBLE_TIME_FRACTION_QUEUED: f64 = 0.9;
/// Minimum fraction of the time until its answer is due for which a request may stay queued. Without it,
/// requests of every priority would be rejected at once when slow responses push the expected time over the
/// latency target.
const MIN_QUEUEING_FRACTION: f64 = 0.5;

impl Balancer {
    /// Adds a request to the dispatch queue. A request of an unknown class is ignored.
    pub(super) fn admit(
        &mut self,
        id: RequestId,
        class: ClassId,
        tenant: Option<TenantId>,
        client_timeout: f64,
        work_hint: Option<f64>,
    ) {
        let Some(class_settings) = self.settings.classes.get(class.0).cloned() else { return };
        let client_timeout =
            if client_timeout.is_finite() { client_timeout.max(0.0) } else { class_settings.latency_target };
        let cost = work_hint.filter(|cost| cost.is_finite() && *cost > 0.0);
        let priority = class_settings.value * self.quota_priority(tenant);
        let deadline = self.now + client_timeout;
        let target = self.now
            + class_settings.latency_target
            + class_settings.latency_target_per_work * cost.unwrap_or(0.0);
        let answer_by = if class_settings.late_value > 0.0 { deadline } else { target.min(deadline) };
        let expected_time = self.expected_time(class, cost, answer_by);
        self.retry_budget.earn();
        self.health_check_budget.earn(self.settings.price_health_check);
        let request = Request {
            class,
            arrived_at: self.now,
            answer_by,
            deadline,
            priority,
            cost,
            expected_time,
            idempotent: class_settings.idempotency == Idempotency::Idempotent,
            attempts: Vec::new(),
            pending: true,
            completed: false,
        };
        self.requests.insert(id, request);
    }

    /// Takes a token from the tenant's quota and returns the resulting priority multiplier of the request: 1
    /// within the quota and for requests without a known tenant.
    fn quota_priority(&mut self, tenant: Option<TenantId>) -> f64 {
        let Some(tenant) = tenant else { return 1.0 };
        let Some(quota_per_s) = self.settings.tenants.get(tenant.0).map(|t| t.quota_per_s) else {
            return 1.0;
        };
        if self.take_quota(tenant.0, quota_per_s) {
            1.0
        } else {
            self.settings.over_quota_value
        }
    }

    /// Returns the expected response time of a new request, or infinity for an outsized request that can't be
    /// answered in time: it would occupy a core that could serve many others.
    fn expected_time(&mut self, class: ClassId, cost: Option<f64>, answer_by: f64) -> f64 {
        let median = self.response_times.class(class).median;
        let Some(cost) = cost else { return median };
        self.response_times.observe_cost(cost);
        let by_cost = &self.response_times.class(class).by_cost;
        let expected = by_cost.predict(cost).unwrap_or(median);
        let outsized = by_cost.mean_cost().is_some_and(|mean| cost > OUTSIZED_COST_RATIO * mean);
        let fraction = if self.requests.pending().is_empty() {
            INFEASIBLE_TIME_FRACTION_IDLE
        } else {
            INFEASIBLE_TIME_FRACTION_QUEUED
        };
        if outsized && fraction * expected > answer_by - self.now {
            f64::INFINITY
        } else {
            expected
        }
    }

    /// Returns the latest time at which a first attempt may be sent and still be answered in time.
    pub(super) fn latest_dispatch_at(&self, request: &PendingRequest) -> f64 {
        let end = request.answer_by.min(request.deadline - self.settings.tick);
        let reserved = request.expected_time.min(MIN_QUEUEING_FRACTION * (end - request.arrived_at));
        (end - reserved).max(request.arrived_at)
    }

    /// Gives an unserved request its final answer: a rejection if a client retry is harmless, else a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.completed) else { return };
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let idempotency = self.settings.classes[request.class.0].idempotency;
        let repeatable = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        actions.push(if !may_have_run || repeatable {
            // The longest time that clients honour: rejected requests that are retried early displace
            // requests that can still be served in time.
            let retry_after = self.settings.max_retry_after;
            Action::Reject { id, retry_after: self.settings.send_retry_after.then_some(retry_after) }
        } else {
            Action::Fail { id }
        });
        self.requests.finish(id);
    }
}
