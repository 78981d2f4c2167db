//! The subset of HTTP/1.1 that simulated nodes and the load generator need: one message at a time on a persistent
//! connection.

use mio::net::TcpStream;
use mio::{Events, Poll};
use passrelay_response_head::{fields, BodyFraming, HeadParser, RequestKind};
use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

/// Maximum size of a message that is read.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Maximum wait for events, so that a stop flag is noticed.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Waits for events for at most `due` and 50 ms. A signal ends the wait without events.
///
/// # Errors
///
/// Returns an error if polling fails.
pub fn wait(poll: &mut Poll, events: &mut Events, due: Option<Duration>) -> io::Result<()> {
    match poll.poll(events, Some(due.map_or(MAX_WAIT, |d| d.min(MAX_WAIT)))) {
        Err(e) if e.kind() == ErrorKind::Interrupted => {
            events.clear();
            Ok(())
        }
        other => other,
    }
}

/// A connection with its input and output buffers.
pub struct Conn {
    /// The non-blocking socket.
    pub sock: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

/// A request or response, with the headers that are used here.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Value of `X-Call-Class`; empty if absent.
    pub class: String,
    /// Field `work` of `X-Call-Info`, in seconds.
    pub work: Option<f64>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the peer closes the connection after this message.
    pub close: bool,
    /// Body of the length that `Content-Length` gives.
    pub body: Vec<u8>,
}

/// The input is not HTTP/1.1, is not framed by `Content-Length`, or is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

impl Conn {
    /// Creates a connection with empty buffers and disables Nagle's algorithm.
    pub fn new(sock: TcpStream) -> Conn {
        let _ = sock.set_nodelay(true);
        Conn { sock, input: Vec::new(), output: Vec::new(), written: 0 }
    }

    /// Reads all available bytes. Returns `false` if the peer has closed, the connection is broken, or the buffered
    /// input is too long.
    pub fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        loop {
            match self.sock.read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return self.input.len() <= MAX_MESSAGE_BYTES,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Queues bytes and writes what the socket accepts. Returns `false` if the connection is broken.
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        self.output.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes as many queued bytes as the socket accepts. Returns `false` if the connection is broken.
    pub fn flush(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.sock.write(&self.output[self.written..]) {
                Ok(n) => self.written += n,
                // A connection that is not established yet accepts nothing.
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.output.clear();
        self.written = 0;
        true
    }

    /// Removes the next complete message from the input, a response if `answer` is set, else a request. Returns
    /// `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Unreadable`] if the input cannot be parsed or the body is too long.
    pub fn take(&mut self, answer: bool) -> Result<Option<Message>, Unreadable> {
        let head = if answer { read_response_head(&self.input)? } else { read_request_head(&self.input)? };
        let Some(Head { length, body_length, mut message }) = head else { return Ok(None) };
        if body_length > MAX_MESSAGE_BYTES {
            return Err(Unreadable);
        }
        if self.input.len() < length + body_length {
            return Ok(None);
        }
        message.body = self.input[length..length + body_length].to_vec();
        self.input.drain(..length + body_length);
        Ok(Some(message))
    }
}

/// The head of a message, and a message without its body.
struct Head {
    length: usize,
    body_length: usize,
    message: Message,
}

fn read_response_head(input: &[u8]) -> Result<Option<Head>, Unreadable> {
    let head = HeadParser::new(RequestKind::Other, MAX_MESSAGE_BYTES).read(input).map_err(|_| Unreadable)?;
    let Some(head) = head else { return Ok(None) };
    let body_length = match head.framing {
        BodyFraming::None => 0,
        BodyFraming::Length(length) => usize::try_from(length).map_err(|_| Unreadable)?,
        BodyFraming::Chunked | BodyFraming::Connection => return Err(Unreadable),
    };
    let mut message = Message { status: head.status, ..Message::default() };
    for (name, value) in fields(&input[..head.length]) {
        message.read_field(name, value);
    }
    Ok(Some(Head { length: head.length, body_length, message }))
}

fn read_request_head(input: &[u8]) -> Result<Option<Head>, Unreadable> {
    let mut slots = [httparse::EMPTY_HEADER; 48];
    let mut parsed = httparse::Request::new(&mut slots);
    let httparse::Status::Complete(length) = parsed.parse(input).map_err(|_| Unreadable)? else {
        return Ok(None);
    };
    let (method, target) = (parsed.method.unwrap_or("").to_owned(), parsed.path.unwrap_or("").to_owned());
    let mut message = Message { method, target, ..Message::default() };
    let mut body_length = 0;
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            body_length = text(header.value).parse().map_err(|_| Unreadable)?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Unreadable);
        }
        message.read_field(header.name, header.value);
    }
    Ok(Some(Head { length, body_length, message }))
}

fn text(value: &[u8]) -> &str {
    std::str::from_utf8(value).unwrap_or("").trim()
}

impl Message {
    /// Keeps the value of a field, if the field is used here.
    fn read_field(&mut self, name: &str, value: &[u8]) {
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        if is("x-call-class") {
            text(value).clone_into(&mut self.class);
        } else if is("x-call-info") {
            let work = text(value).split(',').find_map(|part| part.trim().strip_prefix("work="));
            self.work = work.and_then(|work| work.parse().ok());
        } else if is("retry-after") {
            self.retry_after = text(value).parse().ok();
        } else if is("connection") {
            self.close = text(value).eq_ignore_ascii_case("close");
        }
    }
}

#[cfg(test)]
mod tests;
