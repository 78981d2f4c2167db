//! The operators' address: a second listener, one call a connection, kept apart from the clients.
//!
//! Its connections have slots of their own, so that no crowd of clients stands between an operator and an
//! answer; a client who connects and says nothing is cut off after [`CALL_TIMEOUT_S`], and when all slots are taken
//! the client who has waited longest makes room. What a call means is decided by the loop.

use crate::http::response_head;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::fmt::Display;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// The admin listener.
pub const ADMIN_LISTENER: Token = Token(3);
/// Tokens of the admin connections start here, far above those of the connections.
pub const FIRST_ADMIN_TOKEN: usize = 1 << 40;
/// Operators connected at once.
const SLOTS: usize = 32;
/// A call has to be in so long after its client connected.
const CALL_TIMEOUT_S: f64 = 0.5;
/// A client has this long to take the answer and close.
const LINGER_TIMEOUT_S: f64 = 1.0;
/// The longest head of a call.
const HEAD_BYTES: usize = 4096;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /status`.
    Status,
    /// `POST /standby`.
    Standby,
    /// `POST /active`.
    Active,
}

/// A call that is not one: status, text and, for 405, the method to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal(pub u16, pub &'static str, pub Option<&'static str>);

/// Reads the head of a call; `Ok(None)` while it is not whole.
pub fn read_call(bytes: &[u8]) -> Result<Option<Call>, Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_BYTES => {
            Err(Refusal(431, "the head of the call is too long\n", None))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Refusal(400, "not a call that can be read\n", None)),
        Ok(httparse::Status::Complete(_)) => {
            let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
            route(method, target.split('?').next().unwrap_or("")).map(Some)
        }
    }
}

fn route(method: &str, path: &str) -> Result<Call, Refusal> {
    let (call, allowed) = match path {
        "/status" => (Call::Status, "GET"),
        "/standby" => (Call::Standby, "POST"),
        "/active" => (Call::Active, "POST"),
        _ => {
            return Err(Refusal(
                404,
                "no such call; there are GET /status, POST /standby, POST /active\n",
                None,
            ))
        }
    };
    if method != allowed {
        return Err(Refusal(405, "another method\n", Some(allowed)));
    }
    Ok(call)
}

/// One operator's connection.
struct AdminConnection {
    socket: TcpStream,
    since: f64,
    head: Vec<u8>,
    out: Vec<u8>,
    written: usize,
    /// The answer is out and the write side shut.
    done: bool,
}

/// The listener and its connections.
pub struct AdminListener {
    listener: TcpListener,
    connections: Slab<AdminConnection>,
    /// Clients cut off for saying nothing in time.
    pub cut_off: u64,
}

impl AdminListener {
    /// Listens for operators.
    pub fn open(address: SocketAddr, registry: &Registry) -> io::Result<AdminListener> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, ADMIN_LISTENER, Interest::READABLE)?;
        Ok(AdminListener { listener, connections: Slab::with_capacity(SLOTS), cut_off: 0 })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Lets in who has come, making room by cutting off the client who has waited longest.
    pub fn accept(&mut self, now: f64, registry: &Registry) {
        loop {
            let mut socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                // Out of descriptors or a client gone before it was let in: the next event tries again.
                Err(_) => return,
            };
            if self.connections.len() >= SLOTS {
                let oldest =
                    self.connections.iter().min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(k, _)| k);
                if let Some(key) = oldest {
                    self.cut_off += 1;
                    self.close::<()>(key, registry);
                }
            }
            let entry = self.connections.vacant_entry();
            let token = Token(FIRST_ADMIN_TOKEN + entry.key());
            if registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                let head = Vec::with_capacity(512);
                entry.insert(AdminConnection {
                    socket,
                    since: now,
                    head,
                    out: Vec::new(),
                    written: 0,
                    done: false,
                });
            }
        }
    }

    /// Callback of a connection: the call, once it is whole. A call that is not one is answered here.
    pub fn on_ready(&mut self, token: Token, registry: &Registry) -> Option<(usize, Call)> {
        let key = token.0.checked_sub(FIRST_ADMIN_TOKEN)?;
        let connection = self.connections.get_mut(key)?;
        if !connection.out.is_empty() {
            return match self.write(key) {
                Ok(()) => None,
                Err(()) => self.close(key, registry),
            };
        }
        let mut chunk = [0u8; 1024];
        loop {
            match connection.socket.read(&mut chunk) {
                Ok(0) => return self.close(key, registry),
                Ok(n) => connection.head.extend_from_slice(
                    &chunk[..n.min(HEAD_BYTES + 1 - connection.head.len().min(HEAD_BYTES))],
                ),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.close(key, registry),
            }
        }
        match read_call(&connection.head) {
            Ok(None) => None,
            Ok(Some(call)) => Some((key, call)),
            Err(Refusal(status, text, allow)) => {
                let allow: Vec<(&str, &dyn Display)> =
                    allow.iter().map(|m| ("Allow", m as &dyn Display)).collect();
                self.answer(key, status, "text/plain", text, &allow, registry);
                None
            }
        }
    }

    /// Answers a call and ends its connection.
    pub fn answer(
        &mut self,
        key: usize,
        status: u16,
        content_type: &str,
        body: &str,
        more: &[(&str, &dyn Display)],
        registry: &Registry,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let mut fields: Vec<(&str, &dyn Display)> = vec![("Content-Type", &content_type)];
        fields.extend_from_slice(more);
        connection.out = response_head(status, body.len(), true, &fields);
        connection.out.extend_from_slice(body.as_bytes());
        if self.write(key).is_err() {
            self.close::<()>(key, registry);
        }
    }

    fn write(&mut self, key: usize) -> Result<(), ()> {
        let connection = &mut self.connections[key];
        while connection.written < connection.out.len() {
            match connection.socket.write(&connection.out[connection.written..]) {
                Ok(0) => return Err(()),
                Ok(n) => connection.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(()),
            }
        }
        if !connection.done {
            connection.done = true;
            // The client reads to the end; what it still sends is read and dropped until it closes.
            let _ = connection.socket.shutdown(Shutdown::Write);
        }
        Ok(())
    }

    fn close<T>(&mut self, key: usize, registry: &Registry) -> Option<T> {
        if let Some(mut connection) = self.connections.try_remove(key) {
            let _ = registry.deregister(&mut connection.socket);
        }
        None
    }

    /// Cuts off clients who said nothing whole in time, and those who do not close after the answer.
    pub fn sweep(&mut self, now: f64, registry: &Registry) {
        let late = |c: &AdminConnection| {
            now - c.since >= if c.out.is_empty() { CALL_TIMEOUT_S } else { CALL_TIMEOUT_S + LINGER_TIMEOUT_S }
        };
        let late: Vec<_> =
            self.connections.iter().filter(|(_, c)| late(c)).map(|(k, c)| (k, c.out.is_empty())).collect();
        for (key, silent) in late {
            self.cut_off += u64::from(silent);
            self.close::<()>(key, registry);
        }
    }
}

#[cfg(test)]
mod tests;
