//! The subset of HTTP/1.1 that simulated nodes and the load generator need: one message at a time on a persistent
//! connection.

use mio::net::TcpStream;
use mio::{Events, Poll};
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
        let mut slots = [httparse::EMPTY_HEADER; 48];
        let mut message = Message::default();
        let (len, headers) = if answer {
            let mut parsed = httparse::Response::new(&mut slots);
            let httparse::Status::Complete(len) = parsed.parse(&self.input).map_err(|_| Unreadable)? else {
                return Ok(None);
            };
            message.status = parsed.code.unwrap_or(0);
            (len, parsed.headers)
        } else {
            let mut parsed = httparse::Request::new(&mut slots);
            let httparse::Status::Complete(len) = parsed.parse(&self.input).map_err(|_| Unreadable)? else {
                return Ok(None);
            };
            message.method = parsed.method.unwrap_or("").to_owned();
            message.target = parsed.path.unwrap_or("").to_owned();
            (len, parsed.headers)
        };
        let mut body = 0;
        for header in headers.iter() {
            let text = || std::str::from_utf8(header.value).unwrap_or("").trim();
            let is = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is("content-length") {
                body = text().parse().map_err(|_| Unreadable)?;
            } else if is("transfer-encoding") {
                return Err(Unreadable);
            } else if is("x-call-class") {
                message.class = text().to_owned();
            } else if is("x-call-info") {
                let work = text().split(',').find_map(|p| p.trim().strip_prefix("work="));
                message.work = work.and_then(|w| w.parse().ok());
            } else if is("retry-after") {
                message.retry_after = text().parse().ok();
            } else if is("connection") {
                message.close = text().eq_ignore_ascii_case("close");
            }
        }
        if body > MAX_MESSAGE_BYTES || self.input.len() < len + body {
            return if body > MAX_MESSAGE_BYTES { Err(Unreadable) } else { Ok(None) };
        }
        message.body = self.input[len..len + body].to_vec();
        self.input.drain(..len + body);
        Ok(Some(message))
    }
}
