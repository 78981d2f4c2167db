//! Outcomes of operator calls, and the only place where they are mapped to status code and body.

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
/// There is nothing to read yet.
const STATUS_NOT_FOUND: u16 = 404;
/// The change does not build on the current generation.
const STATUS_PRECONDITION_FAILED: u16 = 412;
/// The order contradicts others that are under way.
const STATUS_CONFLICT: u16 = 409;
/// The order can be read, and doesn't fit the configuration.
const STATUS_UNPROCESSABLE: u16 = 422;
/// Neither served nor rejected: the operator has to retry or to read first.
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// What a call ends with.
pub(super) type OperatorOutcome = Result<OperatorReply, OperatorError>;

/// A call that was served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OperatorReply {
    /// A read: the newest committed configuration, JSON.
    Document(Arc<str>),
    /// A change: committed, now or earlier. `generation` is the newest one that the acknowledging state contains.
    Acknowledged { generation: u64 },
    /// An order of a roll-out, now or earlier, on a majority of disks.
    RolloutAccepted,
    /// A read of a roll-out.
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
    /// A read of the roll-out of a service that had none.
    #[error("no roll-out of this service was ordered")]
    NoRollout,
    /// An order that cannot be accepted.
    #[error(transparent)]
    OrderRejected(#[from] OrderRejection),
    /// No outcome became certain within the timeout of a call.
    #[error("no primary answered in time, ask again")]
    Timeout,
    /// This process lost its role as primary of the term in which it had adjudicated the call.
    #[error("the primary changed, ask again")]
    PrimaryChanged,
    /// The history of applied changes no longer reaches back to the change.
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
