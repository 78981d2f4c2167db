//! Connections to nodes: attempts and health checks, reuse of idle connections, and the reporting of failures
//! to the dispatcher.

use super::tokens::upstream_token;
use super::{ConnectionEvent, Connections, Timer};
use crate::buffer_pool::Buffer;
use crate::pool::{Attempt, Blame, ConnectionPool, Phase, UpstreamConnection};
use crate::receive_buffer;
use mio::net::TcpStream;
use mio::Interest;
use passrelay_load_balancing::{Ending, RequestId, UpstreamId};
use std::collections::HashSet;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Timeout of a health check, in seconds.
const HEALTH_CHECK_TIMEOUT_S: f64 = 1.0;
/// A connection that missed the connect timeout stays open this much longer, in seconds, without an attempt;
/// the next attempt may use it once it is established.
const LATE_CONNECT_TIMEOUT_S: f64 = 2.0;
/// Maximum number of such late connections to one node.
const MAX_LATE_CONNECTIONS: usize = 2;
/// Minimum time between a response and the last byte of the next request on the same connection, in seconds:
/// three times the measured delay of erroneous second responses (1 to 4 ms), which would be taken for the
/// next request's.
const MIN_REST_S: f64 = 0.012;
/// With this many connections to one node in that minimum time, a new connection is opened instead of
/// waiting.
const MAX_RESTING_CONNECTIONS: usize = 4;
/// On a connection idle for this long, in seconds, the last byte of a request that must not run twice is held
/// back for [`LAST_BYTE_DELAY_S`].
const HOLD_LAST_BYTE_AFTER_IDLE_S: f64 = 0.05;
/// Delay of such a last byte, in seconds, so that a dead connection shows before the request can run. A round
/// trip inside the data centre takes well under a millisecond.
const LAST_BYTE_DELAY_S: f64 = 0.002;

impl Connections {
    /// Serializes the request for a node. Returns `None` if its client has disconnected or it does not fit a
    /// buffer.
    fn write_request(&mut self, id: RequestId, address: SocketAddr) -> Option<Buffer> {
        let pending = self.pending_requests.get(&id)?;
        let body = self.clients.get(pending.client)?.request_body();
        let mut buffer = self.buffers.acquire();
        let head = &pending.head;
        let remaining = (pending.deadline - self.now).max(0.001);
        let mut serialize = || -> io::Result<()> {
            write!(buffer, "{} {} HTTP/1.1\r\nHost: {address}\r\n", head.method, head.target)?;
            for (name, value) in head.forwarded_headers().filter(|(name, _)| name != "x-budget") {
                write!(buffer, "{name}: {value}\r\n")?;
            }
            write!(buffer, "x-budget: {remaining:.3}\r\n")?;
            if !body.is_empty() || head.method != "GET" {
                write!(buffer, "content-length: {}\r\n", body.len())?;
            }
            buffer.write_all(b"\r\n")?;
            buffer.write_all(body)
        };
        match serialize() {
            Ok(()) => Some(buffer),
            Err(_) => {
                self.buffers.release(buffer);
                None
            }
        }
    }

    fn write_health_check(&mut self, address: SocketAddr) -> Option<Buffer> {
        let mut buffer = self.buffers.acquire();
        write!(buffer, "GET /status/load HTTP/1.1\r\nHost: {address}\r\n\r\n").ok()?;
        Some(buffer)
    }

    /// Starts an attempt on an established connection. Returns false if the attempt must not be sent any
    /// more.
    pub fn write_attempt(&mut self, key: usize, attempt: Attempt) -> bool {
        let Some(address) = self.upstreams.get(key).map(|upstream| upstream.address) else { return false };
        let buffer = match attempt {
            Attempt::Request { id, .. } => self.write_request(id, address),
            Attempt::HealthCheck { .. } => self.write_health_check(address),
        };
        let Some(buffer) = buffer else { return false };
        self.upstreams[key].start_attempt(self.now, attempt, buffer);
        true
    }

