//! Dispatch: sends pending requests in order of priority, rejects those that can't be answered in time, and
//! checks the preconditions of every send.

use crate::api::{Action, EndpointState, RequestId, UpstreamId};
use crate::state::{Attempt, Balancer, InFlightAttempt, PendingRequest};

use super::outlier::UpstreamCounts;
use super::selection::{Selectable, SuccessWeights};
use super::WAKE_DISPATCH;

/// Largest fraction of the capacity that may be reserved for requests of higher priority.
const MAX_RESERVED_FRACTION: f64 = 0.5;
/// Interval at which pending requests are considered again, as a fraction of the median response time.
const POLL_INTERVAL_MEDIANS: f64 = 1.0 / 8.0;

/// State of one pass over the dispatch queue.
struct DispatchPass {
    /// Requests that this instance may have in flight; may lie below 1.
    capacity: f64,
    /// Requests in flight at upstreams that are not ejected, including those sent in this pass.
    in_flight: f64,
    /// Priority of the most valuable class.
    top_priority: f64,
    /// Health checks that have no result yet, including those sent in this pass.
    health_checks: usize,
    /// Pending requests whose selection must be confirmed by a health check.
    unconfirmed: usize,
    /// No upstream was selectable for a request without earlier attempts, so none is for those after it.
    exhausted: bool,
    /// Success weights of the upstreams, by class.
    success_weights: Vec<SuccessWeights>,
}

impl DispatchPass {
    /// Returns whether the capacity for requests of this priority is used up.
    ///
    /// Otherwise requests of low priority would fill a small capacity just before one of high priority
    /// arrives. So the fluctuation of a full capacity (its square root) is reserved; the lower the priority
    /// of a request, the larger the part of that reserve that it can't use.
    fn is_full(&self, priority: f64, mean_concurrency: impl FnOnce() -> f64) -> bool {
        let fluctuation = (self.capacity * MAX_RESERVED_FRACTION).min(self.capacity.sqrt());
        let available = self.capacity - fluctuation * (1.0 - priority / self.top_priority);
        // A capacity below one request limits the mean concurrency over time instead.
        let below_one = f64::from(u8::from(self.capacity < 1.0));
        self.in_flight >= available.max(1.0) + below_one || mean_concurrency() * below_one >= available
    }
}

