//! Messages of rollouts, between sidecars and the controller.

use passrelay_dissemination::{RolloutReport, ShareGrant};
use serde::{Deserialize, Serialize};

/// A message of rollouts. Any message may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// A sidecar reports its outcomes of the running rollouts.
    Report {
        /// Identifies the report at the sidecar; the grant repeats it.
        request_id: u64,
        /// One report for each running rollout.
        reports: Vec<RolloutReport>,
    },
    /// The controller grants shares. Each share is a lease that starts when the sidecar sent its report.
    Grant {
        /// Id of the report that this responds to.
        request_id: u64,
        /// Shares of the rollouts whose new version may receive requests.
        shares: Vec<ShareGrant>,
    },
}
