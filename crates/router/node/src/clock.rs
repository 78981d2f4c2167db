//! The monotonic clock of the process. All points in time within the process are durations since its start.

use std::time::{Duration, Instant};

/// A clock that measures the monotonic time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
