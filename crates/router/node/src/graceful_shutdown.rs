//! Graceful shutdown: which requests are accepted after SIGTERM, and when the last responses are due.
//!
//! The platform takes some seconds to send clients elsewhere, and goes on using a machine that is not ready
//! where few others are left. So requests keep arriving up to the end. Early ones are accepted whatever they
//! need; a later one only if its deadline is before the end of the process, so that none is cut off without a
//! response.

use crate::clock::Clock;
use event_listener::Event;
use smol::Timer;
use std::cell::Cell;
use std::time::Duration;

/// Requests that arrive within this time after SIGTERM are accepted however long they may last. The
/// platform's bound is 3 s from the signal to the sending of the request; the margin covers a signal that is
/// handled late.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_700);
/// What is left of the grace period when the process ends whatever is still in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Requests without any response get a final one this long before the process ends.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// The times of one graceful shutdown, on the process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    accept_all_until: Duration,
    ends_at: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a process that got SIGTERM at a time and gets SIGKILL `grace` later.
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        ShutdownSchedule {
            accept_all_until: signalled_at + ACCEPT_ALL_PERIOD.min(grace / 2),
            ends_at: signalled_at + grace.saturating_sub(GRACE_MARGIN),
        }
    }

    /// When the process ends at the latest.
    pub fn ends_at(&self) -> Duration {
        self.ends_at
    }

    /// When every request has to have a final response or the beginning of one.
    pub fn last_responses_at(&self) -> Duration {
        self.ends_at.saturating_sub(FINAL_RESPONSE_MARGIN)
    }

    /// Whether a request that is to be forwarded now, and is over at `deadline`, is accepted.
    pub fn accepts(&self, now: Duration, deadline: Duration) -> bool {
        now < self.accept_all_until || deadline <= self.last_responses_at()
    }
}

/// Whether this process drains, and the wake-up of requests in flight when it begins to.
pub struct GracefulShutdown {
    clock: Clock,
    schedule: Cell<Option<ShutdownSchedule>>,
    started: Event,
}

impl GracefulShutdown {
    /// Of a process that serves.
    pub fn new(clock: Clock) -> Self {
        GracefulShutdown { clock, schedule: Cell::new(None), started: Event::new() }
    }

    /// From now on the process only finishes what it has accepted.
    pub fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.set(Some(schedule));
        self.started.notify(usize::MAX);
    }

    /// Whether the shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Whether a request that is over at `deadline` may be forwarded now: always, unless the process is to
    /// end before that.
    pub fn accepts(&self, deadline: Duration) -> bool {
        self.schedule.get().is_none_or(|schedule| schedule.accepts(self.clock.now(), deadline))
    }

    /// Waits until a request that is over at `deadline` has to have a response: its deadline, or the end of
    /// this process where that comes first.
    pub async fn response_due(&self, deadline: Duration) {
        loop {
            let started = self.started.listen();
            let due =
                self.schedule.get().map_or(deadline, |schedule| deadline.min(schedule.last_responses_at()));
            let left = due.saturating_sub(self.clock.now());
            if left.is_zero() {
                return;
            }
            let elapsed = async {
                Timer::after(left).await;
            };
            smol::future::or(elapsed, started).await;
        }
    }
}

#[cfg(test)]
#[path = "graceful_shutdown/tests.rs"]
mod tests;
