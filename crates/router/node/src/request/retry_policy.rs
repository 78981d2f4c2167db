//! Whether a request may be attempted once more, and which failure ends it.
//!
//! What decides is whether the request may already have been executed. 429 and 503 promise the client that it
//! has not been and never will be, so once an endpoint may have executed it only 502 and 504 are left:
//!
//! | what happened | nothing executed | may have been executed |
//! |---|---|---|
//! | deadline passed before an attempt | 503 `NoEndpoint` | 504 `TimedOut` |
//! | admission withdrawn (configuration, key, freshness) | the admission's own failure | 502 `NoAnswer` |
//! | route not idempotent, or its executions used up | attempt | 502 `NoAnswer` |
//! | this process ends before the deadline | 503 `Ending` | attempt |
//! | too many attempts, no endpoint left, or no retry budget | 503 `NoEndpoint` | 502 `NoAnswer` |
//! | deadline passed within an attempt | - | 504 `TimedOut` |
//!
//! The rows are checked in this order.

use crate::responses::Failure;

/// Attempts of one request, refused connections among them. Bounds the work that a request causes while all
/// endpoints reject.
pub const MAX_ATTEMPTS_PER_REQUEST: usize = 4;

/// What the attempts of one request have come to so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Endpoints that were selected, whether or not the request reached them.
    pub attempts: usize,
    /// Attempts that may have been executed.
    pub possibly_executed: u64,
    /// Attempts that endpoints rejected without executing them.
    pub rejected: u64,
}

/// What decides on the next attempt beside the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptConditions {
    /// Whether the route's requests may be executed more than once.
    pub idempotent: bool,
    /// Upper bound of executions on the route.
    pub max_executions: u64,
    /// Whether the graceful shutdown leaves the time until the deadline.
    pub accepted_by_shutdown: bool,
}

impl AttemptHistory {
    /// Whether any endpoint may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.possibly_executed > 0
    }

    /// Whether the next attempt reaches an endpoint after another one did, so that it draws on the retry
    /// budget.
    pub fn next_is_retry(&self) -> bool {
        self.possibly_executed + self.rejected > 0
    }

    /// The deadline has passed between two attempts.
    pub fn deadline_failure(&self) -> Failure {
        if self.may_have_executed() {
            Failure::TimedOut
        } else {
            Failure::NoEndpoint
        }
    }

    /// The configuration in force no longer admits the request.
    pub fn admission_failure(&self, denied: Failure) -> Failure {
        if self.may_have_executed() {
            Failure::NoAnswer
        } else {
            denied
        }
    }

    /// No further endpoint can be attempted.
    pub fn exhausted_failure(&self) -> Failure {
        if self.may_have_executed() {
            Failure::NoAnswer
        } else {
            Failure::NoEndpoint
        }
    }

    /// Whether one more attempt may begin.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the request.
    pub fn check_next(&self, conditions: &AttemptConditions) -> Result<(), Failure> {
        if self.may_have_executed() {
            if !conditions.idempotent || self.possibly_executed >= conditions.max_executions {
                return Err(Failure::NoAnswer);
            }
        } else if !conditions.accepted_by_shutdown {
            return Err(Failure::Ending);
        }
        if self.attempts >= MAX_ATTEMPTS_PER_REQUEST {
            return Err(self.exhausted_failure());
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "retry_policy/tests.rs"]
mod tests;