    /// Removes and returns the pooled connection for the next attempt to a node, if there is one: the most
    /// recently used one that has rested for [`MIN_REST_S`], or else the one that has rested longest, whose
    /// request is held back until it has. Otherwise a response to the previous attempt that the node sends
    /// once more some milliseconds later would be taken for the response to this one. If
    /// [`MAX_RESTING_CONNECTIONS`] are resting, attempts follow each other so fast that a new connection
    /// serves better than waiting, as long as the limit of connections allows one.
    fn pick_idle(&mut self, node: UpstreamId) -> Option<usize> {
        loop {
            let idle = &self.pools.by_node.get(&node)?.idle;
            let rested = |key: &usize| {
                self.upstreams.get(*key).is_none_or(|upstream| self.now - upstream.since >= MIN_REST_S)
            };
            let position = idle.iter().rposition(rested);
            let position = position
                .or((idle.len() < MAX_RESTING_CONNECTIONS || self.upstreams.len() >= self.max_upstreams)
                    .then_some(0));
            let position = position.filter(|position| *position < idle.len())?;
            let key = self.pools.by_node.get_mut(&node)?.idle.remove(position);
            // The node may just have closed the connection.
            if self.upstreams.get_mut(key).is_some_and(UpstreamConnection::is_quiet) {
                return Some(key);
            }
            self.close_upstream(key);
        }
    }

    /// Sends an attempt to a node, over an idle connection or a new one.
    pub(super) fn start_attempt(&mut self, node: UpstreamId, attempt: Attempt) {
        if let Some(key) = self.pick_idle(node) {
            let idle_time = self.now - self.upstreams[key].since;
            self.track_attempt(attempt, key);
            if !self.write_attempt(key, attempt) {
                self.return_to_pool(key);
                return self.report_outcome(node, attempt, Ending::NotSent);
            }
            let wait = if idle_time < MIN_REST_S { MIN_REST_S - idle_time } else { LAST_BYTE_DELAY_S };
            self.upstreams[key].last_byte_held = idle_time < MIN_REST_S
                || idle_time >= HOLD_LAST_BYTE_AFTER_IDLE_S && self.must_not_repeat(attempt);
            if self.upstreams[key].last_byte_held {
                self.timers.schedule(self.now + wait, Timer::SendLastByte(key, attempt));
            }
            if let Some(result) = self.upstreams[key].on_ready() {
                self.events.push_back(ConnectionEvent::AttemptEnded { upstream: key, attempt, result });
            }
            return;
        }
        let Some(address) = self.pools.by_node.get(&node).map(|pool| pool.address) else {
            return self.report_outcome(node, attempt, Ending::NotSent);
        };
        if self.upstreams.len() >= self.max_upstreams && !self.close_idlest_upstream() {
            self.log_event("warn", "node_connections_full", &[("node_connections", &self.upstreams.len())]);
            return self.report_outcome(node, attempt, Ending::NotSent);
        }
        let socket = match TcpStream::connect(address) {
            Err(e) if matches!(e.raw_os_error(), Some(24 | 23)) => {
                // Closes an idle connection to make room, so that a lack of descriptors does not stop the
                // sidecar.
                self.log_event("warn", "descriptors_exhausted", &[("for", &"node")]);
                if self.close_idlest_upstream() || self.evict_idle_client() {
                    TcpStream::connect(address)
                } else {
                    return self.report_outcome(node, attempt, Ending::NotSent);
                }
            }
            other => other,
        };
        self.last_upstream_serial += 1;
        let entry = self.upstreams.vacant_entry();
        let key = entry.key();
        let ready = socket.and_then(|mut socket| {
            let _ = socket.set_nodelay(true);
            receive_buffer::limit(&socket, receive_buffer::NODE_BYTES);
            let token = upstream_token(key, self.last_upstream_serial);
            self.registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(socket)
        });
        match ready {
            Ok(socket) => {
                entry.insert(UpstreamConnection::new(
                    socket,
                    node,
                    address,
                    attempt,
                    self.now,
                    self.last_upstream_serial,
                ));
                self.track_attempt(attempt, key);
                self.timers.schedule(self.now + self.connect_timeout, Timer::ConnectTimeout(key, attempt));
            }
            Err(_) => self.report_outcome(node, attempt, Ending::ConnectFailed),
        }
    }

    /// Returns whether an attempt must not run twice.
    fn must_not_repeat(&self, attempt: Attempt) -> bool {
        let Attempt::Request { id, .. } = attempt else { return false };
        self.pending_requests.get(&id).is_some_and(|pending| pending.head.method != "GET")
    }

