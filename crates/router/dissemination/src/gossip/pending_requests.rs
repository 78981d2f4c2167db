//! Outstanding digest requests.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of outstanding requests. A response to an evicted request is ignored, as if it had been lost.
const MAX_PENDING_REQUESTS: usize = 32;

/// Send time of each outstanding request, by request id.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    /// At most [`MAX_PENDING_REQUESTS`] entries. Ids increase, so the first entry is the oldest request.
    sent_at: BTreeMap<u64, Duration>,
    last_id: u64,
}

impl PendingRequests {
    /// Registers a request sent at `now` and returns its id. Evicts the oldest requests beyond [`MAX_PENDING_REQUESTS`].
    pub(super) fn register(&mut self, now: Duration) -> u64 {
        self.last_id += 1;
        self.sent_at.insert(self.last_id, now);
        while self.sent_at.len() > MAX_PENDING_REQUESTS {
            self.sent_at.pop_first();
        }
        self.last_id
    }

    /// Removes the request that a response belongs to and returns its send time. Returns `None` for a duplicate response or an
    /// evicted request.
    pub(super) fn complete(&mut self, id: u64) -> Option<Duration> {
        self.sent_at.remove(&id)
    }
}
