//! Reads a head line by line, as its bytes arrive.

use crate::error::MalformedHead;
use crate::field::Field;
use crate::framing::{BodyFraming, DeclaredFraming};
use crate::status_line::StatusLine;

/// Maximum number of fields in a head.
pub const MAX_FIELDS: usize = 100;

/// The request that a response answers, as far as it decides about the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request with the method `HEAD`, whose response has no body.
    Head,
    /// Any other request.
    Other,
}

/// A well-formed head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Length of the head in bytes, including the empty line.
    pub length: usize,
    /// Status code, from 100 to 599.
    pub status: u16,
    /// Whether the response is one of HTTP/1.0.
    pub is_http_1_0: bool,
    /// How the body ends.
    pub framing: BodyFraming,
}

impl ResponseHead {
    /// Returns whether another response to the same request follows (status 1xx).
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// How a line ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineEnd {
    /// Carriage return and line feed.
    CrLf,
    /// A line feed alone, which a recipient may accept (RFC 9112, section 2.2).
    Lf,
}

/// Reads one head. A line is examined once, as soon as it is complete.
#[derive(Clone, Debug)]
pub struct HeadParser {
    request: RequestKind,
    max_bytes: usize,
    /// Start of the first line that has not been read.
    line_start: usize,
    /// End of the bytes that have been searched for the end of that line.
    searched: usize,
    status_line: Option<StatusLine>,
    previous_end: LineEnd,
    field_count: usize,
    framing: DeclaredFraming,
}

impl HeadParser {
    /// Creates a parser for the head of a response to such a request, which may have `max_bytes` bytes.
    pub fn new(request: RequestKind, max_bytes: usize) -> Self {
        HeadParser {
            request,
            max_bytes,
            line_start: 0,
            searched: 0,
            status_line: None,
            previous_end: LineEnd::CrLf,
            field_count: 0,
            framing: DeclaredFraming::default(),
        }
    }

    /// Reads all bytes of a response that have been received: those of the previous call, and what follows them. Returns
    /// `None` if the head goes on.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the head is malformed, as soon as a line shows it.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<ResponseHead>, MalformedHead> {
        while let Some(line_feed) = bytes[self.searched..].iter().position(|byte| *byte == b'\n') {
            let next_start = self.searched + line_feed + 1;
            let line = &bytes[self.line_start..next_start - 1];
            (self.line_start, self.searched) = (next_start, next_start);
            if next_start > self.max_bytes {
                return Err(MalformedHead::TooLong);
            }
            let (line, end) = match line.strip_suffix(b"\r") {
                Some(line) => (line, LineEnd::CrLf),
                None => (line, LineEnd::Lf),
            };
            if let Some(head) = self.read_line(line, end)? {
                return Ok(Some(head));
            }
            self.previous_end = end;
        }
        self.searched = bytes.len();
        self.check_incomplete(bytes)?;
        Ok(None)
    }

    /// Reads a line. Returns the head if the line ends it.
    fn read_line(&mut self, line: &[u8], end: LineEnd) -> Result<Option<ResponseHead>, MalformedHead> {
        let Some(status_line) = self.status_line else {
            self.status_line = Some(StatusLine::parse(line)?);
            return Ok(None);
        };
        if line.is_empty() {
            return self.finish(status_line, end).map(Some);
        }
        self.field_count += 1;
        if self.field_count > MAX_FIELDS {
            return Err(MalformedHead::TooLong);
        }
        self.framing.note(&Field::parse(line)?)?;
        Ok(None)
    }

    /// Ends the head. A line feed by itself after a line with a carriage return is a damaged byte of the next field, not an
    /// empty line: what follows would be taken for the body.
    fn finish(&self, status_line: StatusLine, end: LineEnd) -> Result<ResponseHead, MalformedHead> {
        if end == LineEnd::Lf && self.previous_end == LineEnd::CrLf {
            return Err(MalformedHead::StrayLineFeed);
        }
        Ok(ResponseHead {
            length: self.line_start,
            status: status_line.status,
            is_http_1_0: status_line.is_http_1_0,
            framing: self.framing.resolve(status_line, self.request)?,
        })
    }

    /// Checks what can be told of a head that goes on.
    fn check_incomplete(&self, bytes: &[u8]) -> Result<(), MalformedHead> {
        if self.status_line.is_none() && !StatusLine::may_begin_with(bytes) {
            return Err(MalformedHead::StatusLine);
        }
        if bytes.len() >= self.max_bytes {
            return Err(MalformedHead::TooLong);
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "parser/tests.rs"]
mod tests;
