//! Fault injection for mutation testing: the cluster simulation runs deliberately faulty variants of dissemination to verify
//! that its checkers detect the violation.
//!
//! Mutations exist only with the cargo feature `mutations`, which the manifest of the cluster simulation enables. Without it,
//! [`ActiveMutation`] is zero-sized and each of its methods returns the correct value. Apart from the re-export in `lib.rs`, this
//! is the only file that depends on the feature.

use std::time::Duration;

/// An injected fault.
#[cfg(feature = "mutations")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipMutation {
    /// Ignores the age that a responder reports, so that a configuration counts as fresh as of the request.
    IgnoreReportedAge,
}

/// The mutation that a sidecar runs with; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActiveMutation(#[cfg(feature = "mutations")] Option<GossipMutation>);

#[cfg(not(feature = "mutations"))]
const _: () = assert!(size_of::<ActiveMutation>() == 0);

#[cfg(feature = "mutations")]
impl From<Option<GossipMutation>> for ActiveMutation {
    fn from(mutation: Option<GossipMutation>) -> Self {
        ActiveMutation(mutation)
    }
}

impl ActiveMutation {
    /// Returns the age to use for a responder's configuration, given the age that the responder reported.
    pub(crate) fn fresh_age(self, reported: Duration) -> Duration {
        #[cfg(feature = "mutations")]
        if self.0 == Some(GossipMutation::IgnoreReportedAge) {
            return Duration::ZERO;
        }
        reported
    }
}
