//! The context of one step of a replication state machine: the current time and the list of emitted actions.

use super::action::ReplicaAction;
use super::identity::Sender;
use super::message::ReplicationMessage;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The context of one step. The state machines read no clock and do no I/O; they use this instead.
pub(super) struct Context<'a> {
    /// Time since the process started.
    pub(super) now: Duration,
    /// The actions of the step, in the order in which the driver executes them.
    pub(super) actions: &'a mut Vec<ReplicaAction>,
}

impl<'a> Context<'a> {
    pub(super) fn new(now: Duration, actions: &'a mut Vec<ReplicaAction>) -> Self {
        Context { now, actions }
    }

    /// Sends a message that is not a reply.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: ReplicationMessage) {
        self.actions.push(ReplicaAction::Send { to, addressee: None, message });
    }

    /// Replies to the incarnation that sent the request.
    pub(super) fn reply(&mut self, to: Sender, message: ReplicationMessage) {
        self.actions.push(ReplicaAction::Send {
            to: to.member.address,
            addressee: Some(to.incarnation),
            message,
        });
    }
}
