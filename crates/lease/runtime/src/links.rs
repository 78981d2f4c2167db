//! TCP connections that carry frames. Their number and buffers are bounded. A connection whose peer falls
//! behind by more than the send buffer, or which delivers an invalid frame, is closed; invalid frames are
//! counted.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use passrelay_lease_consensus::wire::{decode, encode, fleet_id, Frame, FrameError, MAX_FRAME_BYTES};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of connections of a process.
const MAX_LINKS: usize = 4608;
/// Maximum number of bytes that wait to be sent on a connection.
const MAX_UNSENT_BYTES: usize = MAX_FRAME_BYTES + (1 << 20);
/// Size of the buffer for one read, in bytes.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Poll token of the listener.
const LISTENER: Token = Token(usize::MAX - 1);

/// The number of a connection. It is never reused, so that a reference to a closed connection can't reach
/// another one.
pub type LinkNumber = usize;

/// An event on a connection.
#[derive(Debug)]
pub enum LinkEvent {
    /// A peer connected to the listener.
    Accepted,
    /// A connection opened by this process is established.
    Connected,
    /// A frame was received.
    Frame(Frame),
    /// The connection is closed and its number no longer valid.
    Closed,
}

struct Link {
    socket: TcpStream,
    outbound: bool,
    connected: bool,
    unread: Vec<u8>,
    unsent: Vec<u8>,
    sent: usize,
}

/// All connections of a process.
pub struct Links {
    poll: Poll,
    poll_events: Events,
    listener: Option<TcpListener>,
    links: BTreeMap<LinkNumber, Link>,
    next: LinkNumber,
    fleet: u64,
    events: Vec<(LinkNumber, LinkEvent)>,
    rejected_frames: BTreeMap<FrameError, u64>,
}

impl Links {
    /// Creates the connections of a process, with a listener if `listen` is given.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no poller or the address cannot be listened on.
    pub fn open(fleet: &str, listen: Option<SocketAddr>) -> io::Result<Links> {
        let poll = Poll::new()?;
        let listener = match listen {
            None => None,
            Some(at) => {
                let mut listener = TcpListener::bind(at)?;
                poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
                Some(listener)
            }
        };
        let (poll_events, fleet) = (Events::with_capacity(256), fleet_id(fleet));
        let (links, rejected_frames) = (BTreeMap::new(), BTreeMap::new());
        Ok(Links { poll, poll_events, listener, links, next: 0, fleet, events: Vec::new(), rejected_frames })
    }

    /// Returns the number of rejected frames by cause.
    pub fn rejected_frames(&self) -> &BTreeMap<FrameError, u64> {
        &self.rejected_frames
    }

    /// Starts to connect to a process. [`LinkEvent::Connected`] or [`LinkEvent::Closed`] follows.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no socket or the limit of connections is reached.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<LinkNumber> {
        let socket = TcpStream::connect(to)?;
        self.add(socket, true)
    }

    fn add(&mut self, mut socket: TcpStream, outbound: bool) -> io::Result<LinkNumber> {
        if self.links.len() >= MAX_LINKS {
            return Err(io::Error::other(format!("the limit of {MAX_LINKS} connections is reached")));
        }
        let number = self.next;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket, Token(number), interest)?;
        let _ = socket.set_nodelay(true);
        let (unread, unsent) = (Vec::new(), Vec::new());
        self.links.insert(number, Link { socket, outbound, connected: !outbound, unread, unsent, sent: 0 });
        self.next += 1;
        Ok(number)
    }

    /// Sends a frame as soon as the peer reads. On failure the connection is closed, and
    /// [`LinkEvent::Closed`] follows.
    pub fn send(&mut self, number: LinkNumber, frame: &Frame) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.unsent.extend(encode(self.fleet, frame));
        if link.unsent.len() - link.sent > MAX_UNSENT_BYTES || (link.connected && link.write().is_err()) {
            self.fail(number);
        }
    }

    /// Closes a connection without a [`LinkEvent::Closed`].
    pub fn close(&mut self, number: LinkNumber) {
        if let Some(mut link) = self.links.remove(&number) {
            let _ = self.poll.registry().deregister(&mut link.socket);
            self.events.retain(|(n, _)| *n != number);
        }
    }

    /// Returns the numbers of all open connections.
    pub fn open_links(&self) -> Vec<LinkNumber> {
        self.links.keys().copied().collect()
    }

    /// Waits for events, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the error of the poller.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Vec<(LinkNumber, LinkEvent)>> {
        // Pending events, such as a connection lost while sending, are returned at once.
        let timeout = if self.events.is_empty() { timeout } else { Duration::ZERO };
        if let Err(e) = self.poll.poll(&mut self.poll_events, Some(timeout)) {
            if e.kind() != ErrorKind::Interrupted {
                return Err(e);
            }
        }
        let tokens: Vec<(Token, bool)> =
            self.poll_events.iter().map(|e| (e.token(), e.is_writable() || e.is_error())).collect();
        for (token, writable) in tokens {
            match token {
                LISTENER => self.accept_all(),
                Token(number) => self.handle_ready(number, writable),
            }
        }
        Ok(std::mem::take(&mut self.events))
    }

    fn accept_all(&mut self) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            // Beyond the limit the connection is dropped, and the peer tries again later.
            if let Ok(number) = self.add(socket, false) {
                self.events.push((number, LinkEvent::Accepted));
            }
        }
    }

    fn handle_ready(&mut self, number: LinkNumber, writable: bool) {
        let Some(link) = self.links.get_mut(&number) else { return };
        if link.outbound && !link.connected {
            if !writable {
                return;
            }
            match (link.socket.take_error(), link.socket.peer_addr()) {
                (Ok(None), Ok(_)) => {
                    link.connected = true;
                    self.events.push((number, LinkEvent::Connected));
                }
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => return,
                _ => return self.fail(number),
            }
        }
        let Some(link) = self.links.get_mut(&number) else { return };
        if link.write().is_err() {
            return self.fail(number);
        }
        let open = link.read();
        let mut at = 0;
        let error = loop {
            match decode(self.fleet, &link.unread[at..]) {
                Ok(Some((frame, length))) => {
                    at += length;
                    self.events.push((number, LinkEvent::Frame(frame)));
                }
                Ok(None) => break None,
                Err(kind) => break Some(kind),
            }
        };
        link.unread.drain(..at);
        if link.unread.is_empty() {
            link.unread.shrink_to(READ_CHUNK_BYTES);
        }
        if let Some(kind) = error {
            *self.rejected_frames.entry(kind).or_default() += 1;
        }
        if error.is_some() || !open {
            self.fail(number);
        }
    }

    fn fail(&mut self, number: LinkNumber) {
        if let Some(mut link) = self.links.remove(&number) {
            let _ = self.poll.registry().deregister(&mut link.socket);
            self.events.push((number, LinkEvent::Closed));
        }
    }
}

impl Link {
    /// Reads all available bytes. Returns `false` if the connection has ended.
    fn read(&mut self) -> bool {
        let mut buffer = [0; READ_CHUNK_BYTES];
        loop {
            match self.socket.read(&mut buffer) {
                Ok(0) => return false,
                Ok(n) => self.unread.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    fn write(&mut self) -> io::Result<()> {
        while self.sent < self.unsent.len() {
            match self.socket.write(&self.unsent[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.unsent.clear();
        self.sent = 0;
        self.unsent.shrink_to(READ_CHUNK_BYTES);
        Ok(())
    }
}
