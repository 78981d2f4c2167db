//! Identities of the members of the core, and of the processes that act for them.

use passrelay_dissemination::Incarnation;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Identity of a member. Drawn at random when its disk is first used, and stored there.
///
/// Votes and acknowledgements are counted by identity, not by address: a machine that lost its disk returns at the same
/// address as a new member, so nothing that the lost disk had promised is attributed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Placeholder for a member that is not known. No disk is ever given this identity, so it never votes.
    pub const UNKNOWN: MemberId = MemberId(0);
}

/// A member and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity stored on its disk.
    pub id: MemberId,
    /// Address at which its process receives messages of other processes of the fleet.
    pub address: SocketAddrV4,
}

/// The sender of a message. A reply is addressed to the incarnation that sent the request, not to a later process at
/// the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// The member for which the message was sent.
    pub member: Member,
    /// The process that sent the message.
    pub incarnation: Incarnation,
}
