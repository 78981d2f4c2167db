//! Client events: accepting connections, reading requests, admission.

use super::{ShutdownPhase, Sidecar};
use crate::client_connection::{Received, Stage};
use crate::connections::{generation, Continuation};
use crate::http::Head;
use crate::listener::AcceptResult;
use passrelay_load_balancing::admission::Admission;
use passrelay_load_balancing::dispatcher::Arrival;
use passrelay_load_balancing::{Idempotency, RequestId};

/// Maximum number of accepts per turn, so that a full backlog does not delay responses.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Upper bound of a plausible `X-Call-Cost`, in seconds; larger values are ignored.
const MAX_WORK_HINT_S: f64 = 3600.0;

impl Sidecar {
    pub(super) fn listener_ready(&mut self) {
        self.accept_paused = false;
        self.accept_pending = false;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = &self.listener else { return };
            if self.connections.clients.len() >= self.max_clients && !self.connections.evict_idle_client() {
                self.accept_paused = true;
                self.connections.log_event(
                    "warn",
                    "client_connections_full",
                    &[("client_connections", &self.max_clients)],
                );
                return;
            }
            match listener.accept() {
                AcceptResult::Connection(socket) => match self.connections.accept(socket) {
                    // Its request may have arrived already; the poller reports that.
                    Ok(()) => {}
                    Err(e) => self.connections.log_event("warn", "client_setup_failed", &[("problem", &e)]),
                },
                AcceptResult::WouldBlock => return,
                AcceptResult::OutOfDescriptors => {
                    self.connections.log_event("warn", "descriptors_exhausted", &[("for", &"client")]);
                    if !self.connections.evict_idle_client() && !self.connections.close_idlest_upstream() {
                        self.accept_paused = true;
                        return;
                    }
                }
                AcceptResult::Failed(e) => {
                    self.accept_paused = true;
                    return self.connections.log_event("error", "listener_failed", &[("problem", &e)]);
                }
            }
        }
        // The rest of the backlog is accepted in the next turn, not only when the next client connects.
        self.accept_pending = true;
    }

    /// Handles readiness of a client connection. An event of an earlier connection in the same slot is
    /// ignored.
    pub(super) fn client_event(&mut self, key: usize, event_generation: usize, read_closed: bool) {
        if let Some(client) = self
            .connections
            .clients
            .get_mut(key)
            .filter(|client| generation(client.serial) == event_generation)
        {
            client.peer_closed |= read_closed;
            self.client_ready(key);
        }
    }

    pub(super) fn client_ready(&mut self, key: usize) {
        self.connections.write_out(key);
        while let Some(client) = self.connections.clients.get_mut(key) {
            match client.on_readable(self.connections.now, &mut self.connections.buffers) {
                Received::Partial => return,
                Received::Yield => {
                    self.connections.continuations.insert(Continuation::DrainInput(key, client.serial));
                    return;
                }
                Received::Request(head) => {
                    client.close |= head.close;
                    self.admit(key, head);
                }
                Received::Invalid(error) => {
                    client.close = true;
                    return self.connections.respond(key, error.0, "not a request that can be read\n", &[]);
                }
                Received::Closed => {
                    let stage = client.stage;
                    self.connections.close_client(key);
                    if let Stage::Waiting(id) = stage {
                        self.connections.untrack_request(id);
                        self.connections.withdraw_unsent_attempts(id);
                        self.dispatcher.client_disconnected(self.connections.now, id, &mut self.connections);
                    }
                    return;
                }
            }
        }
    }

    /// Admits a complete request, or answers it with an error.
    fn admit(&mut self, key: usize, head: Head) {
        let path = head.target.split('?').next().unwrap_or("");
        if path == "/ready" {
            if head.method != "GET" {
                return self.connections.respond(key, 405, "use GET\n", &[("Allow", &"GET")]);
            }
            let ready = self.lifecycle.is_ready(
                self.dispatcher.has_running_upstream(),
                self.shutdown_phase != ShutdownPhase::Serving,
            );
            let (status, text) = if ready { (200, "ready\n") } else { (503, "not ready\n") };
            return self.connections.respond(key, status, text, &[]);
        }
        let arrival = match self.read_arrival(&head, path) {
            Ok(arrival) => arrival,
            Err((405, method)) => {
                return self.connections.respond(key, 405, "another method\n", &[("Allow", &method)])
            }
            Err((status, problem)) => {
                return self.connections.respond(key, status, &format!("{problem}\n"), &[])
            }
        };
        let admission = Admission::new(self.max_clients, self.service.max_open_requests);
        if !admission
            .admits(self.dispatcher.open_requests(), self.service.settings.relative_value(arrival.class))
        {
            let wait = self.dispatcher.retry_after().unwrap_or(1.0);
            return self.connections.respond(key, 503, "too many at once\n", &[("Retry-After", &wait)]);
        }
        // During a shutdown, the budget ends before SIGKILL may come, so that every request is answered.
        let remaining = self.shutdown_requested_at + self.shutdown_schedule.answers_by - self.connections.now;
        if remaining <= 0.0 {
            return self.connections.respond(key, 503, "ending\n", &[]);
        }
        let arrival = Arrival { client_timeout: arrival.client_timeout.min(remaining), ..arrival };
        // The client has disconnected already: the request is not forwarded, since nobody waits for its
        // response.
        if self.connections.clients[key].peer_closed {
            return self.connections.close_client(key);
        }
        let id: RequestId = self.dispatcher.assign_id();
        self.connections.track_request(id, key, head, arrival.client_timeout);
        self.dispatcher.request_arrived(self.connections.now, id, arrival, &mut self.connections);
    }

    /// Checks the headers of a request. The error is a status code and a text; for 405 the text is the
    /// allowed method.
    fn read_arrival(&self, head: &Head, path: &str) -> Result<Arrival, (u16, &'static str)> {
        let name = path[1..].split('/').next().unwrap_or("");
        let class = self.service.class_index(name).ok_or((404, "no such class"))?;
        let method = if self.service.settings.classes[class].idempotency == Idempotency::Idempotent {
            "GET"
        } else {
            "POST"
        };
        if head.method != method {
            return Err((405, method));
        }
        if head.header("x-call-class") != Some(name) {
            return Err((400, "X-Call-Class is missing or not the class of the path"));
        }
        let is_valid_id =
            |id: &&str| !id.is_empty() && id.len() <= 128 && id.bytes().all(|b| b.is_ascii_graphic());
        head.header("x-call-id").filter(is_valid_id).ok_or((400, "X-Call-Id is missing or bad"))?;
        let names = &self.service.names;
        let caller = head.header("x-caller");
        let tenant = names.tenant_id(caller).map_err(|_| (400, "X-Caller is not known"))?;
        if tenant.is_none() && !names.tenants.is_empty() {
            return Err((400, "X-Caller is missing"));
        }
        let is_decimal = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let budget = head.header("x-budget").filter(is_decimal).and_then(|text| text.parse::<f64>().ok());
        let budget = budget.ok_or((400, "X-Budget is missing or not a number of seconds"))?;
        // No client waits longer than its class's deadline. A budget of a day would keep the state of the
        // request that long.
        if budget > self.service.deadlines[class].max(0.1) * 2.0 {
            return Err((400, "X-Budget is far more than this class may take"));
        }
        if self.connections.is_duplicate(head) {
            // A second request under the same id would be taken for a copy of the pending one.
            return Err((409, "X-Call-Id is that of a request that waits"));
        }
        let repeat = head.header("x-again") == Some("1");
        // The cost is only a hint: a malformed or implausible one is ignored and does not fail the request.
        let cost = head.header("x-call-cost").filter(is_decimal).and_then(|text| text.parse::<f64>().ok());
        let work_hint =
            cost.map(|micros| micros / 1e6).filter(|seconds| (1e-6..=MAX_WORK_HINT_S).contains(seconds));
        Ok(Arrival {
            class: passrelay_load_balancing::ClassId(class),
            tenant,
            client_timeout: budget,
            work_hint,
            repeat,
        })
    }
}
