//! What replication asks its driver to do.

use super::durable::{DurableWrite, WriteId};
use super::message::ReplicationMessage;
use passrelay_dissemination::Incarnation;
use std::net::SocketAddrV4;

/// An action for the driver, which carries them out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message to a member; it may be lost.
    Send {
        /// Destination.
        to: SocketAddrV4,
        /// For a reply: the incarnation that asked.
        addressee: Option<Incarnation>,
        /// The message.
        message: ReplicationMessage,
    },
    /// Write and sync, then call [`Replica::write_completed`](super::Replica::write_completed). Replies that depend on the
    /// write are sent only then.
    Write {
        /// Identifies the write.
        write_id: WriteId,
        /// What to write.
        write: DurableWrite,
    },
}
