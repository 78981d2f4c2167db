//! Graceful shutdown: decides which requests are accepted after SIGTERM and when the last responses are due.
//!
//! The platform takes some seconds to redirect clients, and keeps using a machine that is not ready if few others
//! are left. Requests therefore keep arriving until the process ends. Early requests are accepted regardless of
//! their deadline; later ones only if their deadline is before the end of the process, so that none is cut off
//! without a response.

use crate::clock::Clock;
use event_listener::Event;
use smol::Timer;
use std::cell::Cell;
use std::time::Duration;

/// Requests that arrive within this time after SIGTERM are accepted regardless of their deadline. The platform
/// may send such requests for up to 3 s after the signal; the shorter period allows for a signal that is handled
/// late.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period at which the process terminates the requests still in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the process at which requests without a response receive a final one.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Schedule of a graceful shutdown, on the clock of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    accept_all_until: Duration,
    ends_at: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule of a process that received SIGTERM at `signalled_at` and receives SIGKILL after
    /// `grace_period`.
    pub fn new(signalled_at: Duration, grace_period: Duration) -> Self {
        ShutdownSchedule {
            accept_all_until: signalled_at + ACCEPT_ALL_PERIOD.min(grace_period / 2),
            ends_at: signalled_at + grace_period.saturating_sub(GRACE_MARGIN),
        }
    }

    /// Returns the latest time at which the process ends.
    pub fn ends_at(&self) -> Duration {
        self.ends_at
    }

    /// Returns the time by which every request must have a final response or the beginning of one.
    pub fn last_responses_at(&self) -> Duration {
        self.ends_at.saturating_sub(FINAL_RESPONSE_MARGIN)
    }

    /// Returns whether a request with the given deadline is accepted for forwarding at `now`.
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        now < self.accept_all_until || deadline <= self.last_responses_at()
    }
}

/// Shutdown state of the process. Wakes the requests in flight when the shutdown begins.
pub struct GracefulShutdown {
    clock: Clock,
    schedule: Cell<Option<ShutdownSchedule>>,
    started: Event,
}

impl GracefulShutdown {
    /// Creates the state of a process that is not shutting down.
    pub fn new(clock: Clock) -> Self {
        GracefulShutdown { clock, schedule: Cell::new(None), started: Event::new() }
    }

    /// Begins the shutdown: from now on the process accepts requests only as far as `schedule` allows.
    pub fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.set(Some(schedule));
        self.started.notify(usize::MAX);
    }

    /// Returns whether the shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns whether a request with the given deadline may be forwarded now. Before a shutdown this is always
    /// the case.
    pub fn accepts(&self, deadline: Duration) -> bool {
        self.schedule.get().is_none_or(|schedule| schedule.accepts(self.clock.now(), deadline))
    }

    /// Waits until a request with the given deadline must have a response: until the deadline, or until the last
    /// responses before the end of the process are due, whichever comes first.
    pub async fn response_due(&self, deadline: Duration) {
        loop {
            let started = self.started.listen();
            let due =
                self.schedule.get().map_or(deadline, |schedule| deadline.min(schedule.last_responses_at()));
            let remaining = due.saturating_sub(self.clock.now());
            if remaining.is_zero() {
                return;
            }
            let elapsed = async {
                Timer::after(remaining).await;
            };
            smol::future::or(elapsed, started).await;
        }
    }
}

#[cfg(test)]
#[path = "graceful_shutdown/tests.rs"]
mod tests;
