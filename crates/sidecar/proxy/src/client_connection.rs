//! State machine of one client connection: reads one request at a time and writes its response. The event
//! loop decides how requests are answered.

use crate::body_reader::BodyReader;
use crate::buffer_pool::{Buffer, BufferPool};
use crate::http::{Head, MessageError};
use mio::net::TcpStream;
use passrelay_load_balancing::RequestId;
use std::io::{self, IoSlice, Read, Write};
use std::net::Shutdown;
use std::ops::Range;

/// Maximum number of reads per turn while input is discarded.
const MAX_DRAIN_READS_PER_TURN: usize = 16;

/// Result of reading from a client.
pub enum Received {
    /// No complete request yet.
    Partial,
    /// Input was discarded and there may be more; other connections get their turn first.
    Yield,
    /// A complete request.
    Request(Head),
    /// The input is not a valid request.
    Invalid(MessageError),
    /// The client has disconnected.
    Closed,
}

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No request has begun to arrive.
    Idle,
    /// A request is being received.
    Reading,
    /// A request waits for its response.
    Waiting(RequestId),
    /// A response is being written.
    Writing,
    /// A response is being streamed from the upstream connection with this key.
    Relaying(usize),
    /// The last response is written and the write side is shut down; further input is discarded until the
    /// client closes. Closing with unread input would reset the connection and destroy a response that the
    /// client has not read yet.
    Lingering,
}

