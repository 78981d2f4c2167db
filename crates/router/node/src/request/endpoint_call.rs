//! One call to an endpoint in the balancer's accounts.

use crate::request_context::RequestContext;
use passrelay_data_plane::balancer::{LoadReport, Pick, RequestOutcome};
use passrelay_data_plane::prompt::Prompt;
use passrelay_data_plane::rollout_shares::ObservedRequest;
use passrelay_dissemination::LatencyMeasure;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A call that counts as in flight until its end; one that is dropped before was abandoned by the client.
pub struct EndpointCall {
    context: Rc<RequestContext>,
    pick: Pick,
    has_response: Cell<bool>,
    in_flight: Cell<bool>,
    /// Where a roll-out compares its outcome.
    observed: Option<ObservedRequest>,
    sent_at: Duration,
    has_first_byte: Cell<bool>,
    is_error: Cell<bool>,
}

impl EndpointCall {
    /// The request is sent now.
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

    /// The head of the response has come, with the endpoint's load report.
    pub fn record_response(&self, report: Option<LoadReport>, failed: bool) {
        self.has_response.set(true);
        self.is_error.set(failed);
        let mut balancer = self.context.data_plane.balancer.borrow_mut();
        balancer.response_head_received(self.context.now(), &self.pick, report, failed);
    }

    /// A chunk of the response's body has come.
    pub fn record_progress(&self) {
        self.record_first_byte();
        self.context
            .data_plane
            .balancer
            .borrow_mut()
            .response_chunk_received(self.context.now(), &self.pick.id);
    }

    /// The call is over. Further calls have no effect.
    pub fn end(&self, end: RequestOutcome) {
        if self.in_flight.replace(false) {
            let now = self.context.now();
            let mut balancer = self.context.data_plane.balancer.borrow_mut();
            balancer.request_ended(now, &self.pick, self.has_response.get(), end);
            drop(balancer);
            self.record_outcome(end);
        }
    }

    /// The first part of the body has come, or will never come.
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

    /// Counts the outcome in the roll-out of the service; a request that was rejected without running has none.
    fn record_outcome(&self, end: RequestOutcome) {
        let Some(observed) = self.observed.as_ref().filter(|_| end != RequestOutcome::Rejected) else {
            return;
        };
        self.record_first_byte();
        if end == RequestOutcome::Completed {
            self.record_latency(LatencyMeasure::Complete);
        }
        let failed = self.is_error.get() || end == RequestOutcome::Failed;
        self.context.data_plane.rollout_shares.borrow_mut().record_end(observed, failed);
    }
}

impl Drop for EndpointCall {
    fn drop(&mut self) {
        self.end(RequestOutcome::Abandoned);
    }
}
