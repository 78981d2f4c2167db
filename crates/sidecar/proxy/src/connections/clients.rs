//! Client connections: accepting, evicting, answering, closing without a reset, and timeouts.

use super::tokens::client_token;
use super::{call_id, ConnectionEvent, Connections, Continuation, Pending};
use crate::client_connection::{ClientConnection, Received, Stage};
use crate::http::{response_head, Head};
use mio::net::TcpStream;
use mio::Interest;
use passrelay_load_balancing::RequestId;
use std::fmt::Display;
use std::io;

/// Timeout of a request's head from its first byte, and of a client's first request from its accept, in seconds.
const REQUEST_HEAD_TIMEOUT_S: f64 = 2.5;
/// Longest pause between two bytes of a request's body, in seconds.
const BODY_STALL_TIMEOUT_S: f64 = 2.5;
/// Longest time without a byte of the answer accepted by the client, in seconds.
const RESPONSE_STALL_TIMEOUT_S: f64 = 5.0;
/// Idle timeout of a connection after an answer, in seconds.
const IDLE_TIMEOUT_S: f64 = 10.0;
/// At the connection limit, a connection that has been receiving one request for longer than this may be evicted, in seconds.
const EVICTABLE_READING_AFTER_S: f64 = 0.5;
/// A new client is not evicted before this, in seconds: its request is on its way.
const NEW_CLIENT_GRACE_S: f64 = 0.1;
/// Time for a client to close after the last answer, in seconds.
const LINGER_TIMEOUT_S: f64 = 1.0;

/// Whether a client connection may be evicted for a new one.
fn is_idle(client: &ClientConnection, now: f64) -> bool {
    match client.stage {
        Stage::Idle => client.new_since.is_none_or(|since| now - since >= NEW_CLIENT_GRACE_S),
        Stage::Lingering => true,
        _ => false,
    }
}

impl Connections {
    /// Registers an accepted connection.
    pub fn accept(&mut self, mut socket: TcpStream) -> io::Result<()> {
        let _ = socket.set_nodelay(true);
        let entry = self.clients.vacant_entry();
        let key = entry.key();
        self.last_client_serial += 1;
        let token = client_token(key, self.last_client_serial);
        self.registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        entry.insert(ClientConnection::new(socket, self.now, self.last_client_serial));
        Ok(())
    }

    /// Closes a client's connection.
    pub fn close_client(&mut self, key: usize) {
        if let Some(Stage::Relaying(upstream)) = self.clients.get(key).map(|client| client.stage) {
            self.close_upstream(upstream);
        }
        if let Some(client) = self.clients.try_remove(key) {
            let mut socket = client.clear(&mut self.buffers);
            let _ = self.registry.deregister(&mut socket);
        }
    }

    /// Closes a connection on which no answer is pending: shuts down the write side and drains what the client still sends, without
    /// forwarding any of it. Closing with unread bytes would reset the connection and destroy the last answer.
    pub fn close_gracefully(&mut self, key: usize) {
        if let Some(client) = self.clients.get_mut(key) {
            client.start_lingering(self.now);
            self.drain_input(key);
        }
    }

