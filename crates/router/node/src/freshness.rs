//! Whether the configuration is known to be current recently enough for requests that carry keys.
//!
//! A revoked key must be out of force everywhere within the revocation bound, also on machines that are cut
//! off from the core. So a process serves keys only while its last proof that its configuration is current is
//! younger than the bound, less a margin.

use crate::clock::Clock;
use crate::settings::CurrentSettings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Margin of the freshness check under the revocation bound: a request needs time to reach its endpoint.
const REVOCATION_MARGIN: Duration = Duration::from_millis(600);
/// Margin of the check whether the configuration is current under the bound for changes to be in force.
const CONFIG_APPLY_MARGIN: Duration = Duration::from_millis(200);
/// A sidecar reports itself not ready this much before its requests would be rejected.
const READINESS_MARGIN: Duration = Duration::from_millis(700);

/// Checks the age of the last proof that the configuration is current.
pub struct Freshness {
    clock: Clock,
    settings: Rc<CurrentSettings>,
    /// When the configuration was last known to be current. The coordinator driver copies it from the gossip
    /// state after each step, before any other task runs, so the two never differ for a reader.
    proven_at: Cell<Option<Duration>>,
}

impl Freshness {
    /// Not proven yet.
    pub fn new(clock: Clock, settings: Rc<CurrentSettings>) -> Self {
        Freshness { clock, settings, proven_at: Cell::new(None) }
    }

    /// The configuration was last known to be current at this time.
    pub fn set_proven_at(&self, proven_at: Option<Duration>) {
        self.proven_at.set(proven_at);
    }

    /// Whether requests with keys may be forwarded.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh_within(REVOCATION_MARGIN)
    }

    /// Whether requests with keys may be forwarded for some time to come.
    pub fn is_fresh_for_readiness(&self) -> bool {
        self.is_fresh_within(REVOCATION_MARGIN + READINESS_MARGIN)
    }

    /// Whether the configuration is known to contain every change that has to be in force by now.
    pub fn is_current(&self) -> bool {
        self.is_proven_within(self.settings.borrow().config_apply.saturating_sub(CONFIG_APPLY_MARGIN))
    }

    fn is_fresh_within(&self, margin: Duration) -> bool {
        let settings = self.settings.borrow();
        !settings.strict_revocation || self.is_proven_within(settings.revoke.saturating_sub(margin))
    }

    fn is_proven_within(&self, max_age: Duration) -> bool {
        let now = self.clock.now();
        self.proven_at.get().is_some_and(|at| now.saturating_sub(at) < max_age)
    }
}
