//! Rollout orders of operators: how a primary evaluates an order against its newest state.
//!
//! Operators resend an order for some seconds if its answer was lost. So an identical order is acknowledged again
//! while its rollout waits or runs, and after the end of the rollout until its deadline has passed. A different order
//! for the same service waits for the running rollout: that version is judged first, since an operator may not have
//! seen the end of the rollout.

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
    /// The processes were started without rollouts among their contracts.
    #[error("roll-outs are not among the contracts of this fleet")]
    RolloutsNotEnabled,
    /// Too many orders of the service are waiting.
    #[error("backend: too many roll-outs of service {0} are under way")]
    TooManyWaiting(String),
}

/// Verdict of a primary on an order, given its newest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// The state contains the order. It is to be acknowledged once the state is on a majority of disks.
    AlreadyAccepted,
    /// The order is acceptable. The contained rollouts are to be replicated, and the order is to be acknowledged once
    /// they are on a majority of disks.
    Accept(Rollouts),
    /// The order is not acceptable. It is to be rejected once the state is committed and a quorum has confirmed the
    /// primary.
    Reject(OrderRejection),
}

/// Evaluates an order against a state. `age_of` returns a lower bound of the age of the rollout with the given id.
///
/// Accepting an order also removes the inactive rollouts of services that the configuration no longer contains.
pub fn evaluate_order(
    order: &RolloutOrder,
    state: &ReplicatedState,
    age_of: impl Fn(u64) -> Duration,
) -> OrderVerdict {
    let service_rollouts = state.rollouts.get(&order.service);
    let is_same = |rollout: &&Rollout| {
        rollout.order == *order
            && (!rollout.phase.is_final() || age_of(rollout.id) < Duration::from_millis(order.deadline_ms))
    };
    if service_rollouts.is_some_and(|rollouts| rollouts.all().any(|rollout| is_same(&rollout))) {
        return OrderVerdict::AlreadyAccepted;
    }
    if let Err(rejection) = validate(order, state, service_rollouts) {
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

/// Checks an order against the configuration and the number of waiting orders.
fn validate(
    order: &RolloutOrder,
    state: &ReplicatedState,
    service_rollouts: Option<&ServiceRollouts>,
) -> Result<(), OrderRejection> {
    let name = || order.service.clone();
    let configured = configured_services(state);
    let service = configured.iter().find(|(service, _)| *service == order.service);
    match service {
        None => Err(OrderRejection::UnknownService(name())),
        Some((_, Some(_))) => Err(OrderRejection::VersionSetByConfiguration(name())),
        Some(_) if service_rollouts.is_some_and(|rollouts| !rollouts.has_queue_capacity()) => {
            Err(OrderRejection::TooManyWaiting(name()))
        }
        Some(_) => Ok(()),
    }
}

/// Returns the services of a state's configuration, each with the version that the configuration sets, if any.
fn configured_services(state: &ReplicatedState) -> Vec<(String, Option<String>)> {
    let document = state.document.as_deref().and_then(|document| parse_document(document.as_bytes()).ok());
    let configuration = document.and_then(|document| Configuration::read(&document).ok());
    let services = configuration.into_iter().flat_map(|configuration| configuration.services);
    services.map(|service| (service.name, service.version)).collect()
}
