//! Freshness of the local configuration: the time as of which it is known to contain every change that the core acknowledged.
//!
//! The core confirms its own state as of an instant. Each sidecar reports the *age* of that instant in its responses, and the
//! requester subtracts the age from the time at which it *sent* the request. The response was produced after the request was
//! sent, so the confirmed instant is at or after the result. The arrival time must not be used: a response may be in flight for
//! any length of time, and a configuration acknowledged in the meantime would wrongly count as contained. The clocks of two
//! processes are never compared; only their rates have to agree.
//!
//! The responder's confirmation refers to the responder's configuration. It applies to the local configuration only if the local
//! index is the same or later.

use crate::mutation::ActiveMutation;
use std::time::Duration;

/// A configuration with an age below this counts as fresh, and the core is polled at the lower rate.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1_500);

/// The freshness reported by a response, in terms of the local clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreshnessReport {
    /// When the request was sent.
    pub(super) sent_at: Duration,
    /// Age of the responder's configuration when it responded.
    pub(super) age: Duration,
}

impl FreshnessReport {
    /// Returns the local time as of which the responder's configuration contained every acknowledged change, or `None` if that
    /// is before the start of this process.
    fn fresh_at(&self) -> Option<Duration> {
        self.sent_at.checked_sub(self.age)
    }
}

/// Tracks the time as of which the local configuration is known to contain every acknowledged change.
#[derive(Debug)]
pub(super) struct Freshness {
    /// The local configuration contains every change acknowledged before this time. Never decreases.
    fresh_at: Option<Duration>,
    mutation: ActiveMutation,
}

impl Freshness {
    pub(super) fn new(mutation: ActiveMutation) -> Self {
        Freshness { fresh_at: None, mutation }
    }

    pub(super) fn fresh_at(&self) -> Option<Duration> {
        self.fresh_at
    }

    /// Returns whether the age of the configuration is below [`MAX_FRESH_AGE`].
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        self.fresh_at.is_some_and(|at| now.saturating_sub(at) < MAX_FRESH_AGE)
    }

    /// Advances to `fresh_at`, which must refer to the local configuration. An earlier time has no effect.
    pub(super) fn advance(&mut self, fresh_at: Option<Duration>) {
        self.fresh_at = self.fresh_at.max(fresh_at);
    }

    /// Advances to the time in a report whose responder has a configuration no newer than the local one.
    pub(super) fn advance_by_report(&mut self, report: &FreshnessReport) {
        self.advance(report.fresh_at());
    }

    /// Creates a report from the age in a response to a request sent at `sent_at`.
    pub(super) fn read_report(&self, sent_at: Duration, fresh_age_ms: u32) -> FreshnessReport {
        let reported = Duration::from_millis(u64::from(fresh_age_ms));
        FreshnessReport { sent_at, age: self.mutation.fresh_age(reported) }
    }

    /// Returns the age to report in a response, in milliseconds, or `None` if the freshness is unknown. Adds 1 ms to round up,
    /// because an age that is too short would claim freshness that is not proven.
    pub(super) fn reported_age_ms(&self, now: Duration) -> Option<u32> {
        let age = now.saturating_sub(self.fresh_at?);
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX).saturating_add(1))
    }
}
