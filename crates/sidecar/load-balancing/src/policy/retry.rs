//! Retry: whether a request is sent again after a failed attempt, and which upstreams may get it.
//!
//! An attempt that never ran may always be repeated. One that may have run is repeated only if its class
//! allows it, and within the retry budget.

use crate::api::{Action, DedupScope, Idempotency, RequestId};
use crate::state::{Balancer, Request, Upstream};

impl Balancer {
    /// Queues a request again after its last attempt in flight has failed, or gives its final answer.
    pub(super) fn retry_or_reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let idempotency = self.settings.classes[request.class.0].idempotency;
        let ran = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let in_time = self.now + self.settings.tick < request.deadline;
        let within_budget = idempotency != Idempotency::NonIdempotent && self.retry_budget.tokens() >= 1.0;
        if !attempts_left || !in_time || (ran && !within_budget) {
            self.reject(id, actions);
            return;
        }
        if ran {
            self.retry_budget.spend();
        }
        self.requests.set_pending(id, true);
    }

    /// Whether an upstream drops a repeat of this request. Once a keyed request may have run, only the
    /// upstreams of its dedup scope may get it.
    pub(super) fn in_dedup_scope(&self, request: &Request, upstream: &Upstream) -> bool {
        let Idempotency::Keyed { scope, .. } = self.settings.classes[request.class.0].idempotency else {
            return true;
        };
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run) else { return true };
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => upstream.entry.zone == first.entry.zone,
            DedupScope::Cell => upstream.entry.cell == first.entry.cell,
        }
    }
}
