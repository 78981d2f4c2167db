//! What a protocol does for the dispatcher: answers, timers and attempts.

use crate::api::{RequestId, UpstreamId};

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The node's answer to this attempt, unchanged.
    Served {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Rejected; a retry by the client is harmless.
    Rejected {
        /// Seconds after which the client may retry, if that is to be sent.
        retry_after: Option<f64>,
    },
    /// Failed; a retry by the client may run the request again.
    Failed {
        /// It timed out.
        timed_out: bool,
    },
    /// Failed: the request itself is invalid.
    Invalid,
}

/// A timer, which the transport passes back to [`Dispatcher::timer_fired`](super::Dispatcher::timer_fired).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    /// A wake-up of the decider, with its token.
    Wake(u64),
    /// The client of this request gives up.
    Deadline(RequestId),
    /// Time-out of one attempt.
    AttemptTimeout(RequestId, u32),
}

/// What a protocol does for the dispatcher. No call may call back into the dispatcher.
pub trait Transport {
    /// Sends an attempt. Unless it is cancelled, one [`Dispatcher::attempt_ended`](super::Dispatcher::attempt_ended) must follow.
    fn send(&mut self, id: RequestId, attempt: u32, to: UpstreamId);
    /// Cancels an attempt, whose outcome must not be reported any more.
    fn cancel(&mut self, id: RequestId, attempt: u32);
    /// Gives the client its one final answer.
    fn answer(&mut self, id: RequestId, answer: Answer);
    /// Sends a health check to a node; one [`Dispatcher::health_check_ended`](super::Dispatcher::health_check_ended) must follow.
    fn health_check(&mut self, node: UpstreamId);
    /// Subscribes to changes of the endpoint list.
    fn subscribe(&mut self);
    /// Sets a timer for the first tick at or after this time.
    fn set_timer(&mut self, at: f64, timer: Timer);
}
