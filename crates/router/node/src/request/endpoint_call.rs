//! One call to an endpoint in the balancer's accounts.

use crate::request_context::RequestContext;
use passrelay_data_plane::balancer::{CallEnd, LoadReport, Pick};
use passrelay_data_plane::prompt::Prompt;
use std::cell::Cell;
use std::rc::Rc;

/// A call that counts as in flight until its end; one that is dropped before was abandoned by the client.
pub struct EndpointCall {
    context: Rc<RequestContext>,
    pick: Pick,
    has_response: Cell<bool>,
    in_flight: Cell<bool>,
}

impl EndpointCall {
    /// The request is sent now.
    pub fn begin(context: &Rc<RequestContext>, pick: Pick, prompt: Option<&Prompt>) -> Self {
        context.data_plane.balancer.borrow_mut().request_sent(context.now(), &pick, prompt);
        let has_response = Cell::new(false);
        EndpointCall { context: context.clone(), pick, has_response, in_flight: Cell::new(true) }
    }

    /// The head of the response has come, with the endpoint's load report.
    pub fn record_response(&self, report: Option<LoadReport>, failed: bool) {
        self.has_response.set(true);
        let mut balancer = self.context.data_plane.balancer.borrow_mut();
        balancer.response_head_received(self.context.now(), &self.pick, report, failed);
    }

    /// A chunk of the response's body has come.
    pub fn record_progress(&self) {
        self.context
            .data_plane
            .balancer
            .borrow_mut()
            .response_chunk_received(self.context.now(), &self.pick.id);
    }

    /// The call is over. Further calls have no effect.
    pub fn end(&self, end: CallEnd) {
        if self.in_flight.replace(false) {
            let now = self.context.now();
            let mut balancer = self.context.data_plane.balancer.borrow_mut();
            balancer.request_ended(now, &self.pick, self.has_response.get(), end);
        }
    }
}

impl Drop for EndpointCall {
    fn drop(&mut self) {
        self.end(CallEnd::Abandoned);
    }
}
