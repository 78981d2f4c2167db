//! Operator commands: status, standby, active.

use super::{ShutdownPhase, Sidecar};
use crate::admin::AdminCommand;
use passrelay_load_balancing::lifecycle::Transition;

impl Sidecar {
    /// Updates whether responses close their connections, from the lifecycle and the shutdown phase.
    pub(super) fn update_close_after_response(&mut self) {
        self.connections.close_after_response =
            self.lifecycle.closes_after_answer(self.shutdown_phase == ShutdownPhase::Closed);
    }

    pub(super) fn admin_ready(&mut self) {
        if let Some(admin) = self.admin.as_mut() {
            admin.accept(self.connections.now, self.poll.registry());
        }
    }

    pub(super) fn admin_connection_ready(&mut self, token: mio::Token) {
        let Some(admin) = self.admin.as_mut() else { return };
        let Some((key, command)) = admin.on_ready(token, self.poll.registry()) else { return };
        let now = self.connections.now;
        let (status, body) = match command {
            AdminCommand::Status => {
                let serving = self.listener.is_some()
                    && self.shutdown_phase == ShutdownPhase::Serving
                    && self.dispatcher.has_running_upstream();
                let ready = self.lifecycle.is_ready(
                    self.dispatcher.has_running_upstream(),
                    self.shutdown_phase != ShutdownPhase::Serving,
                );
                let counts = self.dispatcher.counts();
                let mut body = serde_json::json!({
                    "name": self.name, "serving": serving, "ready": ready,
                    "standby": self.lifecycle.standby_since().is_some(), "ending": self.shutdown_phase != ShutdownPhase::Serving,
                    "owed": self.dispatcher.open_requests(), "clients": self.connections.clients.len(), "node_connections": self.connections.upstreams.len(), "buffers": self.connections.buffers.in_use,
                    "taken": counts.arrived, "served": counts.served, "refused": counts.rejected, "failed": counts.failed,
                    "invalid_responses": self.connections.invalid_responses,
                    "standbys": self.lifecycle.standby_count, "operator_cut_off": admin.cut_off, "generation": self.settings_generation,
                });
                if let Some(fleet) = &self.fleet_status {
                    body["fleet"] = fleet();
                }
                (if serving { 200 } else { 503 }, format!("{body}\n"))
            }
            AdminCommand::Standby => {
                if self.lifecycle.enter_standby(now) == Transition::Changed {
                    self.update_close_after_response();
                    self.connections.close_idle_clients();
                    self.connections.log_event(
                        "info",
                        "standby",
                        &[
                            ("pending", &self.dispatcher.open_requests()),
                            ("clients", &self.connections.clients.len()),
                        ],
                    );
                }
                (200, "{\"standby\":true}\n".to_owned())
            }
            AdminCommand::Active => {
                if self.lifecycle.leave_standby() == Transition::Changed {
                    self.update_close_after_response();
                    self.connections.log_event(
                        "info",
                        "active",
                        &[("pending", &self.dispatcher.open_requests())],
                    );
                }
                (200, "{\"standby\":false}\n".to_owned())
            }
        };
        if let Some(admin) = self.admin.as_mut() {
            admin.respond(key, status, "application/json", &body, &[], self.poll.registry());
        }
    }
}
