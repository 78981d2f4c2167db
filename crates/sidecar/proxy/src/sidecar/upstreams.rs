//! Events of connections to nodes.

use super::Sidecar;
use crate::connections::generation;
use crate::pool::{Attempt, AttemptResult, Blame, Phase, UpstreamConnection};
use passrelay_load_balancing::Ending;

impl Sidecar {
    /// Readiness of a connection to a node, or of an earlier one in the same slot, which is ignored.
    pub(super) fn upstream_event(&mut self, key: usize, of: usize) {
        if self.connections.upstreams.get(key).is_some_and(|b| generation(b.number) == of) {
            self.upstream_ready(key);
        }
    }

    fn upstream_ready(&mut self, key: usize) {
        let Some(upstream) = self.connections.upstreams.get_mut(key) else { return };
        match upstream.phase {
            Phase::Dialing => match upstream.on_dialed() {
                None => {}
                Some(Ok(())) => self.dialed(key),
                Some(Err(_)) if upstream.is_late() => self.connections.close_upstream(key),
                Some(Err(_)) => self.connections.end_attempt(key, Ending::ConnectFailed),
            },
            Phase::Busy => {
                if let Some(end) = upstream.on_ready() {
                    self.returned(key, end);
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
        let held = |b: &UpstreamConnection| b.held && b.attempt == Some(attempt);
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
                self.returned(key, end);
            }
        }
    }

    /// Whether an attempt may still be sent.
    fn is_wanted(&self, attempt: Attempt) -> bool {
        match attempt {
            Attempt::Request { id, number } => {
                self.dispatcher.may_send(self.connections.now, id, number).is_some()
            }
            Attempt::Probe { .. } => true,
        }
    }

    /// A connection is established: sends its attempt, unless that is no longer wanted.
    fn dialed(&mut self, key: usize) {
        // Late, and good for the next attempt.
        let Some(attempt) = self.connections.upstreams[key].attempt else {
            return self.connections.return_to_pool(key);
        };
        // Guards against a send to where the node no longer is.
        if self.connections.has_moved(key) {
            return self.connections.withdraw_unsent(key);
        }
        if self.is_wanted(attempt) && self.connections.load_upstream(key, attempt) {
            if let Some(end) = self.connections.upstreams[key].on_ready() {
                self.returned(key, end);
            }
        } else if let Some((node, attempt)) = self.connections.free_upstream(key, true) {
            self.connections.report_outcome(node, attempt, Ending::NotSent);
        }
    }

    /// Handles the result of an attempt.
    pub(super) fn returned(&mut self, key: usize, end: AttemptResult) {
        let now = self.connections.now;
        let AttemptResult { ending, report, load, reusable, blame, stream } = end;
        if stream {
            // Served, and larger than a buffer: the upstream stays up to pass the rest on, if the dispatcher serves it.
            if let Some((_, Attempt::Request { id, number })) = self.connections.hold_upstream(key) {
                self.connections.stream = Some(key);
                self.dispatcher.attempt_ended(now, id, number, ending, report, &mut self.connections);
            }
            if let Some(key) = self.connections.stream.take() {
                self.connections.close_upstream(key);
            }
            return;
        }
        let Some((node, attempt)) = self.connections.free_upstream(key, reusable) else {
            return load.into_iter().for_each(|l| self.connections.buffers.give_back(l.buffer));
        };
        self.connections.log_failed_attempt(node, ending, blame);
        let ending = self.connections.attribute_failure(node, ending);
        match attempt {
            Attempt::Request { id, number } if blame == Blame::RejectedRequest => {
                load.into_iter().for_each(|l| self.connections.buffers.give_back(l.buffer));
                self.dispatcher.fail_invalid(now, id, number, &mut self.connections);
            }
            Attempt::Request { id, number } => {
                self.connections.load = load;
                self.dispatcher.attempt_ended(now, id, number, ending, report, &mut self.connections);
            }
            Attempt::Probe { sent } => {
                self.connections.load = load;
                self.dispatcher.health_check_ended(
                    now,
                    node,
                    ending,
                    now - sent,
                    report,
                    &mut self.connections,
                );
            }
        }
        // Not served: the client had left, or it was no answer to serve.
        self.connections.load.take().into_iter().for_each(|l| self.connections.buffers.give_back(l.buffer));
    }
}
