//! How much of the traffic an upstream gets: load reports become load factors, the weights of the round
//! robin.
//!
//! A load factor lies between 0 and 100 before its exponent applies. It is refreshed by time and by attempts,
//! not for each event.

use crate::api::{LoadReport, UpstreamId};
use crate::state::{Balancer, ObservedReport, Upstream};

/// Load factor before the first report: half of the scale.
pub(super) const DEFAULT_LOAD_FACTOR: f64 = 50.0;
/// Exponent that spreads load factors: with plain proportions half of the traffic would go to busy upstreams.
const LOAD_FACTOR_EXPONENT: i32 = 2;
/// Exponent of the health multiplier of a load factor.
const HEALTH_EXPONENT: i32 = 2;
/// A load factor is refreshed after this part of the median response time, in which the load changes
/// completely.
pub(super) const REFRESH_INTERVAL_MEDIANS: f64 = 1.0 / 20.0;
/// Attempts after which a load factor is refreshed: one attempt changes a small upstream's load completely.
const MAX_ATTEMPTS_BEFORE_REFRESH: u32 = 1;
/// Smoothing factor of the number of workers: reports are noisy.
const WORKERS_SMOOTHING: f64 = 0.05;
/// Smoothing factor of an upstream's baseline load factor.
const BASELINE_SMOOTHING: f64 = 0.1;
/// Time constant, in median response times, by which a report fades to the baseline.
const REPORT_DECAY_MEDIANS: f64 = 2.0;

impl Balancer {
    /// Stores the latest report; it changes the load factor at the next refresh.
    pub(super) fn observe_report(&mut self, id: UpstreamId, report: Option<LoadReport>) {
        let (Some(upstream), Some(report)) = (self.upstreams.get_mut(&id), report) else { return };
        if let (Some(active), Some(waiting)) = (report.in_flight, report.queued) {
            if waiting >= 1.0 && active.is_finite() && waiting.is_finite() {
                // With a queue, all workers are busy. A slow mean, rounded where it is used.
                let busy = (active - waiting).max(1.0);
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

    /// Refreshes a load factor that is due by time or by attempts.
    pub(super) fn refresh_load_factor(&self, upstream: &mut Upstream) {
        let age = self.now - upstream.load_factor_refreshed_at;
        let due = age >= self.response_times.median * REFRESH_INTERVAL_MEDIANS;
        if !due && upstream.attempts_since_refresh < MAX_ATTEMPTS_BEFORE_REFRESH {
            return;
        }
        let by_load = self.load_factor_by_report(upstream);
        upstream.load_factor =
            by_load * self.slow_start_capacity(upstream) * upstream.health.powi(HEALTH_EXPONENT);
        upstream.load_factor_refreshed_at = self.now;
        upstream.attempts_since_refresh = 0;
    }

    /// Spare workers where reports carry the requests at the upstream, else spare CPU.
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
        // An old report would starve or flood an upstream: it fades to the upstream's baseline.
        let time_constant = (REPORT_DECAY_MEDIANS * self.response_times.median).max(self.settings.tick);
        let freshness = (-(self.now - received_at) / time_constant).exp();
        let percent =
            (spare * 100.0).max(0.0) * freshness + upstream.baseline_load_factor * (1.0 - freshness);
        let exponent = if self.settings.reports_concurrency { LOAD_FACTOR_EXPONENT } else { 0 };
        percent * (percent / 100.0).powi(exponent)
    }
}
