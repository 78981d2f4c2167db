//! Actions: what the decider asks of its driver, and the context in which a step of it runs.

use super::announcements::AnnouncementId;
use crate::messages::{CommittedConfiguration, GossipMessage};
use crate::peer::{Incarnation, Peer};
use std::net::SocketAddrV4;
use std::time::Duration;

/// What the driver is to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a message. It may be lost; the decider never relies on its arrival.
    Send {
        /// Address of the receiver for internal messages.
        to: SocketAddrV4,
        /// For a response: the incarnation that sent the request. Another one must not take it for its own.
        addressee: Option<Incarnation>,
        /// The message.
        message: GossipMessage,
    },
    /// A newer configuration is in force from now on.
    Configured(CommittedConfiguration),
    /// The core knows what was announced.
    AnnouncementConfirmed(AnnouncementId),
}

/// The instant of a step and the actions that it has emitted so far.
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

    /// Sends a message to whichever process is at the address.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: GossipMessage) {
        self.emit(GossipAction::Send { to, addressee: None, message });
    }

    /// Sends a response to the process that sent the request.
    pub(super) fn respond(&mut self, requester: Peer, message: GossipMessage) {
        let addressee = Some(requester.incarnation);
        self.emit(GossipAction::Send { to: requester.address, addressee, message });
    }
}
