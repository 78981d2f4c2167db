//! Splits a stream of server-sent events at event boundaries, so that a stream can be resumed after the last
//! complete one.

use bytes::{Bytes, BytesMut};
use std::rc::Rc;

/// Bytes of an event stream, returned in complete events.
#[derive(Default)]
pub struct EventBuffer {
    /// The beginning of an event whose end has not come.
    partial: BytesMut,
    last_id: Option<Rc<str>>,
}

impl EventBuffer {
    /// Appends bytes; returns all complete events that have not been returned before.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = end_of_last_event(&self.partial)?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// What is left when the stream has ended regularly.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Discards the beginning of an event whose end will not come.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Identifier of the last event returned that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).rposition(|window| window == b"\r\n\r\n").map(|at| at + 4);
    line_feeds.max(with_returns)
}

fn last_id(events: &[u8]) -> Option<Rc<str>> {
    let text = std::str::from_utf8(events).ok()?;
    let value = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(value.trim().into())
}
