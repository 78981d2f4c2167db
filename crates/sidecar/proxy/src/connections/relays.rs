//! Body relays on their two connections.

use super::{ConnectionEvent, Connections, Continuation};
use crate::body_relay::Flow;
use crate::client_connection::Stage;

impl Connections {
    /// Starts to pass a served answer on while it comes.
    pub(super) fn open_relay(&mut self, client: usize, upstream: usize) {
        let (Some(k), Some(b)) = (self.clients.get_mut(client), self.upstreams.get_mut(upstream)) else {
            return self.close_upstream(upstream);
        };
        k.close |= self.closing;
        k.stage = Stage::Relaying(upstream);
        k.since = self.now;
        b.open_relay(client, k.close, self.now);
        self.pump(upstream);
    }

    /// Moves what can be moved between a body relay's node and its client.
    pub fn pump(&mut self, upstream: usize) {
        let Some(b) = self.upstreams.get_mut(upstream) else { return };
        let Some(client) = b.relay.as_ref().map(|p| p.client) else { return };
        let Some(k) = self.clients.get_mut(client) else { return self.close_upstream(upstream) };
        match b.relay_on(self.now, &mut k.sock) {
            Flow::Going => {}
            Flow::More => {
                self.continuations.insert(Continuation::Pump(upstream, b.number));
            }
            Flow::Done { reusable } => {
                // Guards against an idle connection that keeps its buffer after a body relay.
                b.take_buffer().into_iter().for_each(|t| self.buffers.give_back(t));
                k.answered(self.now, &mut self.buffers);
                if k.close {
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
            Flow::NodeBroke | Flow::ClientGone => self.break_relay(upstream),
        }
    }

    /// Ends a body relay before its answer is whole, which the client can tell from the length or the missing last chunk.
    fn break_relay(&mut self, upstream: usize) {
        let Some(b) = self.upstreams.get(upstream) else { return };
        let host = self.pools.host(b.node).to_owned();
        let client = b.relay.as_ref().map(|p| p.client);
        self.log_event("warn", "relay_aborted", &[("node", &host)]);
        client.into_iter().for_each(|key| self.close_client(key));
    }
}
