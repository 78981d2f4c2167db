//! State machine of one client connection: reads one request at a time and writes its answer. Decides nothing about requests.

use crate::buffer_pool::{Buffer, BufferPool};
use crate::http::{BodyReader, Head, MessageError};
use mio::net::TcpStream;
use passrelay_load_balancing::RequestId;
use std::io::{self, IoSlice, Read, Write};
use std::net::Shutdown;
use std::ops::Range;

/// Maximum reads per turn while draining input.
const MAX_DRAIN_READS: usize = 16;

/// Result of reading from a client.
pub enum Received {
    /// No complete request yet.
    Partial,
    /// Drained input; there may be more in the next turn.
    Yield,
    /// A complete request.
    Request(Head),
    /// Input that is no valid request.
    Invalid(MessageError),
    /// The client has disconnected.
    Closed,
}

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Between two requests.
    Idle,
    /// A request is coming in.
    Reading,
    /// A request waits for its answer.
    Waiting(RequestId),
    /// An answer goes out.
    Writing,
    /// A served answer goes out while it comes from the node on this upstream.
    Relaying(usize),
    /// The last answer is written and the write side shut down; further input is discarded until the client closes. Closing with unread
    /// input would reset the connection and destroy an answer that the client has not read yet.
    Lingering,
}

/// One client's connection.
pub struct ClientConnection {
    pub socket: TcpStream,
    pub stage: Stage,
    /// Start of the current stage, in seconds on the loop's clock.
    pub since: f64,
    /// When it was accepted; `None` after its first complete request.
    pub new_since: Option<f64>,
    /// Sequence number in the order of accepts.
    pub serial: u64,
    /// Whether to close after the current or next answer.
    pub close: bool,
    /// The client has shut down its side: nobody waits for an answer, whatever it sent before.
    pub peer_closed: bool,
    /// When the last byte came from the client.
    pub progress: f64,
    buffer: Option<Buffer>,
    reading: Option<(Head, BodyReader)>,
    body: Range<usize>,
    /// The first byte behind the request.
    rest: usize,
    continued: bool,
    out_head: Vec<u8>,
    out_body: Option<(Buffer, Range<usize>)>,
    written: usize,
}

impl ClientConnection {
    pub fn new(socket: TcpStream, now: f64, serial: u64) -> Self {
        ClientConnection {
            socket,
            stage: Stage::Idle,
            since: now,
            new_since: Some(now),
            serial,
            close: false,
            peer_closed: false,
            progress: now,
            buffer: None,
            reading: None,
            body: 0..0,
            rest: 0,
            continued: false,
            out_head: Vec::new(),
            out_body: None,
            written: 0,
        }
    }

    /// Whether closing now loses nothing: no complete request is there, read or unread.
    pub fn has_no_unread_input(&self) -> bool {
        match self.stage {
            Stage::Idle => !matches!(self.socket.peek(&mut [0]), Ok(n) if n > 0),
            Stage::Lingering | Stage::Reading => true,
            Stage::Waiting(_) | Stage::Writing | Stage::Relaying(_) => false,
        }
    }

    /// Whether the head of the request that comes in is whole.
    pub fn has_head(&self) -> bool {
        self.reading.is_some()
    }

    /// The body of the request that waits.
    pub fn request_body(&self) -> &[u8] {
        self.buffer.as_ref().map_or(&[], |buffer| &buffer.bytes()[self.body.clone()])
    }

