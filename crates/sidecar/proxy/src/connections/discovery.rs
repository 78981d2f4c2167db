//! Calls to discovery.

use super::tokens::DISCOVERY;
use super::{ConnectionEvent, Connections, Timer};
use mio::Interest;
use std::net::SocketAddr;

impl Connections {
    /// Starts the next call to discovery if the sidecar is subscribed and no call is in flight.
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
                // A connection that has been writable for long gives no new event, so without this the call
                // would never be written.
                self.events.push_back(ConnectionEvent::DiscoveryCallStarted);
            }
            Err(e) => self.discovery_failed(&format!("cannot call {}: {e}", self.discovery.address())),
        }
    }

    /// Changes the address of discovery and calls it there at once.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        if address != self.discovery.address() {
            self.discovery.set_address(address, &mut self.buffers);
            // Calls resume even if a failure has suspended them: it was the old address that failed.
            self.discovery.subscribed = true;
            self.call_discovery();
        }
    }

    /// Aborts the call to discovery and reports the failure to the dispatcher. Calls are suspended until the
    /// dispatcher or a timer resumes them.
    pub fn discovery_failed(&mut self, problem: &str) {
        self.log_event("warn", "discovery_failed", &[("problem", &problem)]);
        self.discovery.abort_call(&mut self.buffers);
        self.discovery.subscribed = false;
        self.events.push_back(ConnectionEvent::DiscoveryFailed);
    }
}
