//! The event loop: one thread and one poller. Events from sockets, timers and signals go to the dispatcher,
//! whose decisions are carried out on the connections. Nothing here blocks.

use crate::admin::{AdminListener, ADMIN_LISTENER, FIRST_ADMIN_TOKEN};
use crate::connections::{
    owner, ConnectionEvent, ConnectionLimits, Connections, Owner, Timer, DISCOVERY, LISTENER, SIGNALS,
};
use crate::discovery_client::DiscoveryClient;
use crate::listener::Listener;
use crate::log::Log;
use crate::pool::Phase;
use mio::{Events, Interest, Poll};
use passrelay_load_balancing::dispatcher::Dispatcher;
use passrelay_load_balancing::lifecycle::{Lifecycle, ShutdownSchedule};
use passrelay_load_balancing::Ending;
use passrelay_sidecar_settings::{Config, NodeListUpdate, ServiceSettings};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::error::Error;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod clients;
mod discovery;
mod operators;
mod signals;
mod upstreams;

/// Interval of the check for idle and slow connections, in seconds.
const SWEEP_INTERVAL_S: f64 = 0.25;
/// Interval of the `figures` log line, in seconds.
const COUNTERS_INTERVAL_S: f64 = 10.0;
/// Upper bound of one wait for events, in seconds.
const MAX_POLL_TIMEOUT_S: f64 = 0.5;

/// Interval at which discovery is retried after a failure, in seconds, where the dispatcher does not retry by
/// itself.
const DISCOVERY_RETRY_S: f64 = 2.0;

/// Phase of the graceful shutdown.
#[derive(Clone, Copy, PartialEq)]
enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// SIGTERM or SIGINT was received; new requests are still accepted.
    Draining,
    /// Responses close their connections; accepted requests are still answered.
    Closed,
}

/// One sidecar: the dispatcher, its connections and the event loop that drives them.
pub struct Sidecar {
    poll: Poll,
    signals: Signals,
    listener: Option<Listener>,
    /// Source of the `fleet` part of `/status`, if a fleet is configured.
    fleet_status: Option<Box<dyn Fn() -> serde_json::Value>>,
    /// The operators' listener, if an address is configured.
    admin: Option<AdminListener>,
    /// Standby or active, as set by operators.
    lifecycle: Lifecycle,
    /// Generation of the settings: 0 at the start, one more after each successful reload.
    settings_generation: u64,
    dispatcher: Dispatcher,
    connections: Connections,
    service: ServiceSettings,
    /// Configuration file, read again on SIGHUP; `name` and `listen` stay as they are.
    file: Option<String>,
    name: String,
    listen: SocketAddr,
    max_clients: usize,
    started_at: Instant,
    /// Unix time at 0 on the loop's clock.
    unix_origin: f64,
    shutdown_phase: ShutdownPhase,
    /// When SIGTERM or SIGINT was received, in seconds on the loop's clock; infinite before.
    shutdown_requested_at: f64,
    /// Schedule of the graceful shutdown, from `shutdown_requested_at` on.
    shutdown_schedule: ShutdownSchedule,
    /// Accepting is paused until the next sweep: the connection limit is reached, descriptors are exhausted or
    /// the listener failed.
    accept_paused: bool,
    /// The backlog may hold more connections than were accepted in one turn.
    accept_pending: bool,
}

