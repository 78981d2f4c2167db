//! What processes tell each other, what operators ask and get, and what the driver of a coordinator is to do.

use crate::configuration_change::ConfigurationChange;
use crate::load::LoadMessage;
use crate::quota::QuotaMessage;
use crate::replication::{DurableWrite, ReplicationEnvelope, WriteId};
use passrelay_dissemination::{Announcement, CommittedConfiguration, GossipMessage, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Names an operator's call at the process that took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// The newest configuration.
    Read,
    /// A change.
    Change(ConfigurationChange),
}

/// What an operator gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Its body, JSON.
    pub body: Arc<str>,
}

impl OperatorAnswer {
    pub(crate) fn new(status: u16, body: String) -> Self {
        OperatorAnswer { status, body: body.into() }
    }

    pub(crate) fn fault(status: u16, problem: &str) -> Self {
        Self::new(status, serde_json::json!({ "error": problem }).to_string())
    }

    pub(crate) fn acknowledged(generation: u64) -> Self {
        Self::new(200, serde_json::json!({ "generation": generation }).to_string())
    }

    pub(crate) fn unavailable(problem: &str) -> Self {
        Self::fault(503, problem)
    }
}

/// Operators' calls passed on to the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorMessage {
    /// A call.
    Call {
        /// Its name at the sender.
        call: CallId,
        /// What is asked for.
        request: OperatorRequest,
    },
    /// Its answer.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
}

/// All messages between processes, one variant a plane.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Replication.
    Replication(ReplicationEnvelope),
    /// Dissemination.
    Gossip(GossipMessage),
    /// Quotas.
    Quota(QuotaMessage),
    /// Loads of endpoints.
    Load(LoadMessage),
    /// Operators' calls.
    Operator(OperatorMessage),
}

impl Message {
    /// Whether this answers a question, so that it is for the process that asked and for none that follows it at its
    /// address.
    pub fn is_answer(&self) -> bool {
        match self {
            Message::Replication(envelope) => envelope.message.is_answer(),
            Message::Gossip(message) => matches!(message, GossipMessage::DigestResponse { .. }),
            Message::Quota(message) => matches!(message, QuotaMessage::Grant { .. }),
            Message::Load(message) => matches!(message, LoadMessage::Totals { .. }),
            Message::Operator(message) => matches!(message, OperatorMessage::Answer { .. }),
        }
    }
}

/// A message, which process sent it, and for an answer which process asked.
///
/// An address may be listened at by one process after the other, and what was under way for the earlier one reaches the
/// later. Numbers of questions begin again with each process, so an answer counts only at the incarnation that asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The process that sends it.
    pub sender: Incarnation,
    /// For an answer: the process that asked.
    pub addressee: Option<Incarnation>,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Whether this may be taken in by the process of that incarnation.
    pub fn is_for(&self, incarnation: Incarnation) -> bool {
        match self.addressee {
            Some(addressee) => addressee == incarnation,
            None => !self.message.is_answer(),
        }
    }
}

/// What the driver is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// Write and sync, then call [`Coordinator::written`](crate::Coordinator::written).
    Write {
        /// Names the write.
        write_id: WriteId,
        /// What to write.
        write: DurableWrite,
    },
    /// A newer configuration is in force here.
    Configured(CommittedConfiguration),
    /// The core knows what was announced of an endpoint.
    AnnouncementConfirmed(Announcement),
    /// The answer to an operator's call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Tokens were granted to this sidecar.
    QuotaGranted(QuotaMessage),
    /// The loads of endpoints over all sidecars.
    LoadTotals(LoadMessage),
}
