//! Effects of an attempt's outcome on the upstream's health, on the estimates, and on the request.

use crate::api::{Action, ClassId, Ending, Outcome};
use crate::state::{Balancer, Request};

use super::outlier::STALL_TIMEOUT_MEDIANS;

/// Fraction of the missing health that an upstream recovers with each served request.
const HEALTH_RECOVERY: f64 = 1.0 / 4.0;
/// Factor by which each time-out or lost connection reduces an upstream's health.
const HEALTH_DECREASE_FACTOR: f64 = 0.75;
/// Lower bound of an upstream's health.
const MIN_HEALTH: f64 = 0.1;

impl Balancer {
    /// Records the outcome of an attempt, and retries or completes its request.
    pub(super) fn observe_outcome(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let request = self.requests.get(&outcome.id);
        let class = request.map(|request| request.class);
        let cost = request.and_then(|request| request.cost);
        let load = request.map_or(0.0, Request::load);
        // Predicted before this outcome updates the regression.
        let predicted = match (class, cost) {
            (Some(class), Some(cost)) => self.response_times.class(class).by_cost.predict(cost),
            _ => None,
        };
        // The report is recorded first: it was taken before the answer and still counts this attempt.
        self.observe_report(outcome.upstream, outcome.report);
        self.observe_upstream_outcome(outcome, load, predicted.filter(|time| *time > 0.0));
        if let Some(class) = class {
            self.observe_class_outcome(outcome, class, cost);
        }
        self.end_attempt(outcome, actions);
    }

    /// Updates the load, the time of the last contact and the health of the upstream.
    fn observe_upstream_outcome(&mut self, outcome: &Outcome, load: f64, predicted: Option<f64>) {
        let Outcome { id, attempt, upstream: upstream_id, ending, elapsed, .. } = *outcome;
        let Some(upstream) = self.upstreams.get(&upstream_id) else { return };
        if ending == Ending::Served && !self.in_slow_start(upstream) {
            self.served_at.push_back(self.now);
        }
        let median = self.response_times.median;
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(&upstream_id) else { return };
        upstream.attempt_ended(id, attempt, load);
        if let (Some(predicted), Ending::Served | Ending::TimedOut) = (predicted, ending) {
            upstream.observe_service_time_ratio(elapsed / predicted);
        }
        if matches!(ending, Ending::Served | Ending::UpstreamError | Ending::Shed) {
            upstream.last_contact = now;
        }
        let no_contact_since_sent = upstream.last_contact < now - elapsed;
        match ending {
            Ending::Served => {
                if upstream.consecutive_failures > 0 {
                    // It may have restarted unnoticed, so treat it as in slow start for one overload window.
                    upstream.suspect_until = now + self.settings.overload_window;
                }
                upstream.consecutive_failures = 0;
                upstream.lost_connections = 0;
                upstream.health += (1.0 - upstream.health) * HEALTH_RECOVERY;
            }
            Ending::TimedOut if elapsed > STALL_TIMEOUT_MEDIANS * median && no_contact_since_sent => {
                self.record_failure(upstream_id);
            }
            // Losing one connection does not show that the upstream is down; one that is down loses all.
            Ending::ConnectionLost if upstream.lost_connections > 0 && no_contact_since_sent => {
                self.record_failure(upstream_id);
            }
            Ending::TimedOut | Ending::ConnectionLost => {
                upstream.lost_connections += u32::from(ending == Ending::ConnectionLost);
                upstream.health = (upstream.health * HEALTH_DECREASE_FACTOR).max(MIN_HEALTH);
            }
            Ending::ConnectFailed => self.record_failure(upstream_id),
            Ending::UpstreamError | Ending::Shed | Ending::Cancelled | Ending::NotSent => {}
        }
    }

    /// Updates the success rate and the response times of the class.
    fn observe_class_outcome(&mut self, outcome: &Outcome, class: ClassId, cost: Option<f64>) {
        let ending = outcome.ending;
        let failed = matches!(ending, Ending::UpstreamError | Ending::ConnectionLost | Ending::Shed);
        if failed || ending == Ending::Served {
            if let Some(upstream) = self.upstreams.get_mut(&outcome.upstream) {
                upstream.record_outcome(class, self.now, !failed);
            }
        }
        if matches!(ending, Ending::Served | Ending::TimedOut) {
            if let Some(cost) = cost {
                self.response_times.observe_by_cost(class, cost, outcome.elapsed);
            }
            self.observe_response_time(class, outcome.elapsed);
        }
    }

    /// Marks the attempt as ended. The request is finished if it needs no further answer; otherwise it is
    /// retried or answered once none of its attempts is in flight.
    fn end_attempt(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        if let Some(attempt) = request.attempts.get_mut(outcome.attempt as usize) {
            attempt.in_flight = false;
            attempt.may_have_run &= !outcome.ending.never_ran();
        }
        if outcome.last || request.completed {
            self.requests.finish(outcome.id);
        } else if request.attempts.iter().all(|attempt| !attempt.in_flight) {
            self.retry_or_give_up(outcome.id, actions);
        }
    }
}
