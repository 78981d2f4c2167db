//! The concurrency of one instance: its limit and its decayed mean.

/// Time constant of the mean concurrency, in median response times.
const CONCURRENCY_WINDOW_MEDIANS: f64 = 4.0;

/// The adaptive limit on the requests that this instance has in flight.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    /// Maximum number of requests in flight; 0 before the first endpoint list. May lie below 1 if there are many
    /// instances.
    pub limit: f64,
    /// Number of usable upstreams when the limit was last set or scaled.
    pub usable_upstreams: f64,
    /// When the limit was last reduced.
    pub reduced_at: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that is not set yet.
    pub fn new(now: f64) -> Self {
        ConcurrencyLimit { limit: 0.0, usable_upstreams: 0.0, reduced_at: now }
    }

    /// Scales the limit with the number of usable upstreams. Otherwise, after the loss of half of the upstreams, the
    /// others would get as many requests as all of them could serve.
    pub fn scale(&mut self, usable: usize) {
        if usable > 0 && self.usable_upstreams > 0.0 {
            self.limit *= usable as f64 / self.usable_upstreams;
            self.usable_upstreams = usable as f64;
        }
    }
}

/// Exponentially decayed mean of this instance's requests in flight. It makes a limit below one request possible.
#[derive(Clone, Copy, Debug)]
pub struct MeanConcurrency {
    mean: f64,
    updated_at: f64,
}

impl MeanConcurrency {
    /// Creates a mean of 0.
    pub fn new(now: f64) -> Self {
        MeanConcurrency { mean: 0.0, updated_at: now }
    }

    /// Returns the mean at `now`, given the median response time. The time constant is at least `tick`.
    pub fn value_at(&self, now: f64, median: f64, tick: f64) -> f64 {
        self.mean * (-(now - self.updated_at) / (CONCURRENCY_WINDOW_MEDIANS * median).max(tick)).exp()
    }

    /// Records that an attempt was sent.
    pub fn record_send(&mut self, now: f64, median: f64, tick: f64) {
        self.mean = self.value_at(now, median, tick) + 1.0 / CONCURRENCY_WINDOW_MEDIANS;
        self.updated_at = now;
    }
}
