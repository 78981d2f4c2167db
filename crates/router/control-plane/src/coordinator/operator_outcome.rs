//! Outcomes of operator calls, and their mapping to HTTP status codes and bodies.

#[cfg(test)]
mod tests;

use crate::configuration_change::Rejection;
use crate::messages::OperatorAnswer;
use crate::rollout::OrderRejection;
use passrelay_configuration::Rollout;
use std::sync::Arc;
use thiserror::Error;

/// The call was served.
const STATUS_OK: u16 = 200;
/// The change would not result in a valid configuration.
const STATUS_BAD_REQUEST: u16 = 400;
/// There is nothing to read yet, or rollouts are not enabled.
const STATUS_NOT_FOUND: u16 = 404;
/// The change is not based on the current generation.
const STATUS_PRECONDITION_FAILED: u16 = 412;
/// Too many rollout orders of the service are waiting.
const STATUS_CONFLICT: u16 = 409;
/// The rollout order is well-formed but does not fit the configuration.
const STATUS_UNPROCESSABLE: u16 = 422;
/// The call was neither served nor rejected: the operator has to retry, or to read first.
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// Result of a completed call.
pub(super) type OperatorOutcome = Result<OperatorReply, OperatorError>;

/// A call that was served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OperatorReply {
    /// A read: the newest committed configuration, JSON.
    Document(Arc<str>),
    /// A change: committed, by this call or an earlier one. `generation` is that of the acknowledging state.
    Acknowledged { generation: u64 },
    /// A rollout order: accepted, by this call or an earlier one, and on a majority of disks.
    RolloutAccepted,
    /// A read of a service's rollout.
    Rollout(Rollout),
}

/// A call that was not served. The texts are part of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum OperatorError {
    /// A read before the first configuration.
    #[error("there is no configuration yet")]
    NotConfigured,
    /// A change that cannot be applied.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// A read of the rollout of a service without one.
    #[error("no roll-out of this service was ordered")]
    NoRollout,
    /// A rollout order that cannot be accepted.
    #[error(transparent)]
    OrderRejected(#[from] OrderRejection),
    /// The call timed out before its outcome was certain.
    #[error("no primary answered in time, ask again")]
    Timeout,
    /// This process is no longer the primary of the term in which it evaluated the call.
    #[error("the primary changed, ask again")]
    PrimaryChanged,
    /// The history of applied changes no longer reaches back to the base of the change.
    #[error("the order is too old to tell whether it was taken, read first")]
    HistoryTruncated,
}

impl OperatorError {
    fn status(&self) -> u16 {
        match self {
            OperatorError::NotConfigured | OperatorError::NoRollout => STATUS_NOT_FOUND,
            OperatorError::OrderRejected(OrderRejection::RolloutsNotEnabled) => STATUS_NOT_FOUND,
            OperatorError::OrderRejected(OrderRejection::TooManyWaiting(_)) => STATUS_CONFLICT,
            OperatorError::OrderRejected(_) => STATUS_UNPROCESSABLE,
            OperatorError::Rejected(Rejection::GenerationMismatch { .. }) => STATUS_PRECONDITION_FAILED,
            OperatorError::Rejected(Rejection::Invalid(_)) => STATUS_BAD_REQUEST,
            OperatorError::Timeout | OperatorError::PrimaryChanged | OperatorError::HistoryTruncated => {
                STATUS_SERVICE_UNAVAILABLE
            }
        }
    }
}

impl From<OperatorOutcome> for OperatorAnswer {
    fn from(outcome: OperatorOutcome) -> Self {
        match outcome {
            Ok(OperatorReply::Document(body)) => OperatorAnswer { status: STATUS_OK, body },
            Ok(OperatorReply::Acknowledged { generation }) => {
                let body = serde_json::json!({ "generation": generation }).to_string();
                OperatorAnswer { status: STATUS_OK, body: body.into() }
            }
            Ok(OperatorReply::RolloutAccepted) => OperatorAnswer { status: STATUS_OK, body: "{}".into() },
            Ok(OperatorReply::Rollout(rollout)) => {
                let body = serde_json::json!({ "state": rollout.phase.state(),
                    "target-version": rollout.order.target_version, "phase": rollout.phase,
                    "reason": rollout.reason });
                OperatorAnswer { status: STATUS_OK, body: body.to_string().into() }
            }
            Err(error) => {
                let body = serde_json::json!({ "error": error.to_string() }).to_string();
                OperatorAnswer { status: error.status(), body: body.into() }
            }
        }
    }
}
