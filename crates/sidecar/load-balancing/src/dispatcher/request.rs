//! The dispatcher's state of a request, from its arrival to the outcome of its last attempt.

use crate::api::{Ending, Idempotency, UpstreamId};

/// A request that has no final answer yet or has an attempt in flight.
pub(super) struct Request {
    /// When the client gives up, in seconds on the caller's clock.
    pub deadline: f64,
    /// Whether the request has got its final answer or its client has disconnected.
    pub answered: bool,
    /// Maximum number of attempts, by the settings at the time of arrival; later settings do not change it.
    pub max_attempts: usize,
    /// Idempotency of the class, by the settings at the time of arrival; later settings do not change it.
    pub idempotency: Idempotency,
    /// Attempts in the order of their numbers.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
pub(super) struct Attempt {
    pub upstream: UpstreamId,
    pub sent_at: f64,
    /// Whether the attempt has no outcome yet. At most one outcome is reported to the decider.
    pub in_flight: bool,
    /// Whether the upstream may have run the request; `false` only if the outcome proves that it has not.
    pub may_have_run: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub ending: Option<Ending>,
}

impl Request {
    /// Returns whether this attempt exists and has no outcome yet.
    pub fn is_in_flight(&self, attempt: u32) -> bool {
        self.attempts.get(attempt as usize).is_some_and(|attempt| attempt.in_flight)
    }

    /// Returns whether the request needs no answer and has no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Returns whether any attempt has timed out.
    pub fn has_timed_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.ending == Some(Ending::TimedOut))
    }

    /// Returns the numbers of the attempts in flight.
    pub fn attempts_in_flight(&self) -> Vec<u32> {
        (0..self.attempts.len() as u32).filter(|attempt| self.is_in_flight(*attempt)).collect()
    }
}
