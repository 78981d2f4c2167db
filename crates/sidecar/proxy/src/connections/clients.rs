//! Client connections: accepting, evicting, responding, closing without a reset, and timeouts.

use super::tokens::client_token;
use super::{call_id, ConnectionEvent, Connections, Continuation, PendingRequest};
use crate::client_connection::{ClientConnection, Received, Stage};
use crate::http::{response_head, Head};
use mio::net::TcpStream;
use mio::Interest;
use passrelay_load_balancing::RequestId;
use std::fmt::Display;
use std::io;

/// Timeout of a request's head from its first byte, and of a client's first request from its acceptance, in
/// seconds.
const REQUEST_HEAD_TIMEOUT_S: f64 = 2.5;
/// Longest pause between two bytes of a request's body, in seconds.
const BODY_STALL_TIMEOUT_S: f64 = 2.5;
/// Longest time in which the client accepts no byte of a response, in seconds. A response that is not
/// streamed has to be written completely within it.
const RESPONSE_STALL_TIMEOUT_S: f64 = 5.0;
/// Idle timeout of a connection after a response, in seconds.
const IDLE_TIMEOUT_S: f64 = 10.0;
/// At the connection limit, a connection that has been receiving one request for longer than this may be
/// evicted, in seconds.
const EVICTABLE_READING_AFTER_S: f64 = 0.5;
/// A new client is not evicted before this, in seconds, because its request is on its way.
const NEW_CLIENT_GRACE_S: f64 = 0.1;
/// Time for a client to close after the last response, in seconds.
const LINGER_TIMEOUT_S: f64 = 1.0;

/// Returns whether a client connection may be evicted for a new one.
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

    /// Closes a client's connection, and the node's connection if a response is being streamed.
    pub fn close_client(&mut self, key: usize) {
        if let Some(Stage::Relaying(upstream)) = self.clients.get(key).map(|client| client.stage) {
            self.close_upstream(upstream);
        }
        if let Some(client) = self.clients.try_remove(key) {
            let mut socket = client.into_socket(&mut self.buffers);
            let _ = self.registry.deregister(&mut socket);
        }
    }

    /// Closes a connection on which no response is pending: shuts down the write side and discards what the
    /// client still sends. Closing with unread bytes would reset the connection and destroy the last
    /// response.
    pub fn close_gracefully(&mut self, key: usize) {
        if let Some(client) = self.clients.get_mut(key) {
            client.start_lingering(self.now);
            self.drain_input(key);
        }
    }

    /// Returns the pending requests in order of their ids.
    pub fn pending_request_ids(&self) -> Vec<RequestId> {
        let mut ids: Vec<_> = self.pending_requests.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the connections with a partially received request.
    pub fn partially_received(&self) -> Vec<usize> {
        self.clients.iter().filter(|(_, client)| client.stage == Stage::Reading).map(|(key, _)| key).collect()
    }

    /// Closes the connection that has been idle longest, or else the one that has been receiving its request
    /// longest; returns whether there was one. Connections with unread input and new clients are spared,
    /// since their request has arrived or is on its way. Slow requests are not spared, since otherwise many
    /// incomplete requests could lock out other clients.
    pub fn evict_idle_client(&mut self) -> bool {
        let now = self.now;
        self.evict_oldest(|client| is_idle(client, now))
            || self.evict_oldest(|client| {
                client.stage == Stage::Reading && now - client.since >= EVICTABLE_READING_AFTER_S
            })
    }

    /// Returns whether a new client can be accepted, if need be by evicting an idle one.
    pub fn can_accept(&self, max_clients: usize) -> bool {
        self.clients.len() < max_clients || self.clients.iter().any(|(_, client)| is_idle(client, self.now))
    }

    /// Closes all idle client connections; in standby, clients are to connect elsewhere.
    pub fn close_idle_clients(&mut self) {
        let idle = self
            .clients
            .iter()
            .filter(|(_, client)| client.stage == Stage::Idle && client.is_safe_to_close());
        let idle: Vec<_> = idle.map(|(key, _)| key).collect();
        idle.into_iter().for_each(|key| self.close_gracefully(key));
    }

    /// Closes the oldest connection that `is_evictable` accepts and that is safe to close; returns whether
    /// there was one.
    fn evict_oldest(&mut self, is_evictable: impl Fn(&ClientConnection) -> bool) -> bool {
        let idle = self.clients.iter().filter(|(_, client)| is_evictable(client));
        let mut idle: Vec<_> = idle.map(|(key, client)| (client.since, client.serial, key)).collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let oldest =
            idle.into_iter().map(|(_, _, key)| key).find(|key| self.clients[*key].is_safe_to_close());
        oldest.is_some_and(|key| {
            self.close_client(key);
            true
        })
    }

    /// Records a request before it is handed to the dispatcher. `budget` is in seconds.
    pub fn track_request(&mut self, id: RequestId, client: usize, head: Head, budget: f64) {
        self.clients[client].stage = Stage::Waiting(id);
        self.clients[client].close |= head.close;
        self.call_ids.insert(call_id(&head).to_owned());
        self.pending_requests.insert(id, PendingRequest { client, head, deadline: self.now + budget });
    }

    /// Returns whether a request with the same client id is pending.
    pub fn is_duplicate(&self, head: &Head) -> bool {
        self.call_ids.contains(call_id(head))
    }

    /// Removes a request that is answered or whose client has disconnected; returns its client's key.
    pub fn untrack_request(&mut self, id: RequestId) -> Option<usize> {
        let pending = self.pending_requests.remove(&id)?;
        self.call_ids.remove(call_id(&pending.head));
        Some(pending.client)
    }

    /// Sends a plain-text response of the sidecar itself.
    pub fn respond(&mut self, key: usize, status: u16, text: &str, extra_headers: &[(&str, &dyn Display)]) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.close |= self.close_after_response;
        let mut headers: Vec<(&str, &dyn Display)> = vec![("Content-Type", &"text/plain")];
        headers.extend_from_slice(extra_headers);
        let mut head = response_head(status, text.len(), client.close, &headers);
        head.extend_from_slice(text.as_bytes());
        client.set_response(self.now, head, None);
        self.write_out(key);
    }

    /// Writes pending output. After a complete response, further input of the client is handled through an
    /// event.
    pub fn write_out(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if let Stage::Relaying(upstream) = client.stage {
            return self.pump_relay(upstream);
        }
        match client.on_writable(self.now, &mut self.buffers) {
            Ok(true) if client.close => self.close_gracefully(key),
            // The readiness event of the next request may have come while the response was written: check for
            // input.
            Ok(true) => self.events.push_back(ConnectionEvent::ClientReady { client: key }),
            Ok(false) => {}
            Err(_) => self.close_client(key),
        }
    }

    /// Discards what a client sends after its last response.
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
            // Closes connections without a first request. Legitimate clients send one right after connecting.
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
                Stage::Idle if self.clients[key].is_safe_to_close() => self.close_gracefully(key),
                // Its request has just arrived.
                Stage::Idle => {}
                Stage::Lingering => {
                    // Unread input would reset the connection and destroy the last response.
                    let _ = self.clients[key].drain_input();
                    self.close_client(key);
                }
                _ => self.close_client(key),
            }
        }
        // A head has to be complete in time. A body only has to make progress, since it may be large and its
        // client slow.
        let slow = |client: &ClientConnection| {
            client.stage == Stage::Reading
                && if client.has_head() {
                    now - client.last_progress >= BODY_STALL_TIMEOUT_S
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
