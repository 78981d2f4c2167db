//! Identities of the members of the core, and of the processes that speak for them.

use passrelay_dissemination::Incarnation;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Identity of a member. Drawn at random when its disk is first used and stored there.
///
/// Votes and acknowledgements count by identity, not by address: a machine that lost its disk comes back at the same
/// address as another member, so nothing that the lost disk had promised is counted for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Placeholder for an unknown member. No disk draws it, so it never votes.
    pub const NOBODY: MemberId = MemberId(0);
}

/// A member and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub id: MemberId,
    /// Its address for internal messages.
    pub address: SocketAddrV4,
}

/// The sender of a message. A reply is addressed to the incarnation that asked, not to a later process at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// The member.
    pub member: Member,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}
