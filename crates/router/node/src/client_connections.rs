//! Connections of clients: which are open, what each is doing, and since when.
//!
//! Idle connections and slow heads are closed after a timeout; a request in flight is bounded by its own
//! deadline.

use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Commands that a connection's queue holds: one to finish and one to close. Further ones repeat these and
/// are dropped.
const MAX_PENDING_COMMANDS: usize = 2;

/// A command to the task of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Close once the request in flight has its response.
    Finish,
    /// Close now.
    Close,
}

/// How long a connection may stay in the phases that depend on the client.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// From the first byte of a head to its last.
    pub header: Duration,
    /// Without any byte of a request.
    pub idle: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No request since this time.
    Idle(Duration),
    /// A head is being received since this time.
    Header(Duration),
    /// A request is being served.
    Busy,
}

/// One connection, shared by its socket, its requests and the sweep.
pub struct ClientConnection {
    phase: Cell<Phase>,
    commands: Sender<ConnectionCommand>,
}

impl ClientConnection {
    /// Bytes have arrived.
    pub fn bytes_received(&self, now: Duration) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Header(now));
        }
    }

    /// A complete head has been read.
    pub fn request_started(&self) {
        self.phase.set(Phase::Busy);
    }

    /// The response has been written, or given up.
    pub fn request_finished(&self, now: Duration) {
        self.phase.set(Phase::Idle(now));
    }

    /// Whether a request is being served.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Busy)
    }

    fn is_expired(&self, now: Duration, timeouts: ConnectionTimeouts) -> bool {
        match self.phase.get() {
            Phase::Idle(since) => now.saturating_sub(since) > timeouts.idle,
            Phase::Header(since) => now.saturating_sub(since) > timeouts.header,
            Phase::Busy => false,
        }
    }
}

/// A connection that has just been opened.
pub struct OpenedConnection {
    /// Identifies it among the open ones.
    pub id: u64,
    /// The connection.
    pub connection: Rc<ClientConnection>,
    /// Commands to the task that serves it.
    pub commands: Receiver<ConnectionCommand>,
}

/// All open connections.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
}

impl ClientConnections {
    /// Registers a connection.
    pub fn open(&self, now: Duration) -> OpenedConnection {
        let (commands, received) = smol::channel::bounded(MAX_PENDING_COMMANDS);
        let connection = Rc::new(ClientConnection { phase: Cell::new(Phase::Idle(now)), commands });
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, connection.clone());
        OpenedConnection { id, connection, commands: received }
    }

    /// A connection has been closed.
    pub fn closed(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Has all connections close once their request in flight has its response.
    pub fn finish_all(&self) {
        for connection in self.open.borrow().values() {
            let _ = connection.commands.try_send(ConnectionCommand::Finish);
        }
    }

    /// Closes the connections whose timeout has passed.
    pub fn sweep(&self, now: Duration, timeouts: ConnectionTimeouts) {
        for connection in self.open.borrow().values() {
            if connection.is_expired(now, timeouts) {
                let _ = connection.commands.try_send(ConnectionCommand::Close);
            }
        }
    }
}
