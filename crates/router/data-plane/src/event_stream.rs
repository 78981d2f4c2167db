//! Server-sent events (`text/event-stream`, WHATWG HTML section 9.2): where an event ends, and after which event a stream
//! that broke off can be resumed.
//!
//! A line ends with LF, CR or CRLF, and an empty line ends an event. [`EventScanner`] follows the lines of a stream in any
//! division into chunks. [`EventBuffer`] holds an event back until it is complete and keeps the [`ResumePosition`].

use bytes::{Bytes, BytesMut};

/// Byte that introduces a comment at the beginning of a line, and separates the name of a field from its value.
const COLON: u8 = b':';
/// Field that contains the identifier of an event.
const ID_FIELD: &[u8] = b"id";
/// Fields that have no effect of their own in an event without data, so that receiving them twice does no harm.
const FIELDS_WITHOUT_CONTENT: [&[u8]; 2] = [b"event", b"retry"];

/// The part of the current line that has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing.
    #[default]
    Empty,
    /// The beginning of a comment.
    Comment,
    /// The beginning of a field.
    Field,
}

/// Finds the ends of events in a stream that arrives in chunks. Contains no part of the stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether a field of an event has been read whose end has not arrived.
    has_open_event: bool,
    /// Whether the previous byte is a CR, which a following LF belongs to.
    after_carriage_return: bool,
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns the position in `data` after the last byte that belongs to no incomplete
    /// event, or `None` if there is none.
    pub fn scan(&mut self, data: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (index, byte) in data.iter().enumerate() {
            self.read(*byte);
            if !self.is_inside_event() {
                boundary = Some(index + 1);
            }
        }
        boundary
    }

    /// Returns whether the bytes so far end within an event or within a line. A receiver discards such an event.
    pub fn is_inside_event(&self) -> bool {
        self.has_open_event || self.line != Line::Empty
    }

    fn read(&mut self, byte: u8) {
        let is_second_half_of_line_end = byte == b'\n' && self.after_carriage_return;
        self.after_carriage_return = byte == b'\r';
        match byte {
            _ if is_second_half_of_line_end => {}
            b'\n' | b'\r' => self.end_line(),
            COLON if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => self.line = Line::Field,
            _ => {}
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => self.has_open_event = false,
            Line::Field => self.has_open_event = true,
            Line::Comment => {}
        }
    }
}

/// Where a stream that broke off can continue, such that no event is missing or comes twice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResumePosition {
    /// At the beginning: no event has been passed on.
    #[default]
    Start,
    /// After the event with this identifier, the last one passed on.
    After(Bytes),
    /// Nowhere: the last event passed on has no identifier.
    Unknown,
}

/// Buffers an event stream and returns complete events only.
#[derive(Debug, Default)]
pub struct EventBuffer {
    scanner: EventScanner,
    /// The beginning of an event whose end has not arrived yet.
    partial: BytesMut,
    position: ResumePosition,
}

impl EventBuffer {
    /// Appends bytes and returns all events completed by them, or `None` if no event is complete.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let buffered = self.partial.len();
        self.partial.extend_from_slice(data);
        let boundary = self.scanner.scan(data)?;
        let complete = self.partial.split_to(buffered + boundary).freeze();
        self.position.advance(&complete);
        Some(complete)
    }

    /// Returns whether the bytes so far end within an event or within a line.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns the remaining bytes after a regular end of the stream, or `None` if there are none.
    pub fn take_remaining(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Discards the beginning of an event whose end will not arrive, and expects the events after [`Self::position`].
    pub fn restart(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }

    /// Returns where the stream can continue if it breaks off now.
    pub fn position(&self) -> &ResumePosition {
        &self.position
    }
}

impl ResumePosition {
    /// Advances over complete events.
    fn advance(&mut self, events: &Bytes) {
        let mut event = EventSummary::default();
        for line in lines(events) {
            if line.is_empty() {
                self.advance_over(std::mem::take(&mut event), events);
            } else {
                event.read(line);
            }
        }
    }

    fn advance_over(&mut self, event: EventSummary, events: &Bytes) {
        match event.id {
            Some(id) if !id.is_empty() => *self = ResumePosition::After(events.slice_ref(id)),
            // An empty identifier resets the one that a client would resume with.
            Some(_) => *self = ResumePosition::Unknown,
            None if event.has_content => *self = ResumePosition::Unknown,
            None => {}
        }
    }
}

/// What the fields of an event tell about the position after it.
#[derive(Debug, Default)]
struct EventSummary<'a> {
    id: Option<&'a [u8]>,
    /// Whether a receiver would notice if the event came twice.
    has_content: bool,
}

impl<'a> EventSummary<'a> {
    /// Reads a line that is not empty.
    fn read(&mut self, line: &'a [u8]) {
        let (name, value) = split_field(line);
        let is_comment = name.is_empty();
        if name == ID_FIELD {
            // An identifier with a NUL is ignored.
            self.id = if value.contains(&0) { self.id } else { Some(value) };
        } else if !is_comment && !FIELDS_WITHOUT_CONTENT.contains(&name) {
            self.has_content = true;
        }
    }
}

/// Splits a line into the name and the value of its field. One space at the beginning of the value is not part of it.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == COLON) else { return (line, b"") };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the complete lines of `text`, without their line ends.
fn lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let line_end = if rest[end..].starts_with(b"\r\n") { 2 } else { 1 };
        let line = &rest[..end];
        rest = &rest[end + line_end..];
        Some(line)
    })
}
