//! Freshness of the local configuration: as of when it is known to contain everything that the core has acknowledged.
//!
//! The core confirms its own state as of an instant. Every sidecar passes on the *age* of that instant in its responses, and the
//! requester subtracts the age from the time at which it *sent* the request. The response was produced after that, so the
//! instant confirmed lies at or after the result. Its arrival time must not be used: a response may be in flight for any length
//! of time, and a configuration acknowledged meanwhile would count as contained. Clocks of two processes are never compared;
//! only their rates have to agree.
//!
//! The responder's confirmation holds for its own configuration. It applies to the local one only if that is of the same or a
//! later index.

use crate::mutation::ActiveMutation;
use std::time::Duration;

/// Under this age the configuration counts as fresh, and the core is polled at the lower rate.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1_500);

/// What a response says about freshness, in terms of the local clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreshnessReport {
    /// When the request was sent.
    pub(super) sent_at: Duration,
    /// Age of the responder's configuration when it responded.
    pub(super) age: Duration,
}

impl FreshnessReport {
    /// The responder's configuration contained everything acknowledged before this time. None if that lies before the start
    /// of this process.
    fn fresh_at(&self) -> Option<Duration> {
        self.sent_at.checked_sub(self.age)
    }
}

/// As of when the local configuration is known to contain everything acknowledged.
#[derive(Debug)]
pub(super) struct Freshness {
    /// The local configuration contains everything acknowledged before this time. Never decreases.
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

    /// Whether the age is below [`MAX_FRESH_AGE`].
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        self.fresh_at.is_some_and(|at| now.saturating_sub(at) < MAX_FRESH_AGE)
    }

    /// Advances to `fresh_at`, which must hold for the local configuration.
    pub(super) fn advance(&mut self, fresh_at: Option<Duration>) {
        self.fresh_at = self.fresh_at.max(fresh_at);
    }

    /// Advances by a response whose responder had a configuration no newer than the local one.
    pub(super) fn advance_by_report(&mut self, report: &FreshnessReport) {
        self.advance(report.fresh_at());
    }

    /// Reads the age in a response to a request that was sent at `sent_at`.
    pub(super) fn read_report(&self, sent_at: Duration, fresh_age_ms: u32) -> FreshnessReport {
        let reported = Duration::from_millis(u64::from(fresh_age_ms));
        FreshnessReport { sent_at, age: self.mutation.fresh_age(reported) }
    }

    /// The age for a response, in ms. Rounded up by adding 1 ms, as a shorter age would claim too much.
    pub(super) fn reported_age_ms(&self, now: Duration) -> Option<u32> {
        let age = now.saturating_sub(self.fresh_at?);
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX).saturating_add(1))
    }
}
