//! Events of the discovery client: node lists and failures.

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
                self.connections.timers.set(self.connections.now + REQUEST_PAUSE_S, Timer::Ask);
            }
            DiscoveryResult::Failed(problem) => self.connections.discovery_failed(&problem),
        }
    }

    /// Applies a node list or its changes to the connection pools and the dispatcher.
    pub(super) fn apply_node_list(&mut self, update: NodeListUpdate) {
        let now = self.connections.now;
        let (mut items, mut open) = (Vec::new(), Vec::new());
        for line in &update.nodes {
            let node = self.connections.pools.number(&line.host);
            let started = (line.started_at_ms > 0.0).then(|| line.started_at_ms / 1000.0 - self.epoch);
            let (zone, state) = (ZoneId(0), line.condition);
            let entry = EndpointEntry { upstream: node, zone, cell: line.cell, state, started };
            items.push(UnresolvedEntry { entry, zone_name: line.zone.clone() });
            self.connections.update_node(node, line.address, state == EndpointState::Running);
            if state == EndpointState::Running {
                open.push(node);
            } else {
                let host: &str = &line.host;
                self.connections.log.line(now, "info", "node_draining", &[("node", &host)]);
            }
        }
        if update.full {
            let pools = &self.connections.pools.by_node;
            let absent: Vec<_> = pools
                .iter()
                .filter(|(n, l)| l.open && !open.contains(n))
                .map(|(n, l)| (*n, l.dial))
                .collect();
            for (node, dial) in absent {
                let host = self.connections.pools.host(node).to_owned();
                self.connections.log_event("info", "node_removed", &[("node", &host)]);
                self.connections.update_node(node, dial, false);
            }
        }
        if update.full || !update.nodes.is_empty() {
            let figures: [(&str, &dyn Display); 3] =
                [("seq", &update.version), ("whole", &update.full), ("nodes", &update.nodes.len())];
            self.connections.log_event("info", "node_list", &figures);
        }
        let entries = self.service.names.resolve_zones(&items);
        self.dispatcher.update_endpoints(now, update.full, entries, &mut self.connections);
    }
}