    /// Records the connection of a request attempt, or schedules the timeout of a health check.
    fn track_attempt(&mut self, attempt: Attempt, key: usize) {
        if let Attempt::Request { id, number } = attempt {
            self.in_flight.insert((id, number), key);
        } else {
            self.timers.schedule(self.now + HEALTH_CHECK_TIMEOUT_S, Timer::HealthCheckTimeout(key, attempt));
        }
    }

    /// Handles a connection that missed the connect timeout: its attempt ends, while the connection may still
    /// be established. If a node is slow to connect but otherwise well, each new attempt would otherwise wait
    /// for a new connection in vain.
    pub fn connect_timed_out(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let (node, serial) = (upstream.node, upstream.serial);
        let Some(attempt) = upstream.attempt.take() else { return };
        let connections_to_node =
            || self.upstreams.iter().map(|(_, upstream)| upstream).filter(|upstream| upstream.node == node);
        let late_count = connections_to_node().filter(|upstream| upstream.is_late()).count();
        let has_established = connections_to_node()
            .any(|upstream| matches!(upstream.phase, Phase::Busy | Phase::Idle | Phase::Relaying));
        if late_count > MAX_LATE_CONNECTIONS {
            self.close_upstream(key);
        } else {
            self.timers.schedule(self.now + LATE_CONNECT_TIMEOUT_S, Timer::LateConnectTimeout(key, serial));
        }
        let ending = if has_established {
            self.attribute_failure(node, Ending::ConnectFailed)
        } else {
            Ending::ConnectFailed
        };
        self.report_outcome(node, attempt, ending);
    }

    /// Withdraws the attempts of a request whose client has disconnected and that are not completely written:
    /// they have never run. Attempts that are sent still get their outcome.
    pub fn withdraw_unsent_attempts(&mut self, id: RequestId) {
        let keys: Vec<_> =
            self.in_flight.iter().filter(|((request, _), _)| *request == id).map(|(_, key)| *key).collect();
        for key in keys {
            let is_unsent =
                |upstream: &UpstreamConnection| upstream.phase == Phase::Busy && !upstream.is_sent();
            if self.upstreams.get(key).is_some_and(is_unsent) {
                self.withdraw_unsent(key);
            }
        }
    }

    /// Returns whether the node of this connection has changed its address or been removed.
    pub fn has_moved(&self, key: usize) -> bool {
        let pool = self.upstreams.get(key).and_then(|upstream| {
            self.pools.by_node.get(&upstream.node).filter(|pool| pool.address == upstream.address)
        });
        pool.is_none()
    }

    /// Ends an attempt and closes its connection.
    pub fn end_attempt(&mut self, key: usize, ending: Ending) {
        if let Some((node, attempt)) = self.finish_attempt(key, false) {
            self.report_outcome(node, attempt, ending);
        }
    }

    /// Ends an attempt that is not completely written, so that it can no longer run.
    pub fn withdraw_unsent(&mut self, key: usize) {
        self.end_attempt(key, Ending::NotSent);
    }

    /// Returns whether this connection is in this phase, with this attempt.
    pub fn is_in_phase(&self, key: usize, phase: Phase, attempt: Attempt) -> bool {
        self.upstreams
            .get(key)
            .is_some_and(|upstream| upstream.phase == phase && upstream.attempt == Some(attempt))
    }

    /// Returns the ending that is reported for an attempt on an established connection. A node that drops one
    /// connection is not taken for a node that is down: the attempt was not sent and is reported as unused.
    /// The second failure in a row is reported as such.
    pub fn attribute_failure(&mut self, node: UpstreamId, ending: Ending) -> Ending {
        let Some(pool) = self.pools.by_node.get_mut(&node) else { return ending };
        match ending {
            Ending::ConnectFailed if !std::mem::replace(&mut pool.failed_before_send, true) => {
                Ending::NotSent
            }
            Ending::Served | Ending::UpstreamError | Ending::Shed => {
                pool.failed_before_send = false;
                ending
            }
            _ => ending,
        }
    }

    /// Counts and logs an attempt that failed on its connection.
    pub fn log_failed_attempt(&mut self, node: UpstreamId, ending: Ending, blame: Blame) {
        if let Blame::InvalidResponse(fault) = blame {
            self.invalid_responses += 1;
            let host = self.pools.host(node).to_owned();
            return self.log_event("warn", "invalid_response", &[("node", &host), ("problem", &fault)]);
        }
        let event = match ending {
            Ending::ConnectFailed => "node_unreachable",
            Ending::ConnectionLost => "node_disconnected",
            _ => return,
        };
        let host = self.pools.host(node).to_owned();
        self.log_event("warn", event, &[("node", &host)]);
    }

