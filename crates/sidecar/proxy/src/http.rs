//! HTTP/1.1 messages: parsing and serializing of heads. Heads of requests are parsed by `httparse`, those of responses by
//! `passrelay_response_head`, which decides whether they are parsed.

use crate::buffer_pool::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use passrelay_response_head::{fields, BodyFraming, HeadParser, MalformedHead, RequestKind};
use std::fmt::Display;
use std::io::Write;
use thiserror::Error;

/// Maximum number of header lines in one request.
const MAX_HEADERS: usize = 64;
/// Maximum size of a streamed response body: twice the largest response that clients are promised (32 MB).
pub const MAX_RELAYED_BYTES: usize = 64 << 20;

/// A malformed or oversized message, as the status code that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageError(pub u16);

/// Reason for which a response of a node or of discovery cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResponseFault {
    /// The head is malformed.
    #[error(transparent)]
    Head(#[from] MalformedHead),
    /// The chunks of the body are invalid.
    #[error("the chunks of the body are invalid")]
    Chunks,
    /// The response is longer than can be used.
    #[error("the response is too long")]
    TooLong,
}

impl From<MessageError> for ResponseFault {
    /// Returns the fault of a body that cannot be read.
    fn from(error: MessageError) -> Self {
        if error == MessageError(413) {
            ResponseFault::TooLong
        } else {
            ResponseFault::Chunks
        }
    }
}

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A parsed message head.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Length of the head in bytes: the offset of the body.
    pub len: usize,
    pub method: String,
    pub target: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub framing: Framing,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

impl Head {
    /// Returns the value of the header with this lower-case name; `None` if it is absent or occurs more than
    /// once.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|(n, _)| n == name).map(|(_, value)| value.as_str());
        values.next().filter(|_| values.next().is_none())
    }

    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the end-to-end headers: those that concern neither the connection nor the framing, which the
    /// sidecar writes anew.
    pub fn forwarded_headers(&self) -> impl Iterator<Item = &(String, String)> {
        let hop_by_hop =
            ["connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host"];
        let replaced = ["content-length", "expect", "proxy-connection", "proxy-authorization"];
        // `X-Call-Id` is forwarded even if the client lists it in `Connection`: a node cannot process a
        // request without an id.
        let connection_specific = |name: &str| name != "x-call-id" && self.has_token("connection", name);
        self.headers.iter().filter(move |(name, _)| {
            !hop_by_hop.contains(&name.as_str())
                && !replaced.contains(&name.as_str())
                && !connection_specific(name)
        })
    }

    /// Returns whether the comma-separated header `header` contains `token`, ignoring case.
    pub fn has_token(&self, header: &str, token: &str) -> bool {
        self.values(header)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Parses a request head. Returns `None` if more bytes are needed.
    pub fn parse_request(bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut slots);
        let status = match parsed.parse(bytes) {
            Ok(status) => status,
            Err(httparse::Error::TooManyHeaders) => return Err(MessageError(431)),
            Err(_) => return Err(MessageError(400)),
        };
        let httparse::Status::Complete(len) = status else {
            return if bytes.len() >= MAX_HEAD_BYTES { Err(MessageError(431)) } else { Ok(None) };
        };
        let text = |value: &[u8]| {
            std::str::from_utf8(value).map(|value| value.trim().to_owned()).map_err(|_| MessageError(400))
        };
        let headers = parsed.headers.iter().map(|h| Ok((h.name.to_ascii_lowercase(), text(h.value)?)));
        let headers = headers.collect::<Result<Vec<_>, _>>()?;
        let mut head = Head::new(len, parsed.version == Some(1), headers);
        head.method = parsed.method.unwrap_or("").to_owned();
        head.target = parsed.path.unwrap_or("").to_owned();
        head.framing = match head.declared_framing()? {
            Some(Framing::Length(n)) if n > MAX_BODY_BYTES => return Err(MessageError(413)),
            Some(framing) => framing,
            None => Framing::Length(0),
        };
        if !head.target.starts_with('/') || len > MAX_HEAD_BYTES {
            return Err(MessageError(if len > MAX_HEAD_BYTES { 431 } else { 400 }));
        }
        Ok(Some(head))
    }

    /// Parses a response head. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the response cannot be used.
    pub fn parse_response(bytes: &[u8]) -> Result<Option<Head>, ResponseFault> {
        let parsed = HeadParser::new(RequestKind::Other, MAX_HEAD_BYTES).read(bytes)?;
        let Some(parsed) = parsed else { return Ok(None) };
        let framing = match parsed.framing {
            BodyFraming::None => Framing::Length(0),
            // A body longer than a buffer is accepted here: a served response is streamed to the client.
            BodyFraming::Length(n) if n > MAX_RELAYED_BYTES as u64 => return Err(ResponseFault::TooLong),
            BodyFraming::Length(n) => Framing::Length(n as usize),
            BodyFraming::Chunked => Framing::Chunked,
            BodyFraming::Connection => Framing::UntilClose,
        };
        // A value that is not UTF-8 is parsed, but none of those that are used here can be so.
        let headers = fields(&bytes[..parsed.length]).filter_map(|(name, value)| {
            Some((name.to_ascii_lowercase(), std::str::from_utf8(value).ok()?.to_owned()))
        });
        let mut head = Head::new(parsed.length, !parsed.is_http_1_0, headers.collect());
        head.status = parsed.status;
        head.framing = framing;
        head.close |= framing == Framing::UntilClose;
        Ok(Some(head))
    }

    /// Creates the head of a request without a body, of HTTP/1.1 or of an earlier version.
    fn new(len: usize, is_http_1_1: bool, headers: Vec<(String, String)>) -> Head {
        let (method, target) = (String::new(), String::new());
        let framing = Framing::Length(0);
        let mut head = Head { len, method, target, status: 0, headers, framing, close: false };
        let closes_by_default = !is_http_1_1 && !head.has_token("connection", "keep-alive");
        head.close = closes_by_default || head.has_token("connection", "close");
        head
    }

    /// Returns the framing that the headers declare. Rejects a length combined with chunks, and differing
    /// lengths: two recipients could read such a message differently (request smuggling).
    fn declared_framing(&self) -> Result<Option<Framing>, MessageError> {
        let mut codings = self.values("transfer-encoding");
        let mut lengths = self.values("content-length");
        match (codings.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(length)) => {
                let is_numeric = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
                let all_equal = lengths.all(|other| other == length);
                let Ok(n) = length.parse::<usize>() else {
                    return Err(MessageError(if is_numeric { 413 } else { 400 }));
                };
                if is_numeric && all_equal {
                    Ok(Some(Framing::Length(n)))
                } else {
                    Err(MessageError(400))
                }
            }
            _ => Err(MessageError(400)),
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Serializes the head of a streamed response: with the node's `Content-Length` if it declared one, else
/// chunked.
pub fn streamed_response_head(length: Option<usize>, close: bool, content_type: Option<&str>) -> Vec<u8> {
    let mut head = Vec::with_capacity(160);
    let _ = write!(head, "HTTP/1.1 200 OK\r\n");
    match length {
        Some(n) => drop(write!(head, "Content-Length: {n}\r\n")),
        None => head.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
    if let Some(content_type) = content_type {
        let _ = write!(head, "Content-Type: {content_type}\r\n");
    }
    head.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    head
}

/// Serializes the head of a response with a body of `length` bytes.
pub fn response_head(
    status: u16,
    length: usize,
    close: bool,
    extra_headers: &[(&str, &dyn Display)],
) -> Vec<u8> {
    let mut head = Vec::with_capacity(160);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", reason_phrase(status));
    for (name, value) in extra_headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    head
}