/// One client's connection.
pub struct ClientConnection {
    pub socket: TcpStream,
    pub stage: Stage,
    /// Start of the current stage, in seconds on the loop's clock.
    pub since: f64,
    /// When the connection was accepted; `None` after its first complete request.
    pub new_since: Option<f64>,
    /// Serial number in order of acceptance; tells the connection from earlier ones in the same slot.
    pub serial: u64,
    /// Whether to close the connection after the current or next response.
    pub close: bool,
    /// The client has shut down its write side: nobody waits for a response any more, whatever was sent
    /// before.
    pub peer_closed: bool,
    /// When the client last sent a byte, in seconds on the loop's clock.
    pub last_progress: f64,
    buffer: Option<Buffer>,
    /// Head and body reader of the request being received, once its head is complete.
    partial_request: Option<(Head, BodyReader)>,
    /// Range of the pending request's body in the buffer.
    request_body: Range<usize>,
    /// Offset in the buffer of the first byte after the request.
    request_end: usize,
    /// `100 Continue` has been sent, or the request does not ask for it.
    continue_handled: bool,
    response_head: Vec<u8>,
    response_body: Option<(Buffer, Range<usize>)>,
    /// Bytes written of the response head and body together.
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
            last_progress: now,
            buffer: None,
            partial_request: None,
            request_body: 0..0,
            request_end: 0,
            continue_handled: false,
            response_head: Vec::new(),
            response_body: None,
            written: 0,
        }
    }

    /// Returns whether closing now loses nothing: no complete request has arrived, read or unread.
    pub fn is_safe_to_close(&self) -> bool {
        match self.stage {
            Stage::Idle => !matches!(self.socket.peek(&mut [0]), Ok(n) if n > 0),
            Stage::Lingering | Stage::Reading => true,
            Stage::Waiting(_) | Stage::Writing | Stage::Relaying(_) => false,
        }
    }

    /// Returns whether the head of the request being received is complete.
    pub fn has_head(&self) -> bool {
        self.partial_request.is_some()
    }

    /// Returns the body of the pending request.
    pub fn request_body(&self) -> &[u8] {
        self.buffer.as_ref().map_or(&[], |buffer| &buffer.bytes()[self.request_body.clone()])
    }

    /// Reads available input. Called again after each complete request, until no further one is available.
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
                Err(error) => return Received::Invalid(error),
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
                    self.last_progress = now;
                }
                Ok(_) => self.last_progress = now,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    // An idle connection holds no buffer.
                    if self.stage == Stage::Idle {
                        self.buffer.take().into_iter().for_each(|buffer| buffers.release(buffer));
                    }
                    return Received::Partial;
                }
                Err(_) => return Received::Closed,
            }
        }
    }

    /// While a request is pending, reads ahead only to detect a disconnect; pipelined bytes stay buffered.
    /// `peer_closed` reports a disconnect that follows more bytes than fit the buffer.
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

    /// Parses the buffered input; returns the request's head once the request is complete.
    fn parse_buffered(&mut self) -> Result<Option<Head>, MessageError> {
        let Some(buffer) = self.buffer.as_mut().filter(|buffer| !buffer.bytes().is_empty()) else {
            return Ok(None);
        };
        if self.partial_request.is_none() {
            let Some(head) = Head::parse_request(buffer.bytes())? else { return Ok(None) };
            let body = BodyReader::new(&head);
            self.continue_handled = !head.has_token("expect", "100-continue");
            self.partial_request = Some((head, body));
        }
        let Some((_, body)) = self.partial_request.as_mut() else { return Ok(None) };
        if body.read(buffer, false)? {
            self.request_body = body.start..body.end;
            self.request_end = body.parsed_end;
            return Ok(self.partial_request.take().map(|(head, _)| head));
        }
        if !self.continue_handled {
            self.continue_handled = true;
            // Fits into an empty send buffer, so one write suffices. If it fails, the client sends the body
            // without waiting for it any longer.
            let _ = self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        Ok(None)
    }

    /// Sets the response, which [`ClientConnection::on_writable`] writes.
    pub fn set_response(&mut self, now: f64, head: Vec<u8>, body: Option<(Buffer, Range<usize>)>) {
        self.response_head = head;
        self.response_body = body;
        self.written = 0;
        self.stage = Stage::Writing;
        self.since = now;
    }

    /// Writes the rest of the response; returns whether it has been written completely.
    pub fn on_writable(&mut self, now: f64, buffers: &mut BufferPool) -> io::Result<bool> {
        if self.stage != Stage::Writing {
            return Ok(false);
        }
        loop {
            let body: &[u8] =
                self.response_body.as_ref().map_or(&[], |(buffer, range)| &buffer.bytes()[range.clone()]);
            let head = &self.response_head[self.written.min(self.response_head.len())..];
            let body = &body[self.written.saturating_sub(self.response_head.len()).min(body.len())..];
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
        self.response_body.take().into_iter().for_each(|(buffer, _)| buffers.release(buffer));
        self.finish_response(now, buffers);
        Ok(true)
    }

    /// Ends the exchange after its response is written. Pipelined bytes after the request are parsed next.
    pub fn finish_response(&mut self, now: f64, buffers: &mut BufferPool) {
        if let Some(buffer) = self.buffer.as_mut() {
            buffer.remove_range(0, self.request_end);
        }
        let has_pipelined_input = self.buffer.as_ref().is_some_and(|buffer| !buffer.bytes().is_empty());
        if !has_pipelined_input {
            self.buffer.take().into_iter().for_each(|buffer| buffers.release(buffer));
        }
        self.request_end = 0;
        self.request_body = 0..0;
        self.stage = if has_pipelined_input { Stage::Reading } else { Stage::Idle };
        self.since = now;
    }

    /// Shuts down the write side after the last response, which tells the client that no more follow.
    pub fn start_lingering(&mut self, now: f64) {
        let _ = self.socket.shutdown(Shutdown::Write);
        self.stage = Stage::Lingering;
        self.since = now;
    }

    /// Discards input after the last response, with at most [`MAX_DRAIN_READS_PER_TURN`] reads per turn, so
    /// that a flood of input does not hold up the event loop.
    pub fn drain_input(&mut self) -> Received {
        let mut discarded = [0; 4096];
        for _ in 0..MAX_DRAIN_READS_PER_TURN {
            match self.socket.read(&mut discarded) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Received::Partial,
                _ => return Received::Closed,
            }
        }
        Received::Yield
    }

    /// Releases the buffers and returns the socket.
    pub fn into_socket(mut self, buffers: &mut BufferPool) -> TcpStream {
        self.buffer.take().into_iter().for_each(|buffer| buffers.release(buffer));
        self.response_body.take().into_iter().for_each(|(buffer, _)| buffers.release(buffer));
        self.socket
    }
}
