//! Body relays on their two connections.

use super::{ConnectionEvent, Connections, Continuation};
use crate::body_relay::Flow;
use crate::client_connection::Stage;

impl Connections {
    /// Starts to pass a served answer on while it comes.
    pub(super) fn open_relay(&mut self, client: usize, upstream: usize) {
        let (Some(client_connection), Some(upstream_connection)) =
            (self.clients.get_mut(client), self.upstreams.get_mut(upstream))
        else {
            return self.close_upstream(upstream);
        };
        client_connection.close |= self.closing;
        client_connection.stage = Stage::Relaying(upstream);
        client_connection.since = self.now;
        upstream_connection.open_relay(client, client_connection.close, self.now);
        self.pump(upstream);
    }

    /// Moves what can be moved between a body relay's node and its client.
    pub fn pump(&mut self, upstream: usize) {
        let Some(upstream_connection) = self.upstreams.get_mut(upstream) else { return };
        let Some(client) = upstream_connection.relay.as_ref().map(|relay| relay.client) else { return };
        let Some(client_connection) = self.clients.get_mut(client) else {
            return self.close_upstream(upstream);
        };
        match upstream_connection.relay_on(self.now, &mut client_connection.socket) {
            Flow::Blocked => {}
            Flow::Yield => {
                self.continuations.insert(Continuation::Pump(upstream, upstream_connection.serial));
            }
            Flow::Done { reusable } => {
                // Guards against an idle connection that keeps its buffer after a body relay.
                upstream_connection.take_buffer().into_iter().for_each(|buffer| self.buffers.release(buffer));
                client_connection.finish_response(self.now, &mut self.buffers);
                if client_connection.close {
                    self.close_gracefully(client);
                } else {
                    self.events.push_back(ConnectionEvent::ClientReady { client });
                }
                if reusable {
                    self.return_to_pool(upstream);
                } else {
                    self.close_upstream(upstream);
                }
            }
            Flow::NodeFailed | Flow::ClientFailed => self.break_relay(upstream),
        }
    }

    /// Ends a body relay before its answer is whole, which the client can tell from the length or the missing last chunk.
    fn break_relay(&mut self, upstream: usize) {
        let Some(upstream_connection) = self.upstreams.get(upstream) else { return };
        let host = self.pools.host(upstream_connection.node).to_owned();
        let client = upstream_connection.relay.as_ref().map(|relay| relay.client);
        self.log_event("warn", "relay_aborted", &[("node", &host)]);
        client.into_iter().for_each(|key| self.close_client(key));
    }
}
