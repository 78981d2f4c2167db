//! The monotonic clock of a process: all bounds inside it are durations since its start.

use std::time::{Duration, Instant};

/// Monotonic time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
