//! The connection to discovery.

use super::tokens::DISCOVERY;
use super::{ConnectionEvent, Connections, Timer};
use mio::Interest;
use std::net::SocketAddr;

impl Connections {
    /// Starts the next call to discovery, if one is wanted and none is out.
    pub fn ask(&mut self) {
        if !self.discovery.wanted || self.discovery.asking {
            return;
        }
        let asked = self.discovery.ask(self.now, &self.name).and_then(|(fresh, patience)| {
            if let Some(sock) = self.discovery.sock.as_mut().filter(|_| fresh) {
                let _ = sock.set_nodelay(true);
                self.registry.register(sock, DISCOVERY, Interest::READABLE | Interest::WRITABLE)?;
            }
            Ok(patience)
        });
        match asked {
            Ok(patience) => {
                self.timers.set(self.now + patience, Timer::Overdue(self.discovery.call));
                // Guards against a call that is never written: a connection that has long been writable
                // gives no new event.
                self.events.push_back(ConnectionEvent::DiscoveryRequested);
            }
            Err(e) => self.discovery_failed(&e.to_string()),
        }
    }

    /// Leaves discovery where it was and asks it where it is now.
    pub fn move_discovery(&mut self, address: SocketAddr) {
        if address != self.discovery.address() {
            self.discovery.move_to(address, &mut self.buffers);
            // Also where a failure has it left alone for now: that was the old address's.
            self.discovery.wanted = true;
            self.ask();
        }
    }

    pub fn discovery_failed(&mut self, problem: &str) {
        self.log_event("warn", "discovery_failed", &[("problem", &problem)]);
        self.discovery.fail(&mut self.buffers);
        self.discovery.wanted = false;
        self.events.push_back(ConnectionEvent::DiscoveryFailed);
    }
}
