//! Decides whether a request may be attempted again and which failure ends it otherwise.
//!
//! The decision depends on whether the request may already have been executed. Status codes 429 and 503 promise the
//! client that the request has not been and will not be executed, so once an endpoint may have executed it, only 502
//! and 504 may be returned:
//!
//! | condition | not executed | possibly executed |
//! |---|---|---|
//! | deadline passed before an attempt | 503 `NoEndpoint` | 504 `TimedOut` |
//! | admission withdrawn (configuration, key, freshness) | the admission's own failure | 502 `NoResponse` |
//! | not idempotent, or its executions exhausted | attempt | 502 `NoResponse` |
//! | this process ends before the deadline | 503 `ShuttingDown` | attempt |
//! | too many attempts, no endpoint left, or no retry budget | 503 `NoEndpoint` | 502 `NoResponse` |
//! | deadline passed during an attempt | - | 504 `TimedOut` |
//!
//! The rows are checked in this order.
//!
//! The configuration may change while a request is in flight. What a request may do is what every route under which it
//! was admitted allows ([`ExecutionLimits`]): an endpoint may be executing it under the permission of the first one, and
//! the next attempt is sent under that of the last one.

use crate::responses::Failure;
use passrelay_data_plane::execution_limits::ExecutionLimits;

/// Maximum number of attempts of one request, including refused connections. Bounds the work that a request
/// causes while all endpoints reject requests.
pub const MAX_ATTEMPTS_PER_REQUEST: usize = 4;

/// The results of a request's attempts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of selected endpoints, whether or not the request reached them.
    pub attempts: usize,
    /// Number of attempts that endpoints may have executed.
    pub possibly_executed: u64,
    /// Number of attempts that endpoints rejected without executing them.
    pub rejected: u64,
}

/// The conditions for the next attempt, apart from the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptConditions {
    /// Limits of all routes under which the request was admitted.
    pub limits: ExecutionLimits,
    /// Whether a graceful shutdown, if any, leaves enough time until the deadline.
    pub accepted_by_shutdown: bool,
}

impl AttemptHistory {
    /// Returns whether any endpoint may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.possibly_executed > 0
    }

    /// Returns whether the request has already reached an endpoint, so that the next attempt is charged to the retry
    /// budget.
    pub fn next_is_retry(&self) -> bool {
        self.possibly_executed + self.rejected > 0
    }

    /// Returns the failure if the deadline has passed between two attempts.
    pub fn deadline_failure(&self) -> Failure {
        if self.may_have_executed() {
            Failure::TimedOut
        } else {
            Failure::NoEndpoint
        }
    }

    /// Returns the failure if the configuration in force no longer admits the request.
    pub fn admission_failure(&self, denied: Failure) -> Failure {
        if self.may_have_executed() {
            Failure::NoResponse
        } else {
            denied
        }
    }

    /// Returns the failure if no further endpoint can be attempted.
    pub fn exhausted_failure(&self) -> Failure {
        if self.may_have_executed() {
            Failure::NoResponse
        } else {
            Failure::NoEndpoint
        }
    }

    /// Checks whether another attempt may begin.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the request.
    pub fn check_next(&self, conditions: &AttemptConditions) -> Result<(), Failure> {
        if self.may_have_executed() {
            if !conditions.limits.allow_repeat(self.possibly_executed) {
                return Err(Failure::NoResponse);
            }
        } else if !conditions.accepted_by_shutdown {
            return Err(Failure::ShuttingDown);
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
