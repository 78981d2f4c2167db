//! Life cycle of the rollout controller, which exists while this process is the established primary of a term.
//!
//! Its decisions are replicated like any change. It grants shares only while a quorum has confirmed the primary
//! recently, so that a partitioned or deposed primary stops granting and the leases that it has granted expire.

use super::context::Context;
use super::version_recorder::is_newest_state_committed;
use super::Coordinator;
use crate::messages::{Action, Message};
use crate::rollout::{Controller, ExposureBound, RolloutMessage};
use passrelay_configuration::Configuration;
use passrelay_dissemination::{Peer, RolloutReport};
use std::time::Duration;

/// Shares are granted only if a quorum has confirmed the primary within this time.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);

/// The rollout controller of this process while it is the established primary.
pub(super) struct ControllerLifecycle {
    /// Requests that a new version may receive before it is judged; `None` if rollouts are not enabled.
    exposure_bound: Option<ExposureBound>,
    /// The controller and its term; `None` unless this process is the established primary.
    controller: Option<(u64, Controller)>,
}

impl ControllerLifecycle {
    pub(super) fn new(exposure_bound: Option<ExposureBound>) -> Self {
        ControllerLifecycle { exposure_bound, controller: None }
    }

    /// Stops the controller, because this process is not the established primary.
    pub(super) fn stop(&mut self) {
        self.controller = None;
    }

    /// Starts a controller unless there already is one of this term.
    pub(super) fn start_term(&mut self, term: u64) {
        if self.controller.as_ref().is_none_or(|(known, _)| *known != term) {
            self.controller = Some((term, Controller::default()));
        }
    }

    /// Applies the committed configuration.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        if let Some((_, controller)) = &mut self.controller {
            controller.configure(configuration);
        }
    }

    /// Returns whether operators may order rollouts.
    pub(super) fn is_enabled(&self) -> bool {
        self.exposure_bound.is_some()
    }

    /// Returns a lower bound of the age of a rollout; zero if it is not known.
    pub(super) fn age(&self, now: Duration, id: u64) -> Duration {
        self.controller.as_ref().map_or(Duration::ZERO, |(_, controller)| controller.age(now, id))
    }
}

impl Coordinator {
    /// Proposes the controller's next decision, if this process is the established primary and its newest state is
    /// committed.
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

    /// Sends this sidecar's rollout reports to the primary. Dropped while no primary is known.
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

    /// Handles the rollout reports of a sidecar, or the shares granted in response to this process's own.
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
