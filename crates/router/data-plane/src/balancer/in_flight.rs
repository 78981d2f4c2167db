//! Accounting of this router's requests in flight at one endpoint, and detection of an endpoint that has
//! stopped responding.

use std::time::Duration;

/// An endpoint that owes a response head and has sent no byte for this long is stalled and receives no
/// further requests.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// This router's requests at one endpoint. A request is in flight from when it is sent until it ends. It
/// awaits a response until the response head is received or the request ends without one.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    /// Number of requests sent that have not ended.
    pub(super) requests: u32,
    /// Number of those whose response head has not been received; at most `requests`.
    pub(super) awaiting_response: u32,
    /// Prompt tokens to prefill for the requests that await a response. Never negative.
    pub(super) pending_prompt_tokens: f64,
    /// When the last byte of any response was received.
    last_received: Duration,
    /// When `awaiting_response` last rose from 0 to 1.
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

    /// Records that the response head of a request was received.
    pub(super) fn record_response_head(&mut self, now: Duration, prefill_tokens: u64) {
        self.last_received = now;
        self.remove_awaiting(prefill_tokens);
    }

    /// Records that bytes of a response body were received.
    pub(super) fn record_response_chunk(&mut self, now: Duration) {
        self.last_received = now;
    }

    /// Records that a request ended. `has_response` is true if its response head had been received.
    pub(super) fn remove_request(&mut self, has_response: bool, prefill_tokens: u64) {
        self.requests = self.requests.saturating_sub(1);
        if !has_response {
            self.remove_awaiting(prefill_tokens);
        }
    }

    /// Returns whether nothing was received since the requests that await a response began to wait.
    pub(super) fn is_silent_since_sending(&self) -> bool {
        self.last_received < self.awaiting_since
    }

    /// Returns whether the endpoint owes responses and has sent nothing for [`STALL_TIMEOUT`].
    pub(super) fn is_stalled(&self, now: Duration) -> bool {
        let last_activity = self.last_received.max(self.awaiting_since);
        self.awaiting_response > 0 && now.saturating_sub(last_activity) > STALL_TIMEOUT
    }

    fn remove_awaiting(&mut self, prefill_tokens: u64) {
        self.pending_prompt_tokens = (self.pending_prompt_tokens - prefill_tokens as f64).max(0.0);
        self.awaiting_response = self.awaiting_response.saturating_sub(1);
    }
}
