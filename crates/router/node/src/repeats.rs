//! Counts the requests that an endpoint may have executed and that were, or were not, sent again.
//!
//! Together with the configuration's index they tell whether a configuration change affected requests in flight.

use std::cell::Cell;

/// Repeated requests since the start of the process.
#[derive(Debug, Default)]
pub struct Repeats {
    /// Attempts sent after an attempt that may have been executed.
    pub sent: Cell<u64>,
    /// Requests that were not sent again because of an earlier configuration, although the one in force allows it.
    pub withheld: Cell<u64>,
}

impl Repeats {
    /// Counts an attempt that is sent although the request may already have been executed.
    pub fn record_sent(&self) {
        self.sent.set(self.sent.get() + 1);
    }

    /// Counts a request that only the configuration in force would allow to be sent again.
    pub fn record_withheld(&self) {
        self.withheld.set(self.withheld.get() + 1);
    }
}
