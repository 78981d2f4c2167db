//! Health checks ahead of a selection.
//!
//! With many instances, load reports are out of date when they are used. Where a health check is cheap and
//! its report shows a spare worker, one confirms a selection before the request is sent.

use crate::api::{Action, ClassId, Ending, LoadReport, UpstreamId};
use crate::state::{Balancer, Upstream, HEALTH_CHECK_BUDGET_PER_REQUEST};

use super::load_factor::REFRESH_INTERVAL_MEDIANS;
use super::selection::Selectable;

/// A reported spare worker is trusted for this many median response times; then idle upstreams count as
/// unknown.
const SPARE_WORKER_MAX_AGE_MEDIANS: f64 = 10.0;
/// An upstream is checked again after this part of the median response time: before, its load has hardly
/// changed.
const RECHECK_INTERVAL_MEDIANS: f64 = 1.0 / 4.0;
/// Concurrency below the number of workers by this much is a spare worker: estimates of both are fractional.
const SPARE_WORKER_MARGIN: f64 = 0.5;

impl Balancer {
    /// Records the result of a health check.
    pub(super) fn observe_health_check(
        &mut self,
        id: UpstreamId,
        ending: Ending,
        report: Option<LoadReport>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        upstream.health_check_sent_at = None;
        if ending == Ending::Served {
            self.observe_report(id, report);
        } else {
            self.record_failure(id);
        }
    }

    /// Whether selections are confirmed by a health check: they are cheap and show spare workers.
    pub(super) fn confirms_selections(&self) -> bool {
        let affordable = 2.0 * self.settings.price_health_check <= HEALTH_CHECK_BUDGET_PER_REQUEST;
        self.settings.allow_health_checks && affordable && self.settings.reports_queue
    }

    /// Whether a recent report shows a spare worker.
    pub(super) fn has_spare_worker(&self, upstream: &Upstream) -> bool {
        let max_age_medians =
            if self.confirms_selections() { REFRESH_INTERVAL_MEDIANS } else { SPARE_WORKER_MAX_AGE_MEDIANS };
        let max_age = self.response_times.median * max_age_medians;
        let recent = upstream.last_report.is_some_and(|report| self.now - report.received_at <= max_age);
        let workers = self.workers.map_or(1.0, f64::round);
        recent && upstream.concurrency().is_some_and(|n| n < workers - SPARE_WORKER_MARGIN)
    }

    /// Whether a health check may be sent: within the budget, or at the rate of responses. In overload all
    /// are busy, and each pending request would go on checking.
    pub(super) fn may_check(&self) -> bool {
        let since_last = self.now - self.health_check_budget.last_sent_at();
        self.health_check_budget.covers_one() || since_last > self.recheck_interval()
    }

    /// Sends a health check to one of these, except to those whose report is too recent to have changed. True
    /// when one was sent.
    pub(super) fn send_health_check(
        &mut self,
        candidates: &[Selectable],
        class: ClassId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let oldest_recent = self.now - self.recheck_interval();
        let outdated = |candidate: &&Selectable| {
            let report = self.upstreams[&candidate.upstream].last_report;
            report.is_none_or(|report| report.received_at < oldest_recent)
        };
        let outdated: Vec<_> = candidates.iter().filter(outdated).copied().collect();
        let Some(id) = self.select_round_robin(&outdated, class) else { return false };
        self.health_check_budget.spend(self.now);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.health_check_sent_at = Some(self.now);
        }
        actions.push(Action::HealthCheck(id));
        true
    }

    fn recheck_interval(&self) -> f64 {
        self.response_times.median * RECHECK_INTERVAL_MEDIANS
    }
}
