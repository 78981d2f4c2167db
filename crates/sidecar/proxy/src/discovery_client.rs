//! Client of discovery: one long-polling call at a time over one connection. Parses node lists and their changes; what they mean is
//! decided elsewhere.

use crate::buffer_pool::{Buffer, BufferPool};
use crate::http::{BodyReader, Head};
use mio::net::TcpStream;
use passrelay_sidecar_settings::NodeListUpdate;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// Long-poll timeout that is requested from discovery, in seconds. While a watch hangs, the sidecar keeps using a list whose nodes may
/// have been replaced; changes count as notified 2 s after this.
const WATCH_TIMEOUT_S: f64 = 2.5;
/// Extra time for the answer, in seconds: discovery may queue a call for 1 s.
const WATCH_SLACK_S: f64 = 1.5;
/// Timeout of a call for the complete list, in seconds.
const FULL_LIST_TIMEOUT_S: f64 = 3.0;
/// Pause between an answer and the next call, in seconds; well under the 200 ms after which discovery drops a watch.
pub const REQUEST_PAUSE_S: f64 = 0.05;
/// An answer without changes that arrives sooner than this, in seconds, is out of order ...
const MIN_EMPTY_ANSWER_S: f64 = 1.0;
/// ... and more than this many in a row count as a failure, which bounds the rate of calls.
const MAX_EMPTY_ANSWERS: u32 = 3;

/// Progress of a call to discovery.
pub enum DiscoveryResult {
    /// The answer is not complete yet.
    Pending,
    /// A list or changes; the next call follows after [`REQUEST_PAUSE_S`].
    Update(NodeListUpdate),
    /// The call failed; the next one is up to the policy.
    Failed(String),
}

/// The connection to discovery.
pub struct DiscoveryClient {
    address: SocketAddr,
    pub sock: Option<TcpStream>,
    up: bool,
    /// Version of the current list; `None` before the first.
    seq: Option<u64>,
    /// Changes are wanted.
    pub wanted: bool,
    /// A call is out.
    pub asking: bool,
    asked_at: f64,
    /// Counts calls, so that a timer for an older one can be told apart.
    pub call: u64,
    buffer: Option<Buffer>,
    request: Vec<u8>,
    written: usize,
    answer: Option<(Head, BodyReader)>,
    empty_answers: u32,
}

impl DiscoveryClient {
    pub fn new(address: SocketAddr, seq: Option<u64>) -> Self {
        DiscoveryClient {
            address,
            sock: None,
            up: false,
            seq,
            wanted: false,
            asking: false,
            asked_at: 0.0,
            call: 0,
            buffer: None,
            request: Vec::new(),
            written: 0,
            answer: None,
            empty_answers: 0,
        }
    }

    /// Starts a call; the new socket, if any, must be registered. Returns how long the call may take.
    pub fn ask(&mut self, now: f64, name: &str) -> io::Result<(bool, f64)> {
        let (target, patience) = match self.seq {
            Some(seq) => {
                let wait_ms = (WATCH_TIMEOUT_S * 1000.0) as u64;
                (format!("/v1/endpoints?since={seq}&timeout_ms={wait_ms}"), WATCH_TIMEOUT_S + WATCH_SLACK_S)
            }
            None => ("/v1/endpoints".to_owned(), FULL_LIST_TIMEOUT_S),
        };
        let fresh = self.sock.is_none();
        if fresh {
            self.sock = Some(TcpStream::connect(self.address)?);
            self.up = false;
        }
        self.request = format!(
            "GET {target} HTTP/1.1\r\nHost: {}\r\nUser-Agent: passrelay/{name}\r\n\r\n",
            self.address
        )
        .into_bytes();
        self.asking = true;
        self.asked_at = now;
        self.written = 0;
        self.answer = None;
        self.call += 1;
        Ok((fresh, patience))
    }

    /// Moves to another address: drops the current connection and call, and continues from the current version.
    pub fn move_to(&mut self, address: SocketAddr, buffers: &mut BufferPool) {
        self.fail(buffers);
        self.address = address;
        self.empty_answers = 0;
    }

