//! Operator calls in flight. Each waits for the answer from the coordinator, which may forward the call to the
//! primary.

use passrelay_control_plane::{CallId, OperatorAnswer};
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Pending operator calls, each with the channel for its answer.
pub struct PendingOperatorCalls {
    pending: RefCell<HashMap<CallId, Sender<OperatorAnswer>>>,
    next_call: Cell<u64>,
}

impl PendingOperatorCalls {
    /// Creates an empty set of pending calls.
    pub fn new() -> Self {
        PendingOperatorCalls { pending: RefCell::default(), next_call: Cell::new(1) }
    }

    /// Registers a call under a new identifier. The returned channel receives the answer.
    pub fn register(&self) -> (CallId, Receiver<OperatorAnswer>) {
        let (answer, receiver) = smol::channel::bounded(1);
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        self.pending.borrow_mut().insert(call, answer);
        (call, receiver)
    }

    /// Delivers an answer. Has no effect if the call is not pending or its client has disconnected.
    pub fn complete(&self, call: CallId, answer: OperatorAnswer) {
        if let Some(sender) = self.pending.borrow_mut().remove(&call) {
            let _ = sender.try_send(answer);
        }
    }
}
