//! The interface between the dispatcher and a protocol implementation: answers, timers and attempts.

use crate::api::{RequestId, UpstreamId};

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The upstream's answer to this attempt, to be passed on unchanged.
    Served {
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// The request was rejected; a retry by the client is harmless.
    Rejected {
        /// Seconds after which the client may retry; `None` if the answer carries no such time.
        retry_after: Option<f64>,
    },
    /// The request failed; a retry by the client may run it a second time.
    Failed {
        /// Whether the failure is due to a time-out.
        timed_out: bool,
    },
    /// The request failed because it is itself invalid.
    Invalid,
}

/// A timer set with [`Transport::set_timer`], which the transport passes back to
/// [`Dispatcher::timer_fired`](super::Dispatcher::timer_fired).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    /// A wake-up requested by the decider, with its token.
    Wake(u64),
    /// The deadline of this request, at which its client gives up.
    Deadline(RequestId),
    /// The time-out of one attempt, by its number.
    AttemptTimeout(RequestId, u32),
}

/// Carries out the dispatcher's actions for one protocol. No method may call back into the dispatcher.
pub trait Transport {
    /// Sends an attempt. Unless the attempt is cancelled, one call of
    /// [`Dispatcher::attempt_ended`](super::Dispatcher::attempt_ended) must follow.
    fn send(&mut self, id: RequestId, attempt: u32, upstream: UpstreamId);
    /// Cancels an attempt. Its outcome must not be reported after this.
    fn cancel(&mut self, id: RequestId, attempt: u32);
    /// Sends the client the final answer; called at most once for each request.
    fn answer(&mut self, id: RequestId, answer: Answer);
    /// Sends a health check to an upstream. One call of
    /// [`Dispatcher::health_check_ended`](super::Dispatcher::health_check_ended) must follow.
    fn health_check(&mut self, upstream: UpstreamId);
    /// Subscribes to changes of the endpoint list.
    fn subscribe(&mut self);
    /// Sets a timer that fires at the first tick at or after `at`.
    fn set_timer(&mut self, at: f64, timer: Timer);
}