    /// Where discovery is asked.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends a call that has failed. The connection is not used again.
    pub fn fail(&mut self, buffers: &mut BufferPool) {
        self.asking = false;
        self.sock = None;
        self.buffer.take().into_iter().for_each(|t| buffers.give_back(t));
    }

    /// Callback: writes and reads what can be.
    pub fn on_ready(&mut self, now: f64, buffers: &mut BufferPool) -> DiscoveryResult {
        if !self.asking {
            // Bytes or an end between calls: the next call opens a new connection.
            let quiet = |s: &mut TcpStream| matches!(s.read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            if !self.sock.as_mut().is_some_and(quiet) {
                self.sock = None;
            }
            return DiscoveryResult::Pending;
        }
        match self.advance(now, buffers) {
            Ok(word) => word,
            Err(problem) => {
                self.fail(buffers);
                DiscoveryResult::Failed(problem)
            }
        }
    }

    fn advance(&mut self, now: f64, buffers: &mut BufferPool) -> Result<DiscoveryResult, String> {
        let Some(sock) = self.sock.as_mut() else { return Err("no connection".to_owned()) };
        if !self.up {
            if let Some(e) = sock.take_error().map_err(|e| e.to_string())? {
                return Err(e.to_string());
            }
            if sock.peer_addr().is_err() {
                return Ok(DiscoveryResult::Pending);
            }
            self.up = true;
        }
        while self.written < self.request.len() {
            match sock.write(&self.request[self.written..]) {
                Ok(n) if n > 0 => self.written += n,
                Ok(_) => return Err("cannot write".to_owned()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(DiscoveryResult::Pending),
                Err(e) => return Err(e.to_string()),
            }
        }
        loop {
            let buffer = self.buffer.get_or_insert_with(|| buffers.take());
            if buffer.is_full() {
                return Err("answer too long".to_owned());
            }
            let ended = match buffer.fill_from(sock) {
                Ok(n) => n == 0,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if buffer.bytes().is_empty() {
                        self.buffer.take().into_iter().for_each(|t| buffers.give_back(t));
                    }
                    return Ok(DiscoveryResult::Pending);
                }
                Err(e) => return Err(e.to_string()),
            };
            if self.answer.is_none() {
                match Head::of_answer(buffer.bytes()).map_err(|_| "not an answer")? {
                    Some(head) => {
                        let body = BodyReader::new(&head);
                        self.answer = Some((head, body));
                    }
                    None if ended => return Err("the connection ended".to_owned()),
                    None => continue,
                }
            }
            let Some((head, body)) = self.answer.as_mut() else { continue };
            if !body.read(buffer, ended).map_err(|_| "a bad body")? {
                if ended {
                    return Err("the connection ended".to_owned());
                }
                continue;
            }
            if head.status != 200 {
                return Err(format!("status {}", head.status));
            }
            let value = serde_json::from_slice(&buffer.bytes()[body.start..body.end]);
            let update = NodeListUpdate::parse(&value.map_err(|e| format!("not JSON: {e}"))?)?;
            let close = head.close || ended;
            return self.accept_update(now, update, close, buffers);
        }
    }

    fn accept_update(
        &mut self,
        now: f64,
        update: NodeListUpdate,
        close: bool,
        buffers: &mut BufferPool,
    ) -> Result<DiscoveryResult, String> {
        if self.seq.is_none() && !update.full {
            return Err("changes to a list that was never sent".to_owned());
        }
        let idle = self.seq == Some(update.version) && now - self.asked_at < MIN_EMPTY_ANSWER_S;
        self.empty_answers = if idle { self.empty_answers + 1 } else { 0 };
        if self.empty_answers > MAX_EMPTY_ANSWERS {
            self.empty_answers = 0;
            return Err("answers that tell nothing come too fast".to_owned());
        }
        self.seq = Some(update.version);
        self.asking = false;
        self.answer = None;
        self.buffer.take().into_iter().for_each(|t| buffers.give_back(t));
        if close {
            self.sock = None;
        }
        Ok(DiscoveryResult::Update(update))
    }
}
