//! The sender of a message: an address, and which start of the process there.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// One start of a process, drawn at random by the process itself. Request ids begin again with each start; together with the
/// incarnation they are unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The process that a message comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its address for internal messages.
    pub address: SocketAddrV4,
    /// Which start of the process.
    pub incarnation: Incarnation,
}