    /// Requests without an answer, by id.
    pub fn pending_request_ids(&self) -> Vec<RequestId> {
        let mut ids: Vec<_> = self.pending.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Connections with a partially received request.
    pub fn partially_received(&self) -> Vec<usize> {
        self.clients.iter().filter(|(_, client)| client.stage == Stage::Reading).map(|(key, _)| key).collect()
    }

    /// Closes the connection that has been idle longest, or else the one that has been receiving its request longest; returns whether
    /// there was one. Connections with unread input and new clients are spared, since their request is there or on its way; slow
    /// requests are not, or many half requests could lock others out.
    pub fn evict_idle_client(&mut self) -> bool {
        let now = self.now;
        self.evict_oldest(|client| is_idle(client, now))
            || self.evict_oldest(|client| {
                client.stage == Stage::Reading && now - client.since >= EVICTABLE_READING_AFTER_S
            })
    }

    /// Whether a new client can be accepted, if need be by evicting an idle one.
    pub fn can_accept(&self, most: usize) -> bool {
        self.clients.len() < most || self.clients.iter().any(|(_, client)| is_idle(client, self.now))
    }

    /// Closes all idle client connections; in standby, clients are to connect elsewhere.
    pub fn close_idle_clients(&mut self) {
        let idle = self
            .clients
            .iter()
            .filter(|(_, client)| client.stage == Stage::Idle && client.has_no_unread_input());
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        idle.into_iter().for_each(|key| self.close_gracefully(key));
    }

    /// Closes the oldest connection that `may_go` and has no unread input.
    fn evict_oldest(&mut self, may_go: impl Fn(&ClientConnection) -> bool) -> bool {
        let idle = self.clients.iter().filter(|(_, client)| may_go(client));
        let mut idle: Vec<_> = idle.map(|(key, client)| (client.since, client.serial, key)).collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let oldest =
            idle.into_iter().map(|(_, _, key)| key).find(|key| self.clients[*key].has_no_unread_input());
        oldest.is_some_and(|key| {
            self.close_client(key);
            true
        })
    }

    /// Records a request before it is handed to the dispatcher.
    pub fn track_request(&mut self, id: RequestId, client: usize, head: Head, budget: f64) {
        self.clients[client].stage = Stage::Waiting(id);
        self.clients[client].close |= head.close;
        self.call_ids.insert(call_id(&head).to_owned());
        self.pending.insert(id, Pending { client, head, deadline: self.now + budget });
    }

    /// Whether a request with the same client id is pending.
    pub fn is_duplicate(&self, head: &Head) -> bool {
        self.call_ids.contains(call_id(head))
    }

    /// Removes a request that is answered or whose client has disconnected; returns its client's key.
    pub fn untrack_request(&mut self, id: RequestId) -> Option<usize> {
        let pending = self.pending.remove(&id)?;
        self.call_ids.remove(call_id(&pending.head));
        Some(pending.client)
    }

    /// Answers a client with a plain-text response of the sidecar itself.
    pub fn respond(&mut self, key: usize, status: u16, text: &str, more: &[(&str, &dyn Display)]) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.close |= self.closing;
        let mut fields: Vec<(&str, &dyn Display)> = vec![("Content-Type", &"text/plain")];
        fields.extend_from_slice(more);
        let mut head = response_head(status, text.len(), client.close, &fields);
        head.extend_from_slice(text.as_bytes());
        client.reply(self.now, head, None);
        self.write_out(key);
    }

    /// Writes pending output. A client with further input is handled by the event loop.
    pub fn write_out(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if let Stage::Relaying(upstream) = client.stage {
            return self.pump(upstream);
        }
        match client.on_writable(self.now, &mut self.buffers) {
            Ok(true) if client.close => self.close_gracefully(key),
            // The readiness event of the next request may have come during the answer: check for input.
            Ok(true) => self.events.push_back(ConnectionEvent::ClientReady { client: key }),
            Ok(false) => {}
            Err(_) => self.close_client(key),
        }
    }

    /// Drains what a client sends after its last answer.
    pub(super) fn drain_input(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.drain_input() {
            Received::Yield => {
                self.continuations.insert(Continuation::DrainInput(key, client.serial));
            }
            Received::Closed => self.close_client(key),
            _ => {}
        }
    }

    /// Closes client connections that exceeded a timeout.
    pub fn sweep_clients(&mut self) {
        let now = self.now;
        let late = |client: &ClientConnection| match client.stage {
            Stage::Lingering => now - client.since >= LINGER_TIMEOUT_S,
            Stage::Writing => now - client.since >= RESPONSE_STALL_TIMEOUT_S,
            // Guards against those who connect and say nothing; no client of ours waits before it asks.
            Stage::Idle => {
                now - client.since
                    >= if client.new_since.is_some() { REQUEST_HEAD_TIMEOUT_S } else { IDLE_TIMEOUT_S }
            }
            Stage::Relaying(upstream) => self
                .upstreams
                .get(upstream)
                .and_then(|upstream| upstream.relay.as_ref())
                .is_none_or(|relay| now - relay.last_progress >= RESPONSE_STALL_TIMEOUT_S),
            Stage::Reading | Stage::Waiting(_) => false,
        };
        let late: Vec<_> =
            self.clients.iter().filter(|(_, client)| late(client)).map(|(key, _)| key).collect();
        for key in late {
            match self.clients[key].stage {
                Stage::Idle if self.clients[key].has_no_unread_input() => self.close_gracefully(key),
                // Its request has just come in.
                Stage::Idle => {}
                Stage::Lingering => {
                    // What lies unread would reset the connection under its last answer.
                    let _ = self.clients[key].drain_input();
                    self.close_client(key);
                }
                _ => self.close_client(key),
            }
        }
        // A head has to be whole in time; a body only has to keep coming: it may be large and its client slow.
        let slow = |client: &ClientConnection| {
            client.stage == Stage::Reading
                && if client.has_head() {
                    now - client.progress >= BODY_STALL_TIMEOUT_S
                } else {
                    now - client.new_since.unwrap_or(client.since) >= REQUEST_HEAD_TIMEOUT_S
                }
        };
        let slow: Vec<_> =
            self.clients.iter().filter(|(_, client)| slow(client)).map(|(key, _)| key).collect();
        for key in slow {
            self.clients[key].close = true;
            self.respond(key, 408, "the request did not come in whole\n", &[]);
        }
    }
}
