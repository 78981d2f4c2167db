//! HTTP/1.1 messages: parsing and serializing of heads, and incremental reading of bodies framed by length,
//! in chunks or by the end of the connection. Heads of requests are parsed by `httparse`, those of responses by
//! `passrelay_response_head`, which decides whether they are sound.

use crate::buffer_pool::{Buffer, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use passrelay_response_head::{check_field_line, fields, BodyFraming, HeadParser, RequestKind, UnsoundHead};
use std::fmt::Display;
use std::io::Write;
use thiserror::Error;

/// Maximum number of header lines in one request.
const MAX_HEADERS: usize = 64;
/// Maximum length of a chunk-size line, extensions included, and of a trailer line.
const MAX_FRAMING_LINE_BYTES: usize = 1024;

/// Maximum number of framing bytes in one chunked body, beside the body itself. Without a limit, a message
/// with endless trailers would be read for as long as they come.
const MAX_FRAMING_BYTES: usize = 512 * 1024;

/// Maximum size of a streamed response body: twice the largest response that clients are promised (32 MB).
pub const MAX_RELAYED_BYTES: usize = 64 << 20;

/// A malformed or oversized message, as the status code that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageError(pub u16);

/// Reason for which a response of a node or of discovery cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResponseFault {
    /// The head is unsound.
    #[error(transparent)]
    Head(#[from] UnsoundHead),
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
        let sound = HeadParser::new(RequestKind::Other, MAX_HEAD_BYTES).read(bytes)?;
        let Some(sound) = sound else { return Ok(None) };
        let framing = match sound.framing {
            BodyFraming::None => Framing::Length(0),
            // A body longer than a buffer is accepted here: a served response is streamed to the client.
            BodyFraming::Length(n) if n > MAX_RELAYED_BYTES as u64 => return Err(ResponseFault::TooLong),
            BodyFraming::Length(n) => Framing::Length(n as usize),
            BodyFraming::Chunked => Framing::Chunked,
            BodyFraming::Connection => Framing::UntilClose,
        };
        // A value that is not UTF-8 is sound, but none of those that are used here can be so.
        let headers = fields(&bytes[..sound.length]).filter_map(|(name, value)| {
            Some((name.to_ascii_lowercase(), std::str::from_utf8(value).ok()?.to_owned()))
        });
        let mut head = Head::new(sound.length, !sound.is_http_1_0, headers.collect());
        head.status = sound.status;
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

#[derive(Clone, Copy, Debug)]
enum ChunkStep {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// Reads one message body in place in its buffer. Chunked bodies are joined: the framing between chunks is
/// removed.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    step: ChunkStep,
    /// Framing bytes read since the last call of `consume`.
    framing_bytes: usize,
    /// Start of the body in the buffer.
    pub start: usize,
    pub end: usize,
    /// End of the parsed bytes in the buffer, framing included; equal to `end` unless framing follows the
    /// body.
    pub parsed_end: usize,
    /// Whether the body is consumed while it is received. Its size is then not limited by the buffer.
    pub streaming: bool,
    /// Body bytes already consumed and removed from the buffer.
    consumed: usize,
}

impl BodyReader {
    pub fn new(head: &Head) -> Self {
        let start = head.len;
        let (streaming, consumed) = (false, 0);
        BodyReader {
            framing: head.framing,
            step: ChunkStep::Size,
            framing_bytes: 0,
            start,
            end: start,
            parsed_end: start,
            streaming,
            consumed,
        }
    }

    /// Returns the declared length of the body, which is declared to the client as well; `None` if the
    /// message has none.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(n) => Some(n),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether the end of the connection marks the end of the body.
    pub fn until_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Removes the first `n` bytes of the body from the buffer after they have been forwarded.
    pub fn consume(&mut self, buffer: &mut Buffer, n: usize) {
        let n = n.min(self.end - self.start);
        buffer.remove_range(self.start, self.start + n);
        self.end -= n;
        self.parsed_end -= n;
        self.consumed += n;
        self.framing_bytes = 0;
    }

    /// Removes the bytes before the body from the buffer.
    pub fn drop_head(&mut self, buffer: &mut Buffer) {
        buffer.remove_range(0, self.start);
        self.end -= self.start;
        self.parsed_end -= self.start;
        self.start = 0;
    }

    /// Parses the bytes that the buffer holds by now; `ended` is set once the connection has ended. Returns
    /// whether the body is complete.
    pub fn read(&mut self, buffer: &mut Buffer, ended: bool) -> Result<bool, MessageError> {
        let filled = buffer.bytes().len();
        match self.framing {
            Framing::Length(n) => {
                self.end = filled.min(self.start + n - self.consumed);
                self.parsed_end = self.end;
                Ok(self.consumed + self.end - self.start == n)
            }
            Framing::UntilClose => {
                self.end = filled;
                self.parsed_end = filled;
                if self.end - self.start > MAX_BODY_BYTES && !self.streaming {
                    Err(MessageError(413))
                } else {
                    Ok(ended)
                }
            }
            Framing::Chunked => {
                let done = self.read_chunks(buffer)?;
                if !done && self.parsed_end > self.end {
                    buffer.remove_range(self.end, self.parsed_end);
                    self.parsed_end = self.end;
                }
                Ok(done)
            }
        }
    }

    /// Skips framing bytes and checks their limit.
    fn skip_framing(&mut self, bytes: usize) -> Result<(), MessageError> {
        self.parsed_end += bytes;
        self.framing_bytes += bytes;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(MessageError(400));
        }
        Ok(())
    }

    fn read_chunks(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        loop {
            let filled = buffer.bytes().len();
            let unread = &buffer.bytes()[self.parsed_end..];
            match self.step {
                ChunkStep::Size => match parse_chunk_size(unread) {
                    Ok(httparse::Status::Complete((line_len, size))) => {
                        if !self.streaming && size > (MAX_BODY_BYTES - (self.end - self.start)) as u64 {
                            return Err(MessageError(413));
                        }
                        self.skip_framing(line_len)?;
                        self.step =
                            if size == 0 { ChunkStep::Trailer } else { ChunkStep::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if unread.len() <= MAX_FRAMING_LINE_BYTES => {
                        return Ok(false)
                    }
                    _ => return Err(MessageError(400)),
                },
                ChunkStep::Data(remaining) => {
                    let n = remaining.min(filled - self.parsed_end);
                    buffer.shift_down(self.parsed_end, self.parsed_end + n, self.end);
                    self.end += n;
                    self.parsed_end += n;
                    self.step =
                        if n == remaining { ChunkStep::DataEnd } else { ChunkStep::Data(remaining - n) };
                    if n < remaining {
                        return Ok(false);
                    }
                }
                ChunkStep::DataEnd => {
                    if unread.len() < 2 {
                        return Ok(false);
                    }
                    if &unread[..2] != b"\r\n" {
                        return Err(MessageError(400));
                    }
                    self.skip_framing(2)?;
                    self.step = ChunkStep::Size;
                }
                ChunkStep::Trailer => {
                    let Some(line_end) = unread.windows(2).position(|w| w == b"\r\n") else {
                        return if unread.len() > MAX_FRAMING_LINE_BYTES {
                            Err(MessageError(400))
                        } else {
                            Ok(false)
                        };
                    };
                    if line_end > 0 && check_field_line(&unread[..line_end]).is_err() {
                        return Err(MessageError(400));
                    }
                    self.skip_framing(line_end + 2)?;
                    if line_end == 0 {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

/// Parses the line before a chunk. Returns its length and the size of the chunk.
fn parse_chunk_size(bytes: &[u8]) -> Result<httparse::Status<(usize, u64)>, httparse::InvalidChunkSize> {
    // The library takes a line without a digit for the size 0, which would end the body.
    if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(httparse::InvalidChunkSize);
    }
    httparse::parse_chunk_size(bytes)
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
