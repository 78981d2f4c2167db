//! Numbers of sockets that a process may have open for each purpose.

/// Descriptors kept for files and for the process itself.
const RESERVED_DESCRIPTORS: usize = 200;
/// Number of sockets below which no limit falls, so that a process also works where few descriptors are allowed.
const MIN_SOCKETS: usize = 8;

/// Maximum numbers of open sockets, which together stay below the number of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints, idle ones included.
    pub upstream: usize,
    /// Connections of endpoints and operators.
    pub control: usize,
    /// Connections of readiness probes.
    pub readiness: usize,
    /// Connections of other processes.
    pub peers: usize,
}

impl SocketLimits {
    /// Divides up the descriptors that a process may have open.
    pub fn new(max_descriptors: usize) -> Self {
        let sockets = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(max_descriptors / 4);
        let sixteenths = |share: usize| (sockets / 16 * share).max(MIN_SOCKETS);
        SocketLimits {
            clients: sixteenths(7),
            upstream: sixteenths(6),
            control: sixteenths(1),
            readiness: sixteenths(1),
            peers: sixteenths(1),
        }
    }
}

#[cfg(test)]
#[path = "socket_limits/tests.rs"]
mod tests;
