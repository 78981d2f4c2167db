//! Admission of requests by the number of client connections in use, without I/O or a clock.
//!
//! Each open request occupies its client connection. Once all connections are occupied, no further client can connect,
//! so it gets no answer at all, not even a rejection. So some connections are reserved for requests that are rejected
//! at once, and the lower the value of a request, the fewer open requests it takes to reject it. To which upstream an
//! admitted request is sent, and when, is up to the policy.

/// Fraction of the connections that open requests never occupy, whatever their value, so that new clients can connect.
const RESERVED_FRACTION: f64 = 0.125;
/// Fraction of the connections that requests may occupy only in proportion to their value.
const FRACTION_BY_VALUE: f64 = 0.25;

/// The limit on the open requests of a sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Maximum number of client connections.
    connections: f64,
    /// Maximum number of open requests, however many connections there are.
    max_open: usize,
}

impl Admission {
    /// Creates a limit for this number of client connections and at most `max_open` open requests.
    pub fn new(connections: usize, max_open: usize) -> Self {
        Admission { connections: connections as f64, max_open }
    }

    /// Returns whether a request is admitted while `open` others are open. Its `value` is relative to that of the most
    /// valuable class and is clamped to `0..=1`. A request is admitted in any case while none is open, unless the limit
    /// on open requests is 0.
    pub fn admits(&self, open: usize, value: f64) -> bool {
        let fraction = 1.0 - RESERVED_FRACTION - FRACTION_BY_VALUE * (1.0 - value.clamp(0.0, 1.0));
        open < self.max_open && (open as f64) < (self.connections * fraction).max(1.0)
    }
}

#[cfg(test)]
mod tests;