impl Sidecar {
    /// Opens the listeners and applies the initially known node list.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or the system provides no poller.
    pub fn open(config: Config) -> Result<Sidecar, Box<dyn Error>> {
        let Config {
            name,
            listen,
            discovery,
            operator,
            seed,
            max_clients,
            max_waiting_clients,
            max_upstreams,
            known_nodes,
            service,
            file,
            ..
        } = config;
        let poll = Poll::new()?;
        let mut listener =
            Listener::open(listen, max_waiting_clients).map_err(|e| format!("listen: {listen}: {e}"))?;
        poll.registry().register(&mut listener.socket, LISTENER, Interest::READABLE)?;
        let admin = match operator {
            Some(address) => Some(
                AdminListener::open(address, poll.registry())
                    .map_err(|e| format!("operator: {address}: {e}"))?,
            ),
            None => None,
        };
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        // Both clocks are read once: a node whose computed start time shifted would appear to have restarted.
        let (started_at, unix_origin) =
            (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs_f64());
        let settings = &service.settings;
        let limits = ConnectionLimits {
            max_upstreams,
            connect_timeout: settings.connect_timeout,
            node_idle_timeout: service.node_idle_timeout,
        };
        let discovery_client = DiscoveryClient::new(discovery, known_nodes.as_ref().map(|list| list.version));
        let registry = poll.registry().try_clone()?;
        let mut connections =
            Connections::new(registry, settings.tick, discovery_client, Log::new(&name), &name, &limits);
        let dispatcher = Dispatcher::new(&service.settings, seed)?;
        connections.timers.schedule(SWEEP_INTERVAL_S, Timer::Sweep);
        connections.timers.schedule(COUNTERS_INTERVAL_S, Timer::LogCounters);
        let admin_address = admin
            .as_ref()
            .and_then(|listener| listener.address().ok())
            .map_or_else(|| "-".to_owned(), |a| a.to_string());
        let start_values: [(&str, &dyn Display); 4] = [
            ("tier", &service.tier),
            ("listen", &listen),
            ("operator", &admin_address),
            ("rank", &settings.rank),
        ];
        connections.log_event("info", "started", &start_values);
        let (listener, shutdown_phase) = (Some(listener), ShutdownPhase::Serving);
        let mut sidecar = Sidecar {
            poll,
            signals,
            listener,
            admin,
            fleet_status: None,
            lifecycle: Lifecycle::default(),
            settings_generation: 0,
            dispatcher,
            connections,
            service,
            file,
            name,
            listen,
            max_clients,
            started_at,
            unix_origin,
            shutdown_phase,
            shutdown_requested_at: f64::INFINITY,
            shutdown_schedule: ShutdownSchedule::for_deadlines(std::iter::empty()),
            accept_paused: false,
            accept_pending: false,
        };
        sidecar.apply_node_list(
            known_nodes.unwrap_or(NodeListUpdate { full: true, ..NodeListUpdate::default() }),
        );
        if !sidecar.connections.discovery.subscribed {
            // With some settings, the simulator delivers list changes unasked. Here changes come only with a
            // subscription, so the sidecar always subscribes.
            passrelay_load_balancing::dispatcher::Transport::subscribe(&mut sidecar.connections);
        }
        sidecar.dispatch_events();
        Ok(sidecar)
    }

    /// Sets the source of the `fleet` part of `/status`. It is called in the event loop, so it must not
    /// block.
    pub fn set_fleet_status(&mut self, fleet: Box<dyn Fn() -> serde_json::Value>) {
        self.fleet_status = Some(fleet);
    }

