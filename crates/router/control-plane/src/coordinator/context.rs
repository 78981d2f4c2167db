//! The context of one step of the coordinator: the time of the event, and the list of emitted actions.
//!
//! All outgoing messages are wrapped in their envelopes here, so that sender and addressee are set in one place. The
//! order of actions is part of the contract with the driver; a context only appends.

use crate::messages::{Action, Envelope, Message};
use crate::replication::{Member, Replica, ReplicaAction, ReplicationEnvelope};
use passrelay_dissemination::{Gossip, GossipAction, Incarnation, Peer};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The event being handled: its time, and the list that receives the resulting actions.
pub(super) struct Context<'a> {
    now: Duration,
    /// Address and incarnation of this process, the sender of all envelopes.
    own: Peer,
    actions: &'a mut Vec<Action>,
}

impl<'a> Context<'a> {
    pub(super) fn new(now: Duration, own: Peer, actions: &'a mut Vec<Action>) -> Self {
        Context { now, own, actions }
    }

    /// Returns the time of the event, measured from the start of the process.
    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Returns the address and incarnation of this process.
    pub(super) fn own(&self) -> Peer {
        self.own
    }

    pub(super) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a request or notification to whichever process listens at the address.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.send_envelope(to, None, message);
    }

    /// Sends a response to the incarnation that sent the request.
    pub(super) fn respond(&mut self, requester: Peer, message: Message) {
        self.send_envelope(requester.address, Some(requester.incarnation), message);
    }

    /// Runs a step of dissemination and appends its actions.
    pub(super) fn step_gossip<T>(
        &mut self,
        gossip: &mut Gossip,
        step: impl FnOnce(&mut Gossip, &mut Vec<GossipAction>) -> T,
    ) -> T {
        let mut gossip_actions = Vec::new();
        let result = step(gossip, &mut gossip_actions);
        for action in gossip_actions {
            self.append_gossip_action(action);
        }
        result
    }

    /// Runs a step of replication and appends its actions.
    pub(super) fn step_replica<T>(
        &mut self,
        replica: &mut Replica,
        step: impl FnOnce(&mut Replica, &mut Vec<ReplicaAction>) -> T,
    ) -> T {
        let mut replica_actions = Vec::new();
        let result = step(replica, &mut replica_actions);
        self.append_replica_actions(replica.own(), replica_actions);
        result
    }

    /// Appends actions of replication. `sender` is the member that their messages are attributed to.
    pub(super) fn append_replica_actions(&mut self, sender: Member, replica_actions: Vec<ReplicaAction>) {
        for action in replica_actions {
            match action {
                ReplicaAction::Send { to, addressee, message } => {
                    let envelope = ReplicationEnvelope { sender, message };
                    self.send_envelope(to, addressee, Message::Replication(envelope));
                }
                ReplicaAction::Write { write_id, write } => self.push(Action::Write { write_id, write }),
            }
        }
    }

    fn append_gossip_action(&mut self, action: GossipAction) {
        match action {
            GossipAction::Send { to, addressee, message } => {
                self.send_envelope(to, addressee, Message::Gossip(message));
            }
            GossipAction::Configured(configuration) => self.push(Action::Configured(configuration)),
            GossipAction::AnnouncementConfirmed(announcement) => {
                self.push(Action::AnnouncementConfirmed(announcement));
            }
        }
    }

    fn send_envelope(&mut self, to: SocketAddrV4, addressee: Option<Incarnation>, message: Message) {
        let envelope = Envelope { sender: self.own.incarnation, addressee, message };
        self.push(Action::Send { to, envelope });
    }
}
