//! HTTP/1.1 framing: heads by httparse, bodies by length, in chunks or up to the end of the connection.

use crate::buffer_pool::{Buffer, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::fmt::Display;
use std::io::Write;

/// Most header lines of one message.
const MAX_HEADERS: usize = 64;
/// The longest line that states a chunk's size, extensions included, and the longest trailer line.
const MAX_LINE: usize = 1024;

/// The most bytes that chunked framing may cost beside the body. Guards against trailers without end, which
/// would be read for as long as they come.
const MAX_FRAMING: usize = 512 * 1024;

/// The longest answer that is passed on: twice the largest that clients are promised (32 MB).
pub const MAX_RELAYED_BYTES: usize = 64 << 20;

/// What is wrong with a message, as the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageError(pub u16);

/// How far a body's end is known from its head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The head of a message.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Bytes up to the body.
    pub len: usize,
    pub method: String,
    pub target: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub framing: Framing,
    /// The other side closes after this message.
    pub close: bool,
}

impl Head {
    /// The value of a header given by its lower-case name; `None` if absent or given twice.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str());
        values.next().filter(|_| values.next().is_none())
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Headers that go on to the next party: neither about the connection nor about the framing.
    pub fn forwarded_headers(&self) -> impl Iterator<Item = &(String, String)> {
        let own = ["connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host"];
        let more = ["content-length", "expect", "proxy-connection", "proxy-authorization"];
        // The id goes on whatever the client says: a node has no use for a request without one.
        let named = |n: &str| n != "x-call-id" && self.has_token("connection", n);
        self.headers
            .iter()
            .filter(move |(n, _)| !own.contains(&n.as_str()) && !more.contains(&n.as_str()) && !named(n))
    }

    /// Whether a header that is a list names `word`.
    pub fn has_token(&self, header: &str, word: &str) -> bool {
        self.all(header).flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Reads the head of a request; `None`: more bytes are needed.
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
        let mut head = Head::new(len, parsed.version, parsed.headers)?;
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

    /// Reads the head of an answer; `None`: more bytes are needed.
    pub fn parse_response(bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut slots);
        let httparse::Status::Complete(len) = parsed.parse(bytes).map_err(|_| MessageError(502))? else {
            return if bytes.len() >= MAX_HEAD_BYTES { Err(MessageError(502)) } else { Ok(None) };
        };
        let mut head = Head::new(len, parsed.version, parsed.headers).map_err(|_| MessageError(502))?;
        head.status = parsed.code.unwrap_or(0);
        let stated = head.declared_framing().map_err(|_| MessageError(502))?;
        head.framing = match head.status {
            100..=199 | 204 | 304 => Framing::Length(0),
            _ => stated.unwrap_or(Framing::UntilClose),
        };
        // A length over a buffer is no fault here: an answer to serve is passed on while it comes.
        match head.framing {
            Framing::Length(n) if n > MAX_RELAYED_BYTES => return Err(MessageError(502)),
            Framing::UntilClose => head.close = true,
            _ => {}
        }
        Ok(Some(head))
    }

    fn new(len: usize, version: Option<u8>, headers: &[httparse::Header]) -> Result<Head, MessageError> {
        let text =
            |v: &[u8]| std::str::from_utf8(v).map(|v| v.trim().to_owned()).map_err(|_| MessageError(400));
        let headers = headers.iter().map(|h| Ok((h.name.to_ascii_lowercase(), text(h.value)?)));
        let (method, target) = (String::new(), String::new());
        let framing = Framing::Length(0);
        let headers = headers.collect::<Result<Vec<_>, _>>()?;
        let mut head = Head { len, method, target, status: 0, headers, framing, close: false };
        let old = version != Some(1) && !head.has_token("connection", "keep-alive");
        head.close = old || head.has_token("connection", "close");
        Ok(head)
    }

