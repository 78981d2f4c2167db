//! The operators' HTTP interface: a second listener, separate from the clients', that serves one request per
//! connection.
//!
//! Admin connections have slots of their own, so that any number of clients cannot keep an operator from
//! getting an answer. A connection that sends no complete request within [`REQUEST_TIMEOUT_S`] is closed, and
//! when all slots are taken a new connection replaces the oldest one. The event loop carries out the
//! commands.

use crate::http::response_head;
use crate::receive_buffer;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::fmt::Display;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// Token of the admin listener.
pub const ADMIN_LISTENER: Token = Token(3);
/// First token of the admin connections, far above the tokens of all other connections.
pub const FIRST_ADMIN_TOKEN: usize = 1 << 40;
/// Maximum number of simultaneous admin connections.
const MAX_CONNECTIONS: usize = 32;
/// Time for a complete request after the connection is accepted, in seconds.
const REQUEST_TIMEOUT_S: f64 = 0.5;
/// Time for the operator to read the response and close, in seconds after [`REQUEST_TIMEOUT_S`].
const LINGER_TIMEOUT_S: f64 = 1.0;
/// Maximum length of a request head in bytes.
const MAX_HEAD_BYTES: usize = 4096;

/// A command from an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// `GET /status`.
    Status,
    /// `POST /standby`.
    Standby,
    /// `POST /active`.
    Active,
}

/// An invalid request, as the response that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Status code of the response.
    pub status: u16,
    /// Body of the response.
    pub text: &'static str,
    /// The method to use instead; set for 405 only.
    pub allow: Option<&'static str>,
}

/// Parses a request head. Returns `Ok(None)` if more bytes are needed.
pub fn parse_request(bytes: &[u8]) -> Result<Option<AdminCommand>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => {
            Err(RequestError { status: 431, text: "the head of the call is too long\n", allow: None })
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(RequestError { status: 400, text: "not a call that can be read\n", allow: None }),
        Ok(httparse::Status::Complete(_)) => {
            let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
            route(method, target.split('?').next().unwrap_or("")).map(Some)
        }
    }
}

fn route(method: &str, path: &str) -> Result<AdminCommand, RequestError> {
    let (command, allowed) = match path {
        "/status" => (AdminCommand::Status, "GET"),
        "/standby" => (AdminCommand::Standby, "POST"),
        "/active" => (AdminCommand::Active, "POST"),
        _ => {
            return Err(RequestError {
                status: 404,
                text: "no such call; there are GET /status, POST /standby, POST /active\n",
                allow: None,
            })
        }
    };
    if method != allowed {
        return Err(RequestError { status: 405, text: "another method\n", allow: Some(allowed) });
    }
    Ok(command)
}

/// One operator's connection.
struct AdminConnection {
    socket: TcpStream,
    accepted_at: f64,
    head: Vec<u8>,
    response: Vec<u8>,
    written: usize,
    /// The complete response is written and the write side is shut down.
    write_shut_down: bool,
}

/// The admin listener and its connections.
pub struct AdminListener {
    listener: TcpListener,
    connections: Slab<AdminConnection>,
    /// Connections closed for lack of a complete request in time, or to make room for a newer one; shown as
    /// `operator_cut_off` in `/status`.
    pub cut_off: u64,
}

impl AdminListener {
    /// Binds the listener and registers it with the poller.
    pub fn open(address: SocketAddr, registry: &Registry) -> io::Result<AdminListener> {
        let mut listener = TcpListener::bind(address)?;
        receive_buffer::limit(&listener, receive_buffer::OPERATOR_BYTES);
        registry.register(&mut listener, ADMIN_LISTENER, Interest::READABLE)?;
        Ok(AdminListener { listener, connections: Slab::with_capacity(MAX_CONNECTIONS), cut_off: 0 })
    }

    /// Returns the bound address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts all waiting connections. If all slots are taken, closes the oldest connection for each new
    /// one.
    pub fn accept(&mut self, now: f64, registry: &Registry) {
        loop {
            let mut socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                // Out of descriptors, or the peer has disconnected already: retried at the next event.
                Err(_) => return,
            };
            if self.connections.len() >= MAX_CONNECTIONS {
                let oldest = self
                    .connections
                    .iter()
                    .min_by(|a, b| a.1.accepted_at.total_cmp(&b.1.accepted_at))
                    .map(|(key, _)| key);
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
                    accepted_at: now,
                    head,
                    response: Vec::new(),
                    written: 0,
                    write_shut_down: false,
                });
            }
        }
    }

    /// Handles readiness of a connection. Returns its key and command once the request is complete; invalid
    /// requests are answered here.
    pub fn on_ready(&mut self, token: Token, registry: &Registry) -> Option<(usize, AdminCommand)> {
        let key = token.0.checked_sub(FIRST_ADMIN_TOKEN)?;
        let connection = self.connections.get_mut(key)?;
        if !connection.response.is_empty() {
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
                    &chunk[..n.min(MAX_HEAD_BYTES + 1 - connection.head.len().min(MAX_HEAD_BYTES))],
                ),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.close(key, registry),
            }
        }
        match parse_request(&connection.head) {
            Ok(None) => None,
            Ok(Some(command)) => Some((key, command)),
            Err(RequestError { status, text, allow }) => {
                let allow: Vec<(&str, &dyn Display)> =
                    allow.iter().map(|method| ("Allow", method as &dyn Display)).collect();
                self.respond(key, status, "text/plain", text, &allow, registry);
                None
            }
        }
    }

    /// Sends the response to a request and closes the connection after it.
    pub fn respond(
        &mut self,
        key: usize,
        status: u16,
        content_type: &str,
        body: &str,
        extra_headers: &[(&str, &dyn Display)],
        registry: &Registry,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let mut headers: Vec<(&str, &dyn Display)> = vec![("Content-Type", &content_type)];
        headers.extend_from_slice(extra_headers);
        connection.response = response_head(status, body.len(), true, &headers);
        connection.response.extend_from_slice(body.as_bytes());
        if self.write(key).is_err() {
            self.close::<()>(key, registry);
        }
    }

    fn write(&mut self, key: usize) -> Result<(), ()> {
        let connection = &mut self.connections[key];
        while connection.written < connection.response.len() {
            match connection.socket.write(&connection.response[connection.written..]) {
                Ok(0) => return Err(()),
                Ok(n) => connection.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(()),
            }
        }
        if !connection.write_shut_down {
            connection.write_shut_down = true;
            // The peer reads up to the end of the stream; anything it still sends is discarded until it
            // closes.
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

    /// Closes connections without a complete request in time, and those whose peer does not close after the
    /// response.
    pub fn sweep(&mut self, now: f64, registry: &Registry) {
        let late = |connection: &AdminConnection| {
            now - connection.accepted_at
                >= if connection.response.is_empty() {
                    REQUEST_TIMEOUT_S
                } else {
                    REQUEST_TIMEOUT_S + LINGER_TIMEOUT_S
                }
        };
        let late: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| late(connection))
            .map(|(key, connection)| (key, connection.response.is_empty()))
            .collect();
        for (key, sent_no_request) in late {
            self.cut_off += u64::from(sent_no_request);
            self.close::<()>(key, registry);
        }
    }
}

#[cfg(test)]
mod tests;
