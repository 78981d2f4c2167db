//! The concurrency of one instance: its limit and its mean.

/// The mean concurrency is taken over this many median response times.
const CONCURRENCY_WINDOW_MEDIANS: f64 = 4.0;

/// Limit on the requests that this instance has in flight, where the upstreams' workers are unknown.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    /// Requests in flight; 0 before the first endpoint list. May lie below 1 where there are many instances.
    pub limit: f64,
    /// Upstreams that could be sent to when the limit was last set or scaled.
    pub usable_upstreams: f64,
    /// When it was last reduced.
    pub reduced_at: f64,
}

impl ConcurrencyLimit {
    /// Not set yet.
    pub fn new(now: f64) -> Self {
        ConcurrencyLimit { limit: 0.0, usable_upstreams: 0.0, reduced_at: now }
    }

    /// Scales the limit with the number of usable upstreams. Otherwise, when half of the upstreams are lost,
    /// the others would get what all of them could serve.
    pub fn scale(&mut self, usable: usize) {
        if usable > 0 && self.usable_upstreams > 0.0 {
            self.limit *= usable as f64 / self.usable_upstreams;
            self.usable_upstreams = usable as f64;
        }
    }
}

/// Exponentially decayed mean of own requests in flight, so that an instance's limit may lie below one
/// request.
#[derive(Clone, Copy, Debug)]
pub struct MeanConcurrency {
    mean: f64,
    updated_at: f64,
}

impl MeanConcurrency {
    /// Nothing in flight.
    pub fn new(now: f64) -> Self {
        MeanConcurrency { mean: 0.0, updated_at: now }
    }

    /// The mean at `now`, for this median response time; `tick` bounds the time constant from below.
    pub fn at(&self, now: f64, median: f64, tick: f64) -> f64 {
        self.mean * (-(now - self.updated_at) / (CONCURRENCY_WINDOW_MEDIANS * median).max(tick)).exp()
    }

    /// Records an attempt that was sent.
    pub fn record_send(&mut self, now: f64, median: f64, tick: f64) {
        self.mean = self.at(now, median, tick) + 1.0 / CONCURRENCY_WINDOW_MEDIANS;
        self.updated_at = now;
    }
}
