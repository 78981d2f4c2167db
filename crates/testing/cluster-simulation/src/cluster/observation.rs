//! What clients, operators and sidecars see of a cluster: the only input of the checkers.

use passrelay_control_plane::quota::QuotaMessage;
use passrelay_control_plane::rollout::RolloutMessage;
use passrelay_control_plane::{CallId, OperatorAnswer};
use passrelay_dissemination::{AnnouncementId, CommittedConfiguration};

/// Identifies an operator's call in a history: call ids are unique only within one incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// The machine that received the call.
    pub machine: usize,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The id that the process gave the call.
    pub call: CallId,
}

/// An event that is visible outside the cluster.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A process has put a configuration in force.
    Configured {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The configuration in force.
        configuration: CommittedConfiguration,
    },
    /// An operator's call was answered.
    Answered {
        /// The call.
        call: CallKey,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// A quorum has acknowledged what a machine announced of an endpoint.
    AnnouncementConfirmed {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The announcement.
        announcement: AnnouncementId,
    },
    /// A sidecar's quota request was answered.
    QuotaGranted {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The grant.
        grant: QuotaMessage,
    },
    /// A sidecar's reports of roll-outs were answered.
    RolloutSharesGranted {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The shares.
        grant: RolloutMessage,
    },
}
