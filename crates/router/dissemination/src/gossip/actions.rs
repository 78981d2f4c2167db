//! Actions that the state machine emits, and the context of one processing step.

use super::announcements::AnnouncementId;
use crate::messages::{CommittedConfiguration, GossipMessage};
use crate::peer::{Incarnation, Peer};
use std::net::SocketAddrV4;
use std::time::Duration;

/// An action for the driver of the state machine. The driver executes actions in the order in which they are emitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a message. Delivery is not guaranteed, and the protocol does not rely on it.
    Send {
        /// Internal address of the receiver.
        to: SocketAddrV4,
        /// For a response, the incarnation that sent the request; any other incarnation at the address must ignore the message.
        /// `None` if any incarnation may process it.
        addressee: Option<Incarnation>,
        /// The message to send.
        message: GossipMessage,
    },
    /// Apply a newer configuration, which is in force from now on.
    Configured(CommittedConfiguration),
    /// Report that the core knows of the announced change.
    AnnouncementConfirmed(AnnouncementId),
}

/// The time of a processing step and the actions that it has emitted so far.
pub(super) struct Context<'a> {
    /// Time since the process started.
    pub(super) now: Duration,
    actions: &'a mut Vec<GossipAction>,
}

impl<'a> Context<'a> {
    pub(super) fn new(now: Duration, actions: &'a mut Vec<GossipAction>) -> Self {
        Context { now, actions }
    }

    pub(super) fn emit(&mut self, action: GossipAction) {
        self.actions.push(action);
    }

    /// Sends a message to an address, whichever incarnation runs there.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: GossipMessage) {
        self.emit(GossipAction::Send { to, addressee: None, message });
    }

    /// Sends a response to the incarnation that sent the request.
    pub(super) fn respond(&mut self, requester: Peer, message: GossipMessage) {
        let addressee = Some(requester.incarnation);
        self.emit(GossipAction::Send { to: requester.address, addressee, message });
    }
}
