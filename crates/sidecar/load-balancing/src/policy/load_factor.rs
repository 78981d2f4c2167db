//! Load factors: the weights of the upstreams in the round robin, computed from their load reports.
//!
//! A load factor lies between 0 and 100 before its exponent applies. It is refreshed after a time or a number
//! of attempts, not with each event.

use crate::api::{LoadReport, UpstreamId};
use crate::state::{Balancer, ObservedReport, Upstream};

/// Load factor before the first report: the middle of the scale.
pub(super) const DEFAULT_LOAD_FACTOR: f64 = 50.0;
/// Exponent that increases the differences between load factors: with proportional weights, half of the
/// traffic would go to busy upstreams.
const LOAD_FACTOR_EXPONENT: i32 = 2;
/// Exponent of an upstream's health, which multiplies its load factor.
const HEALTH_EXPONENT: i32 = 2;
/// Interval between refreshes of a load factor, as a fraction of the median response time. Within one median
/// response time the load of an upstream changes completely.
pub(super) const REFRESH_INTERVAL_MEDIANS: f64 = 1.0 / 20.0;
/// Number of attempts sent after which a load factor is refreshed: a single one changes the load of a small
/// upstream completely.
const MAX_ATTEMPTS_BEFORE_REFRESH: u32 = 1;
/// Smoothing factor of the estimated number of workers, since reports are noisy.
const WORKERS_SMOOTHING: f64 = 0.05;
/// Smoothing factor of an upstream's baseline load factor, for each report.
const BASELINE_SMOOTHING: f64 = 0.1;
/// Time constant, in median response times, of the decay of a report's weight in favour of the baseline.
const REPORT_DECAY_MEDIANS: f64 = 2.0;

impl Balancer {
    /// Stores the latest load report of an upstream. It changes the load factor at the next refresh.
    pub(super) fn observe_report(&mut self, id: UpstreamId, report: Option<LoadReport>) {
        let (Some(upstream), Some(report)) = (self.upstreams.get_mut(&id), report) else { return };
        if let (Some(in_flight), Some(queued)) = (report.in_flight, report.queued) {
            if queued >= 1.0 && in_flight.is_finite() && queued.is_finite() {
                // While requests are queued, all workers are busy. The smoothed number is rounded when used.
                let busy = (in_flight - queued).max(1.0);
                let smoothed = |workers: f64| workers + WORKERS_SMOOTHING * (busy - workers);
                self.workers = Some(self.workers.map_or(busy, smoothed));
            }
        }
        if let Some(cpu) = report.cpu.filter(|cpu| cpu.is_finite()) {
            let spare_percent = 100.0 * (1.0 - cpu);
            upstream.baseline_load_factor +=
                BASELINE_SMOOTHING * (spare_percent - upstream.baseline_load_factor);
        }
        let in_flight = upstream.in_flight.len();
        upstream.last_report = Some(ObservedReport { report, received_at: self.now, in_flight });
    }

    /// Refreshes the load factor of an upstream if it is due by time or by attempts.
    pub(super) fn refresh_load_factor(&self, upstream: &mut Upstream) {
        let age = self.now - upstream.load_factor_refreshed_at;
        let due = age >= self.response_times.median * REFRESH_INTERVAL_MEDIANS;
        if !due && upstream.attempts_since_refresh < MAX_ATTEMPTS_BEFORE_REFRESH {
            return;
        }
        let by_report = self.load_factor_by_report(upstream);
        upstream.load_factor =
            by_report * self.slow_start_capacity(upstream) * upstream.health.powi(HEALTH_EXPONENT);
        upstream.load_factor_refreshed_at = self.now;
        upstream.attempts_since_refresh = 0;
    }

    /// Returns a load factor from the fraction of spare workers if reports contain the number of requests at
    /// the upstream, otherwise from the spare CPU.
    fn load_factor_by_report(&self, upstream: &Upstream) -> f64 {
        let (cpu, received_at) = match upstream.last_report {
            Some(observed) => (observed.report.cpu, observed.received_at),
            None => (None, f64::NEG_INFINITY),
        };
        let spare = match (upstream.concurrency(), self.workers, cpu) {
            (Some(concurrency), Some(workers), _) => 1.0 - concurrency / workers.round(),
            (Some(concurrency), None, _) => 1.0 / (1.0 + concurrency),
            (None, _, Some(cpu)) if cpu.is_finite() => 1.0 - cpu,
            _ => DEFAULT_LOAD_FACTOR / 100.0,
        };
        // Relying on an old report would starve or overload the upstream, so its weight decays in favour of
        // the upstream's baseline.
        let time_constant = (REPORT_DECAY_MEDIANS * self.response_times.median).max(self.settings.tick);
        let freshness = (-(self.now - received_at) / time_constant).exp();
        let percent =
            (spare * 100.0).max(0.0) * freshness + upstream.baseline_load_factor * (1.0 - freshness);
        let exponent = if self.settings.reports_concurrency { LOAD_FACTOR_EXPONENT } else { 0 };
        percent * (percent / 100.0).powi(exponent)
    }
}
