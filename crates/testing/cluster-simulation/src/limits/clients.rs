//! Clients, which send random requests of each tenant to random machines.

use super::sidecar::ClientRequest;
use super::{ConfigurationChanges, LimitHistory, STEP_INTERVAL, TENANTS, UNLIMITED_TENANT};
use rand::seq::IndexedRandom;
use rand::Rng;

/// A key that no configuration ever holds.
const FALSE_KEY: &str = "never-issued";
/// Probability that a client of the unlimited tenant uses that key, in histories that remove tenants.
const FALSE_KEY_PROBABILITY: f64 = 0.1;
/// Probability that a client of the unlimited tenant uses a random one of its keys so far, mostly a revoked one.
const OLD_KEY_PROBABILITY: f64 = 0.3;

impl LimitHistory {
    pub(super) fn drive_clients(&mut self) {
        for tenant in &TENANTS {
            if !self.cluster.rng.random_bool(tenant.requests_per_s * STEP_INTERVAL.as_secs_f64()) {
                continue;
            }
            let key = match tenant.name {
                UNLIMITED_TENANT => self.unlimited_key(),
                name => format!("key-{name}"),
            };
            let tokens = self.cluster.rng.random_range(1..=tenant.max_tokens_per_request);
            let request = ClientRequest { tenant: tenant.name.to_owned(), key, tokens };
            if let Some(machine) = self.random_responsive_machine() {
                self.admit(machine, request);
            }
        }
    }

    fn unlimited_key(&mut self) -> String {
        let removes_tenants = self.settings.changes == ConfigurationChanges::RemoveTenants;
        if removes_tenants && self.cluster.rng.random_bool(FALSE_KEY_PROBABILITY) {
            return FALSE_KEY.to_owned();
        }
        let old = self.cluster.rng.random_bool(OLD_KEY_PROBABILITY);
        let key = if old { self.keys.choose(&mut self.cluster.rng) } else { self.keys.last() };
        key.cloned().unwrap_or_default()
    }
}