impl Balancer {
    /// Sends pending requests, highest priority first, and rejects those that can't be answered in time.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let may_hedge = self.settings.allow_cancel && self.requests.has_open_idempotent();
        if self.requests.pending().is_empty() && !may_hedge {
            return;
        }
        let counts = self.update_ejections();
        self.concurrency_limit.scale(counts.usable);
        self.cancel_stalled_attempts(actions);
        let pending: Vec<PendingRequest> = self.requests.pending().iter().copied().collect();
        if pending.is_empty() {
            return;
        }
        let mut pass = self.start_pass(&counts);
        for request in pending {
            let unanswerable = self.is_unanswerable(&request);
            if !unanswerable && self.try_send(&request, &mut pass, actions) {
                pass.in_flight += 1.0;
            } else if unanswerable || self.now >= self.latest_dispatch_at(&request) {
                self.reject_or_fail(request.id, actions);
            }
        }
        self.schedule_wake(actions);
    }

    fn start_pass(&self, counts: &UpstreamCounts) -> DispatchPass {
        DispatchPass {
            capacity: self.capacity(counts.running),
            in_flight: counts.in_flight as f64,
            top_priority: self.settings.max_value(),
            health_checks: counts.health_checks,
            unconfirmed: 0,
            exhausted: false,
            success_weights: vec![SuccessWeights::default(); self.settings.classes.len()],
        }
    }

    /// Returns whether a request can no longer be answered in time, by a first attempt or by a retry.
    fn is_unanswerable(&self, request: &PendingRequest) -> bool {
        let tried = !self.requests[&request.id].attempts.is_empty();
        let late = self.now + self.settings.tick >= request.answer_by;
        request.expected_time.is_infinite() || tried && late
    }

    /// Selects an upstream for a pending request and sends the request there, or sends a health check if the
    /// selection must be confirmed first. Returns whether the request was sent.
    fn try_send(
        &mut self,
        request: &PendingRequest,
        pass: &mut DispatchPass,
        actions: &mut Vec<Action>,
    ) -> bool {
        if pass.is_full(request.priority, || self.mean_concurrency()) || pass.exhausted {
            return false;
        }
        let state = &self.requests[&request.id];
        let selectable = self.selectable(state, &mut pass.success_weights[request.class.0]);
        pass.exhausted = selectable.is_empty() && state.attempts.is_empty();
        if self.needs_confirmation(&selectable) {
            pass.unconfirmed += 1;
            if pass.health_checks < pass.unconfirmed && self.may_send_health_check() {
                let sent = self.send_health_check(&selectable, request.class, actions);
                pass.health_checks += usize::from(sent);
            }
            return false;
        }
        let Some(upstream) = self.select_round_robin(&selectable, request.class) else { return false };
        self.send(request.id, upstream, actions)
    }

    /// Returns whether a selection among these upstreams must be confirmed by a health check. While the
    /// number of workers is unknown, requests beyond the health check budget are sent unconfirmed.
    fn needs_confirmation(&self, selectable: &[Selectable]) -> bool {
        let confirms =
            self.confirms_selections() && (self.health_check_budget.covers_one() || self.workers.is_some());
        let confirmed =
            selectable.first().is_some_and(|item| self.has_spare_worker(&self.upstreams[&item.upstream]));
        confirms && !confirmed
    }

    /// Requests a wake-up for the next time a pending request needs a decision, unless an earlier one is due.
    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let latest = self.requests.pending().iter().map(|request| self.latest_dispatch_at(request));
        let Some(next) = latest.min_by(f64::total_cmp) else { return };
        let poll_interval = self.response_times.median * POLL_INTERVAL_MEDIANS;
        let poll_at = self.now + poll_interval.max(self.settings.tick);
        let next = next.max(self.now + self.settings.tick).min(poll_at);
        if next < self.next_wake {
            self.next_wake = next;
            actions.push(Action::Wake { after: next - self.now, token: WAKE_DISPATCH });
        }
    }

    /// Sends an attempt and returns `true` if the rules for every send allow it. They hold whatever the
    /// selection decided: the repeat rules of the class, one attempt at a time unless the settings allow
    /// more, no send to a draining upstream, and the limits on the number of attempts and on time.
    fn send(&mut self, id: RequestId, upstream_id: UpstreamId, actions: &mut Vec<Action>) -> bool {
        let Some(upstream) = self.upstreams.get(&upstream_id) else { return false };
        let draining = upstream.entry.state != EndpointState::Running;
        if draining || !self.may_send_again(id) {
            return false;
        }
        let next_slow_start_send = self.now + self.slow_start_interval(upstream);
        self.requests.set_pending(id, false);
        // Removed from the map, since `refresh_load_factor` borrows the rest of the state.
        let Some(mut upstream) = self.upstreams.remove(&upstream_id) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let attempt = request.attempts.len() as u32;
        upstream.next_slow_start_send = next_slow_start_send;
        request.attempts.push(Attempt {
            entry: upstream.entry,
            sent_at: self.now,
            in_flight: true,
            may_have_run: true,
            cancelled: false,
        });
        upstream.attempt_sent(InFlightAttempt { request: id, attempt, sent_at: self.now }, request.load());
        self.mean_concurrency.record_send(self.now, self.response_times.median, self.settings.tick);
        self.refresh_load_factor(&mut upstream);
        self.upstreams.insert(upstream_id, upstream);
        actions.push(Action::Send { id, upstream: upstream_id, timeout: None });
        true
    }

    /// Returns whether another attempt of a request may be sent now, to any upstream.
    fn may_send_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let idempotency = self.settings.classes[request.class.0].idempotency;
        let first_run = request.attempts.iter().find(|attempt| attempt.may_have_run);
        let repeat_allowed =
            first_run.is_none_or(|attempt| idempotency.allows_repeat(self.now - attempt.sent_at));
        let none_in_flight = request.attempts.iter().all(|attempt| !attempt.in_flight);
        let concurrency_allowed = self.settings.allow_concurrent_attempts || none_in_flight;
        let attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let in_time = self.now < request.deadline;
        !request.completed && repeat_allowed && concurrency_allowed && attempts_left && in_time
    }
}
