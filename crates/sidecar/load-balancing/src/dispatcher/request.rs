//! State of a request between its arrival and the outcome of its last attempt.

use crate::api::{Ending, Idempotency, UpstreamId};

/// A request that is owed one final answer, or has an attempt in flight.
pub(super) struct Request {
    /// When the client gives up.
    pub deadline: f64,
    /// It has had its final answer, or its client has disconnected.
    pub answered: bool,
    /// Maximum number of attempts by the settings of its arrival: a later generation does not change it.
    pub max_attempts: usize,
    /// What its class allowed at its arrival after an attempt that may have run.
    pub idempotency: Idempotency,
    /// By number of the attempt.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
pub(super) struct Attempt {
    pub to: UpstreamId,
    pub sent_at: f64,
    /// Without an outcome so far. At most one outcome is reported to the decider.
    pub in_flight: bool,
    /// Unless the outcome proved otherwise.
    pub may_have_run: bool,
    pub ending: Option<Ending>,
}

impl Request {
    /// Whether this attempt has no outcome so far.
    pub fn is_in_flight(&self, attempt: u32) -> bool {
        self.attempts.get(attempt as usize).is_some_and(|attempt| attempt.in_flight)
    }

    /// Whether nothing is owed and no outcome is due.
    pub fn is_finished(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt timed out.
    pub fn has_expired(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.ending == Some(Ending::TimedOut))
    }

    /// Numbers of the attempts in flight.
    pub fn attempts_in_flight(&self) -> Vec<u32> {
        (0..self.attempts.len() as u32).filter(|attempt| self.is_in_flight(*attempt)).collect()
    }
}
