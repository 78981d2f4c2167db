//! Side effects that replication requests from its driver.

use super::durable::{DurableWrite, WriteId};
use super::message::ReplicationMessage;
use passrelay_dissemination::Incarnation;
use std::net::SocketAddrV4;

/// A side effect for the driver. The driver executes the actions of a step in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message to a member; it may be lost.
    Send {
        /// Address of the receiving process.
        to: SocketAddrV4,
        /// Incarnation that sent the request, if this is a reply. `None` for messages that are no replies.
        addressee: Option<Incarnation>,
        /// Payload; the driver adds the sender.
        message: ReplicationMessage,
    },
    /// Write and sync, then call [`Replica::write_completed`](super::Replica::write_completed), which sends the replies
    /// that depend on the write.
    Write {
        /// To be passed to `write_completed`.
        write_id: WriteId,
        /// Records to be written atomically.
        write: DurableWrite,
    },
}
