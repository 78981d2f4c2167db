//! Links: TCP connections that carry frames. Bounded in number and in bytes; a link that falls behind by more
//! than its bound, or brings bytes that are no frames of this fleet, is closed and counted.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use passrelay_lease_consensus::wire::{decode, encode, fleet_id, Frame, FrameError, MAX_FRAME_BYTES};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Most links of one process.
const MAX_LINKS: usize = 4608;
/// Bytes that may wait to be sent on one link.
const MAX_UNSENT_BYTES: usize = MAX_FRAME_BYTES + (1 << 20);
/// Bytes read at one go.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// The listener's token.
const LISTENER: Token = Token(usize::MAX - 1);

/// A link's number. None is given twice: whoever still speaks of a link that is gone never means another.
pub type LinkNumber = usize;

/// What happened on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// Somebody outbound.
    Accepted,
    /// A link that was outbound is up.
    Connected,
    /// A frame came.
    Frame(Frame),
    /// The link is gone, and its number with it.
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

/// All links of one process.
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
    /// Links of a fleet's process, which listens there if at all.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be listened on.
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

    /// Frames that were refused, by what was wrong with them.
    pub fn rejected_frames(&self) -> &BTreeMap<FrameError, u64> {
        &self.rejected_frames
    }

    /// Calls a process; `Up` or `Gone` follows.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no socket.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<LinkNumber> {
        let socket = TcpStream::connect(to)?;
        self.add(socket, true)
    }

    fn add(&mut self, mut socket: TcpStream, outbound: bool) -> io::Result<LinkNumber> {
        if self.links.len() >= MAX_LINKS {
            return Err(io::Error::other("too many links"));
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

    /// Sends a frame, now or as soon as the other side reads. Where that fails the link is lost: `Gone` follows.
    pub fn send(&mut self, number: LinkNumber, frame: &Frame) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.unsent.extend(encode(self.fleet, frame));
        if link.unsent.len() - link.sent > MAX_UNSENT_BYTES || (link.connected && link.write().is_err()) {
            self.fail(number);
        }
    }

    /// Closes a link; no `Gone` follows.
    pub fn close(&mut self, number: LinkNumber) {
        if let Some(mut link) = self.links.remove(&number) {
            let _ = self.poll.registry().deregister(&mut link.socket);
            self.events.retain(|(n, _)| *n != number);
        }
    }

    /// The numbers of all links.
    pub fn open_links(&self) -> Vec<LinkNumber> {
        self.links.keys().copied().collect()
    }

    /// Waits for something to happen, no longer than this.
    ///
    /// # Errors
    ///
    /// As the system says.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Vec<(LinkNumber, LinkEvent)>> {
        // What happened already, a link lost in sending, waits for nothing.
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
            // Over the bound the caller finds its link closed, and calls again later.
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
    /// Reads what is there; `false` at the end of the link.
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
