//! Operators' orders: how a primary adjudicates one against its newest state.
//!
//! Operators send an order again where its answer was lost, for some seconds. So the very same order is acknowledged again while
//! its roll-out waits or runs, and after its end until its deadline is over. Another order of the same service waits for the one that
//! runs: that one is judged first, since an operator may not have seen its end.

use crate::replication::ReplicatedState;
use passrelay_configuration::{
    parse_document, Configuration, Rollout, RolloutOrder, RolloutPhase, Rollouts, ServiceRollouts,
};
use std::time::Duration;
use thiserror::Error;

/// Why an order is rejected. The texts are part of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderRejection {
    /// The configuration has no such service.
    #[error("backend: the configuration has no service {0}")]
    UnknownService(String),
    /// The configuration sets the version of the service itself.
    #[error("backend: the configuration sets the version of service {0}, change it there")]
    VersionSetByConfiguration(String),
    /// The processes were started without roll-outs among their contracts.
    #[error("roll-outs are not among the contracts of this fleet")]
    NotInContract,
    /// Too many orders of the service wait.
    #[error("backend: too many roll-outs of service {0} are under way")]
    TooManyWaiting(String),
}

/// Verdict of a primary on an order, given its newest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// The state contains it: to be acknowledged once that is on a majority of disks.
    AlreadyAccepted,
    /// To be replicated, and acknowledged once that is on a majority of disks.
    Accept(Rollouts),
    /// To be rejected once the primary is confirmed.
    Reject(OrderRejection),
}

/// Adjudicates an order against a state. `age_of` tells how old a roll-out is at least, by its id.
pub fn adjudicate(
    order: &RolloutOrder,
    state: &ReplicatedState,
    age_of: impl Fn(u64) -> Duration,
) -> OrderVerdict {
    let of_service = state.rollouts.get(&order.service);
    let is_same = |rollout: &&Rollout| {
        rollout.order == *order
            && (!rollout.phase.is_final() || age_of(rollout.id) < Duration::from_millis(order.deadline_ms))
    };
    if of_service.is_some_and(|rollouts| rollouts.all().any(|rollout| is_same(&rollout))) {
        return OrderVerdict::AlreadyAccepted;
    }
    if let Err(rejection) = validate(order, state, of_service) {
        return OrderVerdict::Reject(rejection);
    }
    let mut rollouts = state.rollouts.clone();
    let configured = configured_services(state);
    rollouts.retain_services(|service| configured.iter().any(|(name, _)| name == service));
    rollouts.get_or_insert_default(&order.service).waiting.push(Rollout {
        id: state.version.index + 1,
        order: order.clone(),
        base_version: None,
        phase: RolloutPhase::Waiting,
        age_ms: 0,
        reason: String::new(),
    });
    OrderVerdict::Accept(rollouts)
}

fn validate(
    order: &RolloutOrder,
    state: &ReplicatedState,
    of_service: Option<&ServiceRollouts>,
) -> Result<(), OrderRejection> {
    let name = || order.service.clone();
    let configured = configured_services(state);
    let service = configured.iter().find(|(service, _)| *service == order.service);
    match service {
        None => Err(OrderRejection::UnknownService(name())),
        Some((_, Some(_))) => Err(OrderRejection::VersionSetByConfiguration(name())),
        Some(_) if of_service.is_some_and(|rollouts| !rollouts.has_queue_capacity()) => {
            Err(OrderRejection::TooManyWaiting(name()))
        }
        Some(_) => Ok(()),
    }
}

/// The services of a state's configuration, with the version that it sets.
fn configured_services(state: &ReplicatedState) -> Vec<(String, Option<String>)> {
    let document = state.document.as_deref().and_then(|document| parse_document(document.as_bytes()).ok());
    let configuration = document.and_then(|document| Configuration::read(&document).ok());
    let services = configuration.into_iter().flat_map(|configuration| configuration.services);
    services.map(|service| (service.name, service.version)).collect()
}
