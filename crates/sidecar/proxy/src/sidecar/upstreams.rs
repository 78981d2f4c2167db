//! Events on connections to nodes.

use super::Sidecar;
use crate::connections::generation;
use crate::pool::{Attempt, AttemptResult, Blame, Phase, UpstreamConnection};
use passrelay_load_balancing::Ending;

impl Sidecar {
    /// Handles readiness of an upstream connection. An event of an earlier connection in the same slot is
    /// ignored.
    pub(super) fn upstream_event(&mut self, key: usize, event_generation: usize) {
        if self
            .connections
            .upstreams
            .get(key)
            .is_some_and(|upstream| generation(upstream.serial) == event_generation)
        {
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
                Some(Err(_)) => self.connections.end_attempt(key, Ending::ConnectFailed),
            },
            Phase::Busy => {
                if let Some(result) = upstream.on_ready() {
                    self.handle_result(key, result);
                }
            }
            Phase::Idle => {
                if !upstream.is_quiet() {
                    self.connections.close_upstream(key);
                }
            }
            Phase::Relaying => self.connections.pump_relay(key),
        }
    }

    /// Sends the last byte that was held back, if the attempt is still wanted and its connection has shown no
    /// failure.
    pub(super) fn send_held_byte(&mut self, key: usize, attempt: Attempt) {
        let is_held =
            |upstream: &UpstreamConnection| upstream.last_byte_held && upstream.attempt == Some(attempt);
        if self.connections.upstreams.get(key).is_some_and(is_held) {
            // Meanwhile the client may have disconnected or the node may have begun to drain.
            if !self.is_wanted(attempt) {
                return self.connections.withdraw_unsent(key);
            }
            let Some(upstream) = self.connections.upstreams.get_mut(key) else { return };
            // The connection is checked before the byte is sent: if it fails afterwards, the request may have
            // been executed.
            let result = upstream.on_ready();
            upstream.last_byte_held = false;
            if let Some(result) = result.or_else(|| upstream.on_ready()) {
                self.handle_result(key, result);
            }
        }
    }

    /// Returns whether an attempt may still be sent.
    fn is_wanted(&self, attempt: Attempt) -> bool {
        match attempt {
            Attempt::Request { id, number } => {
                self.dispatcher.may_send(self.connections.now, id, number).is_some()
            }
            Attempt::HealthCheck { .. } => true,
        }
    }

    /// Handles an established connection: sends its attempt, unless that is no longer wanted.
    fn upstream_connected(&mut self, key: usize) {
        // The connection missed its connect timeout; the next attempt can use it.
        let Some(attempt) = self.connections.upstreams[key].attempt else {
            return self.connections.return_to_pool(key);
        };
        // The node is no longer at the address of this connection.
        if self.connections.has_moved(key) {
            return self.connections.withdraw_unsent(key);
        }
        if self.is_wanted(attempt) && self.connections.write_attempt(key, attempt) {
            if let Some(result) = self.connections.upstreams[key].on_ready() {
                self.handle_result(key, result);
            }
        } else if let Some((node, attempt)) = self.connections.finish_attempt(key, true) {
            self.connections.report_outcome(node, attempt, Ending::NotSent);
        }
    }

    /// Handles the result of an attempt.
    pub(super) fn handle_result(&mut self, key: usize, result: AttemptResult) {
        let now = self.connections.now;
        let AttemptResult { ending, report, body, reusable, blame, streamed } = result;
        if streamed {
            // A served response larger than a buffer: the connection stays open to stream the rest, if the
            // dispatcher serves it.
            if let Some((_, Attempt::Request { id, number })) = self.connections.detach_attempt(key) {
                self.connections.streamed_upstream = Some(key);
                self.dispatcher.attempt_ended(now, id, number, ending, report, &mut self.connections);
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
                self.dispatcher.fail_invalid(now, id, number, &mut self.connections);
            }
            Attempt::Request { id, number } => {
                self.connections.response_body = body;
                self.dispatcher.attempt_ended(now, id, number, ending, report, &mut self.connections);
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
        // The body is left over if the client had disconnected or the response is not served.
        self.connections
            .response_body
            .take()
            .into_iter()
            .for_each(|body| self.connections.buffers.release(body.buffer));
    }
}
