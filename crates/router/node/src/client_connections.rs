//! Tracks the open client connections, the phase of each and when the phase began.
//!
//! Connections that are idle or receive a request head too slowly are closed after a timeout. A request in
//! flight is bounded by its own deadline.

use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Capacity of a connection's command queue: one command to finish and one to close. Further commands would
/// only repeat these and are dropped.
const MAX_PENDING_COMMANDS: usize = 2;

/// A command to the task of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Close once the response to the request in flight is complete.
    Finish,
    /// Close immediately, unless a request is in flight.
    Close,
}

/// How long a connection may stay in each phase that depends on the client.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Maximum time from the first to the last byte of a request head.
    pub header: Duration,
    /// Maximum time without receiving any byte of a request.
    pub idle: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No request has been in progress since this time.
    Idle(Duration),
    /// A request head has been arriving since this time.
    Header(Duration),
    /// A request is being served.
    Busy,
}

/// State of a connection, shared by its socket, its requests and the timeout sweep.
pub struct ClientConnection {
    phase: Cell<Phase>,
    response_ends_with_connection: Cell<bool>,
    commands: Sender<ConnectionCommand>,
}

impl ClientConnection {
    /// Records the arrival of bytes, which starts a request head if the connection was idle.
    pub fn bytes_received(&self, now: Duration) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Header(now));
        }
    }

    /// Records that a complete request head has been read.
    pub fn request_started(&self) {
        self.phase.set(Phase::Busy);
    }

    /// Records that the response has been written or abandoned.
    pub fn request_finished(&self, now: Duration) {
        self.phase.set(Phase::Idle(now));
    }

    /// Returns whether a request is being served.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Busy)
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

    fn is_expired(&self, now: Duration, timeouts: ConnectionTimeouts) -> bool {
        match self.phase.get() {
            Phase::Idle(since) => now.saturating_sub(since) > timeouts.idle,
            Phase::Header(since) => now.saturating_sub(since) > timeouts.header,
            Phase::Busy => false,
        }
    }
}

/// A newly registered connection.
pub struct OpenedConnection {
    /// Identifier of the connection, for [`ClientConnections::closed`].
    pub id: u64,
    /// State of the connection.
    pub connection: Rc<ClientConnection>,
    /// Commands to the task that serves the connection.
    pub commands: Receiver<ConnectionCommand>,
}

/// All open client connections.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
}

impl ClientConnections {
    /// Registers a new connection.
    pub fn open(&self, now: Duration) -> OpenedConnection {
        let (commands, received) = smol::channel::bounded(MAX_PENDING_COMMANDS);
        let connection = Rc::new(ClientConnection {
            phase: Cell::new(Phase::Idle(now)),
            response_ends_with_connection: Cell::new(false),
            commands,
        });
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, connection.clone());
        OpenedConnection { id, connection, commands: received }
    }

    /// Removes a connection that has been closed.
    pub fn closed(&self, id: u64) {
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
            let _ = connection.commands.try_send(ConnectionCommand::Finish);
        }
    }

    /// Requests the connections whose timeout has expired to close.
    pub fn sweep(&self, now: Duration, timeouts: ConnectionTimeouts) {
        for connection in self.open.borrow().values() {
            if connection.is_expired(now, timeouts) {
                let _ = connection.commands.try_send(ConnectionCommand::Close);
            }
        }
    }
}
