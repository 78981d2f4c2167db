//! Signals: reload on SIGHUP, graceful shutdown on SIGTERM and SIGINT.

use super::{ShutdownPhase, Sidecar};
use crate::client_connection::Stage;
use crate::connections::Timer;
use passrelay_load_balancing::dispatcher;
use passrelay_load_balancing::lifecycle::ShutdownSchedule;
use passrelay_sidecar_settings::Config;
use signal_hook::consts::SIGHUP;
use std::fmt::Display;

/// Maximum number of accept rounds before the listener closes for good.
const MAX_FINAL_ACCEPT_ROUNDS: usize = 16;

impl Sidecar {
    pub(super) fn handle_signals(&mut self) {
        let signals: Vec<_> = self.signals.pending().collect();
        for signal in signals {
            if signal == SIGHUP {
                self.reload();
            } else if self.shutdown_phase == ShutdownPhase::Serving {
                let now = self.connections.now;
                self.shutdown_phase = ShutdownPhase::Draining;
                self.shutdown_requested_at = now;
                self.shutdown_schedule = ShutdownSchedule::for_deadlines(self.service.active_deadlines());
                self.connections
                    .timers
                    .schedule(now + self.shutdown_schedule.listener_closes, Timer::CloseListener);
                self.connections
                    .timers
                    .schedule(now + self.shutdown_schedule.idle_closes, Timer::CloseIdleClients);
                self.connections
                    .timers
                    .schedule(now + self.shutdown_schedule.answers_by, Timer::AnswerPending);
                self.connections.timers.schedule(now + self.shutdown_schedule.exits_by, Timer::Exit);
                self.connections.log_event(
                    "info",
                    "ending",
                    &[("signal", &signal), ("pending", &self.dispatcher.open_requests())],
                );
            }
        }
    }

    /// Reloads the configuration. The complete file is read and validated first; an invalid one changes
    /// nothing. Settings of requests (classes, their effects, attempts, tenants) apply to new requests, while
    /// accepted requests keep theirs. The address of discovery applies at once; known nodes and their
    /// connections stay.
    fn reload(&mut self) {
        let file = self.file.clone().unwrap_or_default();
        let read = Config::reload(&file, &self.name, self.listen);
        let read =
            read.and_then(|config| Ok((self.service.reloaded_with(config.service)?, config.discovery)));
        let (service, discovery) = match read {
            Ok(reloaded) => reloaded,
            Err(e) => {
                let line = passrelay_sidecar_settings::error_line(&file, &e);
                let values: [(&str, &dyn Display); 4] =
                    [("file", &file), ("key", &e.key), ("line", &line), ("problem", &e.problem)];
                return self.connections.log_event("warn", "reload_failed", &values);
            }
        };
        if let Err(e) = self.dispatcher.update_settings(&service.settings) {
            let values: [(&str, &dyn Display); 3] =
                [("file", &file), ("key", &e.name), ("problem", &e.problem)];
            return self.connections.log_event("warn", "reload_failed", &values);
        }
        self.settings_generation += 1;
        self.service = service;
        let active_classes = self.service.names.classes.iter().filter(|c| !c.is_empty()).count();
        let values: [(&str, &dyn Display); 4] = [
            ("generation", &self.settings_generation),
            ("classes", &active_classes),
            ("attempts", &self.service.settings.max_attempts),
            ("discovery", &discovery),
        ];
        self.connections.log_event("info", "reloaded", &values);
        self.connections.set_discovery_address(discovery);
    }

    /// Accepts the connections left in the backlog, then closes the listener.
    pub(super) fn close_listener(&mut self) {
        for _ in 0..MAX_FINAL_ACCEPT_ROUNDS {
            self.listener_ready();
            if !self.accept_pending {
                break;
            }
        }
        if let Some(mut listener) = self.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener.socket);
        }
    }

    /// Closes idle client connections; the others close with their response.
    pub(super) fn close_idle_and_drain(&mut self) {
        self.shutdown_phase = ShutdownPhase::Closed;
        self.update_close_after_response();
        let keys: Vec<_> = self.connections.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.client_ready(key);
            self.dispatch_events();
            if self.connections.clients.get(key).is_some_and(|client| client.stage == Stage::Idle) {
                self.connections.close_gracefully(key);
            }
        }
    }

    /// Answers all pending requests before SIGKILL may come. Clients with a partially received request get
    /// 503.
    pub(super) fn answer_all_pending(&mut self) {
        for id in self.connections.pending_request_ids() {
            self.dispatcher.timer_fired(
                self.connections.now,
                dispatcher::Timer::Deadline(id),
                &mut self.connections,
            );
            self.dispatch_events();
        }
        for key in self.connections.partially_received() {
            self.connections.respond(key, 503, "ending\n", &[]);
        }
    }
}
