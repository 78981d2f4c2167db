//! What clients and peers can make the process hold: memory and connections, each with its limit.

use crate::inbound_connections::InboundConnections;
use crate::logging::log_event;
use crate::memory::Memory;
use crate::upstream::ConnectionPool;
use passrelay_data_plane::socket_limits::SocketLimits;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;

/// The limited resources of the process.
pub struct Resources {
    /// Memory held for clients and peers.
    pub memory: Memory,
    /// Connections of clients.
    pub clients: Rc<InboundConnections>,
    /// Connections of endpoints and operators.
    pub control: Rc<InboundConnections>,
    /// Connections of readiness probes, which the others must not exhaust.
    pub readiness: Rc<InboundConnections>,
    /// Connections of other processes.
    pub peers: Rc<InboundConnections>,
    /// Connections to endpoints.
    pub upstream: Rc<ConnectionPool>,
    logged: Cell<LimitEvents>,
}

/// Connections that were evicted or refused since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LimitEvents {
    clients: u64,
    control: u64,
    readiness: u64,
    peers: u64,
}

impl Resources {
    /// Divides up the memory, in bytes, and the descriptors of the process.
    pub fn new(memory_bytes: u64, max_descriptors: usize) -> Self {
        let memory = Memory::new(memory_bytes);
        let limits = SocketLimits::new(max_descriptors);
        let max_clients = limits.clients.min(memory.max_client_connections());
        let connections = |limit| Rc::new(InboundConnections::new(limit, memory.clone()));
        Resources {
            clients: connections(max_clients),
            control: connections(limits.control),
            readiness: connections(limits.readiness),
            peers: connections(limits.peers),
            upstream: Rc::new(ConnectionPool::new(limits.upstream)),
            logged: Cell::default(),
            memory,
        }
    }

    /// Returns the connections of each kind as JSON, for operators.
    pub fn connections_status(&self) -> Value {
        json!({
            "clients": self.clients.status(),
            "control": self.control.status(),
            "readiness": self.readiness.status(),
            "peers": self.peers.status(),
            "upstream": self.upstream.status(),
        })
    }

    /// Logs what was refused or evicted since the last call, if anything.
    pub fn log_refusals(&self) {
        self.memory.log_refusals();
        let now = LimitEvents {
            clients: self.clients.limit_events(),
            control: self.control.limit_events(),
            readiness: self.readiness.limit_events(),
            peers: self.peers.limit_events(),
        };
        let before = self.logged.replace(now);
        if now != before {
            log_event!(
                warn,
                "connection_limit_reached",
                clients = now.clients - before.clients,
                control = now.control - before.control,
                readiness = now.readiness - before.readiness,
                peers = now.peers - before.peers,
            );
        }
    }
}
