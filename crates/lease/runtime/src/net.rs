//! Links: TCP connections that carry frames. Bounded in number and in bytes; a link that falls behind by more
//! than its bound, or brings bytes that are no frames of this fleet, is closed and counted.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use passrelay_lease_consensus::wire::{decode, encode, fleet_number, Bad, Frame, MOST_FRAME};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Most links of one process.
const MOST_LINKS: usize = 4608;
/// Bytes that may wait to be sent on one link.
const MOST_UNSENT: usize = MOST_FRAME + (1 << 20);
/// Bytes read at one go.
const READ: usize = 64 << 10;
/// The listener's token.
const DOOR: Token = Token(usize::MAX - 1);

/// A link's number. None is given twice: whoever still speaks of a link that is gone never means another.
pub type LinkNumber = usize;

/// What happened on a link.
#[derive(Debug)]
pub enum Happened {
    /// Somebody called.
    Came,
    /// A link that was called is up.
    Up,
    /// A frame came.
    Frame(Frame),
    /// The link is gone, and its number with it.
    Gone,
}

struct Link {
    socket: TcpStream,
    called: bool,
    up: bool,
    unread: Vec<u8>,
    unsent: Vec<u8>,
    sent: usize,
}

/// All links of one process.
pub struct Net {
    poll: Poll,
    events: Events,
    door: Option<TcpListener>,
    links: BTreeMap<LinkNumber, Link>,
    next: LinkNumber,
    fleet: u64,
    happened: Vec<(LinkNumber, Happened)>,
    bad: BTreeMap<Bad, u64>,
}

impl Net {
    /// Links of a fleet's process, which listens there if at all.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be listened on.
    pub fn open(fleet: &str, listen: Option<SocketAddr>) -> io::Result<Net> {
        let poll = Poll::new()?;
        let door = match listen {
            None => None,
            Some(at) => {
                let mut door = TcpListener::bind(at)?;
                poll.registry().register(&mut door, DOOR, Interest::READABLE)?;
                Some(door)
            }
        };
        let (events, fleet) = (Events::with_capacity(256), fleet_number(fleet));
        let (links, bad) = (BTreeMap::new(), BTreeMap::new());
        Ok(Net { poll, events, door, links, next: 0, fleet, happened: Vec::new(), bad })
    }

    /// Frames that were refused, by what was wrong with them.
    pub fn bad(&self) -> &BTreeMap<Bad, u64> {
        &self.bad
    }

    /// Calls a process; `Up` or `Gone` follows.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no socket.
    pub fn call(&mut self, to: SocketAddr) -> io::Result<LinkNumber> {
        let socket = TcpStream::connect(to)?;
        self.add(socket, true)
    }

    fn add(&mut self, mut socket: TcpStream, called: bool) -> io::Result<LinkNumber> {
        if self.links.len() >= MOST_LINKS {
            return Err(io::Error::other("too many links"));
        }
        let number = self.next;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket, Token(number), interest)?;
        let _ = socket.set_nodelay(true);
        let (unread, unsent) = (Vec::new(), Vec::new());
        self.links.insert(number, Link { socket, called, up: !called, unread, unsent, sent: 0 });
        self.next += 1;
        Ok(number)
    }

    /// Sends a frame, now or as soon as the other side reads. Where that fails the link is lost: `Gone` follows.
    pub fn send(&mut self, number: LinkNumber, frame: &Frame) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.unsent.extend(encode(self.fleet, frame));
        if link.unsent.len() - link.sent > MOST_UNSENT || (link.up && link.write().is_err()) {
            self.lose(number);
        }
    }

    /// Closes a link; no `Gone` follows.
    pub fn close(&mut self, number: LinkNumber) {
        if let Some(mut link) = self.links.remove(&number) {
            let _ = self.poll.registry().deregister(&mut link.socket);
            self.happened.retain(|(n, _)| *n != number);
        }
    }

    /// The numbers of all links.
    pub fn numbers(&self) -> Vec<LinkNumber> {
        self.links.keys().copied().collect()
    }

    /// Waits for something to happen, no longer than this.
    ///
    /// # Errors
    ///
    /// As the system says.
    pub fn wait(&mut self, longest: Duration) -> io::Result<Vec<(LinkNumber, Happened)>> {
        // What happened already, a link lost in sending, waits for nothing.
        let longest = if self.happened.is_empty() { longest } else { Duration::ZERO };
        if let Err(e) = self.poll.poll(&mut self.events, Some(longest)) {
            if e.kind() != ErrorKind::Interrupted {
                return Err(e);
            }
        }
        let tokens: Vec<(Token, bool)> =
            self.events.iter().map(|e| (e.token(), e.is_writable() || e.is_error())).collect();
        for (token, writable) in tokens {
            match token {
                DOOR => self.let_in(),
                Token(number) => self.serve(number, writable),
            }
        }
        Ok(std::mem::take(&mut self.happened))
    }

    fn let_in(&mut self) {
        while let Some(Ok((socket, _))) = self.door.as_ref().map(TcpListener::accept) {
            // Over the bound the caller finds its link closed, and calls again later.
            if let Ok(number) = self.add(socket, false) {
                self.happened.push((number, Happened::Came));
            }
        }
    }

    fn serve(&mut self, number: LinkNumber, writable: bool) {
        let Some(link) = self.links.get_mut(&number) else { return };
        if link.called && !link.up {
            if !writable {
                return;
            }
            match (link.socket.take_error(), link.socket.peer_addr()) {
                (Ok(None), Ok(_)) => {
                    link.up = true;
                    self.happened.push((number, Happened::Up));
                }
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => return,
                _ => return self.lose(number),
            }
        }
        let Some(link) = self.links.get_mut(&number) else { return };
        if link.write().is_err() {
            return self.lose(number);
        }
        let whole = link.read();
        let mut at = 0;
        let wrong = loop {
            match decode(self.fleet, &link.unread[at..]) {
                Ok(Some((frame, length))) => {
                    at += length;
                    self.happened.push((number, Happened::Frame(frame)));
                }
                Ok(None) => break None,
                Err(bad) => break Some(bad),
            }
        };
        link.unread.drain(..at);
        if link.unread.is_empty() {
            link.unread.shrink_to(READ);
        }
        if let Some(bad) = wrong {
            *self.bad.entry(bad).or_default() += 1;
        }
        if wrong.is_some() || !whole {
            self.lose(number);
        }
    }

    fn lose(&mut self, number: LinkNumber) {
        if let Some(mut link) = self.links.remove(&number) {
            let _ = self.poll.registry().deregister(&mut link.socket);
            self.happened.push((number, Happened::Gone));
        }
    }
}

impl Link {
    /// Reads what is there; `false` at the end of the link.
    fn read(&mut self) -> bool {
        let mut buffer = [0; READ];
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
        self.unsent.shrink_to(READ);
        Ok(())
    }
}
