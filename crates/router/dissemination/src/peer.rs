//! Identity of a message's sender: its address and the incarnation of the process.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Random identifier that a process draws at each start. Request ids restart with the process, so only the pair of incarnation
/// and request id is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A process instance that sends messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Internal address of the process.
    pub address: SocketAddrV4,
    /// Incarnation of the process at this address.
    pub incarnation: Incarnation,
}
