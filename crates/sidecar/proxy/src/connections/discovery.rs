//! The connection to discovery.

use super::tokens::DISCOVERY;
use super::{ConnectionEvent, Connections, Timer};
use mio::Interest;
use std::net::SocketAddr;

impl Connections {
    /// Starts the next call to discovery, if one is wanted and none is out.
    pub fn call_discovery(&mut self) {
        if !self.discovery.subscribed || self.discovery.call_in_flight {
            return;
        }
        let started = self.discovery.start_call(self.now, &self.name).and_then(|(is_new, timeout)| {
            if let Some(socket) = self.discovery.socket.as_mut().filter(|_| is_new) {
                let _ = socket.set_nodelay(true);
                self.registry.register(socket, DISCOVERY, Interest::READABLE | Interest::WRITABLE)?;
            }
            Ok(timeout)
        });
        match started {
            Ok(timeout) => {
                self.timers.schedule(self.now + timeout, Timer::DiscoveryTimeout(self.discovery.call_number));
                // Guards against a call that is never written: a connection that has long been writable
                // gives no new event.
                self.events.push_back(ConnectionEvent::DiscoveryRequested);
            }
            Err(e) => self.discovery_failed(&e.to_string()),
        }
    }

    /// Leaves discovery where it was and asks it where it is now.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        if address != self.discovery.address() {
            self.discovery.set_address(address, &mut self.buffers);
            // Also where a failure has it left alone for now: that was the old address's.
            self.discovery.subscribed = true;
            self.call_discovery();
        }
    }

    pub fn discovery_failed(&mut self, problem: &str) {
        self.log_event("warn", "discovery_failed", &[("problem", &problem)]);
        self.discovery.abort_call(&mut self.buffers);
        self.discovery.subscribed = false;
        self.events.push_back(ConnectionEvent::DiscoveryFailed);
    }
}
