//! Operator calls: status, standby, active.

use super::{ShutdownPhase, Sidecar};
use crate::admin::Call;
use passrelay_load_balancing::lifecycle::Transition;

impl Sidecar {
    /// Sets whether answers close their connections, by lifecycle and shutdown phase.
    pub(super) fn set_closing(&mut self) {
        self.connections.closing =
            self.lifecycle.closes_after_answer(self.shutdown_phase == ShutdownPhase::Closed);
    }

    pub(super) fn admin_ready(&mut self) {
        if let Some(admin) = self.admin.as_mut() {
            admin.accept(self.connections.now, self.poll.registry());
        }
    }

    pub(super) fn admin_connection_ready(&mut self, token: mio::Token) {
        let Some(admin) = self.admin.as_mut() else { return };
        let Some((key, call)) = admin.on_ready(token, self.poll.registry()) else { return };
        let now = self.connections.now;
        let (status, body) = match call {
            Call::Status => {
                let serving = self.listener.is_some()
                    && self.shutdown_phase == ShutdownPhase::Serving
                    && self.dispatcher.has_running_upstream();
                let ready = self.lifecycle.is_ready(
                    self.dispatcher.has_running_upstream(),
                    self.shutdown_phase != ShutdownPhase::Serving,
                );
                let c = self.dispatcher.counts();
                let mut body = serde_json::json!({
                    "name": self.name, "serving": serving, "ready": ready,
                    "standby": self.lifecycle.standby_since().is_some(), "ending": self.shutdown_phase != ShutdownPhase::Serving,
                    "owed": self.dispatcher.open_requests(), "clients": self.connections.clients.len(), "node_connections": self.connections.upstreams.len(), "buffers": self.connections.buffers.out,
                    "taken": c.arrived, "served": c.served, "refused": c.rejected, "failed": c.failed,
                    "standbys": self.lifecycle.standby_count, "operator_cut_off": admin.cut_off, "generation": self.generation,
                });
                if let Some(fleet) = &self.fleet {
                    body["fleet"] = fleet();
                }
                (if serving { 200 } else { 503 }, format!("{body}\n"))
            }
            Call::Standby => {
                if self.lifecycle.enter_standby(now) == Transition::Changed {
                    self.set_closing();
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
            Call::Active => {
                if self.lifecycle.leave_standby() == Transition::Changed {
                    self.set_closing();
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
            admin.answer(key, status, "application/json", &body, &[], self.poll.registry());
        }
    }
}
