//! Messages between sidecars and the controller.

use passrelay_dissemination::{RolloutReport, ShareGrant};
use serde::{Deserialize, Serialize};

/// Messages of roll-outs. Any may be lost, late or come twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// A sidecar reports what it knows of the roll-outs that run.
    Report {
        /// Identifies the report at the sidecar; the grant repeats it.
        request_id: u64,
        /// One report for each roll-out.
        reports: Vec<RolloutReport>,
    },
    /// The controller grants shares. Each is a lease from the sending of the report.
    Grant {
        /// The report that this responds to.
        request_id: u64,
        /// Shares of the roll-outs that may get any.
        shares: Vec<ShareGrant>,
    },
}
