//! Connections to nodes: attempts and health checks, reuse of idle connections, and what the dispatcher is told of failures.

use super::tokens::upstream_token;
use super::{ConnectionEvent, Connections, Timer};
use crate::buffer_pool::Buffer;
use crate::pool::{Attempt, Blame, ConnectionPool, Phase, UpstreamConnection};
use mio::net::TcpStream;
use mio::Interest;
use passrelay_load_balancing::{Ending, RequestId, UpstreamId};
use std::collections::HashSet;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Timeout of a health check, in seconds.
const PROBE_TIMEOUT_S: f64 = 1.0;
/// A connection that missed the connect timeout stays pending this much longer, in seconds, without an attempt; the next one may use it.
const LATE_CONNECT_TIMEOUT_S: f64 = 2.0;
/// Maximum of such connections to one node.
const MAX_LATE_CONNECTIONS: usize = 2;
/// Minimum time between an answer and the last byte of the next request on the same connection, in seconds: three times the measured
/// delay of erroneous second answers (1 to 4 ms), which would be taken for the next request's ...
const MIN_REST_S: f64 = 0.012;
/// ... unless this many connections to one node are resting: then a new one is opened.
const MAX_RESTING_CONNECTIONS: usize = 4;
/// On a connection idle for this long, in seconds, the last byte of a request that must not run twice is held back ...
const HOLD_LAST_BYTE_AFTER_IDLE_S: f64 = 0.05;
/// ... for this long, in seconds, so that a dead connection shows before the request can run; a round trip inside the data centre takes
/// well under a millisecond.
const LAST_BYTE_DELAY_S: f64 = 0.002;

impl Connections {
    /// The request as it goes to a node; `None` once its client has left.
    fn write_request(&mut self, id: RequestId, dial: SocketAddr) -> Option<Buffer> {
        let pending = self.pending.get(&id)?;
        let body = self.clients.get(pending.client)?.request_body();
        let mut buffer = self.buffers.take();
        let head = &pending.head;
        let left = (pending.deadline - self.now).max(0.001);
        let mut put = || -> io::Result<()> {
            write!(buffer, "{} {} HTTP/1.1\r\nHost: {dial}\r\n", head.method, head.target)?;
            for (name, value) in head.onward().filter(|(n, _)| n != "x-budget") {
                write!(buffer, "{name}: {value}\r\n")?;
            }
            write!(buffer, "x-budget: {left:.3}\r\n")?;
            if !body.is_empty() || head.method != "GET" {
                write!(buffer, "content-length: {}\r\n", body.len())?;
            }
            buffer.write_all(b"\r\n")?;
            buffer.write_all(body)
        };
        match put() {
            Ok(()) => Some(buffer),
            Err(_) => {
                self.buffers.give_back(buffer);
                None
            }
        }
    }

    fn write_probe(&mut self, dial: SocketAddr) -> Option<Buffer> {
        let mut buffer = self.buffers.take();
        write!(buffer, "GET /status/load HTTP/1.1\r\nHost: {dial}\r\n\r\n").ok()?;
        Some(buffer)
    }

    /// Writes an attempt to a connection that is up. False: it must not go out any more.
    pub fn load_upstream(&mut self, key: usize, attempt: Attempt) -> bool {
        let Some(dial) = self.upstreams.get(key).map(|b| b.dial) else { return false };
        let buffer = match attempt {
            Attempt::Request { id, .. } => self.write_request(id, dial),
            Attempt::Probe { .. } => self.write_probe(dial),
        };
        let Some(buffer) = buffer else { return false };
        self.upstreams[key].load(self.now, attempt, buffer);
        true
    }

