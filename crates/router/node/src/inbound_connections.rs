//! Tracks the open connections of a port, the phase of each and when the phase began.
//!
//! Connections that are idle or receive a request head too slowly are closed after a timeout. A request in
//! flight is bounded by its own deadline. If a port has as many connections as it may have, one on which no complete request
//! has arrived makes room for a new one.

use crate::memory::{Memory, MemoryCharge};
use passrelay_data_plane::memory_budget::{MemoryUse, ACTIVE_CONNECTION_BYTES, IDLE_CONNECTION_BYTES};
use serde_json::{json, Value};
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Capacity of a connection's command queue: one command to finish and one to close. Further commands would
/// only repeat these and are dropped.
const MAX_PENDING_COMMANDS: usize = 2;
/// Time that a request has to arrive before its connection may make room for another one.
const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(250);

/// A command to the task of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Close once the response to the request in flight is complete.
    Finish,
    /// Close immediately, unless a request is in flight.
    Close,
    /// Close immediately, also within a response.
    Abort,
}

/// How long a connection may stay in each phase that depends on the client.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Maximum time from the first to the last byte of a request head.
    pub header: Duration,
    /// Maximum time without receiving any byte of a request.
    pub idle: Duration,
    /// Maximum time for writing a response, if it is limited.
    pub response: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No request has been in progress since this time.
    Idle(Duration),
    /// A request head has been arriving since this time.
    Header(Duration),
    /// The head has arrived, and the body has been arriving since this time.
    Body(Duration),
    /// A request is being served.
    Busy,
    /// A response has been written since this time.
    Responding(Duration),
}

/// State of a connection, shared by its socket, its requests and the timeout sweep.
pub struct InboundConnection {
    phase: Cell<Phase>,
    response_ends_with_connection: Cell<bool>,
    /// Whether the connection was told to make room for another one.
    is_evicted: Cell<bool>,
    memory: RefCell<MemoryCharge>,
    commands: Sender<ConnectionCommand>,
}

impl InboundConnection {
    /// Records the arrival of bytes, which starts a request head if the connection was idle.
    pub fn bytes_received(&self, now: Duration) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Header(now));
            self.memory.borrow_mut().set(ACTIVE_CONNECTION_BYTES);
        }
    }

    /// Records that a request body begins to arrive.
    pub fn body_started(&self, now: Duration) {
        self.phase.set(Phase::Body(now));
    }

    /// Records that a request body has arrived completely.
    pub fn body_finished(&self) {
        self.phase.set(Phase::Busy);
    }

    /// Records that a complete request head has been read.
    pub fn request_started(&self) {
        self.phase.set(Phase::Busy);
        self.memory.borrow_mut().set(ACTIVE_CONNECTION_BYTES);
    }

    /// Records that a response begins.
    pub fn response_started(&self, now: Duration) {
        self.phase.set(Phase::Responding(now));
    }

    /// Records that the response has been written or abandoned.
    pub fn request_finished(&self, now: Duration) {
        self.phase.set(Phase::Idle(now));
        self.memory.borrow_mut().set(IDLE_CONNECTION_BYTES);
    }

    /// Tells the connection to finish after the response in flight.
    pub fn finish(&self) {
        let _ = self.commands.try_send(ConnectionCommand::Finish);
    }

    /// Returns whether the connection was told to make room, and records that it does so only after its response, because a
    /// request has arrived meanwhile.
    pub fn postpone_eviction(&self) -> bool {
        self.is_evicted.replace(false)
    }

    /// Returns whether a request is being served.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Busy | Phase::Responding(_))
    }

    /// Records whether a response is incomplete that has neither a length nor chunks, so that its client would take any regular
    /// end of the connection for the end of the response.
    pub fn set_response_ends_with_connection(&self, ends_with_connection: bool) {
        self.response_ends_with_connection.set(ends_with_connection);
    }

    /// Returns what [`Self::set_response_ends_with_connection`] has recorded last.
    pub fn response_ends_with_connection(&self) -> bool {
        self.response_ends_with_connection.get()
    }

    /// Returns the command that ends the connection if the timeout of its phase has expired.
    fn expiry(&self, now: Duration, timeouts: ConnectionTimeouts) -> Option<ConnectionCommand> {
        let (since, timeout, command) = match self.phase.get() {
            Phase::Idle(since) => (since, timeouts.idle, ConnectionCommand::Close),
            Phase::Header(since) => (since, timeouts.header, ConnectionCommand::Close),
            Phase::Responding(since) => (since, timeouts.response?, ConnectionCommand::Abort),
            Phase::Body(_) | Phase::Busy => return None,
        };
        (now.saturating_sub(since) > timeout).then_some(command)
    }

    /// Returns how readily the connection makes room for another one, or `None` if it does not: idle ones first, then those
    /// whose request is arriving, each from the longest on.
    fn eviction_rank(&self, now: Duration) -> Option<(bool, Duration)> {
        if self.is_evicted.get() {
            return None;
        }
        match self.phase.get() {
            Phase::Idle(since) => Some((false, since)),
            Phase::Header(since) | Phase::Body(since) => {
                (now.saturating_sub(since) >= MIN_ARRIVAL_TIME).then_some((true, since))
            }
            Phase::Busy | Phase::Responding(_) => None,
        }
    }
}

