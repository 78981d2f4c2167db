//! Digest requests whose responses are outstanding.

use std::collections::BTreeMap;
use std::time::Duration;

/// Bound of the requests that are remembered. A response to an evicted request is ignored, as if it had been lost.
const MAX_PENDING_REQUESTS: usize = 32;

/// Send time of each outstanding request, by request id.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    /// At most [`MAX_PENDING_REQUESTS`]; ids increase, so the first entry is the oldest request.
    sent_at: BTreeMap<u64, Duration>,
    last_id: u64,
}

impl PendingRequests {
    /// Registers a request that is sent now and returns its id. The oldest requests beyond the bound are evicted.
    pub(super) fn register(&mut self, now: Duration) -> u64 {
        self.last_id += 1;
        self.sent_at.insert(self.last_id, now);
        while self.sent_at.len() > MAX_PENDING_REQUESTS {
            self.sent_at.pop_first();
        }
        self.last_id
    }

    /// Takes the request that a response belongs to and returns when it was sent; None for a duplicate or an evicted one.
    pub(super) fn complete(&mut self, id: u64) -> Option<Duration> {
        self.sent_at.remove(&id)
    }
}
