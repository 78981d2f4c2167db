//! Events of connections to nodes.

use super::Sidecar;
use crate::connections::generation;
use crate::pool::{Attempt, AttemptResult, Blame, Phase, UpstreamConnection};
use passrelay_load_balancing::Ending;

impl Sidecar {
    /// Readiness of a connection to a node, or of an earlier one in the same slot, which is ignored.
    pub(super) fn upstream_event(&mut self, key: usize, of: usize) {
        if self.connections.upstreams.get(key).is_some_and(|upstream| generation(upstream.serial) == of) {
            self.upstream_ready(key);
        }
    }

    fn upstream_ready(&mut self, key: usize) {
        let Some(upstream) = self.connections.upstreams.get_mut(key) else { return };
        match upstream.phase {
            Phase::Connecting => match upstream.poll_connected() {
                None => {}
                Some(Ok(())) => self.upstream_connected(key),
                Some(Err(_)) if upstream.is_late() => self.connections.close_upstream(key),
                Some(Err(_)) => self.connections.end_attempt(key, Ending::DialFailed),
            },
            Phase::Busy => {
                if let Some(end) = upstream.on_ready() {
                    self.handle_result(key, end);
                }
            }
            Phase::Idle => {
                if !upstream.has_no_unread_input() {
                    self.connections.close_upstream(key);
                }
            }
            Phase::Relaying => self.connections.pump(key),
        }
    }

    /// Sends the held last byte, if the attempt is still wanted and its connection has shown no fault.
    pub(super) fn send_held_byte(&mut self, key: usize, attempt: Attempt) {
        let held = |upstream: &UpstreamConnection| upstream.held && upstream.attempt == Some(attempt);
        if self.connections.upstreams.get(key).is_some_and(held) {
            // Meanwhile its client may have left, or the node been told to drain.
            if !self.is_wanted(attempt) {
                return self.connections.withdraw_unsent(key);
            }
            let Some(upstream) = self.connections.upstreams.get_mut(key) else { return };
            // The check comes before the byte; what breaks after it may have run.
            let end = upstream.on_ready();
            upstream.held = false;
            if let Some(end) = end.or_else(|| upstream.on_ready()) {
                self.handle_result(key, end);
            }
        }
    }

    /// Whether an attempt may still be sent.
    fn is_wanted(&self, attempt: Attempt) -> bool {
        match attempt {
            Attempt::Request { id, number } => {
                self.dispatcher.may_send(self.connections.now, id, number).is_some()
            }
            Attempt::HealthCheck { .. } => true,
        }
    }

    /// A connection is established: sends its attempt, unless that is no longer wanted.
    fn upstream_connected(&mut self, key: usize) {
        // Late, and good for the next attempt.
        let Some(attempt) = self.connections.upstreams[key].attempt else {
            return self.connections.return_to_pool(key);
        };
        // Guards against a send to where the node no longer is.
        if self.connections.has_moved(key) {
            return self.connections.withdraw_unsent(key);
        }
        if self.is_wanted(attempt) && self.connections.write_attempt(key, attempt) {
            if let Some(end) = self.connections.upstreams[key].on_ready() {
                self.handle_result(key, end);
            }
        } else if let Some((node, attempt)) = self.connections.finish_attempt(key, true) {
            self.connections.report_outcome(node, attempt, Ending::Unused);
        }
    }

    /// Handles the result of an attempt.
    pub(super) fn handle_result(&mut self, key: usize, end: AttemptResult) {
        let now = self.connections.now;
        let AttemptResult { ending, report, body, reusable, blame, streamed } = end;
        if streamed {
            // Served, and larger than a buffer: the upstream stays up to pass the rest on, if the dispatcher serves it.
            if let Some((_, Attempt::Request { id, number })) = self.connections.detach_attempt(key) {
                self.connections.streamed_upstream = Some(key);
                self.dispatcher.outcome(now, id, number, ending, report, &mut self.connections);
            }
            if let Some(key) = self.connections.streamed_upstream.take() {
                self.connections.close_upstream(key);
            }
            return;
        }
        let Some((node, attempt)) = self.connections.finish_attempt(key, reusable) else {
            return body.into_iter().for_each(|body| self.connections.buffers.release(body.buffer));
        };
        self.connections.log_failed_attempt(node, ending, blame);
        let ending = self.connections.attribute_failure(node, ending);
        match attempt {
            Attempt::Request { id, number } if blame == Blame::RejectedRequest => {
                body.into_iter().for_each(|body| self.connections.buffers.release(body.buffer));
                self.dispatcher.reject_invalid(now, id, number, &mut self.connections);
            }
            Attempt::Request { id, number } => {
                self.connections.response_body = body;
                self.dispatcher.outcome(now, id, number, ending, report, &mut self.connections);
            }
            Attempt::HealthCheck { sent_at } => {
                self.connections.response_body = body;
                self.dispatcher.health_check_ended(
                    now,
                    node,
                    ending,
                    now - sent_at,
                    report,
                    &mut self.connections,
                );
            }
        }
        // Not served: the client had left, or it was no answer to serve.
        self.connections
            .response_body
            .take()
            .into_iter()
            .for_each(|body| self.connections.buffers.release(body.buffer));
    }
}
