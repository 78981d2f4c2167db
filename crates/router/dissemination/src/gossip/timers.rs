//! The periodic work of the decider and when each part of it is next due.

use std::time::Duration;

/// Interval of anti-entropy exchanges with a random peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of polls of the core while the configuration is fresh.
const CORE_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of polls of the core while the configuration isn't known to be fresh.
const STALE_CORE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of polls of the core while an announcement awaits its confirmation: an endpoint that drains waits for it.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Interval of checks for endpoints whose heartbeats have stopped.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why the core is polled, which sets the interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CorePollReason {
    /// An announcement awaits its confirmation.
    Confirmation,
    /// The configuration isn't known to be fresh.
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

/// When each periodic part is next due; all at once at the start.
#[derive(Debug, Default)]
pub(super) struct Timers {
    next_exchange: Duration,
    next_core_poll: Duration,
    next_expiry_check: Duration,
}

impl Timers {
    /// Whether an exchange is due; if so, the next is scheduled.
    pub(super) fn fire_exchange(&mut self, now: Duration) -> bool {
        let due = now >= self.next_exchange;
        if due {
            self.next_exchange = now + EXCHANGE_INTERVAL;
        }
        due
    }

    /// Whether a poll of the core is due. The caller schedules the next, as its interval depends on the state after this one.
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

    /// Whether a check for expired endpoints is due; if so, the next is scheduled.
    pub(super) fn fire_expiry_check(&mut self, now: Duration) -> bool {
        let due = now >= self.next_expiry_check;
        if due {
            self.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
        }
        due
    }

    /// The earliest time at which anything is due.
    pub(super) fn next_due(&self) -> Duration {
        self.next_exchange.min(self.next_core_poll).min(self.next_expiry_check)
    }
}
