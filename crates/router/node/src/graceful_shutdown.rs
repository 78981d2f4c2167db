//! The planned end of a process: which requests are still taken after SIGTERM, and when the last answers are due.
//!
//! The platform needs some seconds until it sends clients elsewhere, and uses a machine that is not ready all the same
//! where few others are left. So requests go on coming up to the end. Those that come early are taken whatever they
//! need; a later one only if its time is over before the process ends, so that none is cut off without an answer.

use std::time::Duration;

/// Requests that come within this time after SIGTERM are taken however long they may last. The bound of the rules is 3 s
/// from the signal to the sending of the request; the margin covers a signal that is handled late.
const ALL_TAKEN_FOR: Duration = Duration::from_millis(2_700);
/// What is left of the grace time when the process ends whatever it still has.
const SPARE: Duration = Duration::from_millis(400);
/// Requests without any answer get a final one this long before the process ends.
const LAST_ANSWERS_BEFORE: Duration = Duration::from_millis(150);

/// The planned end of one process, on its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedEnd {
    all_taken_until: Duration,
    ends_at: Duration,
}

impl PlannedEnd {
    /// The end of a process that got SIGTERM at a time and gets SIGKILL `grace` later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        PlannedEnd {
            all_taken_until: signalled_at + ALL_TAKEN_FOR.min(grace / 2),
            ends_at: signalled_at + grace.saturating_sub(SPARE),
        }
    }

    /// When the process ends at the latest.
    pub fn ends_at(&self) -> Duration {
        self.ends_at
    }

    /// When every request has to have a final answer or the beginning of one.
    pub fn last_answers_at(&self) -> Duration {
        self.ends_at.saturating_sub(LAST_ANSWERS_BEFORE)
    }

    /// Whether a request that is to be sent on now, and whose time is over at `deadline`, is taken.
    pub fn takes(&self, now: Duration, deadline: Duration) -> bool {
        now < self.all_taken_until || deadline <= self.last_answers_at()
    }
}

#[cfg(test)]
#[path = "graceful_shutdown/tests.rs"]
mod tests;