    /// Queues the outcome of an attempt for the dispatcher.
    pub fn report_outcome(&mut self, node: UpstreamId, attempt: Attempt, ending: Ending) {
        self.log_failed_attempt(node, ending, Blame::None);
        match attempt {
            Attempt::Request { id, number } => {
                self.in_flight.remove(&(id, number));
                self.events.push_back(ConnectionEvent::AttemptOutcome { id, number, ending });
            }
            Attempt::HealthCheck { .. } => {
                self.events.push_back(ConnectionEvent::HealthCheckOutcome { node, ending })
            }
        }
    }

    /// Detaches the attempt from a connection that keeps its state: the response is served and streamed, so
    /// the attempt has ended for the dispatcher, but not the exchange on the connection.
    pub fn detach_attempt(&mut self, key: usize) -> Option<(UpstreamId, Attempt)> {
        let upstream = self.upstreams.get_mut(key)?;
        let attempt = upstream.attempt.take()?;
        if let Attempt::Request { id, number } = attempt {
            self.in_flight.remove(&(id, number));
        }
        Some((upstream.node, attempt))
    }

    /// Ends an attempt; its connection returns to the pool if it is reusable and is closed otherwise.
    pub fn finish_attempt(&mut self, key: usize, reusable: bool) -> Option<(UpstreamId, Attempt)> {
        let held = self.detach_attempt(key)?;
        if reusable {
            self.return_to_pool(key);
        } else {
            self.close_upstream(key);
        }
        Some(held)
    }

    /// Returns a connection to its pool, or closes it if the pool is closed or the node's address has
    /// changed.
    pub fn return_to_pool(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.phase = Phase::Idle;
        upstream.attempt = None;
        upstream.since = self.now;
        let pool = self
            .pools
            .by_node
            .get_mut(&upstream.node)
            .filter(|pool| pool.open && pool.address == upstream.address);
        match pool {
            Some(pool) => pool.idle.push(key),
            None => self.close_upstream(key),
        }
    }

    /// Closes a connection and removes it from its pool.
    pub fn close_upstream(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.try_remove(key) else { return };
        if let Some(pool) = self.pools.by_node.get_mut(&upstream.node) {
            pool.idle.retain(|idle_key| *idle_key != key);
        }
        let mut socket = upstream.into_socket(&mut self.buffers);
        let _ = self.registry.deregister(&mut socket);
    }

    /// Closes the connection that has been idle or late longest; returns whether there was one.
    pub fn close_idlest_upstream(&mut self) -> bool {
        let idle =
            self.upstreams.iter().filter(|(_, upstream)| upstream.phase == Phase::Idle || upstream.is_late());
        let oldest = idle.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(key, _)| key);
        oldest.is_some_and(|key| {
            self.close_upstream(key);
            true
        })
    }

    /// Closes connections to nodes that have been idle for too long, and removes unused pools.
    pub fn sweep_upstreams(&mut self) {
        let now = self.now;
        let expired = |upstream: &UpstreamConnection| {
            upstream.phase == Phase::Idle && now - upstream.since >= self.upstream_idle_timeout
        };
        let upstreams: Vec<_> =
            self.upstreams.iter().filter(|(_, upstream)| expired(upstream)).map(|(key, _)| key).collect();
        upstreams.into_iter().for_each(|key| self.close_upstream(key));
        let used: HashSet<_> = self.upstreams.iter().map(|(_, upstream)| upstream.node).collect();
        self.pools.remove_unused(|node| !used.contains(&node));
    }

    /// Updates the pool of a node from its node list entry. `open` tells whether the node takes new requests.
    pub fn update_node(&mut self, node: UpstreamId, address: SocketAddr, open: bool) {
        let pool = self.pools.by_node.entry(node).or_insert(ConnectionPool {
            address,
            open,
            idle: Vec::new(),
            failed_before_send: false,
        });
        let moved = pool.address != address;
        pool.address = address;
        pool.open = open;
        if moved || !open {
            let idle = std::mem::take(&mut pool.idle);
            idle.into_iter().for_each(|key| self.close_upstream(key));
        }
    }
}
