//! How many requests the configuration denied, by whether it was known to be current at that moment.
//!
//! Only then are they answered with 401 or 404, which clients don't retry; the others get 503 and come again.

use std::cell::Cell;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Denials {
    /// By a configuration that was proven current within the bound for changes to be in force.
    pub proven: Cell<u64>,
    /// By one whose last proof was older.
    pub unproven: Cell<u64>,
}

impl Denials {
    /// Counts a denial.
    pub fn record(&self, is_proven: bool) {
        let counter = if is_proven { &self.proven } else { &self.unproven };
        counter.set(counter.get() + 1);
    }
}
