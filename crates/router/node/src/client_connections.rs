//! Connections of clients: which are open, what each is doing, and when it has been doing so for too long.

use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// What a connection's task is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Close as soon as nothing is owed.
    Finish,
    /// Close now.
    Close,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Rests since this time.
    Idle(Duration),
    /// A head is coming since this time.
    Head(Duration),
    /// A request is being served.
    Busy,
}

/// One connection, shared by its socket, its requests and the sweeper.
pub struct ClientConnection {
    phase: Cell<Phase>,
    commands: Sender<ConnectionCommand>,
}

impl ClientConnection {
    /// Bytes have come.
    pub fn bytes_came(&self, now: Duration) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Head(now));
        }
    }

    /// A whole head was read.
    pub fn request_begins(&self) {
        self.phase.set(Phase::Busy);
    }

    /// The answer is written, or given up.
    pub fn request_ends(&self, now: Duration) {
        self.phase.set(Phase::Idle(now));
    }

    /// Whether a request is being served.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Busy)
    }

    fn is_over(&self, now: Duration, head_within: Duration, idle_within: Duration) -> bool {
        match self.phase.get() {
            Phase::Idle(since) => now.saturating_sub(since) > idle_within,
            Phase::Head(since) => now.saturating_sub(since) > head_within,
            Phase::Busy => false,
        }
    }
}

/// All open connections.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next: Cell<u64>,
}

impl ClientConnections {
    /// A connection has opened. Returns its number, itself, and where its orders come.
    pub fn open(&self, now: Duration) -> (u64, Rc<ClientConnection>, Receiver<ConnectionCommand>) {
        let (commands, received) = smol::channel::bounded(2);
        let connection = Rc::new(ClientConnection { phase: Cell::new(Phase::Idle(now)), commands });
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, connection.clone());
        (number, connection, received)
    }

    /// A connection has closed.
    pub fn closed(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Has all connections close as soon as nothing is owed on them.
    pub fn finish_all(&self) {
        for connection in self.open.borrow().values() {
            let _ = connection.commands.try_send(ConnectionCommand::Finish);
        }
    }

    /// Closes connections that rest, or whose head comes, for too long.
    pub fn sweep(&self, now: Duration, head_within: Duration, idle_within: Duration) {
        for connection in self.open.borrow().values() {
            if connection.is_over(now, head_within, idle_within) {
                let _ = connection.commands.try_send(ConnectionCommand::Close);
            }
        }
    }
}
