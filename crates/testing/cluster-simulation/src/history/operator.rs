//! The operators' client: sends changes and reads to any machine and retries changes until they have a final answer.
//!
//! An answer may be lost, so that a change that was applied is sent again; retries have to be idempotent.

use super::{ChangeId, History, Scenario};
use crate::checker::ObservedVersion;
use crate::cluster::CallKey;
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::{OperatorAnswer, OperatorRequest};
use rand::seq::IndexedRandom;
use rand::Rng;
use serde_json::{json, Value};
use std::time::Duration;

/// Maximum number of changes in flight.
pub(super) const MAX_PENDING_CHANGES: usize = 8;
/// Time without an answer after which a change is sent again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Prefix of the name of the service that carries a change's id.
const CHANGE_ID_PREFIX: &str = "order-";
/// Length of the text of each unmodified item, in bytes.
const ITEM_TEXT_BYTES: usize = 80;

/// The purpose of an operator's call.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    Change {
        id: ChangeId,
    },
    Read {
        /// The newest acknowledged generation when the read was sent.
        acknowledged: u64,
    },
}

/// A change in flight.
pub(super) struct PendingChange {
    pub(super) id: ChangeId,
    change: ConfigurationChange,
    generation: u64,
    sent_at: Duration,
    /// The last call; `None` if none was made, it failed or its answer was not final.
    call: Option<CallKey>,
    called_at: Duration,
}

impl PendingChange {
    fn new(acknowledged: AcknowledgedChange, sent_at: Duration) -> Self {
        let AcknowledgedChange { id, change, generation } = acknowledged;
        PendingChange { id, change, generation, sent_at, call: None, called_at: Duration::ZERO }
    }

    fn is_due(&self, now: Duration) -> bool {
        self.call.is_none() || now.saturating_sub(self.called_at) >= RETRY_TIMEOUT
    }
}

/// An acknowledged change, which operators may send again.
#[derive(Clone)]
pub(super) struct AcknowledgedChange {
    id: ChangeId,
    change: ConfigurationChange,
    generation: u64,
}

/// Returns the items of a document that no change modifies.
fn untouched_items(count: usize) -> Value {
    (0..count).map(|number| json!({ "name": number, "text": "x".repeat(ITEM_TEXT_BYTES) })).collect()
}

impl History {
    /// Queues a change based on the newest generation that operators know. Racing operators often choose the same new
    /// generation.
    pub(super) fn propose_change(&mut self) {
        let id = ChangeId(self.next_change);
        self.next_change += 1;
        let base = self.known_generation;
        let max_increment = if self.settings.scenario == Scenario::Races { 2 } else { 5 };
        let generation = base + self.cluster.rng.random_range(1..=max_increment);
        let mut document = json!({
            "generation": generation,
            "routes": [],
            "services": [{ "name": "s" }, { "name": format!("{CHANGE_ID_PREFIX}{}", id.0) }],
            "note": "x".repeat(self.settings.padding),
        });
        if self.settings.items > 0 {
            document["items"] = untouched_items(self.settings.items);
        }
        let change =
            ConfigurationChange { kind: ChangeKind::Replace, base, body: document.to_string().into() };
        let now = self.cluster.now();
        self.checker.change_sent(now, id, generation, base);
        self.pending.push(PendingChange {
            id,
            change,
            generation,
            sent_at: now,
            call: None,
            called_at: Duration::ZERO,
        });
    }

    /// Queues a random acknowledged change to be sent once more, as after a lost answer.
    pub(super) fn resend_acknowledged(&mut self) {
        let Some(resent) = self.acknowledged.choose(&mut self.cluster.rng).cloned() else { return };
        let is_pending = self.pending.iter().any(|pending| pending.id == resent.id);
        if !is_pending && self.pending.len() < MAX_PENDING_CHANGES {
            self.pending.push(PendingChange::new(resent, self.cluster.now()));
        }
    }

    /// Sends each pending change that is due to a random machine.
    pub(super) fn retry_changes(&mut self) {
        let now = self.cluster.now();
        let due: Vec<(ChangeId, ConfigurationChange)> = self
            .pending
            .iter()
            .filter(|pending| pending.is_due(now))
            .map(|pending| (pending.id, pending.change.clone()))
            .collect();
        for (id, change) in due {
            let call = self.call(CallPurpose::Change { id }, OperatorRequest::Change(change));
            // The call may have been answered immediately, so that the change is no longer pending.
            if let Some(pending) = self.pending.iter_mut().find(|pending| pending.id == id) {
                pending.call = call;
                pending.called_at = now;
            }
        }
    }

