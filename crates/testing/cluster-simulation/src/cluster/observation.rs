//! Events of a cluster that clients, operators and sidecars observe: the only input of the checkers.

use passrelay_control_plane::quota::QuotaMessage;
use passrelay_control_plane::rollout::RolloutMessage;
use passrelay_control_plane::{CallId, OperatorAnswer};
use passrelay_dissemination::{AnnouncementId, CommittedConfiguration};

/// Uniquely identifies an operator's call in a history; call ids alone are unique only within one incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// The machine that received the call.
    pub machine: usize,
    /// The incarnation of that machine's process.
    pub incarnation: u64,
    /// The id that the process assigned to the call.
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
        /// The configuration now in force.
        configuration: CommittedConfiguration,
    },
    /// An operator's call was answered.
    Answered {
        /// The call that was answered.
        call: CallKey,
        /// Status and body of the answer.
        answer: OperatorAnswer,
    },
    /// A quorum has acknowledged a machine's announcement of an endpoint.
    AnnouncementConfirmed {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// Id that the process assigned to the announcement.
        announcement: AnnouncementId,
    },
    /// The grantor answered a sidecar's quota request.
    QuotaGranted {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The grantor's message, with the tokens of each tenant.
        grant: QuotaMessage,
    },
    /// The roll-out controller answered a sidecar's reports.
    RolloutSharesGranted {
        /// The machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The controller's message, with the share of each roll-out.
        grant: RolloutMessage,
    },
}
