//! Hedging: an idempotent request in flight to an ejected upstream is cancelled there, so that it can be sent
//! to another upstream once the outcome of the cancelled attempt arrives.

use crate::api::{Action, RequestId};
use crate::state::Balancer;
use std::collections::BTreeSet;

/// Fraction of the latency target for which an attempt is left to run before it may be cancelled: most
/// requests that take long are expensive and would take as long elsewhere.
const HEDGE_DELAY_TARGET_FRACTION: f64 = 0.5;

impl Balancer {
    /// Cancels attempts of idempotent requests that are in flight to ejected upstreams, as far as the retry
    /// budget covers another attempt for each.
    pub(super) fn cancel_stalled_attempts(&mut self, actions: &mut Vec<Action>) {
        // Each hedge needs a retry token, which is spent when the outcome of the cancelled attempt arrives.
        let mut tokens = if self.settings.allow_cancel { self.retry_budget.tokens() } else { 0.0 };
        if tokens < 1.0 {
            return;
        }
        for id in self.requests_at_ejected_upstreams() {
            if tokens >= 1.0 && self.cancel_stalled_attempt(id, actions) {
                tokens -= 1.0;
            }
        }
    }

    /// Returns the requests in flight to ejected upstreams for longer than the shortest class hedge delay.
    fn requests_at_ejected_upstreams(&self) -> BTreeSet<RequestId> {
        let delays =
            self.settings.classes.iter().map(|class| HEDGE_DELAY_TARGET_FRACTION * class.latency_target);
        let sent_before = self.now - delays.fold(f64::INFINITY, f64::min);
        let ejected = self.upstreams.values().filter(|upstream| upstream.ejected);
        let attempts = ejected
            .flat_map(|upstream| upstream.in_flight.iter().take_while(|sent| sent.sent_at < sent_before));
        attempts.map(|attempt| attempt.request).collect()
    }

    /// Cancels a request's last attempt if it stalled and there is time for another; returns whether it did.
    fn cancel_stalled_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !request.idempotent || request.completed || request.pending {
            return false;
        }
        let attempts = request.attempts.len() as u32;
        let in_time = self.now + self.response_times.median < request.deadline;
        let delay = HEDGE_DELAY_TARGET_FRACTION * self.settings.classes[request.class.0].latency_target;
        let Some(attempt) = request.attempts.last_mut() else { return false };
        let upstream = self.upstreams.get(&attempt.entry.upstream);
        let stalled = upstream.is_some_and(|upstream| upstream.ejected) && self.now - attempt.sent_at > delay;
        let cancellable = attempt.in_flight && !attempt.cancelled;
        if !cancellable || !stalled || !in_time || attempts >= self.settings.max_attempts {
            return false;
        }
        attempt.cancelled = true;
        actions.push(Action::Cancel { id, attempt: attempts - 1 });
        true
    }
}
