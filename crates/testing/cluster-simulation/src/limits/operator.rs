//! The operator, who changes the configuration every few seconds and retries each change until it is acknowledged.

use super::{ConfigurationChanges, LimitHistory, Tenant, HOST, SERVICE, TENANTS, UNLIMITED_TENANT};
use crate::cluster::CallKey;
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use rand::Rng;
use serde_json::{json, Value};
use std::time::Duration;

/// Time without an answer after which a change is sent again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of executions of a request on a route that allows repeats.
const MAX_ATTEMPTS: u64 = 3;

/// A change that has not been acknowledged yet.
pub(super) struct PendingChange {
    change: ConfigurationChange,
    /// The last call; `None` if none was made, it failed or it was answered without an acknowledgement.
    call: Option<CallKey>,
    called_at: Duration,
    /// The keys that the change revokes; empty for the first change.
    revokes: Vec<String>,
}

impl LimitHistory {
    pub(super) fn drive_operator(&mut self) {
        let now = self.cluster.now();
        if self.pending_change.is_none() && now >= self.next_change_at {
            self.pending_change = Some(self.next_change());
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

    fn next_change(&mut self) -> PendingChange {
        match self.settings.changes {
            ConfigurationChanges::ReplaceKeys => self.replace_key(),
            ConfigurationChanges::RemoveTenants if self.has_tenants => self.remove_tenants(),
            ConfigurationChanges::RemoveTenants => self.restore_tenants(),
        }
    }

    /// Creates the change that replaces the unlimited tenant's key with a new one.
    fn replace_key(&mut self) -> PendingChange {
        let revokes = self.keys.last().cloned().into_iter().collect();
        let key = self.issue_key();
        let body = document(self.generation + 1, route(), Some(tenants(&key)));
        self.propose(ChangeKind::Replace, &body, revokes)
    }

    /// Creates a change that takes all tenants away, in one of the ways that operators have.
    fn remove_tenants(&mut self) -> PendingChange {
        self.has_tenants = false;
        let mut revokes: Vec<String> = TENANTS.iter().filter_map(constant_key).collect();
        revokes.extend(self.keys.last().cloned());
        let route = self.random_route();
        let generation = self.generation + 1;
        let names: Vec<&str> = TENANTS.iter().map(|tenant| tenant.name).collect();
        let (kind, body) = match self.cluster.rng.random_range(0..3) {
            0 => {
                let body = json!({ "generation": generation, "upsert": { "routes": [route] },
                    "remove": { "tenants": names } });
                (ChangeKind::Patch, body)
            }
            1 => (ChangeKind::Replace, document(generation, route, Some(json!([])))),
            _ => (ChangeKind::Replace, document(generation, route, None)),
        };
        self.propose(kind, &body, revokes)
    }

    /// Creates the change that puts all tenants back, the unlimited one with a new key.
    fn restore_tenants(&mut self) -> PendingChange {
        self.has_tenants = true;
        let key = self.issue_key();
        let body = document(self.generation + 1, self.random_route(), Some(tenants(&key)));
        self.propose(ChangeKind::Replace, &body, Vec::new())
    }

    /// Returns the route with a random answer to whether requests may be repeated.
    fn random_route(&mut self) -> Value {
        let mut route = route();
        route["route-type"] = json!(if self.cluster.rng.random_bool(0.5) { "safe" } else { "unsafe" });
        route["max-attempts"] = json!(MAX_ATTEMPTS);
        route
    }

    /// Returns a new key of the unlimited tenant. The other tenants have their keys again.
    fn issue_key(&mut self) -> String {
        let key = format!("{UNLIMITED_TENANT}-{}", self.generation + 1);
        self.checker.key_issued(&key);
        for constant_key in TENANTS.iter().filter_map(constant_key) {
            self.checker.key_issued(&constant_key);
        }
        self.keys.push(key.clone());
        key
    }

    fn propose(&mut self, kind: ChangeKind, body: &Value, revokes: Vec<String>) -> PendingChange {
        let base = self.generation;
        self.generation += 1;
        let change = ConfigurationChange { kind, base, body: body.to_string().into() };
        PendingChange { change, call: None, called_at: Duration::ZERO, revokes }
    }

    /// Returns the time from the acknowledgement of a change to the next one.
    fn pause_between_changes(&mut self) -> Duration {
        let range = match self.settings.changes {
            ConfigurationChanges::ReplaceKeys => 1_000..6_000,
            // Long enough for a key to be used beyond the revocation delay, or short enough for a quota window.
            ConfigurationChanges::RemoveTenants if !self.has_tenants && self.cluster.rng.random_bool(0.5) => {
                6_000..8_000
            }
            ConfigurationChanges::RemoveTenants => 200..2_000,
        };
        Duration::from_millis(self.cluster.rng.random_range(range))
    }

    pub(super) fn handle_change_answer(&mut self, call: CallKey, status: u16) {
        let now = self.cluster.now();
        let pending = self.pending_change.as_mut().filter(|pending| pending.call == Some(call));
        let Some(pending) = pending else { return };
        if status != 200 {
            pending.call = None;
            return;
        }
        for key in &pending.revokes {
            self.checker.key_revoked(now, key);
            self.outcome.revoked += 1;
        }
        self.pending_change = None;
        self.next_change_at = now + self.pause_between_changes();
    }
}

/// Returns the key of a tenant whose key is never replaced.
fn constant_key(tenant: &Tenant) -> Option<String> {
    (tenant.name != UNLIMITED_TENANT).then(|| format!("key-{}", tenant.name))
}

/// Returns all tenants, with `unlimited_key` as the unlimited tenant's key.
fn tenants(unlimited_key: &str) -> Value {
    let tenant = |tenant: &Tenant| {
        let key = constant_key(tenant).unwrap_or_else(|| unlimited_key.to_owned());
        let rate = tenant.quota_per_s;
        json!({ "name": tenant.name, "api-keys": [key], "unit": "token_usage", "rate-per-s": rate, "burst": rate })
    };
    TENANTS.iter().map(tenant).collect()
}

/// Returns the only route.
fn route() -> Value {
    json!({ "name": "r", "hostname": HOST, "path-prefix": "/", "timeout-ms": 3_000, "backend": SERVICE })
}

/// Returns a configuration, without the list of tenants if there is none.
fn document(generation: u64, route: Value, tenants: Option<Value>) -> Value {
    let mut document =
        json!({ "generation": generation, "routes": [route], "services": [{ "name": SERVICE }] });
    if let Some(tenants) = tenants {
        document["tenants"] = tenants;
    }
    document
}
