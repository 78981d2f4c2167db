//! Limits on the bytes that arrive at a socket before they are read. They count as memory of the sidecar.

use socket2::SockRef;
use std::os::fd::AsFd;

/// Receive buffer of an operator's connection, in bytes.
pub const OPERATOR_BYTES: usize = 16 * 1024;
/// Receive buffer of a connection to a node, in bytes.
pub const NODE_BYTES: usize = 32 * 1024;

/// Limits the receive buffer of a socket, or of the connections that a listener accepts.
pub fn limit(socket: &impl AsFd, bytes: usize) {
    // Where the operating system refuses this, its own limit applies.
    let _ = SockRef::from(socket).set_recv_buffer_size(bytes);
}
