//! The operator, who replaces the unlimited tenant's key every few seconds and retries each change until it is acknowledged.

use super::{LimitHistory, HOST, SERVICE, TENANTS, UNLIMITED_TENANT};
use crate::cluster::CallKey;
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use rand::Rng;
use serde_json::json;
use std::time::Duration;

/// Time without an answer after which a change is sent again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// A change that has not been acknowledged yet.
pub(super) struct PendingChange {
    change: ConfigurationChange,
    /// The last call; `None` if none was made, it failed or it was answered without an acknowledgement.
    call: Option<CallKey>,
    called_at: Duration,
    /// The key that the change revokes; `None` for the first change.
    revokes: Option<String>,
}

impl LimitHistory {
    pub(super) fn drive_operator(&mut self) {
        let now = self.cluster.now();
        if self.pending_change.is_none() && now >= self.next_change_at {
            self.pending_change = Some(self.replace_key());
        }
        let is_due =
            |pending: &&PendingChange| pending.call.is_none() || now > pending.called_at + RETRY_TIMEOUT;
        let due = self.pending_change.as_ref().filter(is_due);
        let Some(change) = due.map(|pending| pending.change.clone()) else { return };
        let Some(machine) = self.random_responsive_machine() else { return };
        let called = self.cluster.call(machine, OperatorRequest::Change(change));
        if let Some(pending) = &mut self.pending_change {
            pending.call = called.as_ref().map(|(call, _)| *call);
            pending.called_at = now;
        }
        self.observe(called.map(|(_, observations)| observations).unwrap_or_default());
    }

    /// Creates the change that replaces the unlimited tenant's key with a new one.
    fn replace_key(&mut self) -> PendingChange {
        let revokes = self.keys.last().cloned();
        let base = self.generation;
        self.generation += 1;
        let key = format!("{UNLIMITED_TENANT}-{}", self.generation);
        let body = document(self.generation, &key).into();
        self.keys.push(key);
        let change = ConfigurationChange { kind: ChangeKind::Replace, base, body };
        PendingChange { change, call: None, called_at: Duration::ZERO, revokes }
    }

    pub(super) fn handle_change_answer(&mut self, call: CallKey, status: u16) {
        let now = self.cluster.now();
        let pending = self.pending_change.as_mut().filter(|pending| pending.call == Some(call));
        let Some(pending) = pending else { return };
        if status != 200 {
            pending.call = None;
            return;
        }
        if let Some(key) = &pending.revokes {
            self.checker.key_revoked(now, key);
            self.outcome.revoked += 1;
        }
        self.pending_change = None;
        self.next_change_at = now + Duration::from_millis(self.cluster.rng.random_range(1_000..6_000));
    }
}

/// Returns a configuration of all tenants in which `unlimited_key` is the unlimited tenant's key.
fn document(generation: u64, unlimited_key: &str) -> String {
    let tenants: Vec<_> = TENANTS
        .iter()
        .map(|tenant| {
            let key = match tenant.name {
                UNLIMITED_TENANT => unlimited_key.to_owned(),
                name => format!("key-{name}"),
            };
            let rate = tenant.quota_per_s;
            json!({ "name": tenant.name, "api-keys": [key], "unit": "token_usage", "rate-per-s": rate, "burst": rate })
        })
        .collect();
    let route =
        json!({ "name": "r", "hostname": HOST, "path-prefix": "/", "timeout-ms": 3_000, "backend": SERVICE });
    json!({ "generation": generation, "routes": [route], "services": [{ "name": SERVICE }], "tenants": tenants })
        .to_string()
}
