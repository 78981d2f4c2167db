//! The reasons for which a head is malformed.

use thiserror::Error;

/// Reason for which the head of a response is malformed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum MalformedHead {
    /// The first line is not that of an HTTP/1.0 or HTTP/1.1 response.
    #[error("the first line is no status line of HTTP/1.0 or HTTP/1.1")]
    StatusLine,
    /// The status code is outside 100 to 599.
    #[error("the status code {0:03} does not exist")]
    StatusCode(u16),
    /// The response switches protocols, which no request asks for.
    #[error("the response switches to another protocol, which was not asked for")]
    ProtocolSwitch,
    /// A line has no colon, or continues the line before it.
    #[error("a line is no field")]
    FieldLine,
    /// A field's name is empty, or contains a byte that is not part of a token.
    #[error("the name of a field is no token")]
    FieldName,
    /// A field's value contains a control byte.
    #[error("a field contains a control byte")]
    FieldValue,
    /// The empty line ends with a line feed alone, but the line before it does not.
    #[error("the head ends with a stray line feed")]
    StrayLineFeed,
    /// `Content-Length` is not a number of bytes, or has several values that differ.
    #[error("the declared length is no number of bytes, or several that differ")]
    ContentLength,
    /// `Transfer-Encoding` is anything but `chunked`, or is used in HTTP/1.0.
    #[error("the transfer coding is not `chunked`, or not possible in this version")]
    TransferEncoding,
    /// The response has both `Content-Length` and `Transfer-Encoding`.
    #[error("the response declares both a length and a transfer coding")]
    LengthAndCoding,
    /// The response declares a body, which its status code rules out.
    #[error("the response declares a body, which status {0} rules out")]
    BodyNotAllowed(u16),
    /// The head has too many bytes or fields.
    #[error("the head is too long")]
    TooLong,
}

impl MalformedHead {
    /// Returns the name under which responses with this fault are counted.
    pub fn label(self) -> &'static str {
        match self {
            MalformedHead::StatusLine => "status_line",
            MalformedHead::StatusCode(_) => "status_code",
            MalformedHead::ProtocolSwitch => "protocol_switch",
            MalformedHead::FieldLine => "field_line",
            MalformedHead::FieldName => "field_name",
            MalformedHead::FieldValue => "field_value",
            MalformedHead::StrayLineFeed => "stray_line_feed",
            MalformedHead::ContentLength => "content_length",
            MalformedHead::TransferEncoding => "transfer_encoding",
            MalformedHead::LengthAndCoding => "length_and_coding",
            MalformedHead::BodyNotAllowed(_) => "body_not_allowed",
            MalformedHead::TooLong => "too_long",
        }
    }
}
