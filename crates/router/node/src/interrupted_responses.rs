//! Counts the responses of endpoints that ended before they were complete, by how the end was noticed and what became of them.

use serde::Serialize;
use std::cell::Cell;

/// Interrupted responses since the start of the process, for operators.
#[derive(Debug, Default, Serialize)]
pub struct InterruptedResponses {
    /// Responses whose connection broke, or ended before the declared length or the last chunk.
    connection_broken: Cell<u64>,
    /// Event streams without a length whose connection ended regularly, but within an event.
    ended_inside_event: Cell<u64>,
    /// Interruptions after which another endpoint resumed the stream.
    resumed: Cell<u64>,
    /// Interruptions after which the response to the client was aborted.
    aborted: Cell<u64>,
}

impl InterruptedResponses {
    /// Counts a response whose connection broke.
    pub fn record_connection_broken(&self) {
        increment(&self.connection_broken);
    }

    /// Counts an event stream that ended within an event.
    pub fn record_ended_inside_event(&self) {
        increment(&self.ended_inside_event);
    }

    /// Counts what became of an interrupted response.
    pub fn record_result(&self, is_resumed: bool) {
        increment(if is_resumed { &self.resumed } else { &self.aborted });
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