    /// The connection over which the next attempt to a node goes, if there is one: the warmest that has rested,
    /// else the one that has rested longest, which is held until it has. Guards against an answer to the attempt
    /// before, sent once more some milliseconds later, that would be taken for this one's. Where several rest,
    /// attempts come so fast that a new connection serves better than to wait.
    fn pick_idle(&mut self, node: UpstreamId) -> Option<usize> {
        loop {
            let idle = &self.pools.by_node.get(&node)?.idle;
            let rested =
                |key: &usize| self.upstreams.get(*key).is_none_or(|b| self.now - b.since >= MIN_REST_S);
            let at = idle.iter().rposition(rested);
            let at = at
                .or((idle.len() < MAX_RESTING_CONNECTIONS || self.upstreams.len() >= self.max_upstreams)
                    .then_some(0));
            let at = at.filter(|at| *at < idle.len())?;
            let key = self.pools.by_node.get_mut(&node)?.idle.remove(at);
            // Guards against a send on a connection that the node has just ended.
            if self.upstreams.get_mut(key).is_some_and(UpstreamConnection::has_no_unread_input) {
                return Some(key);
            }
            self.close_upstream(key);
        }
    }

    /// Sends an attempt to a node: over an idle connection, or over a new one.
    pub(super) fn start_attempt(&mut self, node: UpstreamId, attempt: Attempt) {
        if let Some(key) = self.pick_idle(node) {
            let idle = self.now - self.upstreams[key].since;
            self.track_attempt(attempt, key);
            if !self.load_upstream(key, attempt) {
                self.return_to_pool(key);
                return self.report_outcome(node, attempt, Ending::NotSent);
            }
            let wait = if idle < MIN_REST_S { MIN_REST_S - idle } else { LAST_BYTE_DELAY_S };
            self.upstreams[key].held =
                idle < MIN_REST_S || idle >= HOLD_LAST_BYTE_AFTER_IDLE_S && self.must_not_repeat(attempt);
            if self.upstreams[key].held {
                self.timers.set(self.now + wait, Timer::LastByte(key, attempt));
            }
            if let Some(end) = self.upstreams[key].on_ready() {
                self.events.push_back(ConnectionEvent::AttemptEnded { upstream: key, attempt, end });
            }
            return;
        }
        let Some(dial) = self.pools.by_node.get(&node).map(|l| l.dial) else {
            return self.report_outcome(node, attempt, Ending::NotSent);
        };
        if self.upstreams.len() >= self.max_upstreams && !self.close_idlest_upstream() {
            self.log_event("warn", "node_connections_full", &[("node_connections", &self.upstreams.len())]);
            return self.report_outcome(node, attempt, Ending::NotSent);
        }
        let sock = match TcpStream::connect(dial) {
            Err(e) if matches!(e.raw_os_error(), Some(24 | 23)) => {
                // Guards against an end for want of descriptors: an idle connection makes room.
                self.log_event("warn", "descriptors_exhausted", &[("for", &"node")]);
                if self.close_idlest_upstream() || self.evict_idle_client() {
                    TcpStream::connect(dial)
                } else {
                    return self.report_outcome(node, attempt, Ending::NotSent);
                }
            }
            other => other,
        };
        self.dialed += 1;
        let entry = self.upstreams.vacant_entry();
        let key = entry.key();
        let ready = sock.and_then(|mut sock| {
            let _ = sock.set_nodelay(true);
            let token = upstream_token(key, self.dialed);
            self.registry.register(&mut sock, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(sock)
        });
        match ready {
            Ok(sock) => {
                entry.insert(UpstreamConnection::new(sock, node, dial, attempt, self.now, self.dialed));
                self.track_attempt(attempt, key);
                self.timers.set(self.now + self.connect_timeout, Timer::Dial(key, attempt));
            }
            Err(_) => self.report_outcome(node, attempt, Ending::ConnectFailed),
        }
    }

    /// Whether an attempt must not run twice.
    fn must_not_repeat(&self, attempt: Attempt) -> bool {
        let Attempt::Request { id, .. } = attempt else { return false };
        self.pending.get(&id).is_some_and(|r| r.head.method != "GET")
    }

    fn track_attempt(&mut self, attempt: Attempt, key: usize) {
        if let Attempt::Request { id, number } = attempt {
            self.out.insert((id, number), key);
        } else {
            self.timers.set(self.now + PROBE_TIMEOUT_S, Timer::Probe(key, attempt));
        }
    }

    /// A connection is not up in time: its attempt goes another way. The connection may come up yet. Guards against a
    /// node that is slow to connect and otherwise well: each new attempt would wait for a new connection in vain.
    pub fn connect_timed_out(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        let (node, number) = (upstream.node, upstream.number);
        let Some(attempt) = upstream.attempt.take() else { return };
        let to_node = || self.upstreams.iter().map(|(_, b)| b).filter(|b| b.node == node);
        let late = to_node().filter(|b| b.is_late()).count();
        let serves = to_node().any(|b| matches!(b.phase, Phase::Busy | Phase::Idle | Phase::Relaying));
        if late > MAX_LATE_CONNECTIONS {
            self.close_upstream(key);
        } else {
            self.timers.set(self.now + LATE_CONNECT_TIMEOUT_S, Timer::Late(key, number));
        }
        let ending =
            if serves { self.attribute_failure(node, Ending::ConnectFailed) } else { Ending::ConnectFailed };
        self.report_outcome(node, attempt, ending);
    }

    /// The client of a request has left: what of it is not wholly on its way to a node is taken back, and has never
    /// run. What is sent still gets its outcome.
    pub fn abandon(&mut self, id: RequestId) {
        let out: Vec<_> = self.out.iter().filter(|((r, _), _)| *r == id).map(|(_, key)| *key).collect();
        for key in out {
            let unsent = |b: &UpstreamConnection| b.phase == Phase::Busy && !b.is_sent();
            if self.upstreams.get(key).is_some_and(unsent) {
                self.withdraw_unsent(key);
            }
        }
    }

    /// Whether the node of this connection is by now at another address, or gone.
    pub fn has_moved(&self, key: usize) -> bool {
        let pool = self
            .upstreams
            .get(key)
            .and_then(|b| self.pools.by_node.get(&b.node).filter(|l| l.dial == b.dial));
        pool.is_none()
    }

    /// Ends an attempt together with its connection.
    pub fn end_attempt(&mut self, key: usize, ending: Ending) {
        if let Some((node, attempt)) = self.free_upstream(key, false) {
            self.report_outcome(node, attempt, ending);
        }
    }

    /// Ends an attempt of which not every byte is out, so that it cannot run any more.
    pub fn withdraw_unsent(&mut self, key: usize) {
        self.end_attempt(key, Ending::NotSent);
    }

    /// Whether this connection is in this phase, with this attempt.
    pub fn is_at(&self, key: usize, phase: Phase, attempt: Attempt) -> bool {
        self.upstreams.get(key).is_some_and(|b| b.phase == phase && b.attempt == Some(attempt))
    }

    /// How the dispatcher is told of an end on a connection that was up. Guards against taking a node that drops
    /// one connection for a node that is down: its attempt was not sent. The second time it is.
    pub fn attribute_failure(&mut self, node: UpstreamId, ending: Ending) -> Ending {
        let Some(pool) = self.pools.by_node.get_mut(&node) else { return ending };
        match ending {
            Ending::ConnectFailed if !std::mem::replace(&mut pool.closed_unused, true) => Ending::NotSent,
            Ending::Served | Ending::UpstreamError | Ending::Shed => {
                pool.closed_unused = false;
                ending
            }
            _ => ending,
        }
    }

    /// Logs an attempt that the connection itself has ended.
    pub fn log_failed_attempt(&mut self, node: UpstreamId, ending: Ending, blame: Blame) {
        let event = match ending {
            _ if blame == Blame::InvalidResponse => "invalid_response",
            Ending::ConnectFailed => "node_unreachable",
            Ending::ConnectionLost => "node_disconnected",
            _ => return,
        };
        let host = self.pools.host(node).to_owned();
        self.log_event("warn", event, &[("node", &host)]);
    }

    /// Queues how an attempt ended, for the dispatcher.
    pub fn report_outcome(&mut self, node: UpstreamId, attempt: Attempt, ending: Ending) {
        self.log_failed_attempt(node, ending, Blame::None);
        match attempt {
            Attempt::Request { id, number } => {
                self.out.remove(&(id, number));
                self.events.push_back(ConnectionEvent::AttemptOutcome { id, number, ending });
            }
            Attempt::Probe { .. } => self.events.push_back(ConnectionEvent::ProbeOutcome { node, ending }),
        }
    }

    /// The attempt of a connection that stays as it is: its answer is served and passed on, so it is over for the
    /// dispatcher, not for the connection.
    pub fn hold_upstream(&mut self, key: usize) -> Option<(UpstreamId, Attempt)> {
        let upstream = self.upstreams.get_mut(key)?;
        let attempt = upstream.attempt.take()?;
        if let Attempt::Request { id, number } = attempt {
            self.out.remove(&(id, number));
        }
        Some((upstream.node, attempt))
    }

    /// An attempt is over; its connection goes back to its pool if it can be used again.
    pub fn free_upstream(&mut self, key: usize, reusable: bool) -> Option<(UpstreamId, Attempt)> {
        let held = self.hold_upstream(key)?;
        if reusable {
            self.return_to_pool(key);
        } else {
            self.close_upstream(key);
        }
        Some(held)
    }

    /// Puts a connection among the idle ones of its pool.
    pub fn return_to_pool(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.phase = Phase::Idle;
        upstream.attempt = None;
        upstream.since = self.now;
        let pool = self.pools.by_node.get_mut(&upstream.node).filter(|l| l.open && l.dial == upstream.dial);
        match pool {
            Some(pool) => pool.idle.push(key),
            None => self.close_upstream(key),
        }
    }

    pub fn close_upstream(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.try_remove(key) else { return };
        if let Some(pool) = self.pools.by_node.get_mut(&upstream.node) {
            pool.idle.retain(|k| *k != key);
        }
        let mut sock = upstream.clear(&mut self.buffers);
        let _ = self.registry.deregister(&mut sock);
    }

    pub fn close_idlest_upstream(&mut self) -> bool {
        let idle = self.upstreams.iter().filter(|(_, b)| b.phase == Phase::Idle || b.is_late());
        let oldest = idle.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(key, _)| key);
        oldest.is_some_and(|key| {
            self.close_upstream(key);
            true
        })
    }

    /// Closes connections to nodes that have been idle for too long.
    pub fn sweep_upstreams(&mut self) {
        let now = self.now;
        let old = |b: &UpstreamConnection| b.phase == Phase::Idle && now - b.since >= self.conn_idle;
        let upstreams: Vec<_> = self.upstreams.iter().filter(|(_, b)| old(b)).map(|(k, _)| k).collect();
        upstreams.into_iter().for_each(|k| self.close_upstream(k));
        let used: HashSet<_> = self.upstreams.iter().map(|(_, b)| b.node).collect();
        self.pools.forget(|node| !used.contains(&node));
    }

    /// Brings the pools in line with one list line.
    pub fn update_node(&mut self, node: UpstreamId, dial: SocketAddr, open: bool) {
        let pool = self.pools.by_node.entry(node).or_insert(ConnectionPool {
            dial,
            open,
            idle: Vec::new(),
            closed_unused: false,
        });
        let moved = pool.dial != dial;
        pool.dial = dial;
        pool.open = open;
        if moved || !open {
            let idle = std::mem::take(&mut pool.idle);
            idle.into_iter().for_each(|k| self.close_upstream(k));
        }
    }
}
