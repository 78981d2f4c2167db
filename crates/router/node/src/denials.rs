//! Counts the requests denied by the configuration, by whether it was known to be current at that moment.
//!
//! Only if it was is the response 401 or 404, which clients do not retry. Otherwise the response is 503, so that
//! clients retry.

use std::cell::Cell;

/// Denied requests since the start of the process.
#[derive(Debug, Default)]
pub struct Denials {
    /// Requests denied by a configuration proven to be current within the bound for applying changes.
    pub proven: Cell<u64>,
    /// Requests denied by a configuration whose last proof was older than that.
    pub unproven: Cell<u64>,
}

impl Denials {
    /// Counts a denial.
    pub fn record(&self, is_proven: bool) {
        let counter = if is_proven { &self.proven } else { &self.unproven };
        counter.set(counter.get() + 1);
    }
}
