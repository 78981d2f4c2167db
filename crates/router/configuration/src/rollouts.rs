//! Rollouts: operators' orders to move a service to another version, and their progress.
//!
//! The record of a rollout is part of the replicated state, like the document. An acknowledged order
//! therefore survives a failure of the process that accepted it, and every process that knows a configuration
//! knows which rollouts are running. Data that is not in the record, namely the observations on which
//! versions are judged and the traffic shares, is rebuilt from the routers' reports.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// Maximum deadline of an order.
const MAX_DEADLINE: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Maximum length of a service name or a version in an order, in bytes. It is limited because it is
/// replicated.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of orders of one service that wait for the current rollout.
const MAX_WAITING: usize = 4;

/// An order to move a service to the endpoints of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that is in service after the rollout.
    pub target_version: String,
    /// Time from the order until the rollout has to end, in ms; at least 1.
    pub deadline_ms: u64,
}

/// Reason why the body of an order is rejected. The messages are part of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The body is not JSON.
    #[error("the order cannot be read as JSON: {0}")]
    Unreadable(String),
    /// The value of a key is missing or invalid.
    #[error("{key}: should be {expected}")]
    BadValue {
        /// JSON key of the value.
        key: &'static str,
        /// Description of valid values.
        expected: &'static str,
    },
}

impl RolloutOrder {
    /// Parses the JSON body of an order.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its key.
    pub fn read(body: &[u8]) -> Result<Self, OrderError> {
        let body: Value =
            serde_json::from_slice(body).map_err(|error| OrderError::Unreadable(error.to_string()))?;
        let text = |key: &'static str| {
            let value = body.get(key).and_then(Value::as_str);
            let valid = value.filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES);
            valid.ok_or(OrderError::BadValue { key, expected: "a text of 1 to 256 bytes" })
        };
        let seconds = body.get("deadline-s").and_then(Value::as_f64);
        let seconds = seconds.filter(|seconds| *seconds > 0.0 && *seconds <= MAX_DEADLINE.as_secs_f64());
        let seconds = seconds.ok_or(OrderError::BadValue {
            key: "deadline-s",
            expected: "a number of seconds above 0, of a week at most",
        })?;
        Ok(RolloutOrder {
            service: text("backend")?.to_owned(),
            target_version: text("target-version")?.to_owned(),
            deadline_ms: ((seconds * 1_000.0) as u64).max(1),
        })
    }
}

/// Progress of a rollout. The order of the phases is significant: the final ones come last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The order waits for the previous rollout of the service to end.
    Waiting,
    /// A limited share of the requests goes to the new version, which is judged by their outcomes.
    Canary,
    /// The new version was judged good, and its share grows beyond the limit of the canary phase.
    Promoting,
    /// The new version is in service. Requests sent to the old version before the switch are still in flight
    /// there.
    Switched,
    /// The new version is in service, and the old one may be stopped. Final.
    Completed,
    /// The previous version is in service again. Final.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout has ended.
    pub fn is_final(self) -> bool {
        self >= RolloutPhase::Completed
    }

    /// Returns the state that is reported to operators.
    pub fn state(self) -> &'static str {
        match self {
            RolloutPhase::Completed => "completed",
            RolloutPhase::RolledBack => "rolled_back",
            _ => "running",
        }
    }
}

/// An order and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Index of the replicated state in which the order was accepted; unique.
    pub id: u64,
    /// The order as submitted by the operator.
    pub order: RolloutOrder,
    /// Version that was in service before the rollout; `None` before the rollout begins.
    pub base_version: Option<String>,
    /// Current phase, or the final phase if the rollout has ended.
    pub phase: RolloutPhase,
    /// Time from the order until the record was last written, in ms: a lower bound of the order's age.
    pub age_ms: u64,
    /// Reason why the rollout ended or why the version was judged as it was, for operators.
    pub reason: String,
}

/// The rollouts of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRollouts {
    /// The running rollout, or the one that ended last if none is running.
    pub current: Option<Rollout>,
    /// Orders that wait for the current rollout to end, oldest first.
    pub waiting: Vec<Rollout>,
}

impl ServiceRollouts {
    /// Returns all rollouts, the current one first.
    pub fn all(&self) -> impl DoubleEndedIterator<Item = &Rollout> {
        self.current.iter().chain(&self.waiting)
    }

    /// Returns whether any rollout of the service has not ended.
    pub fn is_active(&self) -> bool {
        self.all().any(|rollout| !rollout.phase.is_final())
    }

    /// Returns whether another order may be added to the waiting ones.
    pub fn has_queue_capacity(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }
}

/// The rollouts of all services. Serialized as a map by service name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rollouts(BTreeMap<String, ServiceRollouts>);

impl Rollouts {
    /// Returns whether no service has a rollout.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the rollouts of a service, or `None` if it has none.
    pub fn get(&self, service: &str) -> Option<&ServiceRollouts> {
        self.0.get(service)
    }

    /// Returns a mutable reference to the rollouts of a service, which are inserted empty if the service has
    /// none.
    pub fn get_or_insert_default(&mut self, service: &str) -> &mut ServiceRollouts {
        self.0.entry(service.to_owned()).or_default()
    }

    /// Iterates over all services that have rollouts, sorted by service name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &ServiceRollouts)> {
        self.0.iter()
    }

    /// Returns the rollout with this id.
    pub fn find(&self, id: u64) -> Option<&Rollout> {
        self.0.values().flat_map(ServiceRollouts::all).find(|rollout| rollout.id == id)
    }

    /// Removes services that have no active rollout and for which `keep` returns false.
    pub fn retain_services(&mut self, keep: impl Fn(&str) -> bool) {
        self.0.retain(|service, rollouts| rollouts.is_active() || keep(service));
    }
}
