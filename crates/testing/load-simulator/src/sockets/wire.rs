//! HTTP/1.1 as far as stand-ins and load need it: one message at a time on a connection that is kept.

use mio::net::TcpStream;
use mio::{Events, Poll};
use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

/// The longest message that is read.
const MOST: usize = 1 << 20;

/// The longest wait for events, so that a stop is noticed.
const LOOK: Duration = Duration::from_millis(50);

/// Waits for events until something is due, but not for long; a signal ends the wait with no events.
///
/// # Errors
///
/// Fails when the poller does.
pub fn wait(poll: &mut Poll, events: &mut Events, due: Option<Duration>) -> io::Result<()> {
    match poll.poll(events, Some(due.map_or(LOOK, |d| d.min(LOOK)))) {
        Err(e) if e.kind() == ErrorKind::Interrupted => {
            events.clear();
            Ok(())
        }
        other => other,
    }
}

/// A connection with what has come in and what is to go out.
pub struct Conn {
    /// The socket.
    pub sock: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

/// A message's first line and headers, as far as they matter here, and its length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method of a request.
    pub method: String,
    /// Target of a request.
    pub target: String,
    /// Status of an answer.
    pub status: u16,
    /// `X-Call-Class`.
    pub class: String,
    /// `work` of `X-Call-Info`, in seconds.
    pub work: Option<f64>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// The other side closes after it.
    pub close: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// What came in is no HTTP, or is not framed by a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

impl Conn {
    /// A connection that has nothing to read or write yet.
    pub fn new(sock: TcpStream) -> Conn {
        let _ = sock.set_nodelay(true);
        Conn { sock, input: Vec::new(), output: Vec::new(), written: 0 }
    }

    /// Reads what is there; false once the other side has closed.
    pub fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        loop {
            match self.sock.read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return self.input.len() <= MOST,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Puts bytes in to be written and writes what goes; false when the connection is broken.
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        self.output.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes what goes; false when the connection is broken.
    pub fn flush(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.sock.write(&self.output[self.written..]) {
                Ok(n) => self.written += n,
                // A connection that is not up yet takes nothing.
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.output.clear();
        self.written = 0;
        true
    }

    /// The next whole message; `None`: more bytes are needed.
    ///
    /// # Errors
    ///
    /// The bytes are no HTTP, or are not framed by a length.
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
        if body > MOST || self.input.len() < len + body {
            return if body > MOST { Err(Unreadable) } else { Ok(None) };
        }
        message.body = self.input[len..len + body].to_vec();
        self.input.drain(..len + body);
        Ok(Some(message))
    }
}
