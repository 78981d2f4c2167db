//! Health checks that confirm a selection.
//!
//! With many instances, load reports are out of date by the time they are used. If health checks are cheap
//! and their reports show whether a worker is idle, one confirms the selection before the request is sent.

use crate::api::{Action, ClassId, Ending, LoadReport, UpstreamId};
use crate::state::{Balancer, Upstream, HEALTH_CHECK_BUDGET_PER_REQUEST};

use super::load_factor::REFRESH_INTERVAL_MEDIANS;
use super::selection::Selectable;

/// A report that shows a spare worker is trusted for this many median response times. After that, the
/// upstream counts as one without a known spare worker.
const SPARE_WORKER_MAX_AGE_MEDIANS: f64 = 10.0;
/// Minimum age of an upstream's latest report before it is checked again, as a fraction of the median
/// response time. Before that, its load has hardly changed.
const RECHECK_INTERVAL_MEDIANS: f64 = 1.0 / 4.0;
/// An upstream has a spare worker if its concurrency is lower than its number of workers by more than this,
/// since both are fractional estimates.
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

    /// Returns whether health checks confirm selections: if they are allowed, cheap, and show spare workers.
    pub(super) fn confirms_selections(&self) -> bool {
        let affordable = 2.0 * self.settings.price_health_check <= HEALTH_CHECK_BUDGET_PER_REQUEST;
        self.settings.allow_health_checks && affordable && self.settings.reports_queue
    }

    /// Returns whether a recent report of this upstream shows a spare worker.
    pub(super) fn has_spare_worker(&self, upstream: &Upstream) -> bool {
        let max_age_medians =
            if self.confirms_selections() { REFRESH_INTERVAL_MEDIANS } else { SPARE_WORKER_MAX_AGE_MEDIANS };
        let max_age = self.response_times.median * max_age_medians;
        let recent = upstream.last_report.is_some_and(|report| self.now - report.received_at <= max_age);
        let workers = self.workers.map_or(1.0, f64::round);
        recent && upstream.concurrency().is_some_and(|n| n < workers - SPARE_WORKER_MARGIN)
    }

    /// Returns whether a health check may be sent now: within the budget at any time, beyond it once per
    /// recheck interval. Without this limit, each pending request would go on sending health checks under
    /// overload, when all upstreams are busy.
    pub(super) fn may_send_health_check(&self) -> bool {
        let since_last = self.now - self.health_check_budget.last_sent_at();
        self.health_check_budget.covers_one() || since_last > self.recheck_interval()
    }

    /// Sends a health check to one of the candidates, leaving out those whose latest report is too recent to
    /// have changed. Returns whether one was sent.
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
