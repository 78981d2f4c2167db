//! How many requests were denied (401, 404), by whether the configuration was known to be current at that moment.
//!
//! A denial by a configuration that is no longer in force is an error that clients don't retry; the two counters tell it from one
//! that the operators wanted.

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
