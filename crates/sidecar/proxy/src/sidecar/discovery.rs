//! Results of calls to discovery: node lists and failures.

use super::Sidecar;
use crate::connections::Timer;
use crate::discovery_client::{DiscoveryResult, REQUEST_PAUSE_S};
use passrelay_load_balancing::{EndpointEntry, EndpointState, ZoneId};
use passrelay_sidecar_settings::{NodeListUpdate, UnresolvedEntry};
use std::fmt::Display;

impl Sidecar {
    pub(super) fn discovery_ready(&mut self) {
        match self.connections.discovery.on_ready(self.connections.now, &mut self.connections.buffers) {
            DiscoveryResult::Pending => {}
            DiscoveryResult::Update(update) => {
                self.apply_node_list(update);
                self.connections
                    .timers
                    .schedule(self.connections.now + REQUEST_PAUSE_S, Timer::DiscoveryCall);
            }
            DiscoveryResult::Failed(problem) => self.connections.discovery_failed(&problem),
        }
    }

    /// Applies a full node list or its changes to the connection pools and the dispatcher.
    pub(super) fn apply_node_list(&mut self, update: NodeListUpdate) {
        let now = self.connections.now;
        let (mut entries, mut running) = (Vec::new(), Vec::new());
        for record in &update.nodes {
            let node = self.connections.pools.id_of(&record.host);
            let started =
                (record.started_at_ms > 0.0).then(|| record.started_at_ms / 1000.0 - self.unix_origin);
            let (zone, state) = (ZoneId(0), record.state);
            let entry = EndpointEntry { upstream: node, zone, cell: record.cell, state, started };
            entries.push(UnresolvedEntry { entry, zone_name: record.zone.clone() });
            self.connections.update_node(node, record.address, state == EndpointState::Running);
            if state == EndpointState::Running {
                running.push(node);
            } else {
                let host: &str = &record.host;
                self.connections.log.write_event(now, "info", "node_draining", &[("node", &host)]);
            }
        }
        if update.full {
            let pools = &self.connections.pools.by_node;
            let absent: Vec<_> = pools
                .iter()
                .filter(|(node, pool)| pool.open && !running.contains(node))
                .map(|(node, pool)| (*node, pool.address))
                .collect();
            for (node, address) in absent {
                let host = self.connections.pools.host(node).to_owned();
                self.connections.log_event("info", "node_removed", &[("node", &host)]);
                self.connections.update_node(node, address, false);
            }
        }
        if update.full || !update.nodes.is_empty() {
            let values: [(&str, &dyn Display); 3] =
                [("seq", &update.version), ("whole", &update.full), ("nodes", &update.nodes.len())];
            self.connections.log_event("info", "node_list", &values);
        }
        let entries = self.service.names.resolve_zones(&entries);
        self.dispatcher.update_endpoints(now, update.full, entries, &mut self.connections);
    }
}
