//! Accounting of this router's own requests at one endpoint, and detection of an endpoint that has stopped responding.

use std::time::Duration;

/// An endpoint that has owed a response head and sent no byte for this long is stalled and gets no further request.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Own requests at one endpoint. A request is in flight from its sending to its end, and awaits a response until the
/// response head arrives or it ends without one.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    /// Requests that were sent and have not ended.
    pub(super) requests: u32,
    /// Requests of these without a response head; at most `requests`.
    pub(super) awaiting_response: u32,
    /// Prompt tokens to prefill of the requests that await a response. Never negative.
    pub(super) pending_prompt_tokens: f64,
    /// When the last byte of any response arrived.
    last_received: Duration,
    /// When the present run of requests awaiting a response began: the sending of the first one while there was none.
    awaiting_since: Duration,
}

impl InFlight {
    /// Counts a request that was sent.
    pub(super) fn add_request(&mut self, now: Duration, prefill_tokens: u64) {
        self.pending_prompt_tokens += prefill_tokens as f64;
        self.requests += 1;
        if self.awaiting_response == 0 {
            self.awaiting_since = now;
        }
        self.awaiting_response += 1;
    }

    /// The response head of a request arrived.
    pub(super) fn begin_response(&mut self, now: Duration, prefill_tokens: u64) {
        self.last_received = now;
        self.remove_awaiting(prefill_tokens);
    }

    /// Any bytes of a response arrived.
    pub(super) fn receive(&mut self, now: Duration) {
        self.last_received = now;
    }

    /// A request ended; `has_response` where its response head had arrived.
    pub(super) fn remove_request(&mut self, has_response: bool, prefill_tokens: u64) {
        self.requests = self.requests.saturating_sub(1);
        if !has_response {
            self.remove_awaiting(prefill_tokens);
        }
    }

    /// Whether nothing has arrived since the requests that await a response began to wait.
    pub(super) fn is_silent_since_sending(&self) -> bool {
        self.last_received < self.awaiting_since
    }

    /// Whether the endpoint owes responses and has sent nothing for [`STALL_TIMEOUT`].
    pub(super) fn is_stalled(&self, now: Duration) -> bool {
        let last_activity = self.last_received.max(self.awaiting_since);
        self.awaiting_response > 0 && now.saturating_sub(last_activity) > STALL_TIMEOUT
    }

    fn remove_awaiting(&mut self, prefill_tokens: u64) {
        self.pending_prompt_tokens = (self.pending_prompt_tokens - prefill_tokens as f64).max(0.0);
        self.awaiting_response = self.awaiting_response.saturating_sub(1);
    }
}