    /// Serves until a graceful shutdown is complete, with all accepted requests answered.
    ///
    /// # Errors
    ///
    /// Fails if the poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.is_done() {
            let now = self.started_at.elapsed().as_secs_f64();
            let wait = (self.connections.timers.next_deadline() - now).clamp(0.0, MAX_POLL_TIMEOUT_S);
            let wait =
                match (self.accept_pending || !self.connections.continuations.is_empty(), self.accept_paused)
                {
                    (true, _) => 0.0,
                    (_, true) => wait.min(SWEEP_INTERVAL_S),
                    _ => wait,
                };
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(wait))) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.update_clock();
            for event in &events {
                match event.token() {
                    LISTENER => self.listener_ready(),
                    SIGNALS => self.handle_signals(),
                    DISCOVERY => self.discovery_ready(),
                    ADMIN_LISTENER => self.admin_ready(),
                    token if token.0 >= FIRST_ADMIN_TOKEN => self.admin_connection_ready(token),
                    token => match owner(token) {
                        Owner::Client(key, generation) => {
                            self.client_event(key, generation, event.is_read_closed())
                        }
                        Owner::Upstream(key, generation) => self.upstream_event(key, generation),
                    },
                }
                self.dispatch_events();
            }
            while let Some(timer) = self.connections.timers.pop_due(self.connections.now) {
                self.timer_fired(timer);
                self.dispatch_events();
            }
            self.connections.run_continuations();
            self.dispatch_events();
            // A response may have freed a slot: clients in the backlog need not wait for the next sweep.
            if self.accept_pending || self.accept_paused && self.connections.can_accept(self.max_clients) {
                self.listener_ready();
                self.dispatch_events();
            }
        }
        self.log_counters("ended");
        Ok(())
    }

    /// Updates the time of the current turn.
    fn update_clock(&mut self) {
        self.connections.now = self.started_at.elapsed().as_secs_f64();
    }

    /// Returns whether the graceful shutdown is complete: all requests are answered, and clients have read
    /// their responses or had the time to. Exiting with unread bytes would reset the connection and destroy
    /// its last response.
    fn is_done(&self) -> bool {
        let timed_out = self.connections.now - self.shutdown_requested_at >= self.shutdown_schedule.exits_by;
        self.shutdown_phase == ShutdownPhase::Closed
            && (timed_out || self.dispatcher.open_requests() == 0 && self.connections.clients.is_empty())
    }

    /// Passes queued connection events to the dispatcher.
    fn dispatch_events(&mut self) {
        while let Some(event) = self.connections.events.pop_front() {
            let now = self.connections.now;
            match event {
                ConnectionEvent::AttemptOutcome { id, number, ending } => {
                    self.dispatcher.attempt_ended(now, id, number, ending, None, &mut self.connections);
                }
                ConnectionEvent::HealthCheckOutcome { node, ending } => {
                    self.dispatcher.health_check_ended(now, node, ending, 0.0, None, &mut self.connections);
                }
                ConnectionEvent::DiscoveryFailed => {
                    if !self.service.settings.list_by_subscription {
                        // With these settings, the dispatcher never subscribes by itself.
                        self.connections.discovery.subscribed = true;
                        self.connections.timers.schedule(now + DISCOVERY_RETRY_S, Timer::DiscoveryCall);
                    }
                    self.dispatcher.discovery_failed(now, &mut self.connections);
                }
                ConnectionEvent::DiscoveryCallStarted => self.discovery_ready(),
                // The slot may have a new attempt by now, in which case the event is stale.
                ConnectionEvent::AttemptEnded { upstream, attempt, result } => {
                    match self.connections.upstreams.get(upstream) {
                        Some(connection) if connection.attempt == Some(attempt) => {
                            self.handle_result(upstream, result)
                        }
                        _ => result
                            .body
                            .into_iter()
                            .for_each(|body| self.connections.buffers.release(body.buffer)),
                    }
                }
                ConnectionEvent::ClientReady { client } => self.client_ready(client),
            }
        }
    }

    fn timer_fired(&mut self, timer: Timer) {
        let now = self.connections.now;
        match timer {
            Timer::Dispatcher(timer) => self.dispatcher.timer_fired(now, timer, &mut self.connections),
            Timer::ConnectTimeout(key, attempt) => {
                if self.connections.is_in_phase(key, Phase::Connecting, attempt) {
                    self.connections.connect_timed_out(key);
                }
            }
            Timer::LateConnectTimeout(key, serial) => {
                if self
                    .connections
                    .upstreams
                    .get(key)
                    .is_some_and(|upstream| upstream.is_late() && upstream.serial == serial)
                {
                    self.connections.close_upstream(key);
                }
            }
            Timer::HealthCheckTimeout(key, attempt) => {
                if self.connections.is_in_phase(key, Phase::Busy, attempt) {
                    self.connections.end_attempt(key, Ending::TimedOut);
                }
            }
            Timer::SendLastByte(key, attempt) => self.send_held_byte(key, attempt),
            Timer::DiscoveryCall => self.connections.call_discovery(),
            Timer::DiscoveryTimeout(call) => {
                if self.connections.discovery.call_in_flight && self.connections.discovery.call_number == call
                {
                    self.connections.discovery_failed("no answer");
                }
            }
            Timer::Sweep => {
                self.connections.sweep_upstreams();
                self.connections.sweep_clients();
                if self.lifecycle.closes_idle_connections() {
                    self.connections.close_idle_clients();
                }
                if let Some(admin) = self.admin.as_mut() {
                    admin.sweep(now, self.poll.registry());
                }
                self.connections.timers.schedule(now + SWEEP_INTERVAL_S, Timer::Sweep);
                if self.accept_paused {
                    self.listener_ready();
                }
            }
            Timer::LogCounters => {
                self.log_counters("figures");
                self.connections.timers.schedule(now + COUNTERS_INTERVAL_S, Timer::LogCounters);
            }
            Timer::CloseListener => self.close_listener(),
            Timer::CloseIdleClients => self.close_idle_and_drain(),
            Timer::AnswerPending => self.answer_all_pending(),
            // Only wakes the event loop, which then finds that the exit time has come.
            Timer::Exit => {}
        }
    }

    fn log_counters(&mut self, event: &str) {
        let counts = self.dispatcher.counts();
        let (pending, clients, upstreams) = (
            self.dispatcher.open_requests(),
            self.connections.clients.len(),
            self.connections.upstreams.len(),
        );
        let counters: [(&str, &dyn Display); 11] = [
            ("taken", &counts.arrived),
            ("served", &counts.served),
            ("refused", &counts.rejected),
            ("failed", &counts.failed),
            ("disconnected", &counts.disconnected),
            ("forced", &counts.forced),
            ("attempts", &counts.attempts),
            ("unserved_attempts", &counts.unserved_attempts),
            ("pending", &pending),
            ("client_connections", &clients),
            ("node_connections", &upstreams),
        ];
        self.connections.log_event("info", event, &counters);
    }
}
