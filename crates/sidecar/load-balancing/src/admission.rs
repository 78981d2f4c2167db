//! Admission of requests while client connections run out, without I/O or clock.
//!
//! Each open request occupies its client connection. Once all connections are occupied, no new client can connect, and
//! those outside get no answer at all, not even a rejection. So some connections are reserved for requests that are
//! rejected at once, and the lower the value of a request, the sooner it is rejected. Which upstream an admitted
//! request gets, and when, is up to the policy.

/// Part of the connections that open requests never occupy, whatever their value: new connections pass through them.
const RESERVED_FRACTION: f64 = 0.125;
/// Part of the connections that requests may occupy in proportion to their value.
const FRACTION_BY_VALUE: f64 = 0.25;

/// Limit on the open requests of a sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    connections: f64,
    /// Bound on open requests, however many connections there are.
    max_open: usize,
}

impl Admission {
    /// A limit for so many client connections and at most so many open requests.
    pub fn new(connections: usize, max_open: usize) -> Self {
        Admission { connections: connections as f64, max_open }
    }

    /// Whether a request is admitted while so many are open; `value` is relative to the most valuable class, and
    /// clamped to 0..=1. At least one request is admitted.
    pub fn admits(&self, open: usize, value: f64) -> bool {
        let fraction = 1.0 - RESERVED_FRACTION - FRACTION_BY_VALUE * (1.0 - value.clamp(0.0, 1.0));
        open < self.max_open && (open as f64) < (self.connections * fraction).max(1.0)
    }
}

#[cfg(test)]
mod tests;
