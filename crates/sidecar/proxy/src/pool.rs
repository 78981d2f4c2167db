//! Pools: the connections to each node. An upstream connection is one connection and carries one attempt at a time.

use crate::body_relay::{BodyRelay, Flow};
use crate::buffer_pool::{Buffer, BufferPool};
use crate::http::{relay_head, BodyReader, Head};
use mio::net::TcpStream;
use passrelay_load_balancing::{Ending, LoadReport, RequestId, UpstreamId};
use passrelay_sidecar_settings::{is_plausible, parse_load_report};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::ops::Range;

/// The purpose of a connection's current exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Attempt {
    /// An attempt of a request.
    Request { id: RequestId, number: u32 },
    /// A health check, sent at this time.
    Probe { sent: f64 },
}

/// State of an upstream connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Connecting.
    Dialing,
    /// Connected, with an attempt in flight.
    Busy,
    /// Connected, without an attempt.
    Idle,
    /// Its answer is being relayed to a client while it arrives.
    Relaying,
}

/// Result of an attempt.
pub struct AttemptResult {
    pub ending: Ending,
    pub report: Option<LoadReport>,
    /// The body of an answer to serve, and its media type.
    pub load: Option<ResponseBody>,
    /// The connection can carry another attempt.
    pub reusable: bool,
    pub blame: Blame,
    /// The answer is served but larger than a buffer: the rest comes on this connection, by a body relay.
    pub stream: bool,
}

/// Whose fault a failed exchange is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blame {
    /// Nobody's, or the node's as far as the ending says so.
    None,
    /// The node's: what it sent is no valid response.
    InvalidResponse,
    /// The client's: the node rejects the request itself (4xx).
    RejectedRequest,
}

/// Body of an answer to serve, still in its buffer.
pub struct ResponseBody {
    pub buffer: Buffer,
    pub body: Range<usize>,
    pub media: Option<String>,
}

/// One connection to a node.
pub struct UpstreamConnection {
    pub sock: TcpStream,
    pub node: UpstreamId,
    pub dial: SocketAddr,
    pub phase: Phase,
    pub attempt: Option<Attempt>,
    /// Start of the current phase, in seconds on the loop's clock.
    pub since: f64,
    /// Sequence number, which tells it from earlier connections in the same slot.
    pub number: u64,
    buffer: Option<Buffer>,
    /// Bytes written so far; all of them are out once the buffer is cleared for the answer.
    written: usize,
    sent: bool,
    /// The last byte of the request is held back until a dead connection has had time to show. A request that must not run twice
    /// would otherwise count as possibly executed on a connection that the node has already dropped.
    pub held: bool,
    answer: Option<(Head, BodyReader)>,
    /// Where its answer goes while it comes.
    pub relay: Option<BodyRelay>,
}

impl UpstreamConnection {
    pub fn new(
        sock: TcpStream,
        node: UpstreamId,
        dial: SocketAddr,
        attempt: Attempt,
        now: f64,
        number: u64,
    ) -> Self {
        UpstreamConnection {
            sock,
            node,
            dial,
            phase: Phase::Dialing,
            attempt: Some(attempt),
            since: now,
            number,
            buffer: None,
            written: 0,
            sent: false,
            held: false,
            answer: None,
            relay: None,
        }
    }

    /// Callback while dialing: `None` while the connection is still coming up.
    pub fn on_dialed(&mut self) -> Option<io::Result<()>> {
        match self.sock.take_error() {
            Ok(None) => {}
            Ok(Some(e)) | Err(e) => return Some(Err(e)),
        }
        match self.sock.peer_addr() {
            Ok(_) => Some(Ok(())),
            Err(e) if e.kind() == io::ErrorKind::NotConnected => None,
            Err(e) => Some(Err(e)),
        }
    }

    /// Puts a whole request in place; it goes out by [`UpstreamConnection::on_ready`].
    pub fn load(&mut self, now: f64, attempt: Attempt, buffer: Buffer) {
        self.phase = Phase::Busy;
        self.since = now;
        self.attempt = Some(attempt);
        self.buffer = Some(buffer);
        self.written = 0;
        self.sent = false;
        self.answer = None;
    }

