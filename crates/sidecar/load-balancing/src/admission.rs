//! Admission: which requests are taken while client connections run out, without I/O or clock.
//!
//! Each request that waits keeps its connection. Once all connections wait, nobody new can be let in, and who
//! stands outside gets no answer at all, not even a refusal. So some connections are kept for those who are
//! refused at once, and the cheaper a request, the sooner it is among them.

/// Part of the connections on which even the dearest requests may not wait: newcomers pass through them.
const KEPT_FREE: f64 = 0.125;
/// Part of the connections that only requests of some worth may take, in proportion to that worth.
const BY_WORTH: f64 = 0.25;

/// How many requests may wait.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    connections: f64,
    /// However many connections there are.
    most: usize,
}

impl Admission {
    /// With so many client connections, and at most so many requests.
    pub fn new(connections: usize, most: usize) -> Self {
        Admission { connections: connections as f64, most }
    }

    /// Whether a request is taken where so many wait; `worth` is its part of the dearest one's.
    pub fn takes(&self, waiting: usize, worth: f64) -> bool {
        let part = 1.0 - KEPT_FREE - BY_WORTH * (1.0 - worth.clamp(0.0, 1.0));
        waiting < self.most && (waiting as f64) < (self.connections * part).max(1.0)
    }
}

#[cfg(test)]
mod tests;
