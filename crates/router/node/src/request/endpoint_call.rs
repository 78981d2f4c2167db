//! Accounting of a call to an endpoint: load at the balancer, and outcome and latency for rollouts.

use crate::request_context::RequestContext;
use passrelay_data_plane::balancer::{LoadReport, Pick, RequestOutcome};
use passrelay_data_plane::prompt::Prompt;
use passrelay_data_plane::rollout_shares::ObservedRequest;
use passrelay_dissemination::LatencyMeasure;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A call that counts as in flight until [`EndpointCall::end`]. Dropping it earlier means that the client abandoned it.
pub struct EndpointCall {
    context: Rc<RequestContext>,
    pick: Pick,
    has_response: Cell<bool>,
    in_flight: Cell<bool>,
    /// Set if a rollout compares the outcome of this call.
    observed: Option<ObservedRequest>,
    sent_at: Duration,
    has_first_byte: Cell<bool>,
    is_error: Cell<bool>,
}

impl EndpointCall {
    /// Begins the accounting of a request that is about to be sent.
    pub fn begin(
        context: &Rc<RequestContext>,
        pick: Pick,
        prompt: Option<&Prompt>,
        observed: Option<ObservedRequest>,
    ) -> Self {
        let sent_at = context.now();
        context.data_plane.balancer.borrow_mut().request_sent(sent_at, &pick, prompt);
        EndpointCall {
            context: context.clone(),
            pick,
            has_response: Cell::new(false),
            in_flight: Cell::new(true),
            observed,
            sent_at,
            has_first_byte: Cell::new(false),
            is_error: Cell::new(false),
        }
    }

    /// Returns the identifier of the endpoint.
    pub fn endpoint(&self) -> &str {
        &self.pick.id
    }

    /// Records the arrival of the response head and the endpoint's load report. `failed` tells whether the response
    /// shows an error of the endpoint.
    pub fn record_response(&self, report: Option<LoadReport>, failed: bool) {
        self.has_response.set(true);
        self.is_error.set(failed);
        let mut balancer = self.context.data_plane.balancer.borrow_mut();
        balancer.response_head_received(self.context.now(), &self.pick, report, failed);
    }

    /// Records the arrival of a chunk of the response body.
    pub fn record_progress(&self) {
        self.record_first_byte();
        self.context
            .data_plane
            .balancer
            .borrow_mut()
            .response_chunk_received(self.context.now(), &self.pick.id);
    }

    /// Ends the accounting with the given outcome. Has no effect if it has already ended.
    pub fn end(&self, outcome: RequestOutcome) {
        if self.in_flight.replace(false) {
            let now = self.context.now();
            let mut balancer = self.context.data_plane.balancer.borrow_mut();
            balancer.request_ended(now, &self.pick, self.has_response.get(), outcome);
            drop(balancer);
            self.record_outcome(outcome);
        }
    }

    /// Records the latency of the first chunk of the body, or of the end of a call without one.
    fn record_first_byte(&self) {
        if !self.has_first_byte.replace(true) {
            self.record_latency(LatencyMeasure::FirstByte);
        }
    }

    fn record_latency(&self, measure: LatencyMeasure) {
        if let Some(observed) = &self.observed {
            let latency = self.context.now().saturating_sub(self.sent_at);
            self.context.data_plane.rollout_shares.borrow_mut().record_latency(observed, measure, latency);
        }
    }

    /// Counts the outcome for the rollout of the service, unless the endpoint rejected the request without executing it.
    fn record_outcome(&self, outcome: RequestOutcome) {
        let Some(observed) = self.observed.as_ref().filter(|_| outcome != RequestOutcome::Rejected) else {
            return;
        };
        self.record_first_byte();
        if outcome == RequestOutcome::Completed {
            self.record_latency(LatencyMeasure::Complete);
        }
        let failed = self.is_error.get() || outcome == RequestOutcome::Failed;
        self.context.data_plane.rollout_shares.borrow_mut().record_end(observed, failed);
    }
}

impl Drop for EndpointCall {
    fn drop(&mut self) {
        self.end(RequestOutcome::Abandoned);
    }
}