    /// Callback: bytes may have come. Called again until it brings nothing.
    pub fn on_readable(&mut self, now: f64, buffers: &mut BufferPool) -> Received {
        match self.stage {
            Stage::Waiting(_) | Stage::Writing | Stage::Relaying(_) => return self.poll_while_waiting(),
            Stage::Lingering => return self.drain_input(),
            Stage::Idle | Stage::Reading => {}
        }
        loop {
            match self.parse_buffered() {
                Ok(Some(head)) => {
                    self.new_since = None;
                    return Received::Request(head);
                }
                Ok(None) => {}
                Err(fault) => return Received::Invalid(fault),
            }
            let buffer = self.buffer.get_or_insert_with(|| buffers.acquire());
            if buffer.is_full() {
                return Received::Invalid(MessageError(413));
            }
            match buffer.fill_from(&mut self.socket) {
                Ok(0) => return Received::Closed,
                Ok(_) if self.stage == Stage::Idle => {
                    self.stage = Stage::Reading;
                    self.since = now;
                    self.progress = now;
                }
                Ok(_) => self.progress = now,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    // Held only while bytes are in flight.
                    if self.stage == Stage::Idle {
                        self.buffer.take().into_iter().for_each(|buffer| buffers.release(buffer));
                    }
                    return Received::Partial;
                }
                Err(_) => return Received::Closed,
            }
        }
    }

    /// While a request is pending, reads ahead only to detect a disconnect; pipelined bytes stay buffered. A disconnect behind more
    /// bytes than fit the buffer is known from `peer_closed`.
    fn poll_while_waiting(&mut self) -> Received {
        if self.peer_closed && matches!(self.stage, Stage::Waiting(_)) {
            return Received::Closed;
        }
        let Some(buffer) = self.buffer.as_mut() else { return Received::Partial };
        while !buffer.is_full() {
            match buffer.fill_from(&mut self.socket) {
                Ok(0) => return Received::Closed,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Received::Partial,
                Err(_) => return Received::Closed,
            }
        }
        Received::Partial
    }

    /// Looks for a whole request in what has been read.
    fn parse_buffered(&mut self) -> Result<Option<Head>, MessageError> {
        let Some(buffer) = self.buffer.as_mut().filter(|buffer| !buffer.bytes().is_empty()) else {
            return Ok(None);
        };
        if self.reading.is_none() {
            let Some(head) = Head::parse_request(buffer.bytes())? else { return Ok(None) };
            let body = BodyReader::new(&head);
            self.continued = !head.has_token("expect", "100-continue");
            self.reading = Some((head, body));
        }
        let Some((_, body)) = self.reading.as_mut() else { return Ok(None) };
        if body.read(buffer, false)? {
            self.body = body.start..body.end;
            self.rest = body.raw;
            return Ok(self.reading.take().map(|(head, _)| head));
        }
        if !self.continued {
            self.continued = true;
            // Small enough for an empty send buffer; a client that misses it sends the body unasked.
            let _ = self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        Ok(None)
    }

    /// Puts an answer in place; it goes out by [`ClientConnection::on_writable`].
    pub fn reply(&mut self, now: f64, head: Vec<u8>, body: Option<(Buffer, Range<usize>)>) {
        self.out_head = head;
        self.out_body = body;
        self.written = 0;
        self.stage = Stage::Writing;
        self.since = now;
    }

    /// Callback: writes what is left of an answer; true when it is out.
    pub fn on_writable(&mut self, now: f64, buffers: &mut BufferPool) -> io::Result<bool> {
        if self.stage != Stage::Writing {
            return Ok(false);
        }
        loop {
            let body: &[u8] =
                self.out_body.as_ref().map_or(&[], |(buffer, range)| &buffer.bytes()[range.clone()]);
            let head = &self.out_head[self.written.min(self.out_head.len())..];
            let body = &body[self.written.saturating_sub(self.out_head.len()).min(body.len())..];
            if head.is_empty() && body.is_empty() {
                break;
            }
            match self.socket.write_vectored(&[IoSlice::new(head), IoSlice::new(body)]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        self.out_body.take().into_iter().for_each(|(buffer, _)| buffers.release(buffer));
        self.finish_response(now, buffers);
        Ok(true)
    }

    /// The answer is out: what the client sent behind its request is read next.
    pub fn finish_response(&mut self, now: f64, buffers: &mut BufferPool) {
        if let Some(buffer) = self.buffer.as_mut() {
            buffer.cut(0, self.rest);
        }
        let early = self.buffer.as_ref().is_some_and(|buffer| !buffer.bytes().is_empty());
        if !early {
            self.buffer.take().into_iter().for_each(|buffer| buffers.release(buffer));
        }
        self.rest = 0;
        self.body = 0..0;
        self.stage = if early { Stage::Reading } else { Stage::Idle };
        self.since = now;
    }

    /// The last answer is out: says so to the client.
    pub fn start_lingering(&mut self, now: f64) {
        let _ = self.socket.shutdown(Shutdown::Write);
        self.stage = Stage::Lingering;
        self.since = now;
    }

    /// Discards input after the last answer, at most [`MAX_DRAIN_READS`] reads per turn, so that a flood does not hold up the loop.
    pub fn drain_input(&mut self) -> Received {
        let mut sink = [0; 4096];
        for _ in 0..MAX_DRAIN_READS {
            match self.socket.read(&mut sink) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Received::Partial,
                _ => return Received::Closed,
            }
        }
        Received::Yield
    }

    /// Gives the buffers back.
    pub fn clear(mut self, buffers: &mut BufferPool) -> TcpStream {
        self.buffer.take().into_iter().for_each(|buffer| buffers.release(buffer));
        self.out_body.take().into_iter().for_each(|(buffer, _)| buffers.release(buffer));
        self.socket
    }
}
