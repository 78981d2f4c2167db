//! Signals: reload on SIGHUP, graceful shutdown on SIGTERM and SIGINT.

use super::{ShutdownPhase, Sidecar};
use crate::client_connection::Stage;
use crate::connections::Timer;
use passrelay_load_balancing::dispatcher;
use passrelay_load_balancing::lifecycle::ShutdownSchedule;
use passrelay_sidecar_settings::Config;
use signal_hook::consts::SIGHUP;
use std::fmt::Display;

/// Rounds of accepts before the listener closes for good.
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
                self.end = ShutdownSchedule::for_deadlines(self.service.active_deadlines());
                self.connections.timers.set(now + self.end.listener_closes, Timer::CloseListener);
                self.connections.timers.set(now + self.end.idle_closes, Timer::LastCall);
                self.connections.timers.set(now + self.end.answers_by, Timer::AnswersDue);
                self.connections.timers.set(now + self.end.exits_by, Timer::Exit);
                self.connections.log_event(
                    "info",
                    "ending",
                    &[("signal", &signal), ("pending", &self.dispatcher.open_requests())],
                );
            }
        }
    }

    /// Reloads the configuration. The complete file is read and validated first; an invalid one changes nothing. Settings of requests
    /// (classes, their effects, attempts, tenants) apply to new requests, accepted ones keep theirs. The address of discovery applies at
    /// once; known nodes and their connections stay.
    fn reload(&mut self) {
        let file = self.file.clone().unwrap_or_default();
        let read = Config::reload(&file, &self.name, self.listen);
        let read =
            read.and_then(|config| Ok((self.service.reloaded_with(config.service)?, config.discovery)));
        let (service, discovery) = match read {
            Ok(both) => both,
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
        self.generation += 1;
        self.service = service;
        let live = self.service.names.classes.iter().filter(|c| !c.is_empty()).count();
        let values: [(&str, &dyn Display); 4] = [
            ("generation", &self.generation),
            ("classes", &live),
            ("attempts", &self.service.settings.max_attempts),
            ("discovery", &discovery),
        ];
        self.connections.log_event("info", "reloaded", &values);
        self.connections.move_discovery(discovery);
    }

    /// Accepts what is left in the backlog, then closes the listener.
    pub(super) fn close_listener(&mut self) {
        for _ in 0..MAX_FINAL_ACCEPT_ROUNDS {
            self.listener_ready();
            if !self.accept_backlog {
                break;
            }
        }
        if let Some(mut listener) = self.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener.socket);
        }
    }

    /// Closes idle client connections; the others close with their answer.
    pub(super) fn close_idle_and_drain(&mut self) {
        self.shutdown_phase = ShutdownPhase::Closed;
        self.set_closing();
        let keys: Vec<_> = self.connections.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.client_ready(key);
            self.dispatch_events();
            if self.connections.clients.get(key).is_some_and(|k| k.stage == Stage::Idle) {
                self.connections.close_gracefully(key);
            }
        }
    }

    /// Answers all pending requests before SIGKILL may come; partially received requests get 503.
    pub(super) fn answer_all_pending(&mut self) {
        for id in self.connections.owed() {
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
