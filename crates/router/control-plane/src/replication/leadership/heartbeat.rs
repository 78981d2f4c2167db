//! Heartbeats: pings to all members, and the handling of their replies.

use super::Leadership;
use crate::replication::context::Context;
use crate::replication::epoch::{EpochRecord, RecordPosition};
use crate::replication::identity::MemberId;
use crate::replication::message::ReplicationMessage;
use crate::replication::state::StateVersion;
use std::time::Duration;

/// Interval between heartbeat rounds of a primary that a quorum confirms.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A primary without a quorum for this long increases its heartbeat interval to this value, so that followers start an
/// election.
const QUORUM_LOSS_TIMEOUT: Duration = Duration::from_millis(900);

/// A member's reply to a ping.
pub(in crate::replication) struct PongReport {
    /// The member that replied.
    pub(in crate::replication) from: MemberId,
    /// Term of the ping.
    pub(in crate::replication) term: u64,
    /// Heartbeat round of the ping.
    pub(in crate::replication) round: u64,
    /// Position of the record that is durable at the member.
    pub(in crate::replication) position: RecordPosition,
    /// Version of the state that is durable at the member.
    pub(in crate::replication) synced: StateVersion,
    /// Whether the member accepts states as deltas.
    pub(in crate::replication) accepts_deltas: bool,
}

impl Leadership {
    /// Makes a heartbeat round due, so that the next tick starts one.
    pub(in crate::replication) fn request_heartbeat(&mut self) {
        self.next_heartbeat = Duration::ZERO;
    }

    /// Starts a heartbeat round if one is due.
    pub(super) fn tick_heartbeat(&mut self, context: &mut Context) {
        let now = context.now;
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let last_quorum = self.rounds.confirmed_at().unwrap_or(self.started_at);
        let position = self.in_force.as_ref().map(EpochRecord::position).unwrap_or_default();
        let round = self.rounds.start(now, self.own.id, self.in_force.as_ref());
        // Without a quorum, the followers have to elect another primary. The members that still reply are pinged
        // nevertheless: the quorum may return before anyone is elected.
        if now.saturating_sub(last_quorum) > QUORUM_LOSS_TIMEOUT {
            self.next_heartbeat = now + QUORUM_LOSS_TIMEOUT;
        }
        for member in self.peers() {
            let ping = ReplicationMessage::Ping { term: self.term, round, position };
            context.send(member.address, ping);
        }
    }

    /// Handles a member's reply to a ping: records its progress, and sends the record in force to a member that lacks
    /// it.
    pub(in crate::replication) fn handle_pong(&mut self, context: &mut Context, pong: &PongReport) {
        if pong.term != self.term {
            return;
        }
        self.progress.record_accepts_deltas(pong.from, pong.accepts_deltas);
        self.handle_synced(context, pong.from, pong.term, pong.synced);
        if let Some(record) = &self.in_force {
            self.rounds.handle_reply(context.now, pong.round, pong.from, record);
        }
        self.handle_accepted(context, pong.from, pong.position);
        if self.proposal.is_some() {
            return;
        }
        let Some(record) = self.in_force.as_ref().filter(|record| pong.position < record.position()) else {
            return;
        };
        if let Some(member) = record.member(pong.from) {
            context.send(member.address, ReplicationMessage::Accept { record: record.clone() });
        }
    }
}
