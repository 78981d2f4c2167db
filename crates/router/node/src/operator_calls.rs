//! Operators' calls in flight: each waits for the answer that the coordinator produces, possibly from the
//! primary.

use passrelay_control_plane::{CallId, OperatorAnswer};
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Pending calls by identifier.
pub struct PendingOperatorCalls {
    pending: RefCell<HashMap<CallId, Sender<OperatorAnswer>>>,
    next_call: Cell<u64>,
}

impl PendingOperatorCalls {
    /// None pending.
    pub fn new() -> Self {
        PendingOperatorCalls { pending: RefCell::default(), next_call: Cell::new(1) }
    }

    /// Registers a call under a new identifier. The answer comes through the channel.
    pub fn register(&self) -> (CallId, Receiver<OperatorAnswer>) {
        let (answer, receiver) = smol::channel::bounded(1);
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        self.pending.borrow_mut().insert(call, answer);
        (call, receiver)
    }

    /// Delivers an answer. A call that is not pending, or whose client has gone, is ignored.
    pub fn complete(&self, call: CallId, answer: OperatorAnswer) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&call) {
            let _ = waiting.try_send(answer);
        }
    }
}
