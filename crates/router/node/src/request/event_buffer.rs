//! Splits a stream of server-sent events at event boundaries, so that it can be resumed after the last complete
//! event.

use bytes::{Bytes, BytesMut};
use std::rc::Rc;

/// Buffers an event stream and returns complete events only.
#[derive(Default)]
pub struct EventBuffer {
    /// The beginning of an event whose end has not arrived yet.
    partial: BytesMut,
    /// Id of the last returned event that has one.
    last_id: Option<Rc<str>>,
}

impl EventBuffer {
    /// Appends bytes and returns all events completed by them, or `None` if no event is complete.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = end_of_last_event(&self.partial)?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the remaining bytes after a regular end of the stream, or `None` if there are none.
    pub fn take_remaining(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Discards the beginning of an event whose end will not arrive.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the identifier of the last returned event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the position after the last empty line, which ends an event.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let after_lf = bytes.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let after_crlf = bytes.windows(4).rposition(|window| window == b"\r\n\r\n").map(|at| at + 4);
    after_lf.max(after_crlf)
}

fn last_id(events: &[u8]) -> Option<Rc<str>> {
    let text = std::str::from_utf8(events).ok()?;
    let value = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(value.trim().into())
}
