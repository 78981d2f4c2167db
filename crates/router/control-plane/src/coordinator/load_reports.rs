//! Load reports: sidecars report to the primary, which responds with the totals over the fleet.
//!
//! Totals are a hint for load balancing and need no confirmation by a quorum. A process that is not the established
//! primary ignores reports: the totals of a deposed primary would lack the sidecars that already report to its
//! successor.

use super::context::Context;
use super::Coordinator;
use crate::load::LoadMessage;
use crate::messages::{Action, Message};
use crate::replication::Replica;
use passrelay_dissemination::Peer;

impl Coordinator {
    /// Handles a load report of a sidecar, or the totals sent in response to this process's own report.
    pub(super) fn receive_load(&mut self, from: Peer, message: LoadMessage, context: &mut Context<'_>) {
        let LoadMessage::Report { request_id, loads } = message else {
            context.push(Action::LoadTotals(message));
            return;
        };
        if !self.replica.as_ref().is_some_and(Replica::is_established) {
            return;
        }
        let totals = self.load_totals.handle_report(context.now(), from.address, request_id, loads);
        if from.address == self.own.address {
            context.push(Action::LoadTotals(totals));
        } else {
            context.respond(from, Message::Load(totals));
        }
    }
}
