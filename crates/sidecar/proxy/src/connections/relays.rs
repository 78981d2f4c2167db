//! Body relays between the connections of a node and a client.

use super::{ConnectionEvent, Connections, Continuation};
use crate::body_relay::Flow;
use crate::client_connection::Stage;

impl Connections {
    /// Starts to stream a served response to a client while it is received.
    pub(super) fn open_relay(&mut self, client_key: usize, upstream_key: usize) {
        let (Some(client), Some(upstream)) =
            (self.clients.get_mut(client_key), self.upstreams.get_mut(upstream_key))
        else {
            return self.close_upstream(upstream_key);
        };
        client.close |= self.close_after_response;
        client.stage = Stage::Relaying(upstream_key);
        client.since = self.now;
        upstream.open_relay(client_key, client.close, self.now);
        self.pump_relay(upstream_key);
    }

    /// Advances a body relay as far as both sides allow.
    pub fn pump_relay(&mut self, upstream_key: usize) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else { return };
        let Some(client_key) = upstream.relay.as_ref().map(|relay| relay.client) else { return };
        let Some(client) = self.clients.get_mut(client_key) else {
            return self.close_upstream(upstream_key);
        };
        match upstream.pump_relay(self.now, &mut client.socket) {
            Flow::Blocked => {}
            Flow::Yield => {
                self.continuations.insert(Continuation::Relay(upstream_key, upstream.serial));
            }
            Flow::Done { reusable } => {
                // An idle connection holds no buffer, also after a relay.
                upstream.take_buffer().into_iter().for_each(|buffer| self.buffers.release(buffer));
                client.finish_response(self.now, &mut self.buffers);
                if client.close {
                    self.close_gracefully(client_key);
                } else {
                    self.events.push_back(ConnectionEvent::ClientReady { client: client_key });
                }
                if reusable {
                    self.return_to_pool(upstream_key);
                } else {
                    self.close_upstream(upstream_key);
                }
            }
            Flow::NodeFailed | Flow::ClientFailed => self.break_relay(upstream_key),
        }
    }

    /// Aborts a body relay before its response is complete, which the client can tell from the length or the
    /// missing last chunk.
    fn break_relay(&mut self, upstream_key: usize) {
        let Some(upstream) = self.upstreams.get(upstream_key) else { return };
        let host = self.pools.host(upstream.node).to_owned();
        let client_key = upstream.relay.as_ref().map(|relay| relay.client);
        self.log_event("warn", "relay_aborted", &[("node", &host)]);
        client_key.into_iter().for_each(|key| self.close_client(key));
    }
}
