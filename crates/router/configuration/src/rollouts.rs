//! Roll-outs: operators' orders to move a service to another version, and how far each has come.
//!
//! The record of a roll-out is part of the replicated state, beside the document, so that an acknowledged order outlives the process
//! that took it, and whoever knows a configuration knows which roll-outs run. What a record doesn't hold, the evidence of the judge
//! and the shares of traffic, is rebuilt from the sidecars.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// The longest deadline of an order.
const MAX_DEADLINE: Duration = Duration::from_secs(7 * 24 * 3_600);
/// The longest version, in bytes: it is replicated.
const MAX_VERSION_BYTES: usize = 256;
/// Orders of one service that may wait for the one that runs.
const MAX_WAITING: usize = 4;

/// An order to move a service to the endpoints of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that it is moved to.
    pub target_version: String,
    /// Time from the order within which it has to end, in ms.
    pub deadline_ms: u64,
}

/// Why the body of an order can't be read. The texts are part of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// No JSON object.
    #[error("the order cannot be read as JSON: {0}")]
    Unreadable(String),
    /// A key has no valid value.
    #[error("{key}: should be {expected}")]
    BadValue {
        /// The key.
        key: &'static str,
        /// What is expected.
        expected: &'static str,
    },
}

impl RolloutOrder {
    /// Reads the JSON body of an order.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with its key.
    pub fn read(body: &[u8]) -> Result<Self, OrderError> {
        let body: Value =
            serde_json::from_slice(body).map_err(|error| OrderError::Unreadable(error.to_string()))?;
        let text = |key: &'static str| {
            let value = body.get(key).and_then(Value::as_str);
            let fitting = value.filter(|text| !text.is_empty() && text.len() <= MAX_VERSION_BYTES);
            fitting.ok_or(OrderError::BadValue { key, expected: "a text of 1 to 256 bytes" })
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

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// Waits for the one before it.
    Waiting,
    /// A bounded share of the requests goes to the new version, which is judged by them.
    Canary,
    /// The version was judged good: its share grows beyond the bound.
    Promoting,
    /// The new version is in service; requests of before end on the old one.
    Switched,
    /// The new version is in service and the old one is free to stop. Final.
    Completed,
    /// The version of before is in service. Final.
    RolledBack,
}

impl RolloutPhase {
    /// Whether it has ended.
    pub fn is_final(self) -> bool {
        self >= RolloutPhase::Completed
    }

    /// The state that operators are told.
    pub fn state(self) -> &'static str {
        match self {
            RolloutPhase::Completed => "completed",
            RolloutPhase::RolledBack => "rolled_back",
            _ => "running",
        }
    }
}

/// A roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The index of the state in which the order was accepted; unique.
    pub id: u64,
    /// The order.
    pub order: RolloutOrder,
    /// The version in service before it; none before it began.
    pub base_version: Option<String>,
    /// How far it has come.
    pub phase: RolloutPhase,
    /// Time since the order when the record was last written, in ms: a lower bound of its age.
    pub age_ms: u64,
    /// Why it has ended, or was judged as it was; for operators.
    pub reason: String,
}

/// The roll-outs of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRollouts {
    /// The one that runs, or else the one that ended last.
    pub current: Option<Rollout>,
    /// Orders that wait for it, oldest first.
    pub waiting: Vec<Rollout>,
}

impl ServiceRollouts {
    /// All roll-outs, the current one first.
    pub fn all(&self) -> impl DoubleEndedIterator<Item = &Rollout> {
        self.current.iter().chain(&self.waiting)
    }

    /// Whether any of them has not ended.
    pub fn is_active(&self) -> bool {
        self.all().any(|rollout| !rollout.phase.is_final())
    }

    /// Whether one more order can wait.
    pub fn has_queue_capacity(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }
}

/// The roll-outs of all services. Serialised as a map by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rollouts(BTreeMap<String, ServiceRollouts>);

impl Rollouts {
    /// Whether there has been none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The roll-outs of a service.
    pub fn get(&self, service: &str) -> Option<&ServiceRollouts> {
        self.0.get(service)
    }

    /// The roll-outs of a service, to be changed.
    pub fn get_or_insert_default(&mut self, service: &str) -> &mut ServiceRollouts {
        self.0.entry(service.to_owned()).or_default()
    }

    /// All services that had an order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &ServiceRollouts)> {
        self.0.iter()
    }

    /// The roll-out of an id.
    pub fn find(&self, id: u64) -> Option<&Rollout> {
        self.0.values().flat_map(ServiceRollouts::all).find(|rollout| rollout.id == id)
    }

    /// Forgets services that have no active roll-out and that `is_kept` is false for.
    pub fn retain_services(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.0.retain(|service, rollouts| rollouts.is_active() || is_kept(service));
    }
}