    /// Reads the configuration from a random machine, without retries.
    pub(super) fn read(&mut self) {
        let acknowledged = self.checker.newest_acknowledged();
        self.call(CallPurpose::Read { acknowledged }, OperatorRequest::Read);
    }

    fn call(&mut self, purpose: CallPurpose, request: OperatorRequest) -> Option<CallKey> {
        // Drawn in every scenario, so that the scenario does not shift the random numbers that follow.
        let prefers = self.cluster.rng.random_bool(0.5);
        let has_preference = matches!(self.settings.scenario, Scenario::Races | Scenario::IsolatedPrimaries);
        let machine = if prefers && has_preference {
            self.preferred_machine
        } else {
            self.cluster.rng.random_range(0..self.cluster.len())
        };
        let (call, observations) = self.cluster.call(machine, request)?;
        self.calls.insert(call, purpose);
        self.observe(observations);
        Some(call)
    }

    pub(super) fn handle_answer(&mut self, call: CallKey, answer: &OperatorAnswer) {
        let Some(purpose) = self.calls.remove(&call) else { return };
        // Drawn even during recovery, when no answer is lost, so that the sequence of random numbers stays the same.
        if self.cluster.rng.random_bool(self.lost_answer_probability) && !self.is_recovering {
            return;
        }
        match purpose {
            CallPurpose::Change { id } => self.handle_change_answer(id, answer),
            CallPurpose::Read { acknowledged } if matches!(answer.status, 200 | 404) => {
                let read = version_in(&answer.body);
                self.checker.read_answered(acknowledged, read);
                self.known_generation = self.known_generation.max(read.generation);
                self.last_read = Some(read.generation);
            }
            CallPurpose::Read { .. } => {}
        }
    }

    fn handle_change_answer(&mut self, id: ChangeId, answer: &OperatorAnswer) {
        let is_final = matches!(answer.status, 200 | 400 | 412);
        let now = self.cluster.now();
        let Some(index) = self.pending.iter().position(|pending| pending.id == id) else { return };
        if !is_final {
            self.pending[index].call = None;
            // A resent change that is too old for the cluster to recognize never gets a final answer: operators give up.
            if self.checker.is_acknowledged(id) && self.cluster.rng.random_bool(0.1) {
                self.pending.remove(index);
            }
            return;
        }
        let acknowledged = answer.status == 200;
        let is_first = acknowledged && !self.checker.is_acknowledged(id);
        self.checker.change_answered(now, id, acknowledged);
        // At times an acknowledged change is sent once more, as if its answer had been lost.
        if acknowledged && self.cluster.rng.random_bool(0.2) {
            self.pending[index].call = None;
        } else {
            let pending = self.pending.remove(index);
            if is_first {
                self.outcome.max_acknowledge_time =
                    self.outcome.max_acknowledge_time.max(now.saturating_sub(pending.sent_at));
            }
            if acknowledged {
                self.record_acknowledged(pending);
            }
        }
        if !acknowledged {
            self.read();
        }
    }

    fn record_acknowledged(&mut self, pending: PendingChange) {
        if self.acknowledged.iter().any(|acknowledged| acknowledged.id == pending.id) {
            return;
        }
        let PendingChange { id, change, generation, .. } = pending;
        self.known_generation = self.known_generation.max(generation);
        self.acknowledged.push(AcknowledgedChange { id, change, generation });
        self.outcome.acknowledged += 1;
    }
}

/// Returns the generation of a document and the change whose id is encoded in a service name.
pub(super) fn version_in(document: &str) -> ObservedVersion {
    let document: Value = serde_json::from_str(document).unwrap_or_default();
    let services = document.get("services").and_then(Value::as_array);
    let names = services.into_iter().flatten().filter_map(|service| service.get("name")?.as_str());
    let change =
        names.filter_map(|name| name.strip_prefix(CHANGE_ID_PREFIX)?.parse().ok()).next().map(ChangeId);
    ObservedVersion { generation: document.get("generation").and_then(Value::as_u64).unwrap_or(0), change }
}
