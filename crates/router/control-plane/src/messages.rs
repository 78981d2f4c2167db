//! Types at the border of the control plane: messages between processes, requests of operators, and actions for the
//! driver.
//!
//! Messages are serialised (CBOR) and exchanged between processes of different versions: names, order and shape of
//! fields and variants are fixed. Framing, connections and retransmission are the driver's; any message may be lost,
//! duplicated or reordered.

use crate::configuration_change::ConfigurationChange;
use crate::load::LoadMessage;
use crate::quota::QuotaMessage;
use crate::replication::{DurableWrite, ReplicationEnvelope, WriteId};
use crate::rollout::RolloutMessage;
use passrelay_configuration::RolloutOrder;
use passrelay_dissemination::{Announcement, CommittedConfiguration, GossipMessage, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Identifies an operator call at the process that received it from the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Read the newest committed configuration.
    Read,
    /// Change the configuration.
    Change(ConfigurationChange),
    /// Move a service to another version.
    OrderRollout(RolloutOrder),
    /// Read the roll-out of a service.
    ReadRollout {
        /// The service.
        service: String,
    },
}

/// The answer to an operator call: an HTTP status and a JSON body, passed to the operator as they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Arc<str>,
}

/// Messages that forward operator calls to the primary, and its answers back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorMessage {
    /// A forwarded call.
    Call {
        /// Identifies the call at the sender.
        call: CallId,
        /// The request.
        request: OperatorRequest,
    },
    /// The primary's answer.
    Answer {
        /// The call, as identified by the process that forwarded it.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
}

/// All messages between processes, one variant per subsystem.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Replication.
    Replication(ReplicationEnvelope),
    /// Dissemination.
    Gossip(GossipMessage),
    /// Token requests, grants and bucket levels.
    Quota(QuotaMessage),
    /// Load reports and totals.
    Load(LoadMessage),
    /// Forwarded operator calls.
    Operator(OperatorMessage),
    /// Reports of roll-outs, and shares. Unknown to earlier builds, which drop it: they take no part in roll-outs.
    Rollout(RolloutMessage),
}

impl Message {
    /// Whether this responds to a request, and so is valid only for the incarnation that sent the request.
    pub fn is_answer(&self) -> bool {
        match self {
            Message::Replication(envelope) => envelope.message.is_answer(),
            Message::Gossip(message) => matches!(message, GossipMessage::DigestResponse { .. }),
            Message::Quota(message) => matches!(message, QuotaMessage::Grant { .. }),
            Message::Load(message) => matches!(message, LoadMessage::Totals { .. }),
            Message::Rollout(message) => matches!(message, RolloutMessage::Grant { .. }),
            Message::Operator(message) => matches!(message, OperatorMessage::Answer { .. }),
        }
    }
}

/// A message with its sender, and for a response the incarnation that it is addressed to.
///
/// Several processes may listen at an address one after the other, so a message in flight to one may reach its
/// successor. Request ids start again with each process; a response is therefore accepted only by the incarnation that
/// sent the request, or it could be matched to a request that it does not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Incarnation of the sender.
    pub sender: Incarnation,
    /// For a response: the incarnation that sent the request. `None` otherwise.
    pub addressee: Option<Incarnation>,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Whether the process of this incarnation may handle the message. A response without addressee is for nobody.
    pub fn is_for(&self, incarnation: Incarnation) -> bool {
        match self.addressee {
            Some(addressee) => addressee == incarnation,
            None => !self.message.is_answer(),
        }
    }
}

/// An action for the driver. Actions of one step are applied in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Address of the receiver.
        to: SocketAddrV4,
        /// The message in its envelope.
        envelope: Envelope,
    },
    /// Write atomically and sync, then call [`Coordinator::write_completed`](crate::Coordinator::write_completed).
    Write {
        /// Identifies the write in that call.
        write_id: WriteId,
        /// The records to write.
        write: DurableWrite,
    },
    /// A newer configuration is in force here.
    Configured(CommittedConfiguration),
    /// The core has acknowledged an announcement about an endpoint.
    AnnouncementConfirmed(Announcement),
    /// The answer to a call that an operator made to this process.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Tokens were granted to this sidecar.
    QuotaGranted(QuotaMessage),
    /// Totals of the endpoints' load over all sidecars.
    LoadTotals(LoadMessage),
    /// Shares of roll-outs were granted to this sidecar.
    RolloutShares(RolloutMessage),
}