    /// Whether it missed the connect timeout and may still connect.
    pub fn is_late(&self) -> bool {
        self.phase == Phase::Dialing && self.attempt.is_none()
    }

    /// Whether the complete request is written: from then on it may be executed.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    /// Whether an idle connection is usable: open, with nothing to read.
    pub fn has_no_unread_input(&mut self) -> bool {
        matches!(self.sock.read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Callback: writes and reads what can be; the end of the attempt, if it has come.
    pub fn on_ready(&mut self) -> Option<AttemptResult> {
        if self.phase != Phase::Busy {
            return None;
        }
        while !self.sent {
            let Some(buffer) = self.buffer.as_mut() else { return Some(self.broken()) };
            let end = buffer.bytes().len() - usize::from(self.held);
            if self.written == end {
                return (!self.has_no_unread_input()).then(|| self.broken());
            }
            match self.sock.write(&buffer.bytes()[self.written..end]) {
                Ok(0) => return Some(self.broken()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                Err(_) => return Some(self.broken()),
            }
            if self.written == buffer.bytes().len() {
                self.sent = true;
                buffer.clear();
            }
        }
        loop {
            let Some(buffer) = self.buffer.as_mut() else { return Some(self.broken()) };
            if buffer.is_full() {
                let served = self.answer.as_ref().is_some_and(|(_, body)| body.streaming);
                return Some(if served { self.stream_start() } else { self.invalid_response() });
            }
            let ended = match buffer.fill_from(&mut self.sock) {
                Ok(n) => n == 0,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                Err(_) => return Some(self.broken()),
            };
            match self.parse_buffered(ended) {
                Ok(true) => return Some(self.finished(ended)),
                Ok(false) if !ended => {}
                // The end before a whole answer.
                Ok(false) => return Some(self.broken()),
                Err(()) => return Some(self.invalid_response()),
            }
        }
    }

    /// Parses what has been read; true once the answer is complete, `Err` for bytes that are no answer.
    fn parse_buffered(&mut self, ended: bool) -> Result<bool, ()> {
        let buffer = self.buffer.as_mut().ok_or(())?;
        while self.answer.is_none() {
            let Some(head) = Head::of_answer(buffer.bytes()).map_err(|_| ())? else { return Ok(false) };
            if head.status == 101 {
                return Err(());
            }
            if (100..200).contains(&head.status) {
                buffer.cut(0, head.len);
                continue;
            }
            let mut body = BodyReader::new(&head);
            // Only an answer to serve may be larger than a buffer; it is passed on while it comes.
            body.streaming = head.status == 200 && matches!(self.attempt, Some(Attempt::Request { .. }));
            self.answer = Some((head, body));
        }
        let (_, body) = self.answer.as_mut().ok_or(())?;
        body.read(buffer, ended).map_err(|_| ())
    }

    /// The connection broke: the request has certainly not been executed only if its last byte was never written.
    pub fn broken(&mut self) -> AttemptResult {
        let ending = if self.sent { Ending::ConnectionLost } else { Ending::ConnectFailed };
        AttemptResult { ending, report: None, load: None, reusable: false, blame: Blame::None, stream: false }
    }

    /// A served answer fills the buffer: it is the client's, and the rest follows by a body relay.
    fn stream_start(&mut self) -> AttemptResult {
        let report = self.answer.as_ref().and_then(|(head, _)| report_of(head.header("x-load-report")));
        AttemptResult { ending: Ending::Served, report, stream: true, ..self.broken() }
    }

    /// Opens the relay of a served answer to the client at `client`.
    pub fn open_relay(&mut self, client: usize, close: bool, now: f64) {
        let (Some((head, body)), Some(buffer)) = (self.answer.as_mut(), self.buffer.as_mut()) else { return };
        body.drop_head(buffer);
        let media = head.header("content-type");
        let out = relay_head(body.length(), close, media);
        self.relay = Some(BodyRelay::new(client, out, body.length().is_none(), now));
        self.phase = Phase::Relaying;
        self.since = now;
    }

    /// The buffer of an ended relay, to go back to the pool: an idle connection holds none.
    pub fn take_buffer(&mut self) -> Option<Buffer> {
        self.buffer.take()
    }

    /// Moves what can be moved of the relay to `client`.
    pub fn relay_on(&mut self, now: f64, client: &mut TcpStream) -> Flow {
        let (Some(relay), Some((head, body)), Some(buffer)) =
            (self.relay.as_mut(), self.answer.as_mut(), self.buffer.as_mut())
        else {
            return Flow::NodeBroke;
        };
        match relay.pump(now, buffer, body, &mut self.sock, client) {
            Flow::Done { reusable } => {
                let reusable = reusable && !head.close;
                self.answer = None;
                self.relay = None;
                Flow::Done { reusable }
            }
            other => other,
        }
    }

    /// Bytes that are no answer: the request may have been executed. Only this connection is discarded; the node may answer others
    /// well and is not taken for unreachable.
    fn invalid_response(&mut self) -> AttemptResult {
        AttemptResult { ending: Ending::UpstreamError, blame: Blame::InvalidResponse, ..self.broken() }
    }

    fn finished(&mut self, ended: bool) -> AttemptResult {
        let (Some((head, body)), Some(buffer)) = (self.answer.take(), self.buffer.take()) else {
            return self.broken();
        };
        let probe = matches!(self.attempt, Some(Attempt::Probe { .. }));
        let ending = match head.status {
            200 => Ending::Served,
            503 | 504 if head.header("x-rejected") == Some("1") => Ending::Shed,
            503 if probe => Ending::Shed,
            _ => Ending::UpstreamError,
        };
        let text = std::str::from_utf8(&buffer.bytes()[body.start..body.end]).ok();
        let text = head.header("x-load-report").or(text.filter(|_| probe));
        let report = report_of(text);
        // Bytes behind the answer belong to no request: the connection is not used again.
        let reusable = !head.close && !ended && body.raw == buffer.bytes().len();
        let media = head.header("content-type").map(str::to_owned);
        let load = Some(ResponseBody { buffer, body: body.start..body.end, media });
        let blame = match head.status {
            // About the node or the moment, not about the request.
            408 | 421 | 425 | 429 => Blame::None,
            400..=499 if !probe => Blame::RejectedRequest,
            _ => Blame::None,
        };
        AttemptResult { ending, report, load, reusable, blame, stream: false }
    }

    /// Gives the buffer back.
    pub fn clear(mut self, buffers: &mut BufferPool) -> TcpStream {
        self.buffer.take().into_iter().for_each(|t| buffers.give_back(t));
        self.sock
    }
}

/// A load report as it stands in a header or a probe's body, if it is one that can be true.
fn report_of(text: Option<&str>) -> Option<LoadReport> {
    text.and_then(|t| parse_load_report(t.trim(), '=').ok()).filter(is_plausible)
}

/// The connections to one node.
pub struct ConnectionPool {
    pub dial: SocketAddr,
    /// Whether the node list allows new requests to this node.
    pub open: bool,
    /// Idle connections, the most recently used last.
    pub idle: Vec<usize>,
    /// An established connection broke before its request was written, and no complete answer has come since.
    pub closed_unused: bool,
}

/// All pools, and names as numbers.
#[derive(Default)]
pub struct Pools {
    pub by_node: HashMap<UpstreamId, ConnectionPool>,
    numbers: HashMap<String, UpstreamId>,
    taken: HashMap<UpstreamId, String>,
}

impl Pools {
    /// The number of a host: the same at every sidecar and after every restart (FNV-1a of its name).
    pub fn number(&mut self, host: &str) -> UpstreamId {
        if let Some(id) = self.numbers.get(host) {
            return *id;
        }
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        let mut id = UpstreamId(host.bytes().fold(0xcbf2_9ce4_8422_2325, fold));
        while self.taken.contains_key(&id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.taken.insert(id, host.to_owned());
        self.numbers.insert(host.to_owned(), id);
        id
    }

    /// Drops closed pools without users, so that memory does not grow with every node that ever was.
    pub fn forget(&mut self, unused: impl Fn(UpstreamId) -> bool) {
        self.by_node.retain(|node, pool| pool.open || !unused(*node));
        self.taken.retain(|node, _| self.by_node.contains_key(node));
        self.numbers.retain(|_, node| self.by_node.contains_key(node));
    }

    /// The host behind a number, for the log.
    pub fn host(&self, node: UpstreamId) -> &str {
        self.taken.get(&node).map_or("?", String::as_str)
    }
}
