//! Life cycle of the controller of roll-outs: it exists while this process is the established primary of a term.
//!
//! What it decides is replicated like any change. It grants shares only while a quorum has confirmed the primary of late, so that one
//! that is cut off or was deposed stops, and the leases that it granted end by themselves.

use super::context::Context;
use super::version_recorder::is_newest_state_committed;
use super::Coordinator;
use crate::messages::{Action, Message};
use crate::rollout::{Controller, ExposureBound, RolloutMessage};
use passrelay_configuration::Configuration;
use passrelay_dissemination::{Peer, RolloutReport};
use std::time::Duration;

/// Shares are granted only by a controller that was confirmed within this time.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);

/// The controller of this process, while it is the established primary.
pub(super) struct ControllerLifecycle {
    /// What a version may get before it is judged; `None` where roll-outs are no part of the contract with the operators.
    exposure_bound: Option<ExposureBound>,
    /// With the term that it belongs to.
    controller: Option<(u64, Controller)>,
}

impl ControllerLifecycle {
    pub(super) fn new(exposure_bound: Option<ExposureBound>) -> Self {
        ControllerLifecycle { exposure_bound, controller: None }
    }

    /// This process is not the established primary.
    pub(super) fn stop(&mut self) {
        self.controller = None;
    }

    /// Starts a controller unless there is one of this term already.
    pub(super) fn start_term(&mut self, term: u64) {
        if self.controller.as_ref().is_none_or(|(known, _)| *known != term) {
            self.controller = Some((term, Controller::default()));
        }
    }

    /// Takes the committed configuration.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        if let Some((_, controller)) = &mut self.controller {
            controller.configure(configuration);
        }
    }

    /// Whether roll-outs are part of the contract.
    pub(super) fn is_enabled(&self) -> bool {
        self.exposure_bound.is_some()
    }

    /// How old a roll-out is at least.
    pub(super) fn age(&self, now: Duration, id: u64) -> Duration {
        self.controller.as_ref().map_or(Duration::ZERO, |(_, controller)| controller.age(now, id))
    }
}

impl Coordinator {
    /// Proposes the next records, if this process is the primary and no change is in flight.
    pub(super) fn advance_rollouts(&mut self, context: &mut Context<'_>) {
        let Some(replica) = &mut self.replica else { return };
        let Some((_, controller)) = &mut self.rollouts.controller else { return };
        let Some(bound) = self.rollouts.exposure_bound else { return };
        if replica.state().rollouts.is_empty() || !is_newest_state_committed(replica) {
            return;
        }
        let now = context.now();
        let state = replica.state().clone();
        if let Some(decision) = controller.decide(now, &state, self.gossip.registry(), bound) {
            context.step_replica(replica, |replica, actions| {
                replica.propose_rollouts(now, decision.rollouts, decision.service_versions, actions);
            });
        }
    }

    /// Sends this sidecar's reports to the controller. Dropped while no primary is known.
    pub fn report_rollouts(
        &mut self,
        now: Duration,
        request_id: u64,
        reports: Vec<RolloutReport>,
        actions: &mut Vec<Action>,
    ) {
        let mut context = Context::new(now, self.own, actions);
        let message = RolloutMessage::Report { request_id, reports };
        self.send_to_primary(Message::Rollout(message), &mut context);
    }

    /// Handles a sidecar's reports, or the shares that respond to this process's own.
    pub(super) fn receive_rollout(&mut self, from: Peer, message: RolloutMessage, context: &mut Context<'_>) {
        let RolloutMessage::Report { request_id, reports } = message else {
            context.push(Action::RolloutShares(message));
            return;
        };
        let now = context.now();
        let Some((_, controller)) = &mut self.rollouts.controller else { return };
        let Some(bound) = self.rollouts.exposure_bound else { return };
        controller.observe_reports(now, from, request_id, reports);
        let Some(replica) = &self.replica else { return };
        let confirmed_at = replica.confirmed_at();
        let is_confirmed = confirmed_at.is_some_and(|at| now.saturating_sub(at) <= MAX_CONFIRMATION_AGE);
        let Some(committed) = replica.committed().filter(|_| is_confirmed) else { return };
        let shares = controller.shares(now, from.address, &committed.rollouts, bound);
        let grant = RolloutMessage::Grant { request_id, shares };
        if from.address == self.own.address {
            context.push(Action::RolloutShares(grant));
        } else {
            context.respond(from, Message::Rollout(grant));
        }
    }
}
