//! Counts the responses of endpoints that ended before they were complete, by how the end was noticed and what became of them.

use serde::Serialize;
use std::cell::RefCell;

/// Interrupted responses since the start of the process, for operators.
#[derive(Debug, Default)]
pub struct InterruptedResponses {
    counts: RefCell<Counts>,
}

#[derive(Debug, Default, Serialize)]
struct Counts {
    /// Responses whose connection broke, or ended before the declared length or the last chunk.
    connection_broken: u64,
    /// Event streams without a length whose connection ended regularly, but within an event.
    ended_inside_event: u64,
    /// Interruptions after which another endpoint resumed the stream.
    resumed: u64,
    /// Interruptions after which the response to the client was aborted.
    aborted: u64,
}

impl InterruptedResponses {
    /// Counts a response whose connection broke.
    pub fn record_connection_broken(&self) {
        self.counts.borrow_mut().connection_broken += 1;
    }

    /// Counts an event stream that ended within an event.
    pub fn record_ended_inside_event(&self) {
        self.counts.borrow_mut().ended_inside_event += 1;
    }

    /// Counts what became of an interrupted response.
    pub fn record_result(&self, is_resumed: bool) {
        let mut counts = self.counts.borrow_mut();
        if is_resumed {
            counts.resumed += 1;
        } else {
            counts.aborted += 1;
        }
    }

    /// Returns the counts as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!(*self.counts.borrow())
    }
}
