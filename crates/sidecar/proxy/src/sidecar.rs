//! The event loop: one thread and one poller. Events of sockets, timers and signals go to the dispatcher, which decides; what it
//! decides is carried out on the connections. Nothing here blocks.

use crate::admin::{AdminListener, ADMIN, ADMIN_BASE};
use crate::connections::{
    owner, Bounds, ConnectionEvent, Connections, Owner, Timer, DISCOVERY, LISTENER, SIGNALS,
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
const FIGURES_INTERVAL_S: f64 = 10.0;
/// Upper bound of one wait for events, in seconds.
const MAX_POLL_TIMEOUT_S: f64 = 0.5;

/// Retry interval of discovery after a failure, in seconds, where the policy does not retry by itself.
const DISCOVERY_RETRY_S: f64 = 2.0;

/// Phase of the graceful shutdown.
#[derive(Clone, Copy, PartialEq)]
enum ShutdownPhase {
    /// Serving.
    Serving,
    /// SIGTERM or SIGINT came; new requests are still accepted.
    Draining,
    /// No new requests; accepted ones are answered.
    Closed,
}

/// One sidecar: the dispatcher, its connections and the loop that drives them.
pub struct Sidecar {
    poll: Poll,
    signals: Signals,
    listener: Option<Listener>,
    /// Source of the `fleet` part of `/status`, where a fleet is configured.
    fleet: Option<Box<dyn Fn() -> serde_json::Value>>,
    /// Listener of the operators' address.
    admin: Option<AdminListener>,
    /// Standby or active, as set by the operators.
    lifecycle: Lifecycle,
    /// Settings read so far: 0 for those of the start, one more for each good reload.
    generation: u64,
    dispatcher: Dispatcher,
    connections: Connections,
    service: ServiceSettings,
    /// What is needed to read the configuration again.
    file: Option<String>,
    name: String,
    listen: SocketAddr,
    max_clients: usize,
    began: Instant,
    /// Unix time at 0 of the module's clock.
    epoch: f64,
    shutdown_phase: ShutdownPhase,
    /// When SIGTERM came, in seconds on the loop's clock (infinite before), and the schedule from then on.
    shutdown_requested_at: f64,
    end: ShutdownSchedule,
    listener_full: bool,
    /// The listener's backlog may hold more clients than one turn accepts.
    accept_backlog: bool,
}

impl Sidecar {
    /// Opens the listener and takes in the node list that is known.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened on or the system gives no poller.
    pub fn open(config: Config) -> Result<Sidecar, Box<dyn Error>> {
        let Config {
            name,
            listen,
            discovery,
            operator,
            seed,
            max_clients,
            max_upstreams,
            known_nodes,
            service,
            file,
            ..
        } = config;
        let poll = Poll::new()?;
        let mut listener = Listener::open(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
        poll.registry().register(&mut listener.socket, LISTENER, Interest::READABLE)?;
        let admin = match operator {
            Some(at) => {
                Some(AdminListener::open(at, poll.registry()).map_err(|e| format!("operator: {at}: {e}"))?)
            }
            None => None,
        };
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        // One reading of both clocks: a start time that moved would look like a restart.
        let (began, epoch) = (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs_f64());
        let s = &service.settings;
        let bounds = Bounds {
            max_upstreams,
            connect_timeout: s.connect_timeout,
            conn_idle: service.node_idle_timeout,
        };
        let client = DiscoveryClient::new(discovery, known_nodes.as_ref().map(|k| k.version));
        let registry = poll.registry().try_clone()?;
        let mut connections = Connections::new(registry, s.tick, client, Log::new(&name), &name, &bounds);
        let dispatcher = Dispatcher::new(&service.settings, seed)?;
        connections.timers.set(SWEEP_INTERVAL_S, Timer::Sweep);
        connections.timers.set(FIGURES_INTERVAL_S, Timer::Figures);
        let admin_at =
            admin.as_ref().and_then(|d| d.address().ok()).map_or_else(|| "-".to_owned(), |a| a.to_string());
        let started: [(&str, &dyn Display); 4] =
            [("tier", &service.tier), ("listen", &listen), ("operator", &admin_at), ("rank", &s.rank)];
        connections.log_event("info", "started", &started);
        let (listener, shutdown_phase) = (Some(listener), ShutdownPhase::Serving);
        let mut sidecar = Sidecar {
            poll,
            signals,
            listener,
            admin,
            fleet: None,
            lifecycle: Lifecycle::default(),
            generation: 0,
            dispatcher,
            connections,
            service,
            file,
            name,
            listen,
            max_clients,
            began,
            epoch,
            shutdown_phase,
            shutdown_requested_at: f64::INFINITY,
            end: ShutdownSchedule::for_deadlines(std::iter::empty()),
            listener_full: false,
            accept_backlog: false,
        };
        sidecar.apply_node_list(
            known_nodes.unwrap_or(NodeListUpdate { full: true, ..NodeListUpdate::default() }),
        );
        if !sidecar.connections.discovery.wanted {
            // The list is asked for also where changes come unasked in the simulator: here they never do.
            passrelay_load_balancing::dispatcher::Transport::subscribe(&mut sidecar.connections);
        }
        sidecar.dispatch_events();
        Ok(sidecar)
    }

    /// Sets the source of the `fleet` part of `/status`. It is called in the event loop, so it must not block.
    pub fn set_fleet_status(&mut self, fleet: Box<dyn Fn() -> serde_json::Value>) {
        self.fleet = Some(fleet);
    }

    /// Serves until a graceful shutdown is complete: all accepted requests are answered.
    ///
    /// # Errors
    ///
    /// Fails when the poller does.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.is_done() {
            let now = self.began.elapsed().as_secs_f64();
            let wait = (self.connections.timers.next_look() - now).clamp(0.0, MAX_POLL_TIMEOUT_S);
            let wait =
                match (self.accept_backlog || !self.connections.continuations.is_empty(), self.listener_full)
                {
                    (true, _) => 0.0,
                    (_, true) => wait.min(SWEEP_INTERVAL_S),
                    _ => wait,
                };
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(wait))) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.tick();
            for event in &events {
                match event.token() {
                    LISTENER => self.listener_ready(),
                    SIGNALS => self.handle_signals(),
                    DISCOVERY => self.discovery_ready(),
                    ADMIN => self.admin_ready(),
                    token if token.0 >= ADMIN_BASE => self.admin_connection_ready(token),
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
            // An answer may have freed a slot: clients in the backlog need not wait for the next sweep.
            if self.accept_backlog || self.listener_full && self.connections.can_accept(self.max_clients) {
                self.listener_ready();
                self.dispatch_events();
            }
        }
        self.figures("ended");
        Ok(())
    }

    /// Brings the clock up to date.
    fn tick(&mut self) {
        self.connections.now = self.began.elapsed().as_secs_f64();
    }

    /// Whether the graceful shutdown is complete: all requests are answered, and clients have read the answers or had the time to. An
    /// exit with unread bytes would reset the connection and destroy its last answer.
    fn is_done(&self) -> bool {
        let late = self.connections.now - self.shutdown_requested_at >= self.end.exits_by;
        self.shutdown_phase == ShutdownPhase::Closed
            && (late || self.dispatcher.open_requests() == 0 && self.connections.clients.is_empty())
    }

    /// Hands queued connection events to the dispatcher.
    fn dispatch_events(&mut self) {
        while let Some(events) = self.connections.events.pop_front() {
            let now = self.connections.now;
            match events {
                ConnectionEvent::AttemptOutcome { id, number, ending } => {
                    self.dispatcher.attempt_ended(now, id, number, ending, None, &mut self.connections);
                }
                ConnectionEvent::ProbeOutcome { node, ending } => {
                    self.dispatcher.health_check_ended(now, node, ending, 0.0, None, &mut self.connections);
                }
                ConnectionEvent::DiscoveryFailed => {
                    if !self.service.settings.list_by_subscription {
                        // Such a module never asks by itself.
                        self.connections.discovery.wanted = true;
                        self.connections.timers.set(now + DISCOVERY_RETRY_S, Timer::Ask);
                    }
                    self.dispatcher.discovery_failed(now, &mut self.connections);
                }
                ConnectionEvent::DiscoveryRequested => self.discovery_ready(),
                // The slot may have a new attempt by now; then this event is stale.
                ConnectionEvent::AttemptEnded { upstream, attempt, end } => {
                    match self.connections.upstreams.get(upstream) {
                        Some(b) if b.attempt == Some(attempt) => self.returned(upstream, end),
                        _ => end.load.into_iter().for_each(|l| self.connections.buffers.give_back(l.buffer)),
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
            Timer::Dial(key, attempt) => {
                if self.connections.is_at(key, Phase::Dialing, attempt) {
                    self.connections.connect_timed_out(key);
                }
            }
            Timer::Late(key, number) => {
                if self.connections.upstreams.get(key).is_some_and(|b| b.is_late() && b.number == number) {
                    self.connections.close_upstream(key);
                }
            }
            Timer::Probe(key, attempt) => {
                if self.connections.is_at(key, Phase::Busy, attempt) {
                    self.connections.end_attempt(key, Ending::TimedOut);
                }
            }
            Timer::LastByte(key, attempt) => self.send_held_byte(key, attempt),
            Timer::Ask => self.connections.ask(),
            Timer::Overdue(call) => {
                if self.connections.discovery.asking && self.connections.discovery.call == call {
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
                self.connections.timers.set(now + SWEEP_INTERVAL_S, Timer::Sweep);
                if self.listener_full {
                    self.listener_ready();
                }
            }
            Timer::Figures => {
                self.figures("figures");
                self.connections.timers.set(now + FIGURES_INTERVAL_S, Timer::Figures);
            }
            Timer::CloseListener => self.close_listener(),
            Timer::LastCall => self.close_idle_and_drain(),
            Timer::AnswersDue => self.answer_all_pending(),
            // Only wakes the loop, which then sees that it is time.
            Timer::Exit => {}
        }
    }

    fn figures(&mut self, event: &str) {
        let c = self.dispatcher.counts();
        let (owed, clients, upstreams) = (
            self.dispatcher.open_requests(),
            self.connections.clients.len(),
            self.connections.upstreams.len(),
        );
        let figures: [(&str, &dyn Display); 11] = [
            ("taken", &c.arrived),
            ("served", &c.served),
            ("refused", &c.rejected),
            ("failed", &c.failed),
            ("disconnected", &c.disconnected),
            ("forced", &c.forced),
            ("attempts", &c.attempts),
            ("unserved_attempts", &c.unserved_attempts),
            ("pending", &owed),
            ("client_connections", &clients),
            ("node_connections", &upstreams),
        ];
        self.connections.log_event("info", event, &figures);
    }
}
