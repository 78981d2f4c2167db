//! Requests that endpoints execute. Some answers are lost, and the sidecar then repeats the request if it may.
//!
//! The configuration may change while a request is in flight. The checker is told of each execution with the type of the
//! route that the request was sent under.

use super::sidecar::ClientRequest;
use super::{LimitHistory, LimitMutation};
use passrelay_data_plane::execution_limits::ExecutionLimits;
use rand::Rng;
use std::time::Duration;

/// Upper bound of the time that an execution takes, in milliseconds.
const MAX_EXECUTION_MS: u64 = 1_500;
/// Probability that the answer of an execution is lost.
const LOST_ANSWER_PROBABILITY: f64 = 0.2;

/// A request that an endpoint executes.
pub(super) struct Execution {
    request: ClientRequest,
    /// Number of the request in the history.
    number: u64,
    /// What the routes allow under which the request was admitted.
    limits: ExecutionLimits,
    /// Number of executions so far, including this one.
    executions: u64,
    /// Time on the process's local clock.
    ends_at: Duration,
}

impl LimitHistory {
    /// Begins the first execution of a request, or the next one after `previous`.
    pub(super) fn execute(&mut self, machine: usize, request: ClientRequest, previous: Option<Execution>) {
        let Some(found) = self.sidecar(machine).find(&request.key) else { return };
        let is_idempotent = found.route.is_idempotent();
        let limits = match &previous {
            Some(previous) => previous.limits.restricted_by(found.route),
            None => ExecutionLimits::of(found.route),
        };
        if previous.is_none() {
            self.request_count += 1;
        }
        let number = previous.as_ref().map_or(self.request_count, |previous| previous.number);
        let executions = previous.map_or(0, |previous| previous.executions) + 1;
        self.checker.request_executed(number, is_idempotent);
        let duration = Duration::from_millis(self.cluster.rng.random_range(0..MAX_EXECUTION_MS));
        let ends_at = self.cluster.local_now(machine) + duration;
        self.sidecar(machine).executing.push(Execution { request, number, limits, executions, ends_at });
    }

    /// Ends the executions that are over by `now`, and repeats those whose answer is lost if they may be.
    pub(super) fn end_executions(&mut self, machine: usize, now: Duration) {
        for execution in std::mem::take(&mut self.sidecar(machine).executing) {
            if execution.ends_at > now {
                self.sidecar(machine).executing.push(execution);
            } else if self.cluster.rng.random_bool(LOST_ANSWER_PROBABILITY) {
                self.repeat(machine, execution);
            }
        }
    }

    fn repeat(&mut self, machine: usize, execution: Execution) {
        if !self.may_send(machine, &execution.request.key) {
            return;
        }
        let by_newest_route = self.settings.mutation == Some(LimitMutation::RepeatsByNewestRoute);
        let Some(found) = self.sidecar(machine).find(&execution.request.key) else { return };
        let limits = if by_newest_route {
            ExecutionLimits::of(found.route)
        } else {
            execution.limits.restricted_by(found.route)
        };
        if limits.allow_repeat(execution.executions) && self.sidecar(machine).may_retry() {
            self.checker.retry_sent(self.cluster.now());
            self.outcome.repeated += 1;
            self.execute(machine, execution.request.clone(), Some(execution));
        }
    }
}