/// A newly registered connection. It counts as open until this is dropped.
pub struct OpenedConnection {
    id: u64,
    connections: Rc<InboundConnections>,
    /// State of the connection.
    pub connection: Rc<InboundConnection>,
    /// Commands to the task that serves the connection.
    pub commands: Receiver<ConnectionCommand>,
}

impl Drop for OpenedConnection {
    fn drop(&mut self) {
        self.connections.closed(self.id);
    }
}

/// The open connections of a port.
pub struct InboundConnections {
    open: RefCell<HashMap<u64, Rc<InboundConnection>>>,
    next_id: Cell<u64>,
    max_connections: usize,
    memory: Memory,
    evictions: Cell<u64>,
    refusals: Cell<u64>,
}

impl InboundConnections {
    /// Creates the set of a port that may have `max_connections` connections, which are charged to `memory`.
    pub fn new(max_connections: usize, memory: Memory) -> Self {
        InboundConnections {
            open: RefCell::default(),
            next_id: Cell::new(0),
            max_connections,
            memory,
            evictions: Cell::new(0),
            refusals: Cell::new(0),
        }
    }

    /// Registers a new connection. Returns `None` if the port has as many as it may have.
    pub fn open(self: &Rc<Self>, now: Duration) -> Option<OpenedConnection> {
        if self.len() >= self.max_connections {
            return None;
        }
        let (commands, received) = smol::channel::bounded(MAX_PENDING_COMMANDS);
        let mut memory = self.memory.charge(MemoryUse::Connections);
        memory.set(IDLE_CONNECTION_BYTES);
        let connection = Rc::new(InboundConnection {
            phase: Cell::new(Phase::Idle(now)),
            response_ends_with_connection: Cell::new(false),
            is_evicted: Cell::new(false),
            memory: RefCell::new(memory),
            commands,
        });
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, connection.clone());
        Some(OpenedConnection { id, connections: self.clone(), connection, commands: received })
    }

    /// Tells the connection that makes room most readily to close, unless one was told already. Returns whether one may close.
    pub fn evict(&self, now: Duration) -> bool {
        let open = self.open.borrow();
        if open.values().any(|connection| connection.is_evicted.get()) {
            return true;
        }
        let ranked = open
            .values()
            .filter_map(|connection| connection.eviction_rank(now).map(|rank| (rank, connection)));
        let Some((_, connection)) = ranked.min_by_key(|(rank, _)| *rank) else { return false };
        connection.is_evicted.set(true);
        let _ = connection.commands.force_send(ConnectionCommand::Close);
        self.evictions.set(self.evictions.get() + 1);
        true
    }

    /// Counts a new connection that is closed unread because no other one makes room.
    pub fn record_refusal(&self) {
        self.refusals.set(self.refusals.get() + 1);
    }

    /// Returns open, evicted and refused connections as JSON, for operators.
    pub fn status(&self) -> Value {
        json!({
            "open": self.len(),
            "limit": self.max_connections,
            "evictions": self.evictions.get(),
            "refusals": self.refusals.get(),
        })
    }

    /// Returns the number of connections that were evicted or refused since the start of the process.
    pub fn limit_events(&self) -> u64 {
        self.evictions.get() + self.refusals.get()
    }

    /// Removes a connection that has been closed.
    fn closed(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Requests every connection to close once the response to its request in flight is complete.
    pub fn finish_all(&self) {
        for connection in self.open.borrow().values() {
            connection.finish();
        }
    }

    /// Requests the connections whose timeout has expired to close.
    pub fn sweep(&self, now: Duration, timeouts: ConnectionTimeouts) {
        for connection in self.open.borrow().values() {
            if let Some(command) = connection.expiry(now, timeouts) {
                let _ = connection.commands.try_send(command);
            }
        }
    }
}

#[cfg(test)]
#[path = "inbound_connections/tests.rs"]
mod tests;
