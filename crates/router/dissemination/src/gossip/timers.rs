//! Timers of the periodic tasks: exchanges, polls of the core and expiry checks.

use std::time::Duration;

/// Interval of anti-entropy exchanges with a random peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of polls of the core while the configuration is fresh.
const CORE_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of polls of the core while the configuration is not known to be fresh.
const STALE_CORE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of polls of the core while an announcement awaits confirmation. Short, because a draining endpoint waits for it.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Interval of checks for endpoints whose heartbeats have stopped.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reason for polling the core, which determines the polling interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CorePollReason {
    /// An announcement awaits confirmation.
    Confirmation,
    /// The configuration is not known to be fresh.
    Stale,
    /// The configuration is fresh and has to stay so.
    Routine,
}

impl CorePollReason {
    fn interval(self) -> Duration {
        match self {
            CorePollReason::Confirmation => CONFIRMATION_POLL_INTERVAL,
            CorePollReason::Stale => STALE_CORE_POLL_INTERVAL,
            CorePollReason::Routine => CORE_POLL_INTERVAL,
        }
    }
}

/// The time at which each periodic task is next due. All are due at the start of the process.
#[derive(Debug, Default)]
pub(super) struct Timers {
    next_exchange: Duration,
    next_core_poll: Duration,
    next_expiry_check: Duration,
}

impl Timers {
    /// Returns whether an exchange is due and, if so, schedules the next one.
    pub(super) fn fire_exchange(&mut self, now: Duration) -> bool {
        let due = now >= self.next_exchange;
        if due {
            self.next_exchange = now + EXCHANGE_INTERVAL;
        }
        due
    }

    /// Returns whether a poll of the core is due. The caller schedules the next one, because its interval depends on the state
    /// during this poll.
    pub(super) fn is_core_poll_due(&self, now: Duration) -> bool {
        now >= self.next_core_poll
    }

    pub(super) fn schedule_core_poll(&mut self, now: Duration, reason: CorePollReason) {
        self.next_core_poll = now + reason.interval();
    }

    /// Brings the next poll of the core forward to now.
    pub(super) fn expedite_core_poll(&mut self, now: Duration) {
        self.next_core_poll = self.next_core_poll.min(now);
    }

    /// Returns whether a check for expired endpoints is due and, if so, schedules the next one.
    pub(super) fn fire_expiry_check(&mut self, now: Duration) -> bool {
        let due = now >= self.next_expiry_check;
        if due {
            self.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
        }
        due
    }

    /// Returns the earliest time at which any task is due.
    pub(super) fn next_due(&self) -> Duration {
        self.next_exchange.min(self.next_core_poll).min(self.next_expiry_check)
    }
}
