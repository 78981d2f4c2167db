//! Types at the interface of the control plane: messages between processes, requests of operators, and actions for the
//! driver.
//!
//! Messages are serialised as CBOR and exchanged between processes of different versions, so the names, order and types
//! of their fields and variants are fixed. The driver is responsible for framing, connections and retransmission; any
//! message may be lost, duplicated or reordered.

use crate::configuration_change::ConfigurationChange;
use crate::load::LoadMessage;
use crate::quota::QuotaMessage;
use crate::replication::{DurableWrite, ReplicationEnvelope, WriteId};
use crate::rollout::RolloutMessage;
use passrelay_configuration::RolloutOrder;
use passrelay_dissemination::{AnnouncementId, CommittedConfiguration, GossipMessage, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Identifies an operator call. Unique within the process that received the call from the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Read the newest committed configuration.
    Read,
    /// Change the configuration.
    Change(ConfigurationChange),
    /// Roll out another version of a service.
    OrderRollout(RolloutOrder),
    /// Read the current or waiting rollout of a service.
    ReadRollout {
        /// Name of the service in the configuration.
        service: String,
    },
}

/// The answer to an operator call: an HTTP status and a JSON body, passed to the operator unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP body, as JSON.
    pub body: Arc<str>,
}

/// Messages that forward operator calls to the primary and return its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorMessage {
    /// A call forwarded to the primary.
    Call {
        /// Identifies the call at the sender.
        call: CallId,
        /// The request as received from the operator.
        request: OperatorRequest,
    },
    /// The primary's answer to a forwarded call.
    Answer {
        /// Id of the call at the process that forwarded it.
        call: CallId,
        /// Status and body for the operator.
        answer: OperatorAnswer,
    },
}

/// All messages between processes, one variant per subsystem.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Elections, bootstrap, heartbeats and state transfer among voters and seeds.
    Replication(ReplicationEnvelope),
    /// Dissemination of configurations, endpoints and peers.
    Gossip(GossipMessage),
    /// Token requests, grants and bucket levels.
    Quota(QuotaMessage),
    /// Load reports and totals.
    Load(LoadMessage),
    /// Forwarded operator calls and their answers.
    Operator(OperatorMessage),
    /// Reports of rollouts, and granted shares. Earlier builds do not know this variant and drop the message, so they
    /// do not take part in rollouts.
    Rollout(RolloutMessage),
}

impl Message {
    /// Returns whether this message responds to a request, and so is valid only for the incarnation that sent the
    /// request.
    pub fn is_response(&self) -> bool {
        match self {
            Message::Replication(envelope) => envelope.message.is_response(),
            Message::Gossip(message) => matches!(message, GossipMessage::DigestResponse { .. }),
            Message::Quota(message) => matches!(message, QuotaMessage::Grant { .. }),
            Message::Load(message) => matches!(message, LoadMessage::Totals { .. }),
            Message::Rollout(message) => matches!(message, RolloutMessage::Grant { .. }),
            Message::Operator(message) => matches!(message, OperatorMessage::Answer { .. }),
        }
    }
}

/// A message with its sender and, for a response, the incarnation that it is addressed to.
///
/// Several processes may listen at an address in succession, so a message in transit to one may reach its successor.
/// Request ids restart with each process, so a successor could match the response to a request of its own. A response
/// is therefore accepted only by the incarnation that sent the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Incarnation of the sending process.
    pub sender: Incarnation,
    /// The incarnation that sent the request, if this is a response. `None` otherwise.
    pub addressee: Option<Incarnation>,
    /// Payload.
    pub message: Message,
}

impl Envelope {
    /// Returns whether the process with this incarnation may handle the message. No process may handle a response
    /// without an addressee.
    pub fn is_addressed_to(&self, incarnation: Incarnation) -> bool {
        match self.addressee {
            Some(addressee) => addressee == incarnation,
            None => !self.message.is_response(),
        }
    }
}

/// A side effect for the driver. The driver executes the actions of one step in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Address of the receiving process.
        to: SocketAddrV4,
        /// The message with its sender and addressee.
        envelope: Envelope,
    },
    /// Write atomically and sync, then call [`Coordinator::write_completed`](crate::Coordinator::write_completed).
    Write {
        /// To be passed to `write_completed`.
        write_id: WriteId,
        /// Records to be written atomically.
        write: DurableWrite,
    },
    /// Apply a newer committed configuration in this process.
    Configured(CommittedConfiguration),
    /// Note that the core has acknowledged an announcement about an endpoint.
    AnnouncementConfirmed(AnnouncementId),
    /// Answer a call that an operator made to this process.
    Answer {
        /// Id that the driver gave the call.
        call: CallId,
        /// Status and body for the operator.
        answer: OperatorAnswer,
    },
    /// Use the tokens granted to this sidecar. Always a [`QuotaMessage::Grant`].
    QuotaGranted(QuotaMessage),
    /// Use the totals of the endpoints' load over all sidecars. Always a [`LoadMessage::Totals`].
    LoadTotals(LoadMessage),
    /// Use the rollout shares granted to this sidecar. Always a [`RolloutMessage::Grant`].
    RolloutShares(RolloutMessage),
}
