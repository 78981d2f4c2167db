//! Retry: whether a request is sent again after a failed attempt, and which upstreams may get it.
//!
//! An attempt that never ran may always be followed by another one. After an attempt that may have run, the
//! request is sent again only if its class allows it and the retry budget covers it.

use crate::api::{Action, DedupScope, Idempotency, RequestId};
use crate::state::{Balancer, Request, Upstream};

impl Balancer {
    /// Puts a request back into the dispatch queue after its last attempt in flight has failed, or gives its
    /// final answer if it may not be retried.
    pub(super) fn retry_or_give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let idempotency = self.settings.classes[request.class.0].idempotency;
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let in_time = self.now + self.settings.tick < request.deadline;
        let within_budget = idempotency != Idempotency::NonIdempotent && self.retry_budget.tokens() >= 1.0;
        if !attempts_left || !in_time || (may_have_run && !within_budget) {
            self.reject_or_fail(id, actions);
            return;
        }
        if may_have_run {
            self.retry_budget.spend();
        }
        self.requests.set_pending(id, true);
    }

    /// Returns whether this upstream may get the next attempt of a request by its deduplication scope. Once a
    /// keyed request may have run, only the upstreams in the scope of that first attempt drop a repeat.
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
