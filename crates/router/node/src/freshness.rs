//! Checks whether the configuration was proven to be current recently enough to serve requests with keys.
//!
//! A revoked key must be rejected everywhere within the revocation bound, including on machines that are
//! partitioned from the core. A process therefore accepts keys only while the last proof that its configuration
//! is current is younger than the bound minus a margin.

use crate::clock::Clock;
use crate::settings::CurrentSettings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Margin of the freshness check below the revocation bound, because a request needs time to reach its endpoint.
const REVOCATION_MARGIN: Duration = Duration::from_millis(600);
/// Margin of [`Freshness::is_current`] below the bound for applying configuration changes.
const CONFIG_APPLY_MARGIN: Duration = Duration::from_millis(200);
/// Time by which a sidecar reports itself not ready before it would reject requests.
const READINESS_MARGIN: Duration = Duration::from_millis(700);

/// Checks the age of the last proof that the configuration is current.
pub struct Freshness {
    clock: Clock,
    settings: Rc<CurrentSettings>,
    /// When the configuration was last known to be current. The coordinator driver copies it from the gossip
    /// state after each step, before any other task runs, so a reader never sees a different value.
    proven_at: Cell<Option<Duration>>,
}

impl Freshness {
    /// Creates the state before any proof.
    pub fn new(clock: Clock, settings: Rc<CurrentSettings>) -> Self {
        Freshness { clock, settings, proven_at: Cell::new(None) }
    }

    /// Sets the time at which the configuration was last known to be current.
    pub fn set_proven_at(&self, proven_at: Option<Duration>) {
        self.proven_at.set(proven_at);
    }

    /// Returns whether requests with keys may be forwarded.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh_within(REVOCATION_MARGIN)
    }

    /// Returns whether requests with keys may be forwarded for at least [`READINESS_MARGIN`] from now.
    pub fn is_fresh_for_readiness(&self) -> bool {
        self.is_fresh_within(REVOCATION_MARGIN + READINESS_MARGIN)
    }

    /// Returns whether the configuration is known to contain every change that has to be in force by now.
    pub fn is_current(&self) -> bool {
        self.is_proven_within(self.settings.borrow().config_apply_bound.saturating_sub(CONFIG_APPLY_MARGIN))
    }

    fn is_fresh_within(&self, margin: Duration) -> bool {
        let settings = self.settings.borrow();
        !settings.strict_revocation || self.is_proven_within(settings.revocation_bound.saturating_sub(margin))
    }

    fn is_proven_within(&self, max_age: Duration) -> bool {
        let now = self.clock.now();
        self.proven_at.get().is_some_and(|at| now.saturating_sub(at) < max_age)
    }
}
