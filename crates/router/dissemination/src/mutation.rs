//! Deliberately broken versions of dissemination, with which the cluster simulation verifies that its checkers find a violation.
//!
//! They exist only with the cargo feature `mutations`, which the manifest of the cluster simulation turns on. Without it
//! [`ActiveMutation`] is a type of size zero and each of its methods returns the correct value. This file is the only one that
//! knows of the feature.

use std::time::Duration;

/// One broken version.
#[cfg(feature = "mutations")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipMutation {
    /// A configuration counts as fresh from the request on, whatever age the responder reports.
    IgnoreReportedAge,
}

/// The mutation that a sidecar runs with; the default is none.
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
    /// The age of a responder's configuration that is to be used, given the age that it reported.
    pub(crate) fn fresh_age(self, reported: Duration) -> Duration {
        #[cfg(feature = "mutations")]
        if self.0 == Some(GossipMutation::IgnoreReportedAge) {
            return Duration::ZERO;
        }
        reported
    }
}