    /// Guards against two readings of one message: a length beside chunks, or two lengths, are refused.
    fn declared_framing(&self) -> Result<Option<Framing>, MessageError> {
        let mut codings = self.all("transfer-encoding");
        let mut lengths = self.all("content-length");
        match (codings.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(length)) => {
                let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                let same = lengths.all(|l| l == length);
                let Ok(n) = length.parse::<usize>() else {
                    return Err(MessageError(if digits { 413 } else { 400 }));
                };
                if digits && same {
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

/// Reads one body inside its buffer; chunks are joined in place.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    step: ChunkStep,
    /// Bytes of chunked framing so far.
    spent: usize,
    /// Where the body stands in the buffer.
    pub start: usize,
    pub end: usize,
    /// The first byte that does not belong to it, as far as read.
    pub raw: usize,
    /// It goes on while it comes: no bound on its size but the buffer's, which is emptied as it goes.
    pub streaming: bool,
    /// Bytes of it already passed on and cut from the buffer.
    taken: usize,
}

impl BodyReader {
    pub fn new(head: &Head) -> Self {
        let start = head.len;
        let (streaming, taken) = (false, 0);
        BodyReader {
            framing: head.framing,
            step: ChunkStep::Size,
            spent: 0,
            start,
            end: start,
            raw: start,
            streaming,
            taken,
        }
    }

    /// Whether the body has a length that was told: then the client gets the same one.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(n) => Some(n),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Whether the body ends with its connection.
    pub fn until_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Cuts the first `n` bytes of the body out of the buffer: they have been passed on.
    pub fn consume(&mut self, buffer: &mut Buffer, n: usize) {
        let n = n.min(self.end - self.start);
        buffer.cut(self.start, self.start + n);
        self.end -= n;
        self.raw -= n;
        self.taken += n;
        self.spent = 0;
    }

    /// Cuts what stands before the body out of the buffer.
    pub fn drop_head(&mut self, buffer: &mut Buffer) {
        buffer.cut(0, self.start);
        self.end -= self.start;
        self.raw -= self.start;
        self.start = 0;
    }

    /// Takes in what the buffer holds by now; true when the body is whole.
    pub fn read(&mut self, buffer: &mut Buffer, ended: bool) -> Result<bool, MessageError> {
        let filled = buffer.bytes().len();
        match self.framing {
            Framing::Length(n) => {
                self.end = filled.min(self.start + n - self.taken);
                self.raw = self.end;
                Ok(self.taken + self.end - self.start == n)
            }
            Framing::UntilClose => {
                self.end = filled;
                self.raw = filled;
                if self.end - self.start > MAX_BODY_BYTES && !self.streaming {
                    Err(MessageError(413))
                } else {
                    Ok(ended)
                }
            }
            Framing::Chunked => {
                let done = self.chunks(buffer)?;
                if !done && self.raw > self.end {
                    buffer.cut(self.end, self.raw);
                    self.raw = self.end;
                }
                Ok(done)
            }
        }
    }

    /// Passes over bytes of the framing.
    fn skip(&mut self, bytes: usize) -> Result<(), MessageError> {
        self.raw += bytes;
        self.spent += bytes;
        if self.spent > MAX_FRAMING {
            return Err(MessageError(400));
        }
        Ok(())
    }

    fn chunks(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        loop {
            let filled = buffer.bytes().len();
            let rest = &buffer.bytes()[self.raw..];
            match self.step {
                ChunkStep::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        if !self.streaming && size > (MAX_BODY_BYTES - (self.end - self.start)) as u64 {
                            return Err(MessageError(413));
                        }
                        self.skip(used)?;
                        self.step =
                            if size == 0 { ChunkStep::Trailer } else { ChunkStep::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_LINE => return Ok(false),
                    _ => return Err(MessageError(400)),
                },
                ChunkStep::Data(left) => {
                    let n = left.min(filled - self.raw);
                    buffer.shift_down(self.raw, self.raw + n, self.end);
                    self.end += n;
                    self.raw += n;
                    self.step = if n == left { ChunkStep::DataEnd } else { ChunkStep::Data(left - n) };
                    if n < left {
                        return Ok(false);
                    }
                }
                ChunkStep::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(false);
                    }
                    if &rest[..2] != b"\r\n" {
                        return Err(MessageError(400));
                    }
                    self.skip(2)?;
                    self.step = ChunkStep::Size;
                }
                ChunkStep::Trailer => {
                    let Some(at) = rest.windows(2).position(|w| w == b"\r\n") else {
                        return if rest.len() > MAX_LINE { Err(MessageError(400)) } else { Ok(false) };
                    };
                    self.skip(at + 2)?;
                    if at == 0 {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

fn reason(status: u16) -> &'static str {
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

/// The head of an answer that is passed on while it comes: with the node's length where it told one, else in
/// chunks.
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

/// The head of an answer with a body of `length` bytes.
pub fn response_head(status: u16, length: usize, close: bool, more: &[(&str, &dyn Display)]) -> Vec<u8> {
    let mut head = Vec::with_capacity(160);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", reason(status));
    for (name, value) in more {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    head
}
