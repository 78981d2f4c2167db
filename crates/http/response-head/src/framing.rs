//! How the end of a body is determined (RFC 9112, section 6).

use crate::error::MalformedHead;
use crate::field::Field;
use crate::parser::RequestKind;
use crate::status_line::StatusLine;

/// The only transfer coding that is read.
const CHUNKED: &[u8] = b"chunked";
/// Status of a response without content.
const NO_CONTENT: u16 = 204;
/// Status of a response that refers to content that the client has.
const NOT_MODIFIED: u16 = 304;
/// Highest length that is read, in bytes.
const MAX_LENGTH: u64 = u64::MAX >> 1;

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The response has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The last chunk ends the body.
    Chunked,
    /// The end of the connection ends the body.
    Connection,
}

/// What the fields of a head declare about the length of the body.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeclaredFraming {
    length: Option<u64>,
    is_chunked: bool,
}

impl DeclaredFraming {
    /// Notes what a field declares, if it declares anything.
    pub fn note(&mut self, field: &Field) -> Result<(), MalformedHead> {
        if field.is("content-length") {
            self.note_length(field.value)
        } else if field.is("transfer-encoding") {
            self.note_coding(field.value)
        } else {
            Ok(())
        }
    }

    /// Notes a length, or a list of equal ones (RFC 9110, section 8.6).
    fn note_length(&mut self, value: &[u8]) -> Result<(), MalformedHead> {
        for item in value.split(|byte| *byte == b',') {
            let length = parse_length(item.trim_ascii()).ok_or(MalformedHead::ContentLength)?;
            if self.length.replace(length).is_some_and(|previous| previous != length) {
                return Err(MalformedHead::ContentLength);
            }
        }
        Ok(())
    }

    /// Notes a transfer coding. Requests don't ask for any, so that chunks alone are expected, and once.
    fn note_coding(&mut self, value: &[u8]) -> Result<(), MalformedHead> {
        let is_repeated = std::mem::replace(&mut self.is_chunked, true);
        if is_repeated || !value.eq_ignore_ascii_case(CHUNKED) {
            return Err(MalformedHead::TransferEncoding);
        }
        Ok(())
    }

    /// Returns the framing of a response with this status line.
    pub fn resolve(
        self,
        status_line: StatusLine,
        request: RequestKind,
    ) -> Result<BodyFraming, MalformedHead> {
        if self.is_chunked && self.length.is_some() {
            return Err(MalformedHead::LengthAndCoding);
        }
        if self.is_chunked && status_line.is_http_1_0 {
            return Err(MalformedHead::TransferEncoding);
        }
        let declares_body = self.is_chunked || self.length.is_some_and(|length| length > 0);
        match status_line.status {
            status @ (100..=199 | NO_CONTENT) if declares_body => Err(MalformedHead::BodyNotAllowed(status)),
            100..=199 | NO_CONTENT | NOT_MODIFIED => Ok(BodyFraming::None),
            _ if request == RequestKind::Head => Ok(BodyFraming::None),
            _ if self.is_chunked => Ok(BodyFraming::Chunked),
            _ => Ok(self.length.map_or(BodyFraming::Connection, BodyFraming::Length)),
        }
    }
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let length = std::str::from_utf8(digits).ok()?.parse().ok()?;
    (length <= MAX_LENGTH).then_some(length)
}
